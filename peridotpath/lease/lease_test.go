package lease_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/soak"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
	"peridotpath.example/peridotpath/lease"
)

const key = "leases/colombo-a/claims-llm"

// process is an instance with a holder.
type process struct {
	*lease.Holder
	link     memory.Link
	runError chan error

	mu          sync.Mutex
	clockOffset time.Duration // offset of the wall clock
	frozenUntil time.Time
	cancel      context.CancelFunc
}

func startProcess(platform *memory.Memory, name string, change func(*lease.Holder)) *process {
	process := &process{runError: make(chan error, 1)}
	process.Holder = &lease.Holder{
		Store: process.link.Store(platform), Key: key, Instance: peridotpath.InstanceID(name), Incarnation: 1,
		Settings: lease.Settings{TTLMS: 10_000, MarginMS: 2_000, LongestOrderMS: 30_000},
		Logger:   zerolog.Nop(), Metrics: metrics.NewSet(),
	}
	process.Clock.Wall = func() time.Time {
		process.mu.Lock()
		defer process.mu.Unlock()
		return time.Now().Add(process.clockOffset)
	}
	if change != nil {
		change(process.Holder)
	}
	ctx, cancel := context.WithCancel(context.Background())
	process.cancel = cancel
	go func() { process.runError <- process.Run(ctx) }()
	return process
}

// kill ends the process without a call to the platform.
func (process *process) kill() {
	process.link.SetFaults(func(string) memory.Fault { return memory.Fault{NotSent: true} })
	process.cancel()
	if err := <-process.runError; err != nil {
		panic(err)
	}
}

// freeze delays the process's calls for span, as a pause of its machine would.
func (process *process) freeze(span time.Duration) {
	frozenUntil := time.Now().Add(span)
	process.mu.Lock()
	process.frozenUntil = frozenUntil
	process.mu.Unlock()
	process.link.SetFaults(func(string) memory.Fault { return memory.Fault{RequestDelay: max(0, time.Until(frozenUntil))} })
}

func (process *process) isFrozen() bool {
	process.mu.Lock()
	defer process.mu.Unlock()
	return time.Now().Before(process.frozenUntil)
}

// waitHeld waits until the process holds the lease, and returns the elapsed time and
// the fencing token.
func waitHeld(is *is.I, process *process) (time.Duration, peridotpath.FencingNumber) {
	begin := time.Now()
	for time.Since(begin) < 5*time.Minute {
		if term, ok := process.Held(); ok {
			return time.Since(begin), term.Fencing
		}
		time.Sleep(100 * time.Millisecond)
	}
	is.Fail() // never held
	return 0, 0
}

// testTwoHolders runs a test in virtual time with two processes, of which the first holds the lease.
func testTwoHolders(t *testing.T, change func(*lease.Holder), test func(is *is.I, platform *memory.Memory, first, second *process)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := &memory.Memory{}
		first := startProcess(platform, "a", change)
		waitHeld(is, first)
		second := startProcess(platform, "b", change)
		time.Sleep(time.Second)
		test(is, platform, first, second)
		is.NoErr(first.Close())
		is.NoErr(second.Close())
	})
}

// The holder's machine pauses for 30 s. The lease expires and another instance acquires
// it and sends conflicting orders. The first holder resumes with its old tenure in memory
// and must not act on it.
func TestFrozenHolderDoesNotActAfterExpiry(t *testing.T) {
	testTwoHolders(t, nil, func(is *is.I, platform *memory.Memory, first, second *process) {
		before, _ := first.Held()
		first.freeze(30 * time.Second)
		elapsed, fencing := waitHeld(is, second)
		t.Logf("acquired after %v", elapsed)
		is.True(elapsed <= 20*time.Second)
		is.True(fencing > before.Fencing)
		_, ok := first.Held() // after it resumes, before any reply
		is.True(!ok)
	})
}

// Each call takes 2 s to reach the platform. The holder counts its lease from before each
// renewal was sent, so its term ends before the platform's lease. It must still hold the
// lease without a gap.
func TestSlowPlatformCausesNoGapOrOverlap(t *testing.T) {
	testTwoHolders(t, nil, func(is *is.I, platform *memory.Memory, first, second *process) {
		slow := func(string) memory.Fault { return memory.Fault{RequestDelay: 2 * time.Second} }
		first.link.SetFaults(slow)
		second.link.SetFaults(slow)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			term, ok := first.Held()
			is.True(ok)
			is.True(term.Remaining <= 8*time.Second)
		}
	})
}

// Renewals take effect at once but their replies take 4 s, and then the holder is
// disconnected. The platform counts the lease from 4 s before the last reply. The
// holder must not act any more once another instance holds the lease.
func TestRenewalCountsFromBeforeItWasSent(t *testing.T) {
	retryOften := func(holder *lease.Holder) { holder.Settings.WaitMS = 500 }
	testTwoHolders(t, retryOften, func(is *is.I, platform *memory.Memory, first, second *process) {
		first.link.SetFaults(func(string) memory.Fault { return memory.Fault{ReplyDelay: 4 * time.Second} })
		time.Sleep(15 * time.Second)
		first.link.SetFaults(func(string) memory.Fault { return memory.Fault{NotSent: true} })
		waitHeld(is, second)
		_, ok := first.Held()
		is.True(!ok)
	})
}

// The holder's clock runs 10 % slow, so that it measures 10 s in 11 s, and the holder is
// disconnected. Its term must end, by that clock, before the next holder's begins.
func TestMarginCoversASlowClock(t *testing.T) {
	testTwoHolders(t, nil, func(is *is.I, platform *memory.Memory, first, second *process) {
		is.NoErr(first.Close())
		begin := time.Now()
		slow := func() time.Time { return begin.Add(time.Since(begin) * 9 / 10) }
		third := startProcess(platform, "c", func(holder *lease.Holder) { holder.Clock.Now, holder.Clock.Wall = slow, slow })
		is.NoErr(second.Close())
		waitHeld(is, third)
		fourth := startProcess(platform, "d", nil)
		third.link.SetFaults(func(string) memory.Fault { return memory.Fault{NotSent: true} })
		waitHeld(is, fourth)
		_, ok := third.Held()
		is.True(!ok)
		third.kill()
		is.NoErr(fourth.Close())
	})
}

// Renewals reach the platform but their replies are lost. The holder cannot know that it
// still has the lease and must stop; it continues when replies arrive again.
func TestHolderStopsWhenRenewalRepliesAreLost(t *testing.T) {
	testTwoHolders(t, nil, func(is *is.I, platform *memory.Memory, first, second *process) {
		first.link.SetFaults(func(string) memory.Fault { return memory.Fault{ReplyLost: true} })
		time.Sleep(9 * time.Second)
		_, ok := first.Held()
		is.True(!ok)
		first.link.SetFaults(nil)
		elapsed, _ := waitHeld(is, first)
		is.True(elapsed <= 2*time.Second)
	})
}

// The reply to the write that acquires the lease is lost. Unless the key is read back,
// no process would use the lease until it expires.
func TestLostReplyToAcquisitionIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := &memory.Memory{}
		process := startProcess(platform, "a", nil)
		process.link.SetFaults(func(call string) memory.Fault { return memory.Fault{ReplyLost: call == "swap"} })
		elapsed, _ := waitHeld(is, process)
		is.True(elapsed < 2*time.Second)
		is.NoErr(process.Close())
	})
}

// One instance is granted a lease and is slow to acquire the key; meanwhile another, with
// a higher lease number, holds and releases it. If the lease number were the fencing
// token, engines would refuse the first instance's orders.
func TestFencingTokensGrowIndependentlyOfLeaseNumbers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := &memory.Memory{}
		slow := startProcess(platform, "slow", nil)
		slow.link.SetFaults(func(call string) memory.Fault {
			if call == "swap" {
				return memory.Fault{RequestDelay: 5 * time.Second}
			}
			return memory.Fault{}
		})
		time.Sleep(time.Second)
		quick := startProcess(platform, "quick", nil)
		_, first := waitHeld(is, quick)
		is.NoErr(quick.Close())
		_, second := waitHeld(is, slow)
		is.True(second > first)
		is.NoErr(slow.Close())
	})
}

// Engines ignore fencing tokens, and an order sent at the last moment of a lease may take
// 30 s. Without waiting for the lease and the order, a new holder's order would be
// overwritten by the old one.
func TestNewHolderWaitsForOldOrders(t *testing.T) {
	change := func(holder *lease.Holder) { holder.WaitForOldOrders = true }
	testTwoHolders(t, change, func(is *is.I, platform *memory.Memory, first, second *process) {
		first.kill()
		elapsed, _ := waitHeld(is, second)
		t.Logf("first order %v after the kill", elapsed)
		is.True(elapsed >= 40*time.Second)
		is.True(elapsed <= 60*time.Second)
	})
}

// A rolling restart replaces all instances. Each holder releases the lease, so the next
// one need not wait: otherwise engines would get no orders for most of the restart.
func TestReleasedLeaseNeedsNoWait(t *testing.T) {
	change := func(holder *lease.Holder) { holder.WaitForOldOrders = true }
	testTwoHolders(t, change, func(is *is.I, platform *memory.Memory, first, second *process) {
		is.NoErr(first.Close())
		elapsed, before := waitHeld(is, second)
		is.True(elapsed <= time.Second)
		second.kill()
		third := startProcess(platform, "c", change)
		elapsed, after := waitHeld(is, third)
		is.True(elapsed >= 40*time.Second) // the holder before crashed
		is.True(after > before)
		is.NoErr(third.Close())
	})
}

// The fleet starts for the first time. No order was ever sent, so the first holder has
// none to wait for; a wait would delay the first requests of a new deployment. If it is
// unknown whether an order was sent, the holder waits.
func TestFirstHolderNeedsNoWait(t *testing.T) {
	cases := map[string]struct {
		unused bool
		err    error
		waits  bool
	}{
		"no order was ever sent": {true, nil, false},
		"an order was sent":      {false, nil, true},
		"cannot tell":            {true, errors.New("platform down"), true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			change := func(holder *lease.Holder) {
				holder.WaitForOldOrders = true
				holder.NeverUsed = func(context.Context) (bool, error) { return test.unused, test.err }
			}
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				platform := &memory.Memory{}
				first := startProcess(platform, "a", change)
				elapsed, _ := waitHeld(is, first)
				is.Equal(elapsed > time.Second, test.waits)
				is.NoErr(first.Close())
			})
		})
	}
}

// A holder crashes, and the next one acquires the lease and is closed while it still waits
// for the crashed one's orders. It must not mark the lease as released: the third would
// send orders while an old one is in flight.
func TestHolderClosedWhileWaitingIsNotMarkedReleased(t *testing.T) {
	change := func(holder *lease.Holder) { holder.WaitForOldOrders = true }
	testTwoHolders(t, change, func(is *is.I, platform *memory.Memory, first, second *process) {
		first.kill()
		time.Sleep(20 * time.Second) // the second has the lease and waits for old orders
		_, held := second.Held()
		is.True(!held)
		is.NoErr(second.Close())
		third := startProcess(platform, "c", change)
		elapsed, _ := waitHeld(is, third)
		is.True(elapsed >= 40*time.Second)
		is.NoErr(third.Close())
	})
}

// The holder is closed for an upgrade and releases the lease: the next one need not wait
// until it expires. Or it is killed and restarts while its old lease is still valid: it
// must not use the old lease as its own.
func TestCloseAndRestartOfHolder(t *testing.T) {
	testTwoHolders(t, nil, func(is *is.I, platform *memory.Memory, first, second *process) {
		is.NoErr(first.Close())
		elapsed, before := waitHeld(is, second)
		is.True(elapsed <= time.Second)
		second.kill()
		again := startProcess(platform, "b", func(holder *lease.Holder) { holder.Incarnation = 2 })
		elapsed, after := waitHeld(is, again)
		is.True(after > before)
		t.Logf("held %v after the restart", elapsed)
		is.NoErr(again.Close())
	})
}

// checker checks the invariants over all holders ten times a second.
type checker struct {
	maxOrderTime   time.Duration
	lastHeldAt     map[string]time.Time
	fencing        map[string]peridotpath.FencingNumber
	highestFencing peridotpath.FencingNumber
	violations     []string
}

func (checker *checker) check(processes map[string]*process) {
	holding := ""
	for name, process := range processes {
		term, ok := process.Held()
		if process.isFrozen() || !ok {
			continue
		}
		if holding != "" {
			checker.report("%s and %s hold the lease at once", holding, name)
		}
		holding = name
		if checker.fencing[name] != term.Fencing {
			checker.checkNewTenure(name, term.Fencing)
		}
		checker.lastHeldAt[name] = time.Now()
	}
}

// checkNewTenure checks the start of a tenure.
func (checker *checker) checkNewTenure(name string, fencing peridotpath.FencingNumber) {
	if fencing <= checker.highestFencing {
		checker.report("%s has fencing token %d after %d", name, fencing, checker.highestFencing)
	}
	checker.highestFencing, checker.fencing[name] = fencing, fencing
	for other, last := range checker.lastHeldAt {
		if other != name && time.Since(last) < checker.maxOrderTime {
			checker.report("%s began %v after %s held", name, time.Since(last), other)
		}
	}
}

func (checker *checker) report(format string, args ...any) {
	checker.violations = append(checker.violations, fmt.Sprintf(format, args...))
}

type step struct {
	name    string
	process string
	span    time.Duration
	faults  []memory.Fault
}

func drawStep(t *rapid.T) step {
	step := step{
		name:    rapid.SampledFrom([]string{"links", "links", "heal", "freeze", "kill", "stop", "clock", "wait", "wait"}).Draw(t, "step"),
		process: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "who"),
		span:    time.Duration(rapid.IntRange(0, 300).Draw(t, "span")) * 100 * time.Millisecond,
	}
	for range rapid.IntRange(1, 4).Draw(t, "faults") {
		step.faults = append(step.faults, rapid.SampledFrom([]memory.Fault{
			{}, {}, {RequestDelay: 2 * time.Second}, {RequestDelay: 20 * time.Second}, {ReplyDelay: 4 * time.Second}, {NotSent: true}, {ReplyLost: true}, {AppliedAfter: 9 * time.Second},
		}).Draw(t, "fault"))
	}
	return step
}

func runStep(platform *memory.Memory, processes map[string]*process, step step, change func(*lease.Holder)) {
	process := processes[step.process]
	switch step.name {
	case "links":
		next := 0
		process.link.SetFaults(func(string) memory.Fault {
			next++
			return step.faults[next%len(step.faults)]
		})
	case "heal":
		process.link.SetFaults(nil)
	case "freeze":
		process.freeze(step.span)
	case "kill":
		process.kill()
		processes[step.process] = startProcess(platform, step.process, change)
	case "stop":
		_ = process.Close()
		processes[step.process] = startProcess(platform, step.process, change)
	case "clock":
		process.mu.Lock()
		process.clockOffset = (step.span - 15*time.Second) * 10
		process.mu.Unlock()
	}
}

// Three instances compete for one lease, while they are frozen, killed and closed, their
// wall clocks step, and calls are slow, lost or late. At no moment may two hold it, the
// fencing tokens only grow, and with engines that ignore the tokens a new holder waits for
// as long as an order of the old one may take.
func TestRandomHoldersNeverOverlap(t *testing.T) {
	soak.Check(t, 3, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawStep), 10, 40).Draw(rt, "script")
		waitForOldOrders := rapid.Bool().Draw(rt, "wait out")
		checker := &checker{lastHeldAt: map[string]time.Time{}, fencing: map[string]peridotpath.FencingNumber{}}
		if waitForOldOrders {
			checker.maxOrderTime = 30 * time.Second
		}
		change := func(holder *lease.Holder) { holder.WaitForOldOrders = waitForOldOrders }
		synctest.Test(t, func(*testing.T) {
			platform := &memory.Memory{}
			processes := map[string]*process{}
			for _, name := range []string{"a", "b", "c"} {
				processes[name] = startProcess(platform, name, change)
			}
			for _, step := range script {
				// A process that was closed has no order in flight; all others'
				// orders must be waited for.
				if step.name == "stop" && !processes[step.process].isFrozen() {
					delete(checker.lastHeldAt, step.process)
				}
				runStep(platform, processes, step, change)
				for end := time.Now().Add(step.span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					checker.check(processes)
				}
			}
			for _, process := range processes {
				process.link.SetFaults(nil)
			}
			time.Sleep(2 * time.Minute)
			checker.check(processes)
			if len(checker.lastHeldAt) == 0 || time.Since(latestTime(checker.lastHeldAt)) > 0 {
				checker.report("no process holds the lease although all faults have ended")
			}
			for _, process := range processes {
				_ = process.Close()
			}
			time.Sleep(time.Minute) // delayed writes are applied
		})
		if len(checker.violations) > 0 {
			rt.Fatal(strings.Join(checker.violations, "\n"))
		}
	})
}

func latestTime(times map[string]time.Time) time.Time {
	var last time.Time
	for _, at := range times {
		if at.After(last) {
			last = at
		}
	}
	return last
}

func TestSettingsReportEveryFault(t *testing.T) {
	is := is.New(t)
	settings := lease.Settings{}
	settings.Defaults()
	is.NoErr(settings.Validate("lease").OrNil())
	settings.MarginMS, settings.WaitMS = settings.TTLMS, 1
	is.Equal(len(settings.Validate("lease")), 3) // the third: no time remains for an order
}

// The service is restored from a copy without the holder's lease, in which it seems that
// no order was ever sent. The next process to acquire the lease must wait until the
// first holder's lease and orders have ended.
func TestLeaseLostByRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		platform := &memory.Memory{}
		guarded := func(name string) *process {
			return startProcess(platform, name, func(holder *lease.Holder) {
				link := &memory.Link{Eras: &keyvalue.EraTracker{Now: func() time.Duration { return time.Since(began) + time.Hour }}}
				holder.Store, holder.WaitForOldOrders = link.Store(platform), true
				holder.NeverUsed = func(context.Context) (bool, error) { return true, nil }
			})
		}
		snapshot := platform.Snapshot()
		first := guarded("a")
		_, before := waitHeld(is, first)
		platform.Restore(snapshot)
		third := guarded("c")
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			_, firstHolds := first.Held()
			_, thirdHolds := third.Held()
			is.True(!firstHolds || !thirdHolds)
		}
		is.NoErr(first.Close())
		_, after := waitHeld(is, third)
		is.True(after > before) // although the service reuses its numbers
		is.NoErr(third.Close())
	})
}
