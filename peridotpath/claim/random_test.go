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

// step is one event of a random run. Every step may come at every moment, so
// that a failing script shrinks well; one that makes no sense does nothing.
type step struct {
	name       string
	who        int
	key        int
	pause      time.Duration // before the next step
	think, run time.Duration // of a request, before and after its dispatch
	ending     string
	fates      []fate
}

const (
	randomInstances = 3
	randomKeys      = 6
)

func drawStep(t *rapid.T) step {
	seconds := func(most int, label string) time.Duration {
		return time.Duration(rapid.IntRange(0, most*10).Draw(t, label)) * 100 * time.Millisecond
	}
	step := step{
		name: rapid.SampledFrom([]string{
			"ask", "ask", "ask", "ask", "ask", "ask", "kill", "start", "suspect", "links", "links", "heal", "freeze",
		}).Draw(t, "step"),
		who:   rapid.IntRange(0, randomInstances-1).Draw(t, "who"),
		pause: seconds(4, "pause"),
	}
	switch step.name {
	case "ask":
		step.key = rapid.IntRange(0, randomKeys-1).Draw(t, "key")
		step.think, step.run = seconds(40, "think"), seconds(5, "run")
		step.ending = rapid.SampledFrom([]string{"finish", "finish", "release", "unknown"}).Draw(t, "ending")
	case "links":
		for range rapid.IntRange(1, 4).Draw(t, "fates") {
			step.fates = append(step.fates, drawFate(t))
		}
	case "freeze":
		step.run = seconds(30, "frozen")
	}
	return step
}

func drawFate(t *rapid.T) fate {
	return rapid.SampledFrom([]fate{
		{}, {RequestDelay: 2 * time.Second}, {RequestDelay: time.Minute}, {NotSent: true}, {ReplyLost: true},
		{AppliedAfter: time.Second}, {AppliedAfter: 20 * time.Second},
	}).Draw(t, "fate")
}

// model is what must hold, by plain counting.
type model struct {
	fleet     *fleet
	instances [randomInstances]*process
	requests  sync.WaitGroup

	mu     sync.Mutex
	runs   map[int]int
	ended  map[int]bool // an answer is on the platform
	told   map[int]bool // a caller was told that the outcome is unknown
	marked map[int]bool // marked unknown, or asked for at an instance that was killed or suspected
	wrong  []string
}

// process is an instance that may be dead or frozen.
type process struct {
	*instance
	mu     sync.Mutex
	thaw   time.Time
	killed bool
	asked  map[int]bool
}

func (process *process) freeze(span time.Duration) {
	process.mu.Lock()
	defer process.mu.Unlock()
	thaw := time.Now().Add(span)
	process.thaw = thaw
	process.link.SetFaults(func(string) fate { return fate{RequestDelay: max(0, time.Until(thaw))} })
}

// proceed waits until the process is not frozen; false when it was killed.
func (process *process) proceed() bool {
	for {
		process.mu.Lock()
		thaw, killed := process.thaw, process.killed
		process.mu.Unlock()
		if killed || !thaw.After(time.Now()) {
			return !killed
		}
		time.Sleep(time.Until(thaw))
	}
}

func (model *model) note(format string, args ...any) {
	model.wrong = append(model.wrong, fmt.Sprintf(format, args...))
}

func (model *model) start(who int, incarnation peridotpath.Incarnation) {
	process := &process{asked: map[int]bool{}}
	process.instance = model.fleet.start(peridotpath.InstanceID(fmt.Sprint("i", who)), incarnation, func(ledger *claim.Ledger) {
		ledger.Settings.Buckets, ledger.Settings.CallsPerSecond = 2, 20
	})
	model.instances[who] = process
}

// request is one call of a caller, up to its answer.
func (model *model) request(process *process, step step) {
	defer model.requests.Done()
	verdict, err := process.ask(fmt.Sprint(step.key))
	if err != nil || !process.proceed() {
		return
	}
	switch verdict.Standing {
	case claim.Granted:
		model.granted(process, verdict.Claim, step)
	case claim.Unknown:
		model.locked(func() { model.told[step.key] = true })
	case claim.Done:
		model.locked(func() {
			if model.runs[step.key] != 1 {
				model.note("key %d: done after %d runs", step.key, model.runs[step.key])
			}
		})
	}
}

func (model *model) locked(do func()) {
	model.mu.Lock()
	defer model.mu.Unlock()
	do()
}

func (model *model) granted(process *process, held *claim.Claim, step step) {
	time.Sleep(step.think)
	if !process.proceed() {
		return
	}
	err := held.Dispatch()
	if err != nil || step.ending == "release" {
		_ = held.Release(background, &peridotpath.Result{Code: peridotpath.CodeEndpointRefused})
		return
	}
	model.locked(func() {
		model.runs[step.key]++
		if model.runs[step.key] > 1 {
			model.note("key %d ran %d times", step.key, model.runs[step.key])
		}
		if model.told[step.key] {
			model.note("key %d ran after its outcome was called unknown", step.key)
		}
	})
	time.Sleep(step.run)
	if !process.proceed() {
		return
	}
	if step.ending == "unknown" {
		model.locked(func() { model.marked[step.key] = true })
		_ = held.MarkUnknown(background)
		return
	}
	if held.Finish(background, ok(fmt.Sprint(step.key))) == nil {
		model.locked(func() { model.ended[step.key] = true })
	}
}

// suspect marks what the process was asked for: it may end as unknown.
func (model *model) suspect(process *process) {
	model.locked(func() {
		for key := range process.asked {
			model.marked[key] = true
		}
	})
	model.fleet.bury(process.instance)
}

func (model *model) take(step step) {
	process := model.instances[step.who]
	switch step.name {
	case "ask":
		process.asked[step.key] = true
		model.fleet.mu.Lock()
		suspected := model.fleet.dead[process.Instance] >= process.Incarnation
		model.fleet.mu.Unlock()
		if suspected {
			model.locked(func() { model.marked[step.key] = true })
		}
		model.requests.Add(1)
		go model.request(process, step)
	case "kill":
		process.mu.Lock()
		process.killed = true
		process.mu.Unlock()
		process.cancel()
		model.suspect(process)
	case "start":
		if process.killed {
			model.start(step.who, process.Incarnation+1)
		}
	case "suspect":
		model.suspect(process)
	case "links":
		next := 0
		process.link.SetFaults(func(string) fate {
			next++
			return step.fates[next%len(step.fates)]
		})
	case "heal":
		process.link.SetFaults(nil)
	case "freeze":
		process.freeze(step.run)
	}
	time.Sleep(step.pause)
}

// settle mends everything, lets every request end, and asks for each key again.
func (model *model) settle() {
	for _, process := range model.instances {
		process.freeze(0)
	}
	model.requests.Wait()
	time.Sleep(3 * time.Minute)
	for _, process := range model.instances {
		if !process.killed && process.Open() != 0 {
			model.note("%s has %d open claims at rest", process.Instance, process.Open())
		}
	}
	judge := model.fleet.start("judge", 1, func(ledger *claim.Ledger) { ledger.Settings.Buckets = 2 })
	for key := range randomKeys {
		verdict, err := judge.ask(fmt.Sprint(key))
		switch {
		case err != nil:
			model.note("key %d: %v with everything mended", key, err)
		case model.runs[key] > 0 && verdict.Standing == claim.Granted:
			model.note("key %d: granted again after it ran", key)
		case model.ended[key] && verdict.Standing != claim.Done:
			model.note("key %d: %v though its answer is recorded", key, verdict.Standing)
		case model.runs[key] == 0 && !model.marked[key] && verdict.Standing != claim.Granted:
			model.note("key %d: %v though it never ran and nothing died", key, verdict.Standing)
		}
	}
	for _, instance := range []*instance{judge, model.instances[0].instance, model.instances[1].instance, model.instances[2].instance} {
		if err := instance.stop(); err != nil {
			model.note("stop %s: %v", instance.Instance, err)
		}
	}
}

// Callers repeat keys at several instances, while instances are killed, frozen,
// restarted and wrongly taken for dead, and calls to the platform are slow,
// lost before or after they take effect, or arrive late. Whatever the order, a
// key runs at most once, does not run after it was called unknown, and one that
// certainly never ran can be claimed again in the end.
//
// The order of goroutines at one moment is not part of the script, so a failure
// may need several tries of its seed.
func TestRandomRunsClaimAtMostOnce(t *testing.T) {
	soak.Check(t, 5, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawStep), 20, 80).Draw(rt, "script")
		var wrong []string
		synctest.Test(t, func(t *testing.T) {
			model := &model{
				fleet: newFleet(t), runs: map[int]int{}, ended: map[int]bool{},
				told: map[int]bool{}, marked: map[int]bool{},
			}
			for who := range randomInstances {
				model.start(who, 1)
			}
			for _, step := range script {
				model.take(step)
			}
			model.settle()
			wrong = model.wrong
		})
		if len(wrong) > 0 {
			rt.Fatal(strings.Join(wrong, "\n"))
		}
	})
}
