package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const (
	instanceCount = 3
	engineCount   = 4
	plainCount    = 2
	// renewEvery is how often endpoints write their entries anew.
	renewEvery = time.Second

	engines peridotpath.Service = "llm"
	plain   peridotpath.Service = "app"
)

// customers are those of every run, with as many keys each.
var customers = []peridotpath.CustomerID{"desk", "airline"}

const keysEach = 3

func keyOf(customer peridotpath.CustomerID, number int) peridotpath.APIKey {
	return peridotpath.APIKey(fmt.Sprintf("%s-%d", customer, number))
}

// fleet is everything of one run: real instances, and stand-ins around them.
type fleet struct {
	checks    *checks
	store     *standin.Store
	storeAt   netip.AddrPort
	stores    []netip.AddrPort
	instances []*instance
	endpoints []*endpoint

	mutex   sync.Mutex
	version int
	copies  []standin.Snapshot
	keys    map[peridotpath.CustomerID][]peridotpath.APIKey
	tasks   sync.WaitGroup
	// probes counts those sent, for their ids.
	probes atomic.Int64
	// paused stops the endpoints from writing their entries.
	paused atomic.Bool
}

// endpoint is a stand-in behind a proxy.
type endpoint struct {
	*standin.Endpoint
	proxy *proxy
	at    netip.AddrPort
	born  time.Time

	mutex   sync.Mutex
	leaving bool
	// breaking says that its streams break off now and then.
	breaking bool
	// down says that it has ended and is not back.
	down bool
}

// build makes a fleet whose instances run from the binary, with files in folder.
func build(ctx context.Context, binary, folder string) (*fleet, error) {
	fleet := &fleet{
		checks: newChecks(), store: &standin.Store{}, version: 1,
		keys: map[peridotpath.CustomerID][]peridotpath.APIKey{},
	}
	for _, customer := range customers {
		for number := range keysEach {
			fleet.keys[customer] = append(fleet.keys[customer], keyOf(customer, number+1))
		}
	}
	var err error
	if fleet.storeAt, err = fleet.serve(ctx, fleet.store); err != nil {
		return nil, err
	}
	for i := range engineCount + plainCount {
		service := engines
		if i >= engineCount {
			service = plain
		}
		if err := fleet.addEndpoint(ctx, peridotpath.EndpointID(fmt.Sprintf("i-%d", i)), service); err != nil {
			return nil, err
		}
	}
	fleet.configure()
	for i := range instanceCount {
		if err := fleet.addInstance(ctx, peridotpath.InstanceID(fmt.Sprintf("edge-%d", i)), binary, folder); err != nil {
			return nil, err
		}
	}
	fleet.task(func() { fleet.renew(ctx) })
	return fleet, nil
}

// task runs something that ends with the fleet.
func (fleet *fleet) task(run func()) { fleet.tasks.Go(run) }

// serve serves a handler on a free port until ctx ends.
func (fleet *fleet) serve(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, ErrorLog: discard}
	fleet.task(func() {
		defer context.AfterFunc(ctx, func() { server.Close() })()
		// Only the end of ctx closes it.
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// through opens a proxy before an address.
func (fleet *fleet) through(ctx context.Context, target netip.AddrPort) (*proxy, netip.AddrPort, error) {
	proxy := &proxy{Target: target}
	if err := proxy.listen(); err != nil {
		return nil, proxy.at, err
	}
	// It ends with ctx, with the error of that.
	fleet.task(func() { _ = proxy.run(ctx) })
	return proxy, proxy.at, nil
}

func (fleet *fleet) addEndpoint(ctx context.Context, id peridotpath.EndpointID, service peridotpath.Service) error {
	endpoint := &endpoint{born: time.Now()}
	endpoint.Endpoint = &standin.Endpoint{
		ID: id, Service: service, Slots: 16,
		OnExecution: func(run standin.Execution) { fleet.checks.began(id, run) },
		ShouldAbortStream: func() bool {
			endpoint.mutex.Lock()
			defer endpoint.mutex.Unlock()
			return endpoint.breaking && rand.IntN(60) == 0
		},
		IsFatal:   func(run standin.Execution) bool { return fatal(run.Body) },
		Terminate: func() { fleet.end(ctx, endpoint) },
		OnArrival: func(request peridotpath.RequestID) { fleet.checks.arrived(id, request) },
	}
	at, err := fleet.serve(ctx, endpoint.Endpoint)
	if err != nil {
		return err
	}
	endpoint.proxy, endpoint.at, err = fleet.through(ctx, at)
	fleet.endpoints = append(fleet.endpoints, endpoint)
	fleet.publish(endpoint)
	return err
}

func (fleet *fleet) addInstance(ctx context.Context, id peridotpath.InstanceID, binary, folder string) error {
	first, err := ports(7)
	if err != nil {
		return err
	}
	store, at, err := fleet.through(ctx, fleet.storeAt)
	if err != nil {
		return err
	}
	instance := &instance{
		ID: id, Binary: binary, Folder: folder, Callers: loopback(first), Ready: loopback(first + 1), Peers: first + 2, Store: store,
	}
	fleet.instances = append(fleet.instances, instance)
	fleet.stores = append(fleet.stores, at)
	return instance.start(at)
}

// publish writes an endpoint's entry.
func (fleet *fleet) publish(endpoint *endpoint) {
	endpoint.mutex.Lock()
	key, value := endpoint.Entry(endpoint.at, endpoint.born, endpoint.leaving)
	endpoint.mutex.Unlock()
	fleet.store.Put(key, value)
}

// renew writes the entries anew, as endpoints do.
func (fleet *fleet) renew(ctx context.Context) {
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, endpoint := range fleet.endpoints {
				if !endpoint.isDown() && !fleet.paused.Load() {
					fleet.publish(endpoint)
				}
			}
		}
	}
}

// configure writes the routing.
func (fleet *fleet) configure() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.version += 1 + rand.IntN(5)
	fleet.writeRouting()
}

func (fleet *fleet) writeRouting() {
	fleet.store.Put(standin.RoutingKey, standin.Routing(fleet.version, engines, plain, fleet.keys))
}

// revoke takes a customer's first key away, unless it is the last.
func (fleet *fleet) revoke(customer peridotpath.CustomerID) {
	fleet.mutex.Lock()
	list := fleet.keys[customer]
	if len(list) < 2 {
		fleet.mutex.Unlock()
		return
	}
	fleet.keys[customer] = list[1:]
	fleet.mutex.Unlock()
	fleet.configure()
	fleet.checks.mutex.Lock()
	fleet.checks.revoked[list[0]] = time.Now()
	fleet.checks.mutex.Unlock()
}

// close ends what still runs.
func (fleet *fleet) close(cancel context.CancelFunc) {
	for _, instance := range fleet.instances {
		instance.signal(syscall.SIGCONT)
		instance.signal(syscall.SIGKILL)
		instance.wait(time.Second)
	}
	cancel()
	fleet.tasks.Wait()
}
