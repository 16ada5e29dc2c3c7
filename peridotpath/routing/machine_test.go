package routing_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/soak"
	"peridotpath.example/peridotpath/routing"
)

// keysMachine drives a few instances that read one store and tell each other
// what they know, while operators give keys and take them away. Answers come
// late and out of order; an instance hears nothing for as long as it is not drawn.
type keysMachine struct {
	now       time.Duration
	instances []*routing.State
	// versions holds every state of the store, since when each has been the newest.
	versions []storedRouting
	// takenAt is when a key was taken away; none that is in force is here.
	takenAt map[peridotpath.APIKey]time.Duration
	// answers are on their way to an instance.
	answers []answerUnderWay
}

type storedRouting struct {
	routing *peridotpath.Routing
	since   time.Duration
}

type answerUnderWay struct {
	to      int
	routing *peridotpath.Routing
	// whole says that it brings the routing, and does not only confirm it.
	whole bool
	asked time.Duration
}

const (
	machineInstances = 3
	machineLifetime  = 4500 * time.Millisecond
)

func newKeysMachine() *keysMachine {
	machine := &keysMachine{now: time.Minute, takenAt: map[peridotpath.APIKey]time.Duration{}}
	for range machineInstances {
		machine.instances = append(machine.instances, &routing.State{
			Now: func() time.Duration { return machine.now }, KeyLifetime: machineLifetime, Log: zerolog.Nop(),
		})
	}
	machine.store(map[peridotpath.APIKey]peridotpath.KeyHolder{"key-0": {Customer: "desk"}})
	return machine
}

func (machine *keysMachine) store(keys map[peridotpath.APIKey]peridotpath.KeyHolder) {
	version := peridotpath.RoutingVersion(len(machine.versions) + 1)
	machine.versions = append(machine.versions, storedRouting{&peridotpath.Routing{Version: version, Keys: keys}, machine.now})
}

func (machine *keysMachine) newest() *peridotpath.Routing {
	return machine.versions[len(machine.versions)-1].routing
}

// wait lets time pass, up to more than a key's lifetime.
func (machine *keysMachine) wait(random *rapid.T) {
	machine.now += time.Duration(rapid.IntRange(1, 6000).Draw(random, "wait_ms")) * time.Millisecond
}

// give adds a key that was never there.
func (machine *keysMachine) give(*rapid.T) {
	keys := maps.Clone(machine.newest().Keys)
	keys[peridotpath.APIKey(fmt.Sprintf("key-%d", len(machine.versions)))] = peridotpath.KeyHolder{Customer: "desk"}
	machine.store(keys)
}

// take takes one of the keys away.
func (machine *keysMachine) take(random *rapid.T) {
	keys := maps.Clone(machine.newest().Keys)
	for key := range keys {
		if rapid.Bool().Draw(random, "take "+string(key)) {
			delete(keys, key)
			machine.takenAt[key] = machine.now
		}
	}
	machine.store(keys)
}

// read lets an instance ask the store; what it answers is under way.
func (machine *keysMachine) read(random *rapid.T) {
	machine.answers = append(machine.answers, answerUnderWay{
		to:      rapid.IntRange(0, machineInstances-1).Draw(random, "reader"),
		routing: machine.newest(), whole: rapid.Bool().Draw(random, "whole"), asked: machine.now,
	})
}

// tell lets an instance tell another one what it holds, and how old that is.
func (machine *keysMachine) tell(random *rapid.T) {
	from := machine.instances[rapid.IntRange(0, machineInstances-1).Draw(random, "teller")]
	if table := from.Current(); table != nil {
		machine.answers = append(machine.answers, answerUnderWay{
			to:      rapid.IntRange(0, machineInstances-1).Draw(random, "hearer"),
			routing: table.Routing, whole: rapid.Bool().Draw(random, "whole"), asked: machine.now - from.Age(),
		})
	}
}

// readOld lets the store answer an instance with a state older than the one that
// the instance has: a replica of the store that is behind, or one that lost
// what it had acknowledged.
func (machine *keysMachine) readOld(random *rapid.T) {
	to := rapid.IntRange(0, machineInstances-1).Draw(random, "reader")
	table := machine.instances[to].Current()
	if table == nil || table.Routing.Version < 2 {
		random.Skip("nothing is older")
	}
	old := rapid.IntRange(0, int(table.Routing.Version)-2).Draw(random, "version")
	machine.answers = append(machine.answers, answerUnderWay{
		to: to, routing: machine.versions[old].routing, whole: rapid.Bool().Draw(random, "whole"), asked: machine.now,
	})
}

// arrive brings one of the answers that are under way, in any order.
func (machine *keysMachine) arrive(random *rapid.T) {
	if len(machine.answers) == 0 {
		random.Skip("nothing is under way")
	}
	at := rapid.IntRange(0, len(machine.answers)-1).Draw(random, "answer")
	answer := machine.answers[at]
	machine.answers = append(machine.answers[:at], machine.answers[at+1:]...)
	state := machine.instances[answer.to]
	if answer.whole {
		state.Apply(answer.routing, answer.asked)
	} else {
		state.Confirm(answer.routing.Version, answer.asked)
	}
}

// check holds every instance to the promise: a key is not used later than its
// lifetime after it was taken away.
func (machine *keysMachine) check(random *rapid.T) {
	for number, state := range machine.instances {
		if !state.KeysUsable() {
			continue
		}
		for key, takenAt := range machine.takenAt {
			if _, known := state.Current().Holder(key); known && machine.now-takenAt >= machineLifetime {
				random.Fatalf("instance %d uses %s, taken away %s ago", number, key, machine.now-takenAt)
			}
		}
	}
}

// A key was taken away, and some instance still serves requests that bear it:
// it was cut off, its answers came late or in another order, or a peer said that
// what it holds is the newest. Whatever came, the key's lifetime bounds it.
func TestRandomKeysEndInTime(t *testing.T) {
	soak.Check(t, 5, func(random *rapid.T) {
		machine := newKeysMachine()
		random.Repeat(map[string]func(*rapid.T){
			"wait": machine.wait, "give": machine.give, "take": machine.take, "read": machine.read, "read_old": machine.readOld,
			"tell": machine.tell, "arrive": machine.arrive, "": machine.check,
		})
	})
}
