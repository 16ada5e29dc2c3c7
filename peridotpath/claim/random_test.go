package claim_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/internal/soak"
)

// step is one event of a random run. Every step may come at any time and does nothing where
// it does not apply, so that failing scripts shrink well.
type step struct {
	name               string
	instance           int
	key                int
	pause              time.Duration // before the next step
	queueTime, runTime time.Duration // of a request, before and after its dispatch
	ending             string
	faults             []fault
}

const (
	randomInstances = 3
	randomKeys      = 6
)

func drawStep(t *rapid.T) step {
	seconds := func(maxSeconds int, label string) time.Duration {
		return time.Duration(rapid.IntRange(0, maxSeconds*10).Draw(t, label)) * 100 * time.Millisecond
	}
	step := step{
		name: rapid.SampledFrom([]string{
			"ask", "ask", "ask", "ask", "ask", "ask", "kill", "start", "mark dead", "set faults", "set faults", "end faults", "freeze",
		}).Draw(t, "step"),
		instance: rapid.IntRange(0, randomInstances-1).Draw(t, "instance"),
		pause:    seconds(4, "pause"),
	}
	switch step.name {
	case "ask":
		step.key = rapid.IntRange(0, randomKeys-1).Draw(t, "key")
		step.queueTime, step.runTime = seconds(40, "queue time"), seconds(5, "run time")
		step.ending = rapid.SampledFrom([]string{"finish", "finish", "release", "unknown"}).Draw(t, "ending")
	case "set faults":
		for range rapid.IntRange(1, 4).Draw(t, "faults") {
			step.faults = append(step.faults, drawFault(t))
		}
	case "freeze":
		step.runTime = seconds(30, "frozen")
	}
	return step
}

func drawFault(t *rapid.T) fault {
	return rapid.SampledFrom([]fault{
		{}, {RequestDelay: 2 * time.Second}, {RequestDelay: time.Minute}, {NotSent: true}, {ReplyLost: true},
		{AppliedAfter: time.Second}, {AppliedAfter: 20 * time.Second},
	}).Draw(t, "fault")
}

// model checks the invariants by counting runs and outcomes.
type model struct {
	fleet     *fleet
	instances [randomInstances]*process
	requests  sync.WaitGroup

	mu              sync.Mutex
	runs            map[int]int
	answerRecorded  map[int]bool // the answer is recorded in the store
	reportedUnknown map[int]bool // a caller received an unknown outcome
	mayBeUnknown    map[int]bool // the outcome may be unknown: so marked, or claimed at an instance that was marked dead
	violations      []string
}

// process is an instance that may be killed or frozen.
type process struct {
	*instance
	mu          sync.Mutex
	frozenUntil time.Time
	killed      bool
	claimed     map[int]bool
}

func (process *process) freeze(span time.Duration) {
	process.mu.Lock()
	defer process.mu.Unlock()
	frozenUntil := time.Now().Add(span)
	process.frozenUntil = frozenUntil
	process.link.SetFaults(func(string) fault { return fault{RequestDelay: max(0, time.Until(frozenUntil))} })
}

// waitUntilThawed blocks while the process is frozen; it returns false if the process was
// killed.
func (process *process) waitUntilThawed() bool {
	for {
		process.mu.Lock()
		frozenUntil, killed := process.frozenUntil, process.killed
		process.mu.Unlock()
		if killed || !frozenUntil.After(time.Now()) {
			return !killed
		}
		time.Sleep(time.Until(frozenUntil))
	}
}

func (model *model) addViolation(format string, args ...any) {
	model.violations = append(model.violations, fmt.Sprintf(format, args...))
}

func (model *model) startProcess(number int, incarnation peridotpath.Incarnation) {
	process := &process{claimed: map[int]bool{}}
	process.instance = model.fleet.start(peridotpath.InstanceID(fmt.Sprint("i", number)), incarnation, func(ledger *claim.Ledger) {
		ledger.Settings.Buckets, ledger.Settings.BucketCallsPerSecond = 2, 20
	})
	model.instances[number] = process
}

// request is one call of a caller, up to its answer.
func (model *model) request(process *process, step step) {
	defer model.requests.Done()
	verdict, err := process.claimKey(fmt.Sprint(step.key))
	if err != nil || !process.waitUntilThawed() {
		return
	}
	switch verdict.Status {
	case claim.Granted:
		model.runGranted(process, verdict.Claim, step)
	case claim.OutcomeUnknown:
		model.withLock(func() { model.reportedUnknown[step.key] = true })
	case claim.Done:
		model.withLock(func() {
			if model.runs[step.key] != 1 {
				model.addViolation("key %d: status is done after %d runs", step.key, model.runs[step.key])
			}
		})
	}
}

func (model *model) withLock(do func()) {
	model.mu.Lock()
	defer model.mu.Unlock()
	do()
}

func (model *model) runGranted(process *process, held *claim.Claim, step step) {
	time.Sleep(step.queueTime)
	if !process.waitUntilThawed() {
		return
	}
	err := held.BeginDispatch()
	if err != nil || step.ending == "release" {
		_ = held.Release(background, &peridotpath.Result{Code: peridotpath.CodeEndpointRefused})
		return
	}
	model.withLock(func() {
		model.runs[step.key]++
		if model.runs[step.key] > 1 {
			model.addViolation("key %d ran %d times", step.key, model.runs[step.key])
		}
		if model.reportedUnknown[step.key] {
			model.addViolation("key %d ran after its outcome was reported unknown", step.key)
		}
	})
	time.Sleep(step.runTime)
	if !process.waitUntilThawed() {
		return
	}
	if step.ending == "unknown" {
		model.withLock(func() { model.mayBeUnknown[step.key] = true })
		_ = held.MarkUnknown(background)
		return
	}
	if held.Finish(background, okAnswer(fmt.Sprint(step.key))) == nil {
		model.withLock(func() { model.answerRecorded[step.key] = true })
	}
}

// markDead marks the instance dead. The outcome of each key that was claimed there may
// become unknown.
func (model *model) markDead(process *process) {
	model.withLock(func() {
		for key := range process.claimed {
			model.mayBeUnknown[key] = true
		}
	})
	model.fleet.markDead(process.instance)
}

func (model *model) apply(step step) {
	process := model.instances[step.instance]
	switch step.name {
	case "ask":
		process.claimed[step.key] = true
		model.fleet.mu.Lock()
		markedDead := model.fleet.dead[process.Instance] >= process.Incarnation
		model.fleet.mu.Unlock()
		if markedDead {
			model.withLock(func() { model.mayBeUnknown[step.key] = true })
		}
		model.requests.Add(1)
		go model.request(process, step)
	case "kill":
		process.mu.Lock()
		process.killed = true
		process.mu.Unlock()
		process.cancel()
		model.markDead(process)
	case "start":
		if process.killed {
			model.startProcess(step.instance, process.Incarnation+1)
		}
	case "mark dead":
		model.markDead(process)
	case "set faults":
		next := 0
		process.link.SetFaults(func(string) fault {
			next++
			return step.faults[next%len(step.faults)]
		})
	case "end faults":
		process.link.SetFaults(nil)
	case "freeze":
		process.freeze(step.runTime)
	}
	time.Sleep(step.pause)
}

// checkFinalState ends all faults, waits for every request, and claims each key again.
func (model *model) checkFinalState() {
	for _, process := range model.instances {
		process.freeze(0)
	}
	model.requests.Wait()
	time.Sleep(3 * time.Minute)
	for _, process := range model.instances {
		if !process.killed && process.OpenCount() != 0 {
			model.addViolation("%s has %d open claims after all requests ended", process.Instance, process.OpenCount())
		}
	}
	observer := model.fleet.start("observer", 1, func(ledger *claim.Ledger) { ledger.Settings.Buckets = 2 })
	for key := range randomKeys {
		verdict, err := observer.claimKey(fmt.Sprint(key))
		switch {
		case err != nil:
			model.addViolation("key %d: %v after all faults ended", key, err)
		case model.runs[key] > 0 && verdict.Status == claim.Granted:
			model.addViolation("key %d: granted again after it ran", key)
		case model.answerRecorded[key] && verdict.Status != claim.Done:
			model.addViolation("key %d: status is %v though its answer is recorded", key, verdict.Status)
		case model.runs[key] == 0 && !model.mayBeUnknown[key] && verdict.Status != claim.Granted:
			model.addViolation("key %d: status is %v though it never ran and no claimer was marked dead", key, verdict.Status)
		}
	}
	for _, instance := range []*instance{observer, model.instances[0].instance, model.instances[1].instance, model.instances[2].instance} {
		if err := instance.stop(); err != nil {
			model.addViolation("stop %s: %v", instance.Instance, err)
		}
	}
}

// Callers repeat keys at several instances, while instances are killed, frozen, restarted
// and wrongly marked dead, and store calls are slow, lost before or after they take effect,
// or take effect late. In any order, a key must run at most once and not after its outcome
// was reported unknown, and a key that certainly never ran must be claimable again in the
// end.
//
// The order of goroutines within one moment is not part of the script, so a failure may
// need several runs of its seed.
func TestRandomRunsClaimAtMostOnce(t *testing.T) {
	soak.Check(t, 5, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawStep), 20, 80).Draw(rt, "script")
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			model := &model{
				fleet: newFleet(t), runs: map[int]int{}, answerRecorded: map[int]bool{},
				reportedUnknown: map[int]bool{}, mayBeUnknown: map[int]bool{},
			}
			for number := range randomInstances {
				model.startProcess(number, 1)
			}
			for _, step := range script {
				model.apply(step)
			}
			model.checkFinalState()
			violations = model.violations
		})
		if len(violations) > 0 {
			rt.Fatal(strings.Join(violations, "\n"))
		}
	})
}
