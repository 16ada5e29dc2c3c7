package config_test

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/keyvalue"
)

// machine drives a fleet through random changes and faults, and holds what is
// seen against the plain rules of the package.
type machine struct {
	fleet *fleet
	// loseBefore and loseAfter count swaps whose call or answer will be lost.
	loseBefore, loseAfter atomic.Int32
	// lastWords takes the platform down with the next lost call or answer.
	lastWords atomic.Bool

	drawn int // how many changes were drawn

	mu       sync.Mutex
	changes  map[config.ChangeID]config.Change
	accepted map[config.ChangeID]config.Accepted
	refused  map[config.ChangeID]error
	unsure   map[config.ChangeID]bool
	// events is every change that was ever seen in a document's history.
	events map[config.DocumentName]map[peridotpath.Revision]config.ChangeID
	seen   map[*config.Store]config.Revisions
}

func newMachine() *machine {
	machine := &machine{
		fleet:    newFleet(4, 2),
		changes:  map[config.ChangeID]config.Change{},
		accepted: map[config.ChangeID]config.Accepted{},
		refused:  map[config.ChangeID]error{},
		unsure:   map[config.ChangeID]bool{},
		events:   map[config.DocumentName]map[peridotpath.Revision]config.ChangeID{},
		seen:     map[*config.Store]config.Revisions{},
	}
	machine.fleet.memory.Fault = machine.fault
	return machine
}

func (machine *machine) fault(_ context.Context, call, _ string, applied bool) error {
	counter := &machine.loseBefore
	if applied {
		counter = &machine.loseAfter
	}
	if call == "swap" && counter.Load() > 0 {
		counter.Add(-1)
		if machine.lastWords.Swap(false) {
			machine.fleet.down.Store(true)
		}
		return keyvalue.ErrUnavailable.New("lost")
	}
	return nil
}

// submit sends one change to an instance and notes its outcome.
func (machine *machine) submit(instance *instance, change config.Change) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	machine.mu.Lock()
	machine.changes[change.ID] = change
	machine.mu.Unlock()
	accepted, err := instance.store().Change(ctx, change)
	machine.mu.Lock()
	defer machine.mu.Unlock()
	switch {
	case err == nil:
		machine.accepted[change.ID] = accepted
	case config.ErrUnknown.Has(err):
		machine.unsure[change.ID] = true
	case !machine.unsure[change.ID] && machine.accepted[change.ID] == (config.Accepted{}):
		// A refusal speaks of its own try; an earlier one may have taken effect.
		machine.refused[change.ID] = err
	}
}

// draw returns a random change on one of a few items, with a base that is right,
// stale or AnyRevision.
func (machine *machine) draw(t *rapid.T, instance *instance) config.Change {
	machine.drawn++
	id := fmt.Sprintf("change-%d", machine.drawn)
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	change := putProfile(id, name, 0, peridotpath.Millis(rapid.IntRange(100, 999).Draw(t, "deadline")))
	if rapid.Bool().Draw(t, "customer") {
		change = putCustomer(id, name, name)
	}
	if rapid.IntRange(0, 4).Draw(t, "delete") == 0 {
		change.Value = nil
	}
	if snapshot := instance.store().Current(); snapshot != nil {
		if item, _ := snapshot.Item(change.Kind, name); item != nil {
			change.Base = item.Revision
		}
	}
	if rapid.IntRange(0, 4).Draw(t, "any") == 0 {
		change.Base = config.AnyRevision
	}
	return change
}

func (machine *machine) instance(t *rapid.T, label string) *instance {
	return rapid.SampledFrom(machine.fleet.instances).Draw(t, label)
}

// actions are what may happen, in any order.
func (machine *machine) actions() map[string]func(*rapid.T) {
	toggle := func(flag *atomic.Bool) { flag.Store(!flag.Load()) }
	return map[string]func(*rapid.T){
		"change": func(t *rapid.T) {
			instance := machine.instance(t, "instance")
			machine.submit(instance, machine.draw(t, instance))
		},
		"race": func(t *rapid.T) {
			var group sync.WaitGroup
			for range 3 {
				instance := machine.instance(t, "instance")
				change := machine.draw(t, instance)
				group.Go(func() { machine.submit(instance, change) })
			}
			group.Wait()
		},
		"repeat": func(t *rapid.T) {
			var unsure []string
			for id := range machine.changes {
				if machine.refused[id] == nil {
					unsure = append(unsure, string(id))
				}
			}
			if len(unsure) == 0 {
				t.Skip("nothing to repeat")
			}
			id := config.ChangeID(rapid.SampledFrom(sorted(unsure)).Draw(t, "id"))
			machine.submit(machine.instance(t, "instance"), machine.changes[id])
		},
		"lose answers": func(t *rapid.T) { machine.loseAfter.Store(int32(rapid.IntRange(1, 3).Draw(t, "count"))) },
		"lose calls":   func(t *rapid.T) { machine.loseBefore.Store(int32(rapid.IntRange(1, 3).Draw(t, "count"))) },
		"lose one and go down": func(*rapid.T) {
			machine.loseAfter.Store(1)
			machine.lastWords.Store(true)
		},
		"late watches": func(t *rapid.T) { machine.fleet.slow.Store(int64(rapid.IntRange(1, 9).Draw(t, "answers"))) },
		"platform":     func(*rapid.T) { toggle(&machine.fleet.down) },
		"cut":          func(t *rapid.T) { toggle(&machine.instance(t, "instance").cut) },
		"astray":       func(t *rapid.T) { toggle(&machine.instance(t, "instance").astray) },
		"hang":         func(*rapid.T) { toggle(&machine.fleet.hung) },
		"restart": func(t *rapid.T) {
			instance := machine.instance(t, "instance")
			instance.stop()
			instance.renew()
			_ = instance.start() // fails where nobody is reached
		},
		"wait": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond)
		},
		"": machine.check,
	}
}

// check looks at every instance and at the platform after each action.
func (machine *machine) check(t *rapid.T) {
	for i, instance := range machine.fleet.instances {
		store := instance.store()
		now := store.Applied()
		for document, revision := range machine.seen[store] {
			if now[document] < revision {
				t.Fatalf("instance %d went from revision %d of %s back to %d", i, revision, document, now[document])
			}
		}
		machine.seen[store] = now
	}
	for _, document := range machine.documents(t) {
		machine.record(t, document)
	}
	for id, accepted := range machine.accepted {
		if have := machine.events[accepted.Document][accepted.Revision]; have != id {
			t.Fatalf("%s was accepted as revision %d of %s, which is %q", id, accepted.Revision, accepted.Document, have)
		}
	}
}

// document is a stored document as the test reads it.
type document struct {
	name     config.DocumentName
	Revision peridotpath.Revision `json:"revision"`
	Items    []config.Item        `json:"items"`
	History  []config.Event       `json:"history"`
}

// documents reads the platform past all faults.
func (machine *machine) documents(t *rapid.T) []document {
	entries, _, err := machine.fleet.platform.List(context.Background(), config.KeyPrefix)
	if err != nil {
		t.Fatal(err)
	}
	documents := make([]document, len(entries))
	for i, entry := range entries {
		documents[i].name = config.DocumentName(entry.Key[len(config.KeyPrefix):])
		if err := json.Unmarshal(entry.Value, &documents[i]); err != nil {
			t.Fatal(err)
		}
	}
	return documents
}

// record notes a document's history. A revision is one change for good, and a
// change is one revision.
func (machine *machine) record(t *rapid.T, document document) {
	events := machine.events[document.name]
	if events == nil {
		events = map[peridotpath.Revision]config.ChangeID{}
		machine.events[document.name] = events
	}
	for _, event := range document.History {
		if before, ok := events[event.Revision]; ok && before != event.ID {
			t.Fatalf("revision %d of %s was %s and is %s", event.Revision, document.name, before, event.ID)
		}
		events[event.Revision] = event.ID
	}
	times := map[config.ChangeID]int{}
	for _, id := range events {
		if times[id]++; times[id] > 1 {
			t.Fatalf("%s took effect more than once", id)
		}
	}
}

// finish ends all faults and checks where the fleet has come to.
func (machine *machine) finish(t *rapid.T) {
	machine.loseBefore.Store(0)
	machine.loseAfter.Store(0)
	machine.lastWords.Store(false)
	machine.fleet.slow.Store(0)
	machine.fleet.down.Store(false)
	machine.fleet.hung.Store(false)
	for _, instance := range machine.fleet.instances {
		instance.cut.Store(false)
		instance.astray.Store(false)
	}
	// The longest pause, then a poll that hangs to its end.
	time.Sleep(17 * time.Second)
	machine.check(t)
	documents := machine.documents(t)
	for i, instance := range machine.fleet.instances {
		if !instance.store().Ready() {
			t.Fatalf("instance %d is not ready", i)
		}
		for _, document := range documents {
			if have := instance.store().Applied()[document.name]; have != document.Revision {
				t.Fatalf("instance %d has revision %d of %s, not %d", i, have, document.name, document.Revision)
			}
		}
	}
	for _, document := range documents {
		machine.replay(t, document)
	}
}

// replay makes all changes of a document again, in order, on a plain map: none
// may have overwritten what its operator did not see, none that was refused may
// be among them, and what comes out is what is stored.
func (machine *machine) replay(t *rapid.T, document document) {
	items := map[string]peridotpath.Revision{}
	for revision := peridotpath.Revision(1); revision <= document.Revision; revision++ {
		id := machine.events[document.name][revision]
		change := machine.changes[id]
		if err := machine.refused[id]; err != nil {
			t.Fatalf("%s took effect but its operator was told %v", id, err)
		}
		if change.Base != config.AnyRevision && change.Base != items[change.Name] {
			t.Fatalf("%s is based on revision %d and overwrote %d", id, change.Base, items[change.Name])
		}
		items[change.Name] = revision
		if change.Value == nil {
			delete(items, change.Name)
		}
	}
	if len(items) != len(document.Items) {
		t.Fatalf("%s holds %d items, not %d", document.name, len(document.Items), len(items))
	}
	for _, item := range document.Items {
		if items[item.Name] != item.Revision {
			t.Fatalf("%s of %s is at revision %d, not %d", item.Name, document.name, item.Revision, items[item.Name])
		}
	}
}

// TestRandomFaults puts four instances through random changes, races, lost calls
// and answers, outages, cuts and restarts. CI takes one seed; -rapid.seed and
// -rapid.checks take others.
func TestRandomFaults(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := errors.Join(flag.Set("rapid.seed", "1"), flag.Set("rapid.checks", "500"), flag.Set("rapid.nofailfile", "true")); err != nil {
			t.Fatal(err)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		// The plain T has a Deadline, which a bubble refuses to tell.
		rapid.Check(struct{ testing.TB }{t}, func(t *rapid.T) {
			machine := newMachine()
			for _, instance := range machine.fleet.instances {
				if err := instance.start(); err != nil {
					t.Fatal(err)
				}
			}
			defer machine.fleet.stop()
			t.Repeat(machine.actions())
			machine.finish(t)
		})
	})
}

func sorted(names []string) []string {
	slices.Sort(names)
	return names
}
