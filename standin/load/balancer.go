package load

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath/outbound"
)

const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
)

// balancer plays the platform's: round robin over the instances whose ready
// probe answered last time.
type balancer struct {
	instances []netip.AddrPort
	ready     []atomic.Bool
	next      atomic.Uint64
}

func newBalancer(instances []netip.AddrPort) *balancer {
	return &balancer{instances: instances, ready: make([]atomic.Bool, len(instances))}
}

// run probes until ctx ends.
func (balancer *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		balancer.probeAll(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(probeInterval):
		}
	}
}

func (balancer *balancer) probeAll(ctx context.Context) {
	var probes sync.WaitGroup
	for i, address := range balancer.instances {
		probes.Go(func() { balancer.ready[i].Store(probe(ctx, address)) })
	}
	probes.Wait()
}

func probe(ctx context.Context, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/health/ready", nil)
	if err != nil {
		return false
	}
	response, err := outbound.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until count instances are ready, or until ctx ends.
func (balancer *balancer) awaitReady(ctx context.Context, count int) error {
	for {
		balancer.probeAll(ctx)
		ready := 0
		for i := range balancer.ready {
			if balancer.ready[i].Load() {
				ready++
			}
		}
		if ready >= count {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(probeInterval):
		}
	}
}

// pick returns the next ready instance, other than the one to avoid if there is
// another; without any ready one it returns the next of all.
func (balancer *balancer) pick(avoid netip.AddrPort) netip.AddrPort {
	count := uint64(len(balancer.instances))
	start := balancer.next.Add(1)
	found := netip.AddrPort{}
	for i := range count {
		at := (start + i) % count
		if !balancer.ready[at].Load() {
			continue
		}
		found = balancer.instances[at]
		if found != avoid {
			return found
		}
	}
	if !found.IsValid() {
		found = balancer.instances[start%count]
	}
	return found
}
