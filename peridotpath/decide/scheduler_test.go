package decide

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
)

// machine drives a Scheduler with random events and checks its invariants after
// each event.
type machine struct {
	scheduler *Scheduler
	now       time.Time
	customers []*peridotpath.Customer
	profiles  []*peridotpath.Profile
	live      map[peridotpath.EndpointID]bool
	placed    []*Work
	queued    []*Work
	ended     []*Work
	revision  uint64
}

// TestSchedulerStateMachine checks that no order of events loses a queued request
// or leaks the memory accounted to an endpoint: a report after the endpoint was
// removed, a cancel after the placement, a retry while the queue is full. In the
// end all counters are zero.
func TestSchedulerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := newMachine()
		t.Repeat(map[string]func(*rapid.T){
			"submit":    machine.submit,
			"advance":   machine.advance,
			"finish":    machine.finish,
			"retry":     machine.retry,
			"cancel":    machine.cancel,
			"report":    machine.report,
			"endpoints": machine.endpoints,
			"":          machine.checkCounters,
		})
		machine.endAll(t)
	})
}

func newMachine() *machine {
	machine := &machine{scheduler: newScheduler(4), now: epoch, live: map[peridotpath.EndpointID]bool{}}
	for _, endpoint := range newEndpoints(4) {
		machine.live[endpoint.ID] = true
	}
	for _, name := range []string{"large", "small", "tiny"} {
		machine.customers = append(machine.customers, newCustomer(name))
	}
	machine.customers[2].MaxConcurrent = 3
	machine.profiles = []*peridotpath.Profile{
		newProfile("line", func(profile *peridotpath.Profile) { profile.MaxQueueMS = 2_000 }),
		newProfile("save", func(profile *peridotpath.Profile) { profile.Idempotent = false; profile.MaxQueued = 3 }),
	}
	return machine
}

func (machine *machine) submit(t *rapid.T) {
	prompt := rapid.SampledFrom([]peridotpath.Tokens{0, 1_000, 6_000, 30_000, 90_000, 200_000, 470_000}).Draw(t, "prompt")
	work := &Work{
		Customer:        rapid.SampledFrom(machine.customers).Draw(t, "customer"),
		Profile:         rapid.SampledFrom(machine.profiles).Draw(t, "profile"),
		Class:           peridotpath.ClassOf(prompt, 0),
		PromptTokens:    prompt,
		MaxOutputTokens: 100,
		Prefixes:        []uint64{uint64(prompt)},
		ArrivedAt:       machine.now,
		Deadline:        machine.now.Add(time.Minute),
	}
	machine.recordDecision(t, machine.scheduler.Submit(machine.now, work))
}

// recordDecision records a decision and checks the guarantees of its verdict.
func (machine *machine) recordDecision(t *rapid.T, decision Decision) {
	work := decision.Work
	machine.queued = without(machine.queued, work)
	switch decision.Verdict {
	case Place:
		if !machine.live[decision.Endpoint.ID] {
			t.Fatalf("placed on %s, which is not live", decision.Endpoint.ID)
		}
		if work.Endpoint != decision.Endpoint.ID || work.Attempts > work.Profile.MaxAttempts {
			t.Fatalf("endpoint %s, %d attempts", work.Endpoint, work.Attempts)
		}
		machine.placed = append(machine.placed, work)
	case Wait:
		machine.queued = append(machine.queued, work)
	case Refuse:
		if decision.Result == nil {
			t.Fatalf("refusal has no result")
		}
	}
}

func (machine *machine) advance(t *rapid.T) {
	machine.now = machine.now.Add(time.Duration(rapid.IntRange(1, 3_000).Draw(t, "ms")) * time.Millisecond)
	for _, decision := range machine.scheduler.DispatchQueued(machine.now) {
		machine.recordDecision(t, decision)
	}
}

// drawWork draws one of works, or nil if there are none.
func drawWork(t *rapid.T, works []*Work) *Work {
	if len(works) == 0 {
		return nil
	}
	return works[rapid.IntRange(0, len(works)-1).Draw(t, "which")]
}

func (machine *machine) finish(t *rapid.T) {
	work := drawWork(t, machine.placed)
	if work == nil {
		return
	}
	if rapid.Bool().Draw(t, "first token") {
		machine.scheduler.RecordFirstToken(machine.now, work)
	}
	outcome := rapid.SampledFrom([]Outcome{Finished, Finished, Rejected, NotConnected, CutOff, Failed, Abandoned}).Draw(t, "outcome")
	machine.scheduler.EndAttempt(machine.now, work, outcome, 10)
	machine.placed = without(machine.placed, work)
	machine.ended = append(machine.ended, work)
}

func (machine *machine) retry(t *rapid.T) {
	work := drawWork(t, machine.ended)
	if work == nil {
		return
	}
	machine.ended = without(machine.ended, work)
	unsafe := work.outcome == Failed && !work.Profile.Idempotent
	decision := machine.scheduler.Retry(machine.now, work, failedResult)
	if unsafe && decision.Verdict != Refuse {
		t.Fatalf("non-idempotent work that may have run was retried")
	}
	machine.recordDecision(t, decision)
}

func (machine *machine) cancel(t *rapid.T) {
	if work := drawWork(t, machine.queued); work != nil {
		machine.scheduler.Cancel(machine.now, work)
		machine.queued = without(machine.queued, work)
	}
}

func (machine *machine) report(t *rapid.T) {
	machine.revision++
	load := idleLoad(machine.now.Add(-time.Duration(rapid.IntRange(0, 9_000).Draw(t, "lag")) * time.Millisecond))
	load.KVUsed = peridotpath.Tokens(rapid.Int64Range(0, int64(engineKV)).Draw(t, "used"))
	load.PrefillTokens = peridotpath.Tokens(rapid.Int64Range(0, 300_000).Draw(t, "ahead"))
	load.Revision = machine.revision
	machine.scheduler.ApplyReport(machine.now, rapid.SampledFrom(newEndpoints(5)).Draw(t, "endpoint").ID, load)
}

func (machine *machine) endpoints(t *rapid.T) {
	var endpoints []peridotpath.Endpoint
	machine.live = map[peridotpath.EndpointID]bool{}
	for _, endpoint := range newEndpoints(5) {
		switch rapid.IntRange(0, 3).Draw(t, "fate") {
		case 0:
			continue
		case 1:
			endpoint.State = peridotpath.StateLeaving
		default:
			machine.live[endpoint.ID] = true
		}
		endpoints = append(endpoints, endpoint)
	}
	machine.scheduler.SetEndpoints(machine.now, endpoints)
}

// checkCounters compares the Scheduler's counters with the recorded work.
func (machine *machine) checkCounters(t *rapid.T) {
	if want, have := len(machine.queued), int(machine.scheduler.totalQueued.Load()); want != have {
		t.Fatalf("%d requests are queued, counter is %d", want, have)
	}
	if len(machine.queued) > 0 && machine.scheduler.NextDispatch().IsZero() {
		t.Fatalf("work is queued and nothing is due")
	}
	var active int64
	for _, customer := range machine.scheduler.customers.inOrder {
		active += customer.activeCount.Load()
	}
	if want := int64(len(machine.queued) + len(machine.placed)); active != want {
		t.Fatalf("%d requests are active, counter is %d", want, active)
	}
	sums := map[*state]totals{}
	for _, work := range machine.placed {
		sum := sums[work.placement.member.state]
		sum.runningCount++
		sum.reservedKV += work.placement.reservedKV
		sums[work.placement.member.state] = sum
	}
	for state, sum := range sums {
		have := state.ledger.current()
		if have.runningCount != sum.runningCount || have.reservedKV+have.longKV != sum.reservedKV {
			t.Fatalf("totals are %+v, want %+v", have, sum)
		}
	}
}

// endAll ends all work and checks that all counters are zero.
func (machine *machine) endAll(t *rapid.T) {
	for _, work := range machine.placed {
		machine.scheduler.EndAttempt(machine.now, work, Finished, 10)
	}
	for _, work := range machine.queued {
		machine.scheduler.Cancel(machine.now, work)
	}
	for _, member := range *machine.scheduler.members.Load() {
		remaining := member.ledger.current()
		if remaining.runningCount != 0 || remaining.reservedKV != 0 || remaining.longKV != 0 || member.pendingUpTo(band(bandCount-1)) != 0 {
			t.Fatalf("%s has remaining totals %+v", member.ID, remaining)
		}
	}
	if machine.scheduler.totalQueued.Load() != 0 || !machine.scheduler.NextDispatch().IsZero() {
		t.Fatalf("work is still queued or due")
	}
}
