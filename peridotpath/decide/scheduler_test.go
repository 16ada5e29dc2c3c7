package decide

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
)

// machine drives a Scheduler with random events and holds it to what must be
// true after each of them.
type machine struct {
	scheduler *Scheduler
	now       time.Time
	customers []*peridotpath.Customer
	profiles  []*peridotpath.Profile
	live      map[peridotpath.EndpointID]bool
	placed    []*Work
	waiting   []*Work
	ended     []*Work
	revision  uint64
}

// TestSchedulerStateMachine: a request is lost in the queue, or its memory stays
// charged to an endpoint for ever, when events come in an order that nobody
// thought of: a report after the endpoint left, a cancel after the placement, a
// retry while the queue is full. In the end every count must be back at nothing.
func TestSchedulerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := makeMachine()
		t.Repeat(map[string]func(*rapid.T){
			"submit":    machine.submit,
			"advance":   machine.advance,
			"finish":    machine.finish,
			"retry":     machine.retry,
			"cancel":    machine.cancel,
			"report":    machine.report,
			"endpoints": machine.endpoints,
			"":          machine.check,
		})
		machine.settle(t)
	})
}

func makeMachine() *machine {
	machine := &machine{scheduler: schedulerOf(4), now: epoch, live: map[peridotpath.EndpointID]bool{}}
	for _, endpoint := range endpointsOf(4) {
		machine.live[endpoint.ID] = true
	}
	for _, name := range []string{"large", "small", "tiny"} {
		machine.customers = append(machine.customers, customerOf(name))
	}
	machine.customers[2].MaxConcurrent = 3
	machine.profiles = []*peridotpath.Profile{
		profileOf("line", func(profile *peridotpath.Profile) { profile.MaxQueueMS = 2_000 }),
		profileOf("save", func(profile *peridotpath.Profile) { profile.Idempotent = false; profile.MaxQueued = 3 }),
	}
	return machine
}

func (machine *machine) submit(t *rapid.T) {
	prompt := rapid.SampledFrom([]peridotpath.Tokens{0, 1_000, 6_000, 30_000, 90_000, 200_000, 470_000}).Draw(t, "prompt")
	work := &Work{
		Customer: rapid.SampledFrom(machine.customers).Draw(t, "customer"),
		Profile:  rapid.SampledFrom(machine.profiles).Draw(t, "profile"),
		Class:    peridotpath.ClassOf(prompt, 0),
		Prompt:   prompt,
		Output:   100,
		Prefixes: []uint64{uint64(prompt)},
		Arrived:  machine.now,
		Deadline: machine.now.Add(time.Minute),
	}
	machine.take(t, machine.scheduler.Submit(machine.now, work))
}

// take files a decision, and checks what each verdict promises.
func (machine *machine) take(t *rapid.T, decision Decision) {
	work := decision.Work
	machine.waiting = drop(machine.waiting, work)
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
		machine.waiting = append(machine.waiting, work)
	case Refuse:
		if decision.Result == nil {
			t.Fatalf("refused without a result")
		}
	}
}

func (machine *machine) advance(t *rapid.T) {
	machine.now = machine.now.Add(time.Duration(rapid.IntRange(1, 3_000).Draw(t, "ms")) * time.Millisecond)
	for _, decision := range machine.scheduler.Advance(machine.now) {
		machine.take(t, decision)
	}
}

// pick draws one of the works, or nil.
func pick(t *rapid.T, works []*Work) *Work {
	if len(works) == 0 {
		return nil
	}
	return works[rapid.IntRange(0, len(works)-1).Draw(t, "which")]
}

func (machine *machine) finish(t *rapid.T) {
	work := pick(t, machine.placed)
	if work == nil {
		return
	}
	if rapid.Bool().Draw(t, "first token") {
		machine.scheduler.FirstToken(machine.now, work)
	}
	outcome := rapid.SampledFrom([]Outcome{Finished, Finished, Rejected, Unreached, Failed, Abandoned}).Draw(t, "outcome")
	machine.scheduler.Done(machine.now, work, outcome, 10)
	machine.placed = drop(machine.placed, work)
	machine.ended = append(machine.ended, work)
}

func (machine *machine) retry(t *rapid.T) {
	work := pick(t, machine.ended)
	if work == nil {
		return
	}
	machine.ended = drop(machine.ended, work)
	unsafe := work.outcome == Failed && !work.Profile.Idempotent
	decision := machine.scheduler.Retry(machine.now, work, failure)
	if unsafe && decision.Verdict != Refuse {
		t.Fatalf("work that may have run and may not run twice was retried")
	}
	machine.take(t, decision)
}

func (machine *machine) cancel(t *rapid.T) {
	if work := pick(t, machine.waiting); work != nil {
		machine.scheduler.Cancel(machine.now, work)
		machine.waiting = drop(machine.waiting, work)
	}
}

func (machine *machine) report(t *rapid.T) {
	machine.revision++
	load := idle(machine.now.Add(-time.Duration(rapid.IntRange(0, 9_000).Draw(t, "lag")) * time.Millisecond))
	load.KVUsed = peridotpath.Tokens(rapid.Int64Range(0, int64(engineMemory)).Draw(t, "used"))
	load.PrefillTokens = peridotpath.Tokens(rapid.Int64Range(0, 300_000).Draw(t, "ahead"))
	load.Revision = machine.revision
	machine.scheduler.Report(machine.now, rapid.SampledFrom(endpointsOf(5)).Draw(t, "endpoint").ID, load)
}

func (machine *machine) endpoints(t *rapid.T) {
	var endpoints []peridotpath.Endpoint
	machine.live = map[peridotpath.EndpointID]bool{}
	for _, endpoint := range endpointsOf(5) {
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

// check holds the counts to the works that the machine knows of.
func (machine *machine) check(t *rapid.T) {
	if want, have := len(machine.waiting), int(machine.scheduler.waiting.Load()); want != have {
		t.Fatalf("%d wait, %d are counted", want, have)
	}
	if len(machine.waiting) > 0 && machine.scheduler.Next().IsZero() {
		t.Fatalf("work waits and nothing is due")
	}
	var active int64
	for _, customer := range machine.scheduler.customers.list {
		active += customer.active.Load()
	}
	if want := int64(len(machine.waiting) + len(machine.placed)); active != want {
		t.Fatalf("%d requests are active, %d are counted", want, active)
	}
	sums := map[*state]totals{}
	for _, work := range machine.placed {
		sum := sums[work.placement.member.state]
		sum.running++
		sum.memory += work.placement.memory
		sums[work.placement.member.state] = sum
	}
	for state, sum := range sums {
		have := state.ledger.now()
		if have.running != sum.running || have.memory+have.long != sum.memory {
			t.Fatalf("charged %+v, want %+v", have, sum)
		}
	}
}

// settle ends everything; then nothing may be left charged anywhere.
func (machine *machine) settle(t *rapid.T) {
	for _, work := range machine.placed {
		machine.scheduler.Done(machine.now, work, Finished, 10)
	}
	for _, work := range machine.waiting {
		machine.scheduler.Cancel(machine.now, work)
	}
	for _, member := range *machine.scheduler.members.Load() {
		left := member.ledger.now()
		if left.running != 0 || left.memory != 0 || left.long != 0 || member.pendingUpTo(band(bands-1)) != 0 {
			t.Fatalf("%s is left with %+v", member.ID, left)
		}
	}
	if machine.scheduler.waiting.Load() != 0 || !machine.scheduler.Next().IsZero() {
		t.Fatalf("something is still due")
	}
}
