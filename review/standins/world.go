package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// world is one small deployment on loopback: a store, replicas and instances of the program.
type world struct {
	root, folder string
	network      [2]int
	store        *store
	storeAddress string
	replicas     []*replica
	nodes        []*node
	start        time.Time

	mutex  sync.Mutex
	record io.Writer
}

// fail ends a case that could not run.
func fail(format string, args ...any) {
	panic(cannotRun(fmt.Sprintf(format, args...)))
}

type cannotRun string

// note writes a line to record.txt.
func (w *world) note(format string, args ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func newWorld(record io.Writer) *world {
	root, err := filepath.Abs(os.Getenv("REPOSITORY"))
	if err != nil || os.Getenv("REPOSITORY") == "" {
		fail("REPOSITORY is not set")
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("%v", err)
	}
	w := &world{root: root, folder: folder, record: record, start: time.Now(), store: newStore()}
	// Each run has loopback addresses of its own, since the metrics port is fixed.
	w.network = [2]int{64 + rand.IntN(64), 1 + rand.IntN(250)}
	w.storeAddress = w.serve(w.address(1), w.store)
	return w
}

func (w *world) address(host int) string {
	return fmt.Sprintf("127.%d.%d.%d", w.network[0], w.network[1], host)
}

// serve serves HTTP on a free port of the address.
func (w *world) serve(ip string, handler http.Handler) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("%v", err)
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// node is one machine that runs the program of the deploy file.
type node struct {
	w                   *world
	name, ip            string
	frontend, readiness string
	command             *exec.Cmd
	exited              chan struct{}
	stoppedAt, exitedAt time.Time
	memoryMB            int
}

// bounds of the settings, as in DEPLOY.md.
const (
	graceS    = 8
	lossSlack = 200 * time.Millisecond
)

func freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("%v", err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// startNode starts an instance and waits until it is ready.
func (w *world) startNode(name, zone string) *node {
	n := &node{w: w, name: name, ip: w.address(10 + len(w.nodes)), memoryMB: 284}
	w.nodes = append(w.nodes, n)
	n.frontend = fmt.Sprintf("%s:%d", n.ip, freePort(n.ip))
	n.readiness = fmt.Sprintf("%s:%d", n.ip, freePort(n.ip))
	text := fmt.Sprintf(`node_name = %q
role = "relay"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "r"
port_range = [7340,7355]
seeds = []
bootstrap = true
discovery = "platform"
entry_point = "anycast"
heartbeat_ms = 1200
[zones]
a = "r"
b = "r"
[listen]
frontend = %q
readiness = %q
[limits]
cpu_quota = 0.4
cpu_cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
hosts_lost = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = %d
loss_slack_ms = 200
config_converge_ms = 2000
rollback_slack_ms = 250
skew_ms = 5000
strict_revocation = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 104
recovery_s = 12
iteration_ms = 120
retry_after_s = 0
stall_ms = 1500
max_hold_ms = 20000
release_ms = 4000
max_idle_ms = 9000
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
`, name, n.ip, zone, n.frontend, n.readiness, graceS, w.storeAddress)
	settings := filepath.Join(w.folder, name+".toml")
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		fail("%v", err)
	}
	log, err := os.Create(filepath.Join(w.folder, name+".log"))
	if err != nil {
		fail("%v", err)
	}
	defer log.Close()
	n.command = exec.Command(filepath.Join("target", "peridotd"), "relay")
	n.command.Path = filepath.Join(w.root, "target", "peridotd")
	n.command.Err = nil
	n.command.Dir = w.root
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "PERIDOTPATH_BOOT=" + settings}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		fail("%v", err)
	}
	n.exited = make(chan struct{})
	go func() {
		err := n.command.Wait()
		n.w.mutex.Lock()
		n.exitedAt = time.Now()
		n.w.mutex.Unlock()
		n.w.note("%s: process ended (%v)", n.name, err)
		close(n.exited)
	}()
	w.note("%s: started at %s", name, n.frontend)
	return n
}

// awaitReady waits until the readiness check of all instances answers 200.
func (w *world) awaitReady() {
	for _, n := range w.nodes {
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
			if time.Now().After(deadline) {
				fail("%s is not ready", n.name)
			}
			response, err := http.Get("http://" + n.readiness + "/api/readyz")
			if err == nil {
				response.Body.Close()
				if response.StatusCode == 200 {
					break
				}
			}
		}
	}
	w.note("all instances are ready")
	for _, n := range w.nodes {
		go w.balance(n)
	}
}

// balance asks a node for its readiness once a second, as the platform does. The clients of the cases
// keep the connections that they have.
func (w *world) balance(n *node) {
	client, last := http.Client{Timeout: time.Second}, 200
	for ; !n.hasExited(); time.Sleep(time.Second) {
		status := 0
		if response, err := client.Get("http://" + n.readiness + "/api/readyz"); err == nil {
			response.Body.Close()
			status = response.StatusCode
		}
		if status != last {
			w.note("%s: readiness is %d, it was %d", n.name, status, last)
		}
		last = status
	}
}

func (n *node) signal(sig syscall.Signal) {
	n.w.note("%s: %v", n.name, sig)
	_ = n.command.Process.Signal(sig)
}

func (n *node) hasExited() bool {
	select {
	case <-n.exited:
		return true
	default:
		return false
	}
}

// close ends all processes.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.command != nil && n.command.Process != nil && n.exited != nil && !n.hasExited() {
			_ = n.command.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.folder)
	} else {
		fmt.Println(w.folder)
	}
}

// client is one client with one kept connection. It writes and reads raw bytes, so that nothing is
// hidden or repeated by a library.
type client struct {
	w      *world
	conn   net.Conn
	reader *bufio.Reader
}

func (w *world) connect(n *node) *client {
	conn, err := net.DialTimeout("tcp", n.frontend, time.Second)
	if err != nil {
		fail("%v", err)
	}
	return &client{w: w, conn: conn, reader: bufio.NewReader(conn)}
}

// request is one client attempt.
type request struct {
	id, method, target, host, key string
	body                          string
	deadline                      time.Duration
	headers                       []string
}

// reply is what the client got.
type reply struct {
	sentAt, endedAt time.Time
	status          int
	header          http.Header
	body            []byte
	complete        bool
	// closes reports that the answer asks for the connection to be closed.
	closes bool
	err    error
}

func (r *reply) signature() string {
	if r.header == nil {
		return ""
	}
	return r.header.Get("X-Peridotpath-Replica-Signature")
}

func (r *reply) String() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer after %.3f s: %v", r.endedAt.Sub(r.sentAt).Seconds(), r.err)
	}
	text := fmt.Sprintf("%d after %.3f s, signature %q, %d bytes", r.status, r.endedAt.Sub(r.sentAt).Seconds(), r.signature(), len(r.body))
	if !r.complete {
		text += fmt.Sprintf(", broken off: %v", r.err)
	}
	return text
}

// send sends a request and reads the answer to its end.
func (c *client) send(q request) *reply {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Peridotpath-Attempt-Id: %s\r\nX-Peridotpath-Deadline-Ms: %d\r\n", q.method, q.target, q.host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&text, "Authorization: Token %s\r\n", q.key)
	}
	for _, header := range q.headers {
		text.WriteString(header + "\r\n")
	}
	if q.method == "POST" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(q.body))
	}
	text.WriteString("\r\n" + q.body)
	c.w.note("client sends %s: %s %s", q.id, q.method, q.target)
	r := &reply{sentAt: time.Now()}
	defer func() {
		r.endedAt = time.Now()
		c.w.note("client gets for %s: %s", q.id, r)
	}()
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	if _, r.err = c.conn.Write(text.Bytes()); r.err != nil {
		return r
	}
	method := &http.Request{Method: q.method}
	response, err := http.ReadResponse(c.reader, method)
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.header, r.closes = response.StatusCode, response.Header, response.Close
	r.body, r.err = io.ReadAll(response.Body)
	r.complete = r.err == nil
	return r
}

func (c *client) close() { c.conn.Close() }
