package load

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
)

// balancer simulates the platform's load balancer: round robin over the instances whose
// last readiness probe succeeded.
type balancer struct {
	target *Target
	ready  []atomic.Bool
	next   atomic.Uint64
}

func newBalancer(target *Target) *balancer {
	return &balancer{target: target, ready: make([]atomic.Bool, len(target.Instances))}
}

// run probes all instances every probeInterval until ctx ends.
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
	for i, address := range balancer.target.Instances {
		probes.Go(func() { balancer.ready[i].Store(balancer.probe(ctx, address)) })
	}
	probes.Wait()
}

func (balancer *balancer) probe(ctx context.Context, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	response, err := balancer.target.get(ctx, address, "/health/ready")
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

// pick returns the next ready instance, and one other than avoid if possible. If none is
// ready, it returns the next of all instances.
func (balancer *balancer) pick(avoid netip.AddrPort) netip.AddrPort {
	count := uint64(len(balancer.target.Instances))
	start := balancer.next.Add(1)
	found := netip.AddrPort{}
	for i := range count {
		at := (start + i) % count
		if !balancer.ready[at].Load() {
			continue
		}
		found = balancer.target.Instances[at]
		if found != avoid {
			return found
		}
	}
	if !found.IsValid() {
		found = balancer.target.Instances[start%count]
	}
	return found
}
