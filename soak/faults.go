package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"peridotpath.example/platform/standin"
)

// fault is one kind of fault. begin injects it and returns the function that ends it.
type fault struct {
	name  string
	begin func(fleet *fleet, random *rand.Rand) (end func())
}

// faults are the faults that injectFaults draws from. Faults with different targets may
// overlap.
var faults = []fault{
	{"kill", func(fleet *fleet, random *rand.Rand) func() {
		index := random.IntN(len(fleet.instances))
		fleet.instances[index].signal(syscall.SIGKILL)
		return fleet.instances[index].markDisturbed(func() { fleet.restartInstance(index) })
	}},
	{"pause", func(fleet *fleet, random *rand.Rand) func() {
		instance := fleet.instances[random.IntN(len(fleet.instances))]
		instance.signal(syscall.SIGSTOP)
		return instance.markDisturbed(func() { instance.signal(syscall.SIGCONT) })
	}},
	{"stop", func(fleet *fleet, random *rand.Rand) func() {
		index := random.IntN(len(fleet.instances))
		fleet.instances[index].signal(syscall.SIGTERM)
		return fleet.instances[index].markDisturbed(func() {
			fleet.instances[index].wait(standin.StopGracePeriod)
			fleet.restartInstance(index)
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
		proxy := fleet.instances[random.IntN(len(fleet.instances))].StoreProxy
		proxy.setLink(randomLinkFault(random))
		return func() { proxy.setLink(linkHealthy) }
	}},
	{"endpoint_link", func(fleet *fleet, random *rand.Rand) func() {
		proxy := fleet.endpoints[random.IntN(len(fleet.endpoints))].proxy
		proxy.setLink(randomLinkFault(random))
		return func() { proxy.setLink(linkHealthy) }
	}},
	{"broken_streams", func(fleet *fleet, random *rand.Rand) func() {
		endpoint := fleet.endpoints[random.IntN(engineCount)]
		endpoint.setBreaksStreams(true)
		return func() { endpoint.setBreaksStreams(false) }
	}},
	{"late_orders", func(fleet *fleet, random *rand.Rand) func() {
		endpoint := fleet.endpoints[random.IntN(engineCount)]
		endpoint.SetOrderDelay(time.Duration(2+random.IntN(4)) * time.Second)
		return func() { endpoint.SetOrderDelay(0) }
	}},
	{"leaving", func(fleet *fleet, random *rand.Rand) func() {
		endpoint := fleet.endpoints[random.IntN(engineCount)]
		fleet.setLeaving(endpoint, true)
		return func() { fleet.setLeaving(endpoint, false) }
	}},
	{"change", func(fleet *fleet, _ *rand.Rand) func() {
		fleet.changeRouting()
		return fleet.changeRouting
	}},
	{"fatal_request", func(fleet *fleet, random *rand.Rand) func() {
		return fleet.repeatFatalRequest(random, fmt.Sprintf("%s %x", fatalPrefix, random.Uint64()))
	}},
	{"limit", func(fleet *fleet, random *rand.Rand) func() { return fleet.setLimit(random) }},
	{"revoke", func(fleet *fleet, random *rand.Rand) func() {
		fleet.revokeOldestKey(customers[random.IntN(len(customers))])
		return func() {}
	}},
}

func randomLinkFault(random *rand.Rand) link {
	return []link{linkSlow, linkBlackhole, linkOneWay, linkReset}[random.IntN(4)]
}

func (endpoint *endpoint) setBreaksStreams(breaking bool) {
	endpoint.mutex.Lock()
	defer endpoint.mutex.Unlock()
	endpoint.breaksStreams = breaking
}

// setLeaving publishes whether an endpoint leaves, and records when the store
// acknowledged it.
func (fleet *fleet) setLeaving(endpoint *endpoint, leaving bool) {
	endpoint.mutex.Lock()
	endpoint.leaving = leaving
	endpoint.mutex.Unlock()
	fleet.publishEndpoint(endpoint)
	fleet.checker.mutex.Lock()
	defer fleet.checker.mutex.Unlock()
	if leaving {
		fleet.checker.leavingSince[endpoint.ID] = time.Now()
	} else {
		delete(fleet.checker.leavingSince, endpoint.ID)
	}
}

// restartInstance waits until the process of an instance has exited, and starts a new one.
func (fleet *fleet) restartInstance(index int) {
	instance := fleet.instances[index]
	instance.wait(time.Second)
	if err := instance.start(fleet.storeProxyAddresses[index]); err != nil {
		fleet.checker.mutex.Lock()
		defer fleet.checker.mutex.Unlock()
		fleet.checker.addViolation("%s does not start: %v", instance.ID, err)
	}
}

const (
	// maxFaultPause bounds the random pause before each attempt to begin a fault, and
	// maxFaultDuration the random time from the beginning of a fault to the call of its end.
	maxFaultPause    = 1500 * time.Millisecond
	maxFaultDuration = 7 * time.Second
)

// injectFaults begins random faults until ctx ends, and returns when all faults have ended.
// It skips a fault whose target already has one.
func (fleet *fleet) injectFaults(ctx context.Context, faults []fault, random *rand.Rand, onFault func(string)) {
	ended := make(chan string, len(faults))
	busyTargets := map[string]bool{}
	for ctx.Err() == nil {
		select {
		case name := <-ended:
			busyTargets[faultTarget(name)] = false
			continue
		case <-time.After(time.Duration(random.Int64N(int64(maxFaultPause)))):
		case <-ctx.Done():
			continue
		}
		fault := faults[random.IntN(len(faults))]
		duration := time.Duration(random.Int64N(int64(maxFaultDuration)))
		if busyTargets[faultTarget(fault.name)] {
			continue
		}
		busyTargets[faultTarget(fault.name)] = true
		fleet.checker.recordDisturbance()
		onFault(fault.name)
		end := fault.begin(fleet, random)
		go func() {
			time.Sleep(duration)
			end()
			fleet.checker.recordDisturbance()
			ended <- fault.name
		}()
	}
	for _, isBusy := range busyTargets {
		if isBusy {
			<-ended
		}
	}
}

// faultTarget returns the target of a fault. Two faults with the same target, such as
// signals to processes, do not overlap.
func faultTarget(name string) string {
	switch name {
	case "kill", "pause", "stop":
		return "process"
	case "store_back":
		return "store"
	case "drain_all":
		return "drain"
	case "cut_off_again_and_again":
		return "cut_off"
	case "silence_beside_versions", "silence_beside_reloads", "silence_beside_changes":
		return "silence"
	}
	return name
}
