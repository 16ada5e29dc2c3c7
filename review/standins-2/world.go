package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// World is a small deployment: a store, replicas, and real instances as separate processes.
type World struct {
	Store     *Store
	StartedAt time.Time
	Folder    string
	Binary    string
	Trouble   bool

	storeAddress string
	record       *os.File
	mutex        sync.Mutex
	runs         []Run
	answers      map[string]Answer
	Instances    []*Instance
}

// Instance is one process of the system.
type Instance struct {
	Name, IP, Frontend, Readiness string

	settings string
	log      string
	command  *exec.Cmd
	done     chan struct{}
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	cleanUp()
	os.Exit(2)
}

var cleanUp = func() {}

// NewWorld starts the store.
func NewWorld(recordPath, binary string) *World {
	world := &World{Store: NewStore(), answers: map[string]Answer{}, StartedAt: time.Now(), Binary: binary, Trouble: os.Getenv("TROUBLE") != "0"}
	var err error
	if world.record, err = os.Create(recordPath); err != nil {
		fail("%v", err)
	}
	if world.Folder, err = os.MkdirTemp("", "review"); err != nil {
		fail("%v", err)
	}
	cleanUp = world.Close
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		fail("stopped by a signal")
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("%v", err)
	}
	world.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, world.Store) }()
	return world
}

// Record writes a line of the record.
func (world *World) Record(format string, args ...any) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	fmt.Fprintf(world.record, "%7.3f s  %s\n", time.Since(world.StartedAt).Seconds(), fmt.Sprintf(format, args...))
}

// AddRun records a run.
func (world *World) AddRun(run Run) {
	world.Record("run      id=%s replica=%s service=%s %s %s tenant=%q body=%d bytes", run.ID, run.Replica, run.Service, run.Method, run.Target, run.Tenant, len(run.Body))
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.runs = append(world.runs, run)
}

// Runs returns the runs so far.
func (world *World) Runs() []Run {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return append([]Run(nil), world.runs...)
}

// PutConfig writes a configuration as the operator does.
func (world *World) PutConfig(config map[string]any) {
	text, err := json.Marshal(config)
	if err != nil {
		fail("%v", err)
	}
	world.Store.Put("op/config", text)
	world.Record("operator version %v is acknowledged", config["version"])
}

// freePort returns a port of the address that was free a moment ago.
func freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("%v", err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// zone is the zone of all instances and replicas.
const zone = "kolkata-hall"

const settingsText = `node_name = "%s"
role = "relay"
machine_class = "edge"
serves = ["edge"]
ip = "%s"
zone = "%s"
region = "bengal-east"
port_range = [%d,%d]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry_point = "anycast"
heartbeat_ms = 1200
invariants = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
[zones]
kolkata-hall = "bengal-east"
[listen]
frontend = "%s"
readiness = "%s"
[limits]
cpu_quota = 0.4
cpu_cores = 1
memory_mb = 284
max_fds = 4200
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
grace_s = 8
loss_slack_ms = 200
config_converge_ms = 2000
rollback_slack_ms = 250
skew_ms = 5000
strict_revocation = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 100
recovery_s = 12
iteration_ms = 120
retry_after_s = 0
stall_ms = 1500
max_hold_ms = 20000
release_ms = 4000
max_idle_ms = 9000
[platform]
address = "%s"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
max_value_bytes = 1048576
min_ttl_ms = 1000
`

// AddInstances starts instances and waits until all are ready.
func (world *World) AddInstances(count int) []*Instance {
	for i := range count {
		world.AddInstance(fmt.Sprintf("edge-%s-%d", zone, i+1))
	}
	for _, instance := range world.Instances {
		world.AwaitReady(instance)
	}
	return world.Instances
}

// AddInstance starts an instance on a loopback address of its own.
func (world *World) AddInstance(name string) *Instance {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 16+len(world.Instances), pid/250%250+1, pid%250+1)
	first := freePort(ip)
	instance := &Instance{
		Name: name, IP: ip, Frontend: fmt.Sprintf("%s:%d", ip, freePort(ip)), Readiness: fmt.Sprintf("%s:%d", ip, freePort(ip)),
		settings: filepath.Join(world.Folder, name+".toml"), log: filepath.Join(world.Folder, name+".log"),
	}
	first = 20000 + first%10000
	text := fmt.Sprintf(settingsText, name, ip, zone, first, first+15, instance.Frontend, instance.Readiness, world.storeAddress)
	if err := os.WriteFile(instance.settings, []byte(text), 0o600); err != nil {
		fail("%v", err)
	}
	world.Instances = append(world.Instances, instance)
	world.StartInstance(instance)
	return instance
}

// StartInstance starts the process of an instance.
func (world *World) StartInstance(instance *Instance) {
	log, err := os.OpenFile(instance.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	instance.command = exec.Command(world.Binary, "relay")
	instance.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PERIDOTPATH_BOOT=" + instance.settings}
	instance.command.Stdout, instance.command.Stderr = log, log
	if err := instance.command.Start(); err != nil {
		fail("start %s: %v", instance.Name, err)
	}
	done := make(chan struct{})
	instance.done = done
	go func(command *exec.Cmd) {
		err := command.Wait()
		world.Record("process of %s ends: %v", instance.Name, err)
		close(done)
	}(instance.command)
	world.Record("process of %s starts", instance.Name)
}

// AwaitReady waits until an instance is ready.
func (world *World) AwaitReady(instance *Instance) {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + instance.Readiness + "/api/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			world.Record("%s is ready", instance.Name)
			return
		}
	}
	fail("%s is not ready after 15 s", instance.Name)
}

// Signal sends a signal to the process of an instance.
func (world *World) Signal(instance *Instance, signal syscall.Signal) {
	world.Record("%s gets signal %v", instance.Name, signal)
	_ = instance.command.Process.Signal(signal)
}

// Close ends all processes.
func (world *World) Close() {
	for _, instance := range world.Instances {
		if instance.command != nil && instance.command.Process != nil {
			_ = instance.command.Process.Signal(syscall.SIGCONT)
			_ = instance.command.Process.Kill()
			<-instance.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(world.Folder)
	} else {
		fmt.Println(world.Folder)
	}
}

// Finish ends all and exits: with 1 if a rule was broken, with 0 if all held.
func (world *World) Finish(broken bool, format string, args ...any) {
	world.Record(format, args...)
	fmt.Printf(format+"\n", args...)
	world.Close()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// Answers returns the answers so far, by the ids of their requests.
func (world *World) Answers() map[string]Answer {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return maps.Clone(world.answers)
}
