package directory_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/internal/soak"
)

// reregisterWithin is the users' guarantee: after an outage, every running endpoint is back
// in the store within this time.
const reregisterWithin = 2 * time.Second

// fleetMachine is a random state machine of endpoints that join, leave and crash, a store
// with outages, and an instance that reads it or is cut off from it.
type fleetMachine struct {
	now       time.Duration
	directory *directory.Directory
	endpoints []*machineEndpoint
	// outageActive reports whether the store is down for all instances; recoveredAt is when
	// the last outage ended.
	outageActive bool
	recoveredAt  time.Duration
	// lastRead is the last read of the instance.
	lastRead map[peridotpath.EndpointID]peridotpath.State
}

type machineEndpoint struct {
	peridotpath.Endpoint
	// listed reports whether the endpoint has an entry in the store.
	listed bool
	// crashed reports whether the endpoint has crashed.
	crashed bool
}

func newFleetMachine() *fleetMachine {
	machine := &fleetMachine{now: time.Minute, directory: &directory.Directory{Log: zerolog.Nop()}}
	for range 3 {
		machine.join(nil)
	}
	machine.readStore(nil)
	return machine
}

func (machine *fleetMachine) join(*rapid.T) {
	if machine.outageActive {
		return
	}
	number := len(machine.endpoints)
	joined := endpoint(fmt.Sprintf("i-%d", number), byte(number+1))
	machine.endpoints = append(machine.endpoints, &machineEndpoint{Endpoint: joined, listed: true})
}

func (machine *fleetMachine) pick(random *rapid.T) *machineEndpoint {
	return machine.endpoints[rapid.IntRange(0, len(machine.endpoints)-1).Draw(random, "endpoint")]
}

func (machine *fleetMachine) leave(random *rapid.T) {
	if picked := machine.pick(random); !machine.outageActive && picked.listed {
		picked.State = peridotpath.StateLeaving
	}
}

// crash ends an endpoint, whose entry expires at once.
func (machine *fleetMachine) crash(random *rapid.T) {
	picked := machine.pick(random)
	picked.crashed, picked.listed = true, false
}

// wait advances the time, while peers keep reading the store.
func (machine *fleetMachine) wait(random *rapid.T) {
	machine.advance(time.Duration(rapid.IntRange(1, 3000).Draw(random, "wait_ms")) * time.Millisecond)
}

// advance advances the time, and re-registers running endpoints after an outage.
func (machine *fleetMachine) advance(span time.Duration) {
	const peerReadInterval = 500 * time.Millisecond
	for ; span > 0; span -= peerReadInterval {
		machine.now += min(span, peerReadInterval)
		if !machine.outageActive {
			machine.directory.MarkStoreReadable(machine.now)
		}
	}
	if !machine.outageActive && machine.now-machine.recoveredAt >= reregisterWithin {
		for _, endpoint := range machine.endpoints {
			endpoint.listed = endpoint.listed || !endpoint.crashed
		}
	}
}

// outage makes the store unreachable for longer than entries last; some entries of running
// endpoints are missing afterwards.
func (machine *fleetMachine) outage(random *rapid.T) {
	machine.outageActive = true
	machine.advance(time.Duration(rapid.IntRange(4000, 20_000).Draw(random, "outage_ms")) * time.Millisecond)
	for _, endpoint := range machine.endpoints {
		if endpoint.listed && rapid.Bool().Draw(random, "lapsed "+string(endpoint.ID)) {
			endpoint.listed = false
		}
	}
	machine.outageActive, machine.recoveredAt = false, machine.now
	machine.readStore(random)
}

// readStore reads the store and checks the endpoints in use.
func (machine *fleetMachine) readStore(*rapid.T) {
	if machine.outageActive {
		return
	}
	machine.lastRead = map[peridotpath.EndpointID]peridotpath.State{}
	var entries []peridotpath.Endpoint
	for _, endpoint := range machine.endpoints {
		if endpoint.listed {
			entries = append(entries, endpoint.Endpoint)
			machine.lastRead[endpoint.ID] = endpoint.State
		}
	}
	machine.directory.Apply(directory.Listing{Endpoints: entries}, machine.now)
	machine.checkEndpoints()
}

// violation is a failed check, with which the test panics so that rapid prints the steps
// that led to it.
type violation string

// checkEndpoints checks the endpoints in use against the last read.
func (machine *fleetMachine) checkEndpoints() {
	used := map[peridotpath.EndpointID]bool{}
	for _, member := range machine.directory.Current().ForService("llm") {
		used[member.ID] = true
		state, listed := machine.lastRead[member.ID]
		switch {
		case listed && state != peridotpath.StateLive:
			panic(violation(fmt.Sprintf("%s is leaving and in use", member.ID)))
		case !listed && (machine.recoveredAt == 0 || machine.now-machine.recoveredAt > reregisterWithin+500*time.Millisecond):
			panic(violation(fmt.Sprintf("%s is missing and in use %s after an outage", member.ID, machine.now-machine.recoveredAt)))
		}
	}
	for id, state := range machine.lastRead {
		if state == peridotpath.StateLive && !used[id] {
			panic(violation(fmt.Sprintf("%s is live and not in use", id)))
		}
	}
}

// Endpoints leave, crash and lose their entries in repeated outages of the store. No
// endpoint is used once a read shows it as leaving, none is used without an entry unless an
// outage was recent, and all live ones are used.
func TestRandomDrainingAndOutages(t *testing.T) {
	soak.Check(t, 5, func(random *rapid.T) {
		machine := newFleetMachine()
		random.Repeat(map[string]func(*rapid.T){
			"join": machine.join, "leave": machine.leave, "crash": machine.crash, "wait": machine.wait,
			"outage": machine.outage, "look": machine.readStore,
		})
	})
}
