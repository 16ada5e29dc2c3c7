package config_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/internal/soak"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/keyvalue"
)

// machineSize is the number of instances that a machine drives.
const machineSize = 4

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
	wrong  []string
}

func (machine *machine) fail(format string, args ...any) {
	machine.wrong = append(machine.wrong, fmt.Sprintf(format, args...))
}

func newMachine() *machine {
	machine := &machine{
		fleet:    newFleet(machineSize, 2),
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

// step is one thing that happens, as drawn before the run.
type step struct {
	action string
	// who are the instances that it happens to.
	who [3]int
	// edits are the changes of those that make one.
	edits [3]edit
	count int
	span  time.Duration
}

// edit is a change of one of four items.
type edit struct {
	customer, deleted bool
	// blind overwrites whatever is there.
	blind    bool
	name     string
	deadline peridotpath.Millis
}

func drawStep(t *rapid.T) step {
	actions := []string{
		"change", "change", "race", "repeat", "lose answers", "lose calls", "lose one and go down", "late watches",
		"platform", "cut", "astray", "hang", "restart", "wait", "wait",
	}
	drawn := step{
		action: rapid.SampledFrom(actions).Draw(t, "action"),
		count:  rapid.IntRange(1, 9).Draw(t, "count"),
		span:   time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond,
	}
	for i := range drawn.who {
		drawn.who[i] = rapid.IntRange(0, machineSize-1).Draw(t, "who")
		drawn.edits[i] = drawEdit(t)
	}
	return drawn
}

func drawEdit(t *rapid.T) edit {
	return edit{
		customer: rapid.Bool().Draw(t, "customer"),
		deleted:  rapid.IntRange(0, 4).Draw(t, "deleted") == 0,
		blind:    rapid.IntRange(0, 4).Draw(t, "blind") == 0,
		name:     rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
		deadline: peridotpath.Millis(rapid.IntRange(100, 999).Draw(t, "deadline")),
	}
}

// change makes an edit into a change on what the instance has in force, which
// may be stale.
func (machine *machine) change(instance *instance, edit edit) config.Change {
	machine.drawn++
	id := fmt.Sprintf("change-%d", machine.drawn)
	change := putProfile(id, edit.name, 0, edit.deadline)
	if edit.customer {
		change = putCustomer(id, edit.name, edit.name)
	}
	if edit.deleted {
		change.Value = nil
	}
	if snapshot := instance.store().Current(); snapshot != nil {
		if item, _ := snapshot.Item(change.Kind, edit.name); item != nil {
			change.Base = item.Revision
		}
	}
	if edit.blind {
		change.Base = config.AnyRevision
	}
	return change
}

// take makes one step happen.
func (machine *machine) take(step step) {
	fleet := machine.fleet
	instance := fleet.instances[step.who[0]]
	switch step.action {
	case "change":
		machine.submit(instance, machine.change(instance, step.edits[0]))
	case "race":
		machine.race(step)
	case "repeat":
		machine.repeat(instance, step.count)
	case "lose answers":
		machine.loseAfter.Store(int32(step.count/3 + 1))
	case "lose calls":
		machine.loseBefore.Store(int32(step.count/3 + 1))
	case "lose one and go down":
		machine.loseAfter.Store(1)
		machine.lastWords.Store(true)
		machine.submit(instance, machine.change(instance, step.edits[0]))
	case "late watches":
		fleet.slow.Store(int64(step.count))
		for i, who := range step.who {
			machine.submit(fleet.instances[who], machine.change(fleet.instances[who], step.edits[i]))
		}
	case "platform":
		toggle(&fleet.down)
	case "cut":
		toggle(&instance.cut)
	case "astray":
		toggle(&instance.astray)
	case "hang":
		toggle(&fleet.hung)
	case "restart":
		instance.stop()
		instance.renew()
		_ = instance.start() // fails where nobody is reached
	default:
		time.Sleep(step.span)
	}
	machine.check()
}

func toggle(flag *atomic.Bool) { flag.Store(!flag.Load()) }

// race makes three changes at the same moment.
func (machine *machine) race(step step) {
	var group sync.WaitGroup
	for i, who := range step.who {
		instance := machine.fleet.instances[who]
		change := machine.change(instance, step.edits[i])
		group.Go(func() { machine.submit(instance, change) })
	}
	group.Wait()
}

// repeat sends one of the changes again that were not refused for sure.
func (machine *machine) repeat(instance *instance, choice int) {
	var open []string
	for id := range machine.changes {
		if machine.refused[id] == nil {
			open = append(open, string(id))
		}
	}
	if len(open) == 0 {
		return
	}
	slices.Sort(open)
	machine.submit(instance, machine.changes[config.ChangeID(open[choice%len(open)])])
}

// check looks at every instance and at the platform after each action.
func (machine *machine) check() {
	for i, instance := range machine.fleet.instances {
		store := instance.store()
		now := store.Applied()
		for document, revision := range machine.seen[store] {
			if now[document] < revision {
				machine.fail("instance %d went from revision %d of %s back to %d", i, revision, document, now[document])
			}
		}
		machine.seen[store] = now
	}
	for _, document := range machine.documents() {
		machine.record(document)
	}
	for id, accepted := range machine.accepted {
		if have := machine.events[accepted.Document][accepted.Revision]; have != id {
			machine.fail("%s was accepted as revision %d of %s, which is %q", id, accepted.Revision, accepted.Document, have)
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
func (machine *machine) documents() []document {
	entries, _, err := machine.fleet.platform.List(context.Background(), config.KeyPrefix)
	if err != nil {
		machine.fail("list: %v", err)
	}
	documents := make([]document, len(entries))
	for i, entry := range entries {
		documents[i].name = config.DocumentName(entry.Key[len(config.KeyPrefix):])
		if err := json.Unmarshal(entry.Value, &documents[i]); err != nil {
			machine.fail("%s: %v", entry.Key, err)
		}
	}
	return documents
}

// record notes a document's history. A revision is one change for good, and a
// change is one revision.
func (machine *machine) record(document document) {
	events := machine.events[document.name]
	if events == nil {
		events = map[peridotpath.Revision]config.ChangeID{}
		machine.events[document.name] = events
	}
	for _, event := range document.History {
		if before, ok := events[event.Revision]; ok && before != event.ID {
			machine.fail("revision %d of %s was %s and is %s", event.Revision, document.name, before, event.ID)
		}
		events[event.Revision] = event.ID
	}
	times := map[config.ChangeID]int{}
	for _, id := range events {
		if times[id]++; times[id] > 1 {
			machine.fail("%s took effect more than once", id)
		}
	}
}

// finish ends all faults and checks where the fleet has come to.
func (machine *machine) finish() {
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
	machine.check()
	documents := machine.documents()
	for i, instance := range machine.fleet.instances {
		if !instance.store().Ready() {
			machine.fail("instance %d is not ready", i)
		}
		for _, document := range documents {
			if have := instance.store().Applied()[document.name]; have != document.Revision {
				machine.fail("instance %d has revision %d of %s, not %d", i, have, document.name, document.Revision)
			}
		}
	}
	for _, document := range documents {
		machine.replay(document)
	}
}

// replay makes all changes of a document again, in order, on a plain map: none
// may have overwritten what its operator did not see, none that was refused may
// be among them, and what comes out is what is stored.
func (machine *machine) replay(document document) {
	items := map[string]peridotpath.Revision{}
	for revision := peridotpath.Revision(1); revision <= document.Revision; revision++ {
		id := machine.events[document.name][revision]
		change := machine.changes[id]
		if err := machine.refused[id]; err != nil {
			machine.fail("%s took effect but its operator was told %v", id, err)
		}
		if change.Base != config.AnyRevision && change.Base != items[change.Name] {
			machine.fail("%s is based on revision %d and overwrote %d", id, change.Base, items[change.Name])
		}
		items[change.Name] = revision
		if change.Value == nil {
			delete(items, change.Name)
		}
	}
	if len(items) != len(document.Items) {
		machine.fail("%s holds %d items, not %d", document.name, len(document.Items), len(items))
	}
	for _, item := range document.Items {
		if items[item.Name] != item.Revision {
			machine.fail("%s of %s is at revision %d, not %d", item.Name, document.name, item.Revision, items[item.Name])
		}
	}
}

// Operators change things through four instances, one by one and at the same
// moment, while calls and answers are lost, watches tell old news, the platform
// goes down, and instances are cut off, hang and restart. No instance may go back,
// no change may overwrite what its operator did not see or take effect twice, no
// operator may be told "not accepted" of one that did, and in the end all agree.
func TestRandomFaults(t *testing.T) {
	soak.Check(t, 5, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawStep), 10, 60).Draw(rt, "script")
		var wrong []string
		virtual.Test(t, func(t *testing.T) {
			machine := newMachine()
			machine.fleet.start(t)
			defer machine.fleet.stop()
			for _, step := range script {
				machine.take(step)
			}
			machine.finish()
			wrong = machine.wrong
		})
		if len(wrong) > 0 {
			rt.Fatal(strings.Join(wrong, "\n"))
		}
	})
}
