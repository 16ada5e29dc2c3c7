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

// The users' promise: what lives is back in the store so soon after its return.
const backWithin = 2 * time.Second

// fleetMachine drives endpoints that come, leave and crash, a store that is away
// for a while, and an instance that reads it or is cut off from it.
type fleetMachine struct {
	now       time.Duration
	directory *directory.Directory
	endpoints []*machineEndpoint
	// away says that nobody reads the store, returned when it came back last.
	away     bool
	returned time.Duration
	// read is what the instance has read last.
	read map[peridotpath.EndpointID]peridotpath.State
}

type machineEndpoint struct {
	peridotpath.Endpoint
	// listed says that the store names it.
	listed bool
	// gone says that it does not live any more.
	gone bool
}

func newFleetMachine() *fleetMachine {
	machine := &fleetMachine{now: time.Minute, directory: &directory.Directory{Log: zerolog.Nop()}}
	for range 3 {
		machine.join(nil)
	}
	machine.look(nil)
	return machine
}

func (machine *fleetMachine) join(*rapid.T) {
	if machine.away {
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
	if picked := machine.pick(random); !machine.away && picked.listed {
		picked.State = peridotpath.StateLeaving
	}
}

// crash ends an endpoint; its entry lapses at once.
func (machine *fleetMachine) crash(random *rapid.T) {
	picked := machine.pick(random)
	picked.gone, picked.listed = true, false
}

// wait lets time pass, with peers reading the store all the while.
func (machine *fleetMachine) wait(random *rapid.T) {
	machine.pass(time.Duration(rapid.IntRange(1, 3000).Draw(random, "wait_ms")) * time.Millisecond)
}

func (machine *fleetMachine) pass(span time.Duration) {
	const peerLooks = 500 * time.Millisecond
	for ; span > 0; span -= peerLooks {
		machine.now += min(span, peerLooks)
		if !machine.away {
			machine.directory.Seen(machine.now)
		}
	}
	if !machine.away && machine.now-machine.returned >= backWithin {
		for _, endpoint := range machine.endpoints {
			endpoint.listed = endpoint.listed || !endpoint.gone
		}
	}
}

// outage takes the store away for longer than entries last, and brings it back
// without some of the entries of endpoints that live.
func (machine *fleetMachine) outage(random *rapid.T) {
	machine.away = true
	machine.pass(time.Duration(rapid.IntRange(4000, 20_000).Draw(random, "outage_ms")) * time.Millisecond)
	for _, endpoint := range machine.endpoints {
		if endpoint.listed && rapid.Bool().Draw(random, "lapsed "+string(endpoint.ID)) {
			endpoint.listed = false
		}
	}
	machine.away, machine.returned = false, machine.now
	machine.look(random)
}

// look reads the store.
func (machine *fleetMachine) look(*rapid.T) {
	if machine.away {
		return
	}
	machine.read = map[peridotpath.EndpointID]peridotpath.State{}
	var entries []peridotpath.Endpoint
	for _, endpoint := range machine.endpoints {
		if endpoint.listed {
			entries = append(entries, endpoint.Endpoint)
			machine.read[endpoint.ID] = endpoint.State
		}
	}
	machine.directory.Apply(entries, machine.now)
	machine.checkReading()
}

// wrong is what a check found; rapid shows the steps that led there.
type wrong string

func (machine *fleetMachine) checkReading() {
	used := map[peridotpath.EndpointID]bool{}
	for _, member := range machine.directory.Current().Of("llm") {
		used[member.ID] = true
		state, named := machine.read[member.ID]
		switch {
		case named && state != peridotpath.StateLive:
			panic(wrong(fmt.Sprintf("%s leaves and is used", member.ID)))
		case !named && (machine.returned == 0 || machine.now-machine.returned > backWithin+500*time.Millisecond):
			panic(wrong(fmt.Sprintf("%s is missing and used, %s after an outage", member.ID, machine.now-machine.returned)))
		}
	}
	for id, state := range machine.read {
		if state == peridotpath.StateLive && !used[id] {
			panic(wrong(fmt.Sprintf("%s lives and is not used", id)))
		}
	}
}

// Endpoints leave, crash and lapse while the store is away, once and again. None
// that leaves is sent anything after it was read to leave, none that is missing is
// used unless an outage excuses it, and all that live are used.
func TestRandomDrainingAndOutages(t *testing.T) {
	soak.Check(t, 5, func(random *rapid.T) {
		machine := newFleetMachine()
		random.Repeat(map[string]func(*rapid.T){
			"join": machine.join, "leave": machine.leave, "crash": machine.crash, "wait": machine.wait,
			"outage": machine.outage, "look": machine.look,
		})
	})
}
