package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"peridotpath.example/platform/standin"
)

// fault is one disturbance. It returns what ends it.
type fault struct {
	name  string
	begin func(fleet *fleet, random *rand.Rand) (end func())
}

// faults are the disturbances that a schedule is drawn from. They come in
// series and overlap.
var faults = []fault{
	{"kill", func(fleet *fleet, random *rand.Rand) func() {
		index := random.IntN(len(fleet.instances))
		fleet.instances[index].signal(syscall.SIGKILL)
		return fleet.instances[index].stir(func() { fleet.restart(index) })
	}},
	{"pause", func(fleet *fleet, random *rand.Rand) func() {
		instance := fleet.instances[random.IntN(len(fleet.instances))]
		instance.signal(syscall.SIGSTOP)
		return instance.stir(func() { instance.signal(syscall.SIGCONT) })
	}},
	{"stop", func(fleet *fleet, random *rand.Rand) func() {
		index := random.IntN(len(fleet.instances))
		fleet.instances[index].signal(syscall.SIGTERM)
		return fleet.instances[index].stir(func() {
			fleet.instances[index].wait(standin.StopGracePeriod)
			fleet.restart(index)
		})
	}},
	{"hang_up", func(fleet *fleet, random *rand.Rand) func() {
		fleet.instances[random.IntN(len(fleet.instances))].signal(syscall.SIGHUP)
		return func() {}
	}},
	{"store", func(fleet *fleet, random *rand.Rand) func() {
		kinds := []standin.StoreFault{standin.StoreRejecting, standin.StoreUnresponsive, standin.StoreReplyLost, standin.StoreSlow}
		fleet.store.SetFault(kinds[random.IntN(len(kinds))])
		return func() { fleet.store.SetFault(standin.StoreHealthy) }
	}},
	{"store_link", func(fleet *fleet, random *rand.Rand) func() {
		proxy := fleet.instances[random.IntN(len(fleet.instances))].Store
		proxy.set(anyLink(random))
		return func() { proxy.set(linkFine) }
	}},
	{"endpoint_link", func(fleet *fleet, random *rand.Rand) func() {
		proxy := fleet.endpoints[random.IntN(len(fleet.endpoints))].proxy
		proxy.set(anyLink(random))
		return func() { proxy.set(linkFine) }
	}},
	{"broken_streams", func(fleet *fleet, random *rand.Rand) func() {
		endpoint := fleet.endpoints[random.IntN(engineCount)]
		endpoint.setBreaking(true)
		return func() { endpoint.setBreaking(false) }
	}},
	{"late_orders", func(fleet *fleet, random *rand.Rand) func() {
		endpoint := fleet.endpoints[random.IntN(engineCount)]
		endpoint.SetOrderDelay(time.Duration(2+random.IntN(4)) * time.Second)
		return func() { endpoint.SetOrderDelay(0) }
	}},
	{"leaving", func(fleet *fleet, random *rand.Rand) func() {
		endpoint := fleet.endpoints[random.IntN(engineCount)]
		fleet.leave(endpoint, true)
		return func() { fleet.leave(endpoint, false) }
	}},
	{"change", func(fleet *fleet, _ *rand.Rand) func() {
		fleet.configure()
		return fleet.configure
	}},
	{"fatal_request", func(fleet *fleet, random *rand.Rand) func() {
		return fleet.repeat(random, fmt.Sprintf("%s %x", fatalBody, random.Uint64()))
	}},
	{"limit", func(fleet *fleet, random *rand.Rand) func() { return fleet.nameLimit(random) }},
	{"revoke", func(fleet *fleet, random *rand.Rand) func() {
		fleet.revoke(customers[random.IntN(len(customers))])
		return func() {}
	}},
}

func anyLink(random *rand.Rand) link {
	return []link{linkSlow, linkSilent, linkOneWay, linkReset}[random.IntN(4)]
}

func (endpoint *endpoint) setBreaking(breaking bool) {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	endpoint.breaking = breaking
}

// leave writes whether an endpoint leaves, and notes when that was acknowledged.
func (fleet *fleet) leave(endpoint *endpoint, leaving bool) {
	endpoint.mutex.Lock()
	endpoint.leaving = leaving
	endpoint.mutex.Unlock()
	fleet.publish(endpoint)
	fleet.checks.mutex.Lock()
	defer fleet.checks.mutex.Unlock()
	if leaving {
		fleet.checks.leaving[endpoint.ID] = time.Now()
	} else {
		delete(fleet.checks.leaving, endpoint.ID)
	}
}

// restart starts an instance anew that has ended.
func (fleet *fleet) restart(index int) {
	instance := fleet.instances[index]
	instance.wait(time.Second)
	if err := instance.start(fleet.stores[index]); err != nil {
		fleet.checks.mutex.Lock()
		defer fleet.checks.mutex.Unlock()
		fleet.checks.breaks("%s does not start: %v", instance.ID, err)
	}
}

const (
	// faultPause is the longest pause between the beginnings of two faults, and
	// faultLength how long one lasts at most.
	faultPause  = 1500 * time.Millisecond
	faultLength = 7 * time.Second
)

// trouble begins faults until ctx ends, and returns when all have ended. Each
// thing is disturbed by one fault at a time.
func (fleet *fleet) trouble(ctx context.Context, faults []fault, random *rand.Rand, tell func(string)) {
	ended := make(chan string, len(faults))
	busy := map[string]bool{}
	for ctx.Err() == nil {
		select {
		case name := <-ended:
			busy[group(name)] = false
			continue
		case <-time.After(time.Duration(random.Int64N(int64(faultPause)))):
		case <-ctx.Done():
			continue
		}
		fault := faults[random.IntN(len(faults))]
		length := time.Duration(random.Int64N(int64(faultLength)))
		if busy[group(fault.name)] {
			continue
		}
		busy[group(fault.name)] = true
		fleet.checks.stir()
		tell(fault.name)
		end := fault.begin(fleet, random)
		go func() {
			time.Sleep(length)
			end()
			fleet.checks.stir()
			ended <- fault.name
		}()
	}
	for _, running := range busy {
		if running {
			<-ended
		}
	}
}

// group names what a fault disturbs: signals to processes exclude each other.
func group(name string) string {
	switch name {
	case "kill", "pause", "stop":
		return "process"
	case "store_back":
		return "store"
	}
	return name
}
