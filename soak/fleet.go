package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const (
	instanceCount      = 3
	engineCount        = 4
	plainEndpointCount = 2
	// entryRenewInterval is the time between two writes of an endpoint's store entry.
	entryRenewInterval = time.Second

	engineService peridotpath.Service = "llm"
	plainService  peridotpath.Service = "app"
)

// customers are the customers of every run, with keysPerCustomer keys each.
var customers = []peridotpath.CustomerID{"desk", "airline"}

const keysPerCustomer = 3

func customerKey(customer peridotpath.CustomerID, number int) peridotpath.APIKey {
	return peridotpath.APIKey(fmt.Sprintf("%s-%d", customer, number))
}

// fleet is the set-up of one run: real instances, and stand-ins for the store and the
// endpoints.
type fleet struct {
	checker             *checker
	store               *standin.Store
	storeAddress        netip.AddrPort
	storeProxyAddresses []netip.AddrPort
	instances           []*instance
	endpoints           []*endpoint

	mutex          sync.Mutex
	routingVersion int
	// routingChanges are the changes that are made to the routing now.
	routingChanges []standin.RoutingChange
	storeSnapshots []standin.Snapshot
	keys           map[peridotpath.CustomerID][]peridotpath.APIKey
	background     sync.WaitGroup
	// callersLeave makes many callers leave early. It is set before the load begins.
	callersLeave bool
	// probeCount numbers the probes for their request IDs.
	probeCount atomic.Int64
	// renewalPaused stops renewEndpoints from writing entries.
	renewalPaused atomic.Bool
}

// endpoint is a stand-in endpoint behind a proxy.
type endpoint struct {
	*standin.Endpoint
	proxy     *proxy
	address   netip.AddrPort
	startedAt time.Time

	mutex   sync.Mutex
	leaving bool
	// breaksStreams makes the endpoint abort some streams.
	breaksStreams bool
	// down is true between a crash of the endpoint and its restart.
	down bool
}

// buildFleet starts a fleet, with endpoints in each of the data centres in turn. Its instances run
// the binary, with settings and logs in folder.
func buildFleet(ctx context.Context, binary, folder string, dataCentres []peridotpath.DataCentre) (*fleet, error) {
	store := &standin.Store{}
	fleet := &fleet{
		checker: newChecker(store), store: store, routingVersion: 1,
		keys: map[peridotpath.CustomerID][]peridotpath.APIKey{},
	}
	for _, customer := range customers {
		for number := range keysPerCustomer {
			fleet.keys[customer] = append(fleet.keys[customer], customerKey(customer, number+1))
		}
	}
	var err error
	if fleet.storeAddress, err = fleet.serve(ctx, fleet.store); err != nil {
		return nil, err
	}
	for i := range engineCount + plainEndpointCount {
		service := engineService
		if i >= engineCount {
			service = plainService
		}
		if err := fleet.addEndpoint(ctx, peridotpath.EndpointID(fmt.Sprintf("i-%d", i)), service, dataCentres[i%len(dataCentres)]); err != nil {
			return nil, err
		}
	}
	fleet.changeRouting()
	for i := range instanceCount {
		if err := fleet.addInstance(ctx, peridotpath.InstanceID(fmt.Sprintf("edge-%d", i)), binary, folder); err != nil {
			return nil, err
		}
	}
	fleet.runInBackground(func() { fleet.renewEndpoints(ctx) })
	return fleet, nil
}

// runInBackground runs a function in a goroutine that close waits for.
func (fleet *fleet) runInBackground(run func()) { fleet.background.Go(run) }

// serve serves a handler on a free port until ctx ends.
func (fleet *fleet) serve(ctx context.Context, handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, ErrorLog: discard}
	fleet.runInBackground(func() {
		defer context.AfterFunc(ctx, func() { server.Close() })()
		// The server is closed only when ctx ends.
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String()), nil
}

// openProxy starts a proxy to an address.
func (fleet *fleet) openProxy(ctx context.Context, target netip.AddrPort) (*proxy, netip.AddrPort, error) {
	proxy := &proxy{Target: target}
	if err := proxy.listen(); err != nil {
		return nil, proxy.address, err
	}
	// The error is that of ctx.
	fleet.runInBackground(func() { _ = proxy.run(ctx) })
	return proxy, proxy.address, nil
}

func (fleet *fleet) addEndpoint(ctx context.Context, id peridotpath.EndpointID, service peridotpath.Service, dataCentre peridotpath.DataCentre) error {
	endpoint := &endpoint{startedAt: time.Now()}
	endpoint.Endpoint = &standin.Endpoint{
		ID: id, Service: service, DataCentre: dataCentre, Slots: 16,
		OnExecution:       func(execution standin.Execution) { fleet.checker.recordRun(id, execution) },
		ShouldAbortStream: func(request peridotpath.RequestID) bool { return fleet.shouldAbortStream(endpoint, request) },
		IsFatal:           func(execution standin.Execution) bool { return isFatal(execution.Body) },
		Terminate:         func() { fleet.crashEndpoint(ctx, endpoint) },
		OnArrival: func(arrival standin.Arrival) {
			fleet.checker.recordArrival(endpoint, arrival, fleet.endpointsAt(arrival.Helpers))
		},
		OnRateLimit: func(limit string) { fleet.checker.recordNamedLimit(id, limit, time.Now()) },
		OnBackoff: func(request peridotpath.RequestID, retryAfter string) {
			fleet.checker.recordBackoff(id, request, retryAfter, time.Now())
		},
	}
	target, err := fleet.serve(ctx, endpoint.Endpoint)
	if err != nil {
		return err
	}
	endpoint.proxy, endpoint.address, err = fleet.openProxy(ctx, target)
	fleet.endpoints = append(fleet.endpoints, endpoint)
	fleet.publishEndpoint(endpoint)
	return err
}

// shouldAbortStream returns whether an endpoint aborts the stream of a request now.
func (fleet *fleet) shouldAbortStream(endpoint *endpoint, request peridotpath.RequestID) bool {
	endpoint.mutex.Lock()
	aborts := endpoint.breaksStreams && rand.IntN(60) == 0
	endpoint.mutex.Unlock()
	if aborts {
		fleet.checker.recordAbort(request)
	}
	return aborts
}

// endpointsAt returns the endpoints at the addresses.
func (fleet *fleet) endpointsAt(addresses []string) []*endpoint {
	var found []*endpoint
	for _, endpoint := range fleet.endpoints {
		if slices.Contains(addresses, endpoint.address.String()) {
			found = append(found, endpoint)
		}
	}
	return found
}

func (fleet *fleet) addInstance(ctx context.Context, id peridotpath.InstanceID, binary, folder string) error {
	first, err := findFreePorts(7)
	if err != nil {
		return err
	}
	address := instanceAddress(len(fleet.instances))
	storeProxy, storeProxyAddress, err := fleet.openProxy(ctx, fleet.storeAddress)
	if err != nil {
		return err
	}
	instance := &instance{
		ID: id, Binary: binary, Folder: folder, IngressAddress: netip.AddrPortFrom(address, first), ReadinessAddress: netip.AddrPortFrom(address, first+1), FirstPeerPort: first + 2, StoreProxy: storeProxy,
	}
	fleet.instances = append(fleet.instances, instance)
	fleet.storeProxyAddresses = append(fleet.storeProxyAddresses, storeProxyAddress)
	return instance.start(storeProxyAddress)
}

// instanceAddress returns the loopback address of an instance, by which the endpoints' proxies
// tell the instances apart.
func instanceAddress(number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, 1, byte(number + 1)})
}

// publishEndpoint writes an endpoint's entry to the store.
func (fleet *fleet) publishEndpoint(endpoint *endpoint) {
	endpoint.mutex.Lock()
	key, value := endpoint.Entry(endpoint.address, endpoint.startedAt, endpoint.leaving)
	endpoint.mutex.Unlock()
	fleet.store.Put(key, value)
}

// renewEndpoints writes the entries of all live endpoints every entryRenewInterval.
func (fleet *fleet) renewEndpoints(ctx context.Context) {
	ticker := time.NewTicker(entryRenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, endpoint := range fleet.endpoints {
				if !endpoint.isDown() && !fleet.renewalPaused.Load() {
					fleet.publishEndpoint(endpoint)
				}
			}
		}
	}
}

// changeRouting writes the routing under a new version.
func (fleet *fleet) changeRouting() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.routingVersion += 1 + rand.IntN(5)
	fleet.writeRouting()
}

// changeRoutingBriefly writes the routing with a change under a new version, and takes the change
// back after the span.
func (fleet *fleet) changeRoutingBriefly(change standin.RoutingChange, duration time.Duration) {
	fleet.setRoutingChanges(change)
	time.Sleep(duration)
	fleet.setRoutingChanges()
}

func (fleet *fleet) setRoutingChanges(changes ...standin.RoutingChange) {
	fleet.checker.recordRoutingChanges(changes)
	fleet.mutex.Lock()
	fleet.routingChanges = changes
	fleet.mutex.Unlock()
	fleet.changeRouting()
}

func (fleet *fleet) writeRouting() {
	fleet.store.Put(standin.RoutingKey, standin.Routing(fleet.routingVersion, engineService, plainService, fleet.keys, fleet.routingChanges...))
}

// revokeOldestKey revokes a customer's first key, unless it is the only one.
func (fleet *fleet) revokeOldestKey(customer peridotpath.CustomerID) {
	fleet.mutex.Lock()
	list := fleet.keys[customer]
	if len(list) < 2 {
		fleet.mutex.Unlock()
		return
	}
	fleet.keys[customer] = list[1:]
	fleet.mutex.Unlock()
	fleet.changeRouting()
	fleet.checker.mutex.Lock()
	fleet.checker.revokedAt[list[0]] = time.Now()
	fleet.checker.mutex.Unlock()
}

// close kills the instances and waits for the background tasks.
func (fleet *fleet) close(cancel context.CancelFunc) {
	for _, instance := range fleet.instances {
		instance.signal(syscall.SIGCONT)
		instance.signal(syscall.SIGKILL)
		instance.wait(time.Second)
	}
	cancel()
	fleet.background.Wait()
}
