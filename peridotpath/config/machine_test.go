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

// machineSize is the number of instances in a machine's fleet.
const machineSize = 4

// machine runs random changes and faults against a fleet and checks the package's
// invariants.
type machine struct {
	fleet *fleet
	// loseBefore is the number of later swaps whose call will be lost, and loseAfter the
	// number of those whose reply will be lost.
	loseBefore, loseAfter atomic.Int32
	// downAfterLoss takes the platform down with the next lost call or reply.
	downAfterLoss atomic.Bool

	changeCount int // changes made so far

	mu              sync.Mutex
	changes         map[config.ChangeID]config.Change
	acceptedChanges map[config.ChangeID]config.Accepted
	refusals        map[config.ChangeID]error
	unknownOutcomes map[config.ChangeID]bool
	// events holds every change ever read from a document's history.
	events        map[config.DocumentName]map[peridotpath.Revision]config.ChangeID
	seenRevisions map[*config.Store]config.Revisions
	violations    []string
}

func (machine *machine) fail(format string, args ...any) {
	machine.violations = append(machine.violations, fmt.Sprintf(format, args...))
}

func newMachine() *machine {
	machine := &machine{
		fleet:           newFleet(machineSize, 2),
		changes:         map[config.ChangeID]config.Change{},
		acceptedChanges: map[config.ChangeID]config.Accepted{},
		refusals:        map[config.ChangeID]error{},
		unknownOutcomes: map[config.ChangeID]bool{},
		events:          map[config.DocumentName]map[peridotpath.Revision]config.ChangeID{},
		seenRevisions:   map[*config.Store]config.Revisions{},
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
		if machine.downAfterLoss.Swap(false) {
			machine.fleet.platformDown.Store(true)
		}
		return keyvalue.ErrUnavailable.New("lost")
	}
	return nil
}

// submit makes a change on an instance and records its outcome.
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
		machine.acceptedChanges[change.ID] = accepted
	case config.ErrOutcomeUnknown.Has(err):
		machine.unknownOutcomes[change.ID] = true
	case !machine.unknownOutcomes[change.ID] && machine.acceptedChanges[change.ID] == (config.Accepted{}):
		// A refusal is definite only without an earlier attempt, which may have
		// taken effect.
		machine.refusals[change.ID] = err
	}
}

// step is one randomly drawn action of a run.
type step struct {
	action string
	// targets are the indexes of the affected instances.
	targets [3]int
	// edits are the changes that the targets make.
	edits [3]edit
	count int
	span  time.Duration
}

// edit is a randomly drawn change of one of four items: a customer or a profile that is
// named a or b.
type edit struct {
	customer, deleted bool
	// overwrite disables the conflict check.
	overwrite bool
	name      string
	deadline  peridotpath.Millis
}

func drawStep(t *rapid.T) step {
	actions := []string{
		"change", "change", "race", "repeat", "lose replies", "lose calls", "lose one and go down", "delay watches",
		"toggle platform", "toggle partition", "toggle platform route", "hang", "restart", "wait", "wait",
	}
	drawn := step{
		action: rapid.SampledFrom(actions).Draw(t, "action"),
		count:  rapid.IntRange(1, 9).Draw(t, "count"),
		span:   time.Duration(rapid.IntRange(1, 40_000).Draw(t, "ms")) * time.Millisecond,
	}
	for i := range drawn.targets {
		drawn.targets[i] = rapid.IntRange(0, machineSize-1).Draw(t, "target")
		drawn.edits[i] = drawEdit(t)
	}
	return drawn
}

func drawEdit(t *rapid.T) edit {
	return edit{
		customer:  rapid.Bool().Draw(t, "customer"),
		deleted:   rapid.IntRange(0, 4).Draw(t, "deleted") == 0,
		overwrite: rapid.IntRange(0, 4).Draw(t, "overwrite") == 0,
		name:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
		deadline:  peridotpath.Millis(rapid.IntRange(100, 999).Draw(t, "deadline")),
	}
}

// newChange returns the change for an edit, based on the instance's active revision,
// which may be stale.
func (machine *machine) newChange(instance *instance, edit edit) config.Change {
	machine.changeCount++
	id := fmt.Sprintf("change-%d", machine.changeCount)
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
	if edit.overwrite {
		change.Base = config.AnyRevision
	}
	return change
}

// runStep performs one step and checks the invariants.
func (machine *machine) runStep(step step) {
	fleet := machine.fleet
	instance := fleet.instances[step.targets[0]]
	switch step.action {
	case "change":
		machine.submit(instance, machine.newChange(instance, step.edits[0]))
	case "race":
		machine.changeConcurrently(step)
	case "repeat":
		machine.repeat(instance, step.count)
	case "lose replies":
		machine.loseAfter.Store(int32(step.count/3 + 1))
	case "lose calls":
		machine.loseBefore.Store(int32(step.count/3 + 1))
	case "lose one and go down":
		machine.loseAfter.Store(1)
		machine.downAfterLoss.Store(true)
		machine.submit(instance, machine.newChange(instance, step.edits[0]))
	case "delay watches":
		fleet.delayedWatches.Store(int64(step.count))
		for i, target := range step.targets {
			machine.submit(fleet.instances[target], machine.newChange(fleet.instances[target], step.edits[i]))
		}
	case "toggle platform":
		toggle(&fleet.platformDown)
	case "toggle partition":
		toggle(&instance.isPartitioned)
	case "toggle platform route":
		toggle(&instance.platformUnreachable)
	case "hang":
		toggle(&fleet.firstInstanceHangs)
	case "restart":
		instance.stop()
		instance.replaceStore()
		_ = instance.start() // fails if no source is reachable
	default:
		time.Sleep(step.span)
	}
	machine.check()
}

func toggle(flag *atomic.Bool) { flag.Store(!flag.Load()) }

// changeConcurrently makes three changes at the same time.
func (machine *machine) changeConcurrently(step step) {
	var group sync.WaitGroup
	for i, target := range step.targets {
		instance := machine.fleet.instances[target]
		change := machine.newChange(instance, step.edits[i])
		group.Go(func() { machine.submit(instance, change) })
	}
	group.Wait()
}

// repeat resubmits one of the changes that were not definitely refused.
func (machine *machine) repeat(instance *instance, choice int) {
	var repeatable []string
	for id := range machine.changes {
		if machine.refusals[id] == nil {
			repeatable = append(repeatable, string(id))
		}
	}
	if len(repeatable) == 0 {
		return
	}
	slices.Sort(repeatable)
	machine.submit(instance, machine.changes[config.ChangeID(repeatable[choice%len(repeatable)])])
}

// check checks the invariants on every instance and the platform.
func (machine *machine) check() {
	for i, instance := range machine.fleet.instances {
		store := instance.store()
		now := store.ActiveRevisions()
		for document, revision := range machine.seenRevisions[store] {
			if now[document] < revision {
				machine.fail("instance %d went from revision %d of %s back to %d", i, revision, document, now[document])
			}
		}
		machine.seenRevisions[store] = now
	}
	for _, document := range machine.documents() {
		machine.record(document)
	}
	for id, accepted := range machine.acceptedChanges {
		if have := machine.events[accepted.Document][accepted.Revision]; have != id {
			machine.fail("%s was accepted as revision %d of %s, which is %q", id, accepted.Revision, accepted.Document, have)
		}
	}
}

// document is a stored document, decoded by the test.
type document struct {
	name     config.DocumentName
	Revision peridotpath.Revision `json:"revision"`
	Items    []config.Item        `json:"items"`
	History  []config.Event       `json:"history"`
}

// documents reads the platform's documents without faults.
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

// record adds a document's history to events. It checks that each revision always belongs
// to the same change, and each change to a single revision.
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
	occurrences := map[config.ChangeID]int{}
	for _, id := range events {
		if occurrences[id]++; occurrences[id] > 1 {
			machine.fail("%s took effect more than once", id)
		}
	}
}

// finish ends all faults and checks that the fleet converges.
func (machine *machine) finish() {
	machine.loseBefore.Store(0)
	machine.loseAfter.Store(0)
	machine.downAfterLoss.Store(false)
	machine.fleet.delayedWatches.Store(0)
	machine.fleet.platformDown.Store(false)
	machine.fleet.firstInstanceHangs.Store(false)
	for _, instance := range machine.fleet.instances {
		instance.isPartitioned.Store(false)
		instance.platformUnreachable.Store(false)
	}
	// The maximum backoff, then a poll that hangs until its timeout.
	time.Sleep(17 * time.Second)
	machine.check()
	documents := machine.documents()
	for i, instance := range machine.fleet.instances {
		if !instance.store().Ready() {
			machine.fail("instance %d is not ready", i)
		}
		for _, document := range documents {
			if have := instance.store().ActiveRevisions()[document.name]; have != document.Revision {
				machine.fail("instance %d has revision %d of %s, not %d", i, have, document.name, document.Revision)
			}
		}
	}
	for _, document := range documents {
		machine.replay(document)
	}
}

// replay applies all changes of a document in order to a model map. It checks that no
// change overwrote a revision other than its base, that no refused change took effect,
// and that the result equals the stored document.
func (machine *machine) replay(document document) {
	items := map[string]peridotpath.Revision{}
	for revision := peridotpath.Revision(1); revision <= document.Revision; revision++ {
		id := machine.events[document.name][revision]
		change := machine.changes[id]
		if err := machine.refusals[id]; err != nil {
			machine.fail("%s took effect but was refused with %v", id, err)
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

// Operators make changes on four instances, one by one and concurrently, while calls
// and replies are lost, watch replies are stale, the platform goes down, and instances
// are partitioned, hang and restart. No instance may apply a lower revision, no change
// may overwrite a revision other than its base or take effect twice, no change that
// took effect may be reported as not accepted, and in the end all instances must
// converge.
func TestRandomFaults(t *testing.T) {
	soak.Check(t, 5, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawStep), 10, 60).Draw(rt, "script")
		var violations []string
		virtual.Test(t, func(t *testing.T) {
			machine := newMachine()
			machine.fleet.start(t)
			defer machine.fleet.stop()
			for _, step := range script {
				machine.runStep(step)
			}
			machine.finish()
			violations = machine.violations
		})
		if len(violations) > 0 {
			rt.Fatal(strings.Join(violations, "\n"))
		}
	})
}
