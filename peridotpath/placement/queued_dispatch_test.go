package placement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/placement"
)

// A long prompt that imposes too much on others delays their answers, and one that waits for a cheap
// plan for too long is late itself.
func TestIsWorthDispatching(t *testing.T) {
	const ttft = 3 * time.Second
	value := placement.PromptValue(210_000)
	for _, test := range []struct {
		name                             string
		waited, firstEvent, busy         time.Duration
		ahead                            int
		acceptedShare, unacceptableShare float64
	}{
		{name: "just arrived", acceptedShare: 0.099, unacceptableShare: 0.101},
		{name: "half of the target", waited: time.Second, firstEvent: 500 * time.Millisecond, acceptedShare: 0.299, unacceptableShare: 0.301},
		{name: "barely on time", waited: 2 * time.Second, firstEvent: time.Second, acceptedShare: 0.899, unacceptableShare: 0.901},
		{name: "barely on time, behind others", waited: 2 * time.Second, firstEvent: time.Second, ahead: 1, acceptedShare: 0.099, unacceptableShare: 0.101},
		{name: "late", waited: 3 * time.Second, firstEvent: time.Second, acceptedShare: 0.199, unacceptableShare: 0.201},
		{name: "engines are free soon", busy: placement.DispatchLead, acceptedShare: 0.099, unacceptableShare: 0.101},
		{name: "engines are busy", busy: placement.DispatchLead + 1, acceptedShare: -1, unacceptableShare: 0},
	} {
		work := longWork(210_000)
		work.TTFTTarget, work.Waited = ttft, test.waited
		plan := placement.Plan{TimeToFirstEvent: test.firstEvent, PrefillDelay: test.busy}
		if plan.InterferenceCost = test.acceptedShare * value; test.acceptedShare >= 0 && !placement.IsWorthDispatching(plan, work, test.ahead) {
			t.Errorf("%s: not dispatched at a cost of %v of its value", test.name, test.acceptedShare)
		}
		if plan.InterferenceCost = test.unacceptableShare * value; placement.IsWorthDispatching(plan, work, test.ahead) {
			t.Errorf("%s: dispatched at a cost of %v of its value", test.name, test.unacceptableShare)
		}
	}
}

// After a restart of all instances, a prompt that is dispatched before the reports of peers delays
// theirs, and one that awaits reports for too long is late.
func TestCanAwaitReports(t *testing.T) {
	is := is.New(t)
	work, plan := longWork(210_000), placement.Plan{TimeToFirstEvent: time.Second}
	work.TTFTTarget, work.Waited = 3*time.Second, 600*time.Millisecond
	is.True(placement.CanAwaitReports(plan, work, 400*time.Millisecond))  // on time even if the prefill takes twice as long
	is.True(!placement.CanAwaitReports(plan, work, 401*time.Millisecond)) // late then
	is.True(!placement.CanAwaitReports(plan, work, 0))                    // the load of peers is known
}

// The best plan of a long prompt waits for one busy engine. While other prompts wait, the engines
// that are free must not be idle meanwhile.
func TestPlanDispatchPrefersFreeEnginesWhileOthersWait(t *testing.T) {
	is := is.New(t)
	all, now := candidates(10), time.Now()
	tracker := warmTracker()
	addPrefilling(tracker, all[0], 300*time.Millisecond)
	work := longWork(210_000)
	alone, found := placement.PlanDispatch(model, work, all, tracker.Snapshot(now))
	is.True(found)
	is.True(alone.PrefillDelay > placement.DispatchLead) // the best plan includes the busy engine
	tracker.Join(placement.QueuedPrompt{Due: now, PrefillTime: 10 * time.Second})
	beside, found := placement.PlanDispatch(model, work, all, tracker.Snapshot(now))
	is.True(found)
	is.True(beside.PrefillDelay <= placement.DispatchLead)
}
