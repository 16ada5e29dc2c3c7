package instance_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/instance"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/relay"
)

// freePorts returns local addresses with free ports.
func freePorts(t *testing.T, count int) []netip.AddrPort {
	t.Helper()
	var addresses []netip.AddrPort
	var open []net.Listener
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, listener)
		addresses = append(addresses, netip.MustParseAddrPort(listener.Addr().String()))
	}
	for _, listener := range open {
		listener.Close()
	}
	return addresses
}

// staticStore returns a store that holds one routing and one endpoint.
func staticStore(endpoint peridotpath.Endpoint) *keyvalue.Store {
	entry, _ := json.Marshal(endpoint)
	return &keyvalue.Store{
		GetIfChanged: func(_ context.Context, key string, expect keyvalue.Version) (keyvalue.Entry, bool, error) {
			return keyvalue.Entry{Key: key, Version: 1, Value: []byte("{}")}, expect != 1, nil
		},
		List: func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) {
			return []keyvalue.Entry{{Key: "one", Value: entry}}, 1, nil
		},
		ListStale: func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) { return nil, 1, nil },
		Grant: func(context.Context, time.Duration) (keyvalue.LeaseID, error) {
			return keyvalue.LeaseID{Number: 1}, nil
		},
		Renew: func(context.Context, keyvalue.LeaseID) error { return nil },
		Swap: func(context.Context, string, keyvalue.Version, []byte, keyvalue.LeaseID) (keyvalue.Version, error) {
			return 2, nil
		},
	}
}

func decodeRouting([]byte) (*peridotpath.Routing, error) {
	return &peridotpath.Routing{Version: 1, Routes: []peridotpath.Route{{
		Name: "r", Host: "127.0.0.1", PathPrefix: "/", Backends: []peridotpath.Backend{{Service: "app", Weight: 1}}, MaxAttempts: 1,
	}}}, nil
}

func decodeEndpoints(entries []keyvalue.Entry) []peridotpath.Endpoint {
	var endpoints []peridotpath.Endpoint
	for _, entry := range entries {
		var endpoint peridotpath.Endpoint
		if json.Unmarshal(entry.Value, &endpoint) == nil {
			endpoints = append(endpoints, endpoint)
		}
	}
	return endpoints
}

// runningInstance is an instance under test with the endpoint that it sends to.
type runningInstance struct {
	settings *instance.Settings
	stop     chan os.Signal
	ended    chan error
	// release, when closed, lets the endpoint answer.
	release chan struct{}
	calls   atomic.Int64
}

// startInstance starts an instance that relays to its endpoint, and waits until it is ready.
func startInstance(t *testing.T, grace time.Duration, changes ...func(*instance.Settings)) *runningInstance {
	t.Helper()
	return startInstanceWithIngress(t, grace, relayingIngress, changes...)
}

// relayingIngress returns a handler that passes each request to the relay.
func relayingIngress(dependencies instance.IngressDependencies) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		incoming := &relay.Request{ID: "r", Path: request.URL.Path, Host: peridotpath.NormalHost(request.Host), ArrivedAt: time.Now()}
		dependencies.Relay.Serve(request.Context(), incoming, &relay.Caller{
			Refuse: func(result peridotpath.Result) { writer.WriteHeader(result.Code.Status()) },
			Answer: func(status int, _ http.Header, body []byte) {
				writer.WriteHeader(status)
				_, _ = writer.Write(body)
			},
		})
	})
}

// startInstanceWithIngress starts an instance with a handler of callers' requests, and waits until
// it is ready.
func startInstanceWithIngress(t *testing.T, grace time.Duration, ingress func(instance.IngressDependencies) http.Handler, changes ...func(*instance.Settings)) *runningInstance {
	t.Helper()
	return startAdaptedInstance(t, grace, func(adapter *instance.Adapter) { adapter.Ingress = ingress }, changes...)
}

// startAdaptedInstance starts an instance with a changed adapter, and waits until it is ready.
func startAdaptedInstance(t *testing.T, grace time.Duration, adapt func(*instance.Adapter), changes ...func(*instance.Settings)) *runningInstance {
	t.Helper()
	addresses := freePorts(t, 5)
	running := &runningInstance{stop: make(chan os.Signal, 1), ended: make(chan error, 1), release: make(chan struct{})}
	running.settings = &instance.Settings{
		InstanceID: "edge-1", DataCentre: "a", CallerAddress: addresses[0], ReadyAddress: addresses[1], PeerAddress: addresses[2], SnapshotAddress: addresses[3],
		MetricsAddress: addresses[4], Grace: grace,
	}
	for _, change := range changes {
		change(running.settings)
	}
	running.settings.Defaults()
	endpoint := peridotpath.Endpoint{ID: "one", Service: "app", State: peridotpath.StateLive, Address: addresses[0], Slots: 5}
	adapter := instance.Adapter{
		Store: staticStore(endpoint), Account: &keyvalue.Account{}, Eras: &keyvalue.EraTracker{}, DecodeRouting: decodeRouting, DecodeEndpoints: decodeEndpoints,
		CompactEndpoints: func(entries []keyvalue.Entry) []keyvalue.Entry { return entries }, ReadyPath: "/ready",
		Send: func(ctx context.Context, _ *relay.Call) (*relay.Answer, error) {
			running.calls.Add(1)
			select {
			case <-running.release:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			return &relay.Answer{Status: 200, Header: http.Header{}, MatchesRequest: true, Body: io.NopCloser(strings.NewReader("done"))}, nil
		},
	}
	adapt(&adapter)
	go func() { running.ended <- instance.New(running.settings, adapter, zerolog.Nop()).Run(running.stop) }()
	for range 1000 {
		if running.status("/ready", running.settings.ReadyAddress) == http.StatusOK {
			return running
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the instance is not ready within 10 s")
	return nil
}

// status returns the status of a GET, or zero without a response.
func (running *runningInstance) status(path string, at netip.AddrPort) int {
	response, err := http.Get(fmt.Sprintf("http://%s%s", at, path))
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// A planned shutdown: readiness fails at once, new requests are still served, running ones
// finish, and the process exits as soon as they have.
func TestPlannedShutdown(t *testing.T) {
	is := is.New(t)
	running := startInstance(t, 4*time.Second)
	answered := make(chan int, 2)
	go func() { answered <- running.status("/x", running.settings.CallerAddress) }()
	for running.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	running.stop <- syscall.SIGTERM
	for running.status("/ready", running.settings.ReadyAddress) == http.StatusOK {
		time.Sleep(time.Millisecond)
	}
	go func() { answered <- running.status("/x", running.settings.CallerAddress) }()
	for running.calls.Load() == 1 {
		time.Sleep(time.Millisecond)
	}
	close(running.release)
	is.Equal(<-answered, http.StatusOK)
	is.Equal(<-answered, http.StatusOK)
	is.NoErr(<-running.ended)
}

func TestSettingsFaults(t *testing.T) {
	is := is.New(t)
	settings := &instance.Settings{RetryRatio: 2, RetrySlack: -1, Memory: 1}
	settings.Defaults()
	faults := settings.Validate()
	is.Equal(len(faults), 5) // two names, the memory, the ratio and the slack
	is.True(!errors.Is(faults.OrNil(), nil))
}

// Another process has the metrics port, which is the same on every machine. Callers are not
// affected: the instance serves, and shuts down without waiting for a listener that never
// opened.
func TestMetricsPortIsTaken(t *testing.T) {
	is := is.New(t)
	var taken net.Listener
	running := startInstance(t, 5*time.Second, func(settings *instance.Settings) {
		var err error
		taken, err = net.Listen("tcp", settings.MetricsAddress.String())
		is.NoErr(err)
	})
	defer taken.Close()
	close(running.release)
	is.Equal(running.status("/x", running.settings.CallerAddress), http.StatusOK)
	running.stop <- os.Interrupt
	is.NoErr(<-running.ended)
}

func TestMetricsAreServed(t *testing.T) {
	is := is.New(t)
	running := startInstance(t, 5*time.Second)
	is.Equal(running.status("/metrics", running.settings.MetricsAddress), http.StatusOK)
	running.stop <- os.Interrupt
	is.NoErr(<-running.ended)
}

// A request outlasts the grace period. The process must exit before it is killed instead of
// waiting for the request. This test comes last: like an exiting process, it leaves
// listeners open, on which go-zero waits forever.
func TestShutdownWithRequestBeyondGrace(t *testing.T) {
	is := is.New(t)
	running := startInstance(t, 2*time.Second)
	defer close(running.release)
	go running.status("/x", running.settings.CallerAddress)
	for running.calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	running.stop <- syscall.SIGTERM
	select {
	case err := <-running.ended:
		is.NoErr(err)
	case <-time.After(20 * time.Second):
		t.Error("the instance did not exit")
	}
}
