package crowd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const (
	engineService peridotpath.Service = "llm"
	plainService  peridotpath.Service = "app"

	plainEndpoint peridotpath.EndpointID = "i-1"

	instanceID peridotpath.InstanceID = "edge-0"
	// firstPort and lastPort lie below the kernel's ephemeral range and the ports of the soak.
	firstPort, lastPort = 21_000, 22_000
	// metricsPort is the port that deploy/system.toml names.
	metricsPort = 9464
	// renewInterval is the time between two writes of an endpoint's entry.
	renewInterval  = time.Second
	requestTimeout = 5 * time.Second
	startTimeout   = 20 * time.Second
	stopTimeout    = 15 * time.Second
	pollInterval   = 50 * time.Millisecond
)

var customerKeys = map[peridotpath.CustomerID][]peridotpath.APIKey{"desk": {"desk-1"}}

// Instance is a real instance between a stand-in of the store and stand-ins of two endpoints.
type Instance struct {
	Callers, Readiness, Peers, Metrics netip.AddrPort
	Limits                             standin.Limits

	// IsServe runs `peridotd serve`, which has settings of its own and needs no store to listen.
	IsServe bool
	// OnExecution is called by the stand-ins of endpoints at the start of each execution, if it is set before Start.
	OnExecution func(standin.Execution)

	endpoints  map[peridotpath.EndpointID]*standin.Endpoint
	store      *standin.Store
	storeAt    netip.AddrPort
	binary     string
	folder     string
	version    int
	command    *exec.Cmd
	exited     chan struct{}
	cancel     context.CancelFunc
	background sync.WaitGroup
	// listeners are those of faulty endpoints.
	listeners []net.Listener
}

// New starts the stand-ins and chooses the addresses of an instance.
func New(binary, folder string, limits standin.Limits) (*Instance, error) {
	ctx, cancel := context.WithCancel(context.Background())
	ip := loopbackAddress(os.Getpid())
	ports, err := freePorts(ip, 3)
	if err != nil {
		cancel()
		return nil, err
	}
	instance := &Instance{
		Callers: netip.AddrPortFrom(ip, ports[0]), Readiness: netip.AddrPortFrom(ip, ports[1]), Peers: netip.AddrPortFrom(ip, ports[2]+1),
		Metrics: netip.AddrPortFrom(ip, metricsPort), Limits: limits,
		store: &standin.Store{}, endpoints: map[peridotpath.EndpointID]*standin.Endpoint{}, binary: binary, folder: folder, cancel: cancel,
	}
	instance.storeAt, err = instance.serve(ctx, instance.store)
	if err != nil {
		return nil, err
	}
	for id, service := range map[peridotpath.EndpointID]peridotpath.Service{"i-0": engineService, plainEndpoint: plainService} {
		if err := instance.addEndpoint(ctx, id, service); err != nil {
			return nil, err
		}
	}
	instance.WriteRouting()
	return instance, nil
}

// loopbackAddress returns an address for a process's instances: the port of metrics is fixed, and
// other processes play crowds beside.
func loopbackAddress(pid int) netip.Addr {
	const hosts = 250
	return netip.AddrFrom4([4]byte{127, 0, byte(2 + pid/hosts%hosts), byte(1 + pid%hosts)})
}

// freePorts returns ports below the kernel's ephemeral range, each with a free one behind it.
func freePorts(ip netip.Addr, count int) ([]uint16, error) {
	var ports []uint16
	for port := uint16(firstPort); port < lastPort && len(ports) < count; port += 2 {
		if standin.ArePortsFree(ip, port, 2) {
			ports = append(ports, port)
		}
	}
	if len(ports) < count {
		return nil, fmt.Errorf("want %d free ports at %s, got %d", count, ip, len(ports))
	}
	return ports, nil
}

func (instance *Instance) serve(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout}
	instance.background.Go(func() {
		defer context.AfterFunc(ctx, func() { server.Close() })()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

func (instance *Instance) addEndpoint(ctx context.Context, id peridotpath.EndpointID, service peridotpath.Service) error {
	endpoint, born := &standin.Endpoint{ID: id, Service: service, Slots: 16, OnExecution: instance.handleExecution}, time.Now()
	instance.endpoints[id] = endpoint
	address, err := instance.serve(ctx, endpoint)
	if err != nil {
		return err
	}
	instance.background.Go(func() {
		for ctx.Err() == nil {
			instance.store.Put(endpoint.Entry(address, born, false))
			sleep(ctx, renewInterval)
		}
	})
	return nil
}

func (instance *Instance) handleExecution(execution standin.Execution) {
	if instance.OnExecution != nil {
		instance.OnExecution(execution)
	}
}

// WriteRouting writes the routing under a new version, with changes.
func (instance *Instance) WriteRouting(changes ...standin.RoutingChange) {
	instance.version++
	instance.store.Put(standin.RoutingKey, standin.Routing(instance.version, engineService, plainService, customerKeys, changes...))
}

// Start starts a new process.
func (instance *Instance) Start() error {
	settings := filepath.Join(instance.folder, "settings")
	text, arguments := standin.Settings(instanceID, instance.Limits, instance.Callers, instance.Readiness, instance.storeAt, instance.Peers.Port()-1), []string{"relay"}
	if instance.IsServe {
		text, arguments = instance.serveSettings(), []string{"serve", "-settings", settings}
	}
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(instance.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	instance.command = exec.Command(instance.binary, arguments...)
	instance.command.Env = append(os.Environ(), standin.SettingsVariable+"="+settings)
	instance.command.Stdout, instance.command.Stderr = log, log
	if err := instance.command.Start(); err != nil {
		return err
	}
	instance.exited = make(chan struct{})
	go func() {
		_ = instance.command.Wait()
		close(instance.exited)
	}()
	return nil
}

// serveSettings returns the settings of `peridotd serve`, whose smallest budget of bodies leaves its
// memory to the connections.
func (instance *Instance) serveSettings() string {
	return fmt.Sprintf(`{"instance_id": %q, "data_centre": "a", "caller_address": %q, "peer_address": %q, "key_value_address": %q, "membership_address": %q,
"limits": {"body_memory_bytes": 16777216, "max_body_bytes": 1048576}}`, instanceID, instance.Callers, instance.Peers, instance.storeAt, instance.Metrics)
}

// LogFile returns the path of the log.
func (instance *Instance) LogFile() string { return filepath.Join(instance.folder, "log") }

// IsAlive reports whether the process runs.
func (instance *Instance) IsAlive() bool {
	select {
	case <-instance.exited:
		return false
	default:
		return true
	}
}

// Stop stops the process by SIGTERM and reports whether it ended by itself.
func (instance *Instance) Stop() bool {
	_ = instance.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-instance.exited:
		return true
	case <-time.After(stopTimeout):
		return false
	}
}

// Close ends the process and the stand-ins.
func (instance *Instance) Close() {
	if instance.command != nil {
		_ = instance.command.Process.Kill()
		<-instance.exited
	}
	instance.cancel()
	for _, listener := range instance.listeners {
		listener.Close()
	}
	instance.background.Wait()
}

// IsReady asks the readiness port; at `peridotd serve` the probe of its callers' port, which lives
// without a store.
func (instance *Instance) IsReady() bool {
	url := "http://" + instance.Readiness.String() + standin.ReadyPath
	if instance.IsServe {
		url = "http://" + instance.Callers.String() + "/health/live"
	}
	client := http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ServesOrdinary reports whether an ordinary request of each kind gets an endpoint's answer.
func (instance *Instance) ServesOrdinary(ctx context.Context) bool {
	if instance.IsServe {
		return instance.IsReady()
	}
	plain := standin.Request{ID: "ordinary-1", Route: standin.RouteIdempotent, Key: "desk-1", Body: "question", ClientTimeout: requestTimeout}
	stream := standin.Request{ID: "ordinary-2", Route: standin.RouteStream, Key: "desk-1", Body: "question", PromptTokens: 200, ClientTimeout: requestTimeout}
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: requestTimeout}
	for _, request := range []standin.Request{plain, stream} {
		reply, err := standin.Send(ctx, client, instance.Callers, request)
		if err != nil || reply.Status != http.StatusOK || !reply.IsSigned || !reply.IsComplete {
			return false
		}
	}
	return true
}

// PeakMemory returns the largest resident memory that the process has had, in bytes.
func (instance *Instance) PeakMemory() (int64, error) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", instance.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, found := strings.CutPrefix(lines.Text(), "VmHWM:"); found {
			kibibytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(text, "kB")), 10, 64)
			return kibibytes << 10, err
		}
	}
	return 0, fmt.Errorf("read status of the process: no VmHWM")
}

// Descriptors returns the number of descriptors that the process has open.
func (instance *Instance) Descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", instance.command.Process.Pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// Metric returns the value of a metric of the process.
func (instance *Instance) Metric(name string) (float64, error) {
	client := http.Client{Timeout: requestTimeout}
	defer client.CloseIdleConnections()
	address := instance.Metrics
	if instance.IsServe {
		address = instance.Peers
	}
	response, err := client.Get("http://" + address.String() + "/metrics")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			return strconv.ParseFloat(strings.TrimSpace(value), 64)
		}
	}
	return 0, fmt.Errorf("want the metric %s, got none", name)
}
