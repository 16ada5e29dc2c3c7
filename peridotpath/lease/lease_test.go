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
	link  memory.Link
	ended chan error

	mu    sync.Mutex
	shift time.Duration // of its wall clock
	thaw  time.Time
	crash context.CancelFunc
}

func start(platform *memory.Memory, name string, change func(*lease.Holder)) *process {
	process := &process{ended: make(chan error, 1)}
	process.Holder = &lease.Holder{
		Store: process.link.Store(platform), Key: key, Instance: peridotpath.InstanceID(name), Incarnation: 1,
		Settings: lease.Settings{TTLMS: 10_000, MarginMS: 2_000, LongestOrderMS: 30_000},
		Logger:   zerolog.Nop(), Metrics: metrics.NewSet(),
	}
	process.Clock.Wall = func() time.Time {
		process.mu.Lock()
		defer process.mu.Unlock()
		return time.Now().Add(process.shift)
	}
	if change != nil {
		change(process.Holder)
	}
	ctx, cancel := context.WithCancel(context.Background())
	process.crash = cancel
	go func() { process.ended <- process.Run(ctx) }()
	return process
}

// kill ends the process; nothing it still wants to say reaches the platform.
func (process *process) kill() {
	process.link.Set(func(string) memory.Fate { return memory.Fate{NotSent: true} })
	process.crash()
	if err := <-process.ended; err != nil {
		panic(err)
	}
}

// freeze stops the process's calls for a while, as a pause of the machine does.
func (process *process) freeze(span time.Duration) {
	thaw := time.Now().Add(span)
	process.mu.Lock()
	process.thaw = thaw
	process.mu.Unlock()
	process.link.Set(func(string) memory.Fate { return memory.Fate{Delay: max(0, time.Until(thaw))} })
}

func (process *process) frozen() bool {
	process.mu.Lock()
	defer process.mu.Unlock()
	return time.Now().Before(process.thaw)
}

// waitHeld returns how long it took until the process may act, and its number.
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

// story runs a test in virtual time with two holders, of which the first holds.
func story(t *testing.T, change func(*lease.Holder), test func(is *is.I, platform *memory.Memory, first, second *process)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := &memory.Memory{}
		first := start(platform, "a", change)
		waitHeld(is, first)
		second := start(platform, "b", change)
		time.Sleep(time.Second)
		test(is, platform, first, second)
		is.NoErr(first.Close())
		is.NoErr(second.Close())
	})
}

// The holder's machine pauses for half a minute in the middle of its work. The
// lease lapses, another instance holds it and gives contrary orders. When the
// first wakes it still has its tenure in memory and must not act on it.
func TestHolderFrozenPastItsLease(t *testing.T) {
	story(t, nil, func(is *is.I, platform *memory.Memory, first, second *process) {
		before, _ := first.Held()
		first.freeze(30 * time.Second)
		took, fencing := waitHeld(is, second)
		t.Logf("taken over after %v", took)
		is.True(took <= 20*time.Second)
		is.True(fencing > before.Fencing)
		_, ok := first.Held() // as when it wakes, before it heard anything
		is.True(!ok)
	})
}

// The platform takes 2 s for each answer. The holder counts its lease from
// before each renewal was sent, so that it stops before the platform does, and
// all the same holds without a break.
func TestSlowPlatformLeavesNoGapAndNoOverlap(t *testing.T) {
	story(t, nil, func(is *is.I, platform *memory.Memory, first, second *process) {
		slow := func(string) memory.Fate { return memory.Fate{Delay: 2 * time.Second} }
		first.link.Set(slow)
		second.link.Set(slow)
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			term, ok := first.Held()
			is.True(ok)
			is.True(term.Left <= 8*time.Second)
		}
	})
}

// Renewals take effect at once but their answers take 4 s, and then the holder
// is cut off. The platform has counted since long before the last answer.
func TestRenewalCountsFromBeforeItWasSent(t *testing.T) {
	eager := func(holder *lease.Holder) { holder.Settings.WaitMS = 500 }
	story(t, eager, func(is *is.I, platform *memory.Memory, first, second *process) {
		first.link.Set(func(string) memory.Fate { return memory.Fate{AnswerDelay: 4 * time.Second} })
		time.Sleep(15 * time.Second)
		first.link.Set(func(string) memory.Fate { return memory.Fate{NotSent: true} })
		waitHeld(is, second)
		_, ok := first.Held()
		is.True(!ok)
	})
}

// The holder's clock runs a tenth slow, so its ten seconds are eleven, and it is
// cut off. It must have stopped, by that clock, when the next one begins.
func TestMarginCoversASlowClock(t *testing.T) {
	story(t, nil, func(is *is.I, platform *memory.Memory, first, second *process) {
		is.NoErr(first.Close())
		begin := time.Now()
		slow := func() time.Time { return begin.Add(time.Since(begin) * 9 / 10) }
		third := start(platform, "c", func(holder *lease.Holder) { holder.Clock.Now, holder.Clock.Wall = slow, slow })
		is.NoErr(second.Close())
		waitHeld(is, third)
		fourth := start(platform, "d", nil)
		third.link.Set(func(string) memory.Fate { return memory.Fate{NotSent: true} })
		waitHeld(is, fourth)
		_, ok := third.Held()
		is.True(!ok)
		third.kill()
		is.NoErr(fourth.Close())
	})
}

// Renewals reach the platform but their answers are lost, then the platform is
// gone. The holder cannot know that it still has the lease and must stop; it
// goes on when the platform answers again.
func TestHolderStopsWhenRenewalsGoUnanswered(t *testing.T) {
	story(t, nil, func(is *is.I, platform *memory.Memory, first, second *process) {
		first.link.Set(func(string) memory.Fate { return memory.Fate{Unanswered: true} })
		time.Sleep(9 * time.Second)
		_, ok := first.Held()
		is.True(!ok)
		first.link.Set(nil)
		took, _ := waitHeld(is, first)
		is.True(took <= 2*time.Second)
	})
}

// The answer to the write that takes the lease is lost. Without reading back,
// the lease would be held by nobody for its whole time.
func TestLostAnswerToTakingIsReadBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := &memory.Memory{}
		process := start(platform, "a", nil)
		process.link.Set(func(call string) memory.Fate { return memory.Fate{Unanswered: call == "swap"} })
		took, _ := waitHeld(is, process)
		is.True(took < 2*time.Second)
		is.NoErr(process.Close())
	})
}

// One instance is granted a lease early and is slow to use it; meanwhile
// another, with a higher lease number, holds and gives back. Were the lease
// number the fencing number, engines would refuse the first one's orders.
func TestFencingNumbersGrowWhateverTheLeaseNumbers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := &memory.Memory{}
		slow := start(platform, "slow", nil)
		slow.link.Set(func(call string) memory.Fate {
			if call == "swap" {
				return memory.Fate{Delay: 5 * time.Second}
			}
			return memory.Fate{}
		})
		time.Sleep(time.Second)
		quick := start(platform, "quick", nil)
		_, first := waitHeld(is, quick)
		is.NoErr(quick.Close())
		_, second := waitHeld(is, slow)
		is.True(second > first)
		is.NoErr(slow.Close())
	})
}

// Engines ignore fencing numbers, and an order sent in the last moment of a
// lease may take half a minute. A new holder that began at once would see its
// own order overwritten by the old one; so it waits both times out.
func TestNewHolderWaitsOutOldOrders(t *testing.T) {
	change := func(holder *lease.Holder) { holder.WaitOut = true }
	story(t, change, func(is *is.I, platform *memory.Memory, first, second *process) {
		first.kill()
		took, _ := waitHeld(is, second)
		t.Logf("first order %v after the kill", took)
		is.True(took >= 40*time.Second)
		is.True(took <= 60*time.Second)
	})
}

// All instances are replaced one after another. Each holder ends in good order,
// so the next need not wait out orders that nobody sent: engines would go
// without orders for most of the time that the roll takes.
func TestHandedOverLeaseNeedsNoWait(t *testing.T) {
	change := func(holder *lease.Holder) { holder.WaitOut = true }
	story(t, change, func(is *is.I, platform *memory.Memory, first, second *process) {
		is.NoErr(first.Close())
		took, before := waitHeld(is, second)
		is.True(took <= time.Second)
		second.kill()
		third := start(platform, "c", change)
		took, after := waitHeld(is, third)
		is.True(took >= 40*time.Second) // the one before died
		is.True(after > before)
		is.NoErr(third.Close())
	})
}

// The fleet starts for the first time. Nobody has ever given an order, so the
// first holder has none to wait out; a scholar's first volume waited for it. When
// it cannot tell, it waits.
func TestFirstHolderEverNeedsNoWait(t *testing.T) {
	cases := map[string]struct {
		unused bool
		err    error
		waits  bool
	}{
		"none was ever given": {true, nil, false},
		"some were":           {false, nil, true},
		"cannot tell":         {true, errors.New("platform down"), true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			change := func(holder *lease.Holder) {
				holder.WaitOut = true
				holder.Unused = func(context.Context) (bool, error) { return test.unused, test.err }
			}
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				platform := &memory.Memory{}
				first := start(platform, "a", change)
				took, _ := waitHeld(is, first)
				is.Equal(took > time.Second, test.waits)
				is.NoErr(first.Close())
			})
		})
	}
}

// A holder dies, the next one wins the lease and is stopped in good order while
// it still waits out the dead one's orders. It must not vouch for those: the
// third would give orders beside one that is on its way.
func TestStoppedWhileItWaitedItVouchesForNobody(t *testing.T) {
	change := func(holder *lease.Holder) { holder.WaitOut = true }
	story(t, change, func(is *is.I, platform *memory.Memory, first, second *process) {
		first.kill()
		time.Sleep(20 * time.Second) // the second has the lease and waits
		_, held := second.Held()
		is.True(!held)
		is.NoErr(second.Close())
		third := start(platform, "c", change)
		took, _ := waitHeld(is, third)
		is.True(took >= 40*time.Second)
		is.NoErr(third.Close())
	})
}

// The holder is stopped for an upgrade and gives the lease back: the next one
// need not wait for it to lapse. Or it is killed and comes back while its old
// lease runs: it must not take the old lease for its own.
func TestStopAndRestartOfTheHolder(t *testing.T) {
	story(t, nil, func(is *is.I, platform *memory.Memory, first, second *process) {
		is.NoErr(first.Close())
		took, before := waitHeld(is, second)
		is.True(took <= time.Second)
		second.kill()
		again := start(platform, "b", func(holder *lease.Holder) { holder.Incarnation = 2 })
		took, after := waitHeld(is, again)
		is.True(after > before)
		t.Logf("held %v after the restart", took)
		is.NoErr(again.Close())
	})
}

// watchdog looks at all holders ten times a second.
type watchdog struct {
	longest time.Duration
	last    map[string]time.Time
	fencing map[string]peridotpath.FencingNumber
	highest peridotpath.FencingNumber
	wrong   []string
}

func (watchdog *watchdog) look(processes map[string]*process) {
	holding := ""
	for name, process := range processes {
		term, ok := process.Held()
		if process.frozen() || !ok {
			continue
		}
		if holding != "" {
			watchdog.note("%s and %s hold at once", holding, name)
		}
		holding = name
		if watchdog.fencing[name] != term.Fencing {
			watchdog.began(name, term.Fencing)
		}
		watchdog.last[name] = time.Now()
	}
}

// began checks the first moment of a tenure.
func (watchdog *watchdog) began(name string, fencing peridotpath.FencingNumber) {
	if fencing <= watchdog.highest {
		watchdog.note("%s has number %d after %d", name, fencing, watchdog.highest)
	}
	watchdog.highest, watchdog.fencing[name] = fencing, fencing
	for other, last := range watchdog.last {
		if other != name && time.Since(last) < watchdog.longest {
			watchdog.note("%s began %v after %s held", name, time.Since(last), other)
		}
	}
}

func (watchdog *watchdog) note(format string, args ...any) {
	watchdog.wrong = append(watchdog.wrong, fmt.Sprintf(format, args...))
}

type step struct {
	name  string
	who   string
	span  time.Duration
	fates []memory.Fate
}

func drawStep(t *rapid.T) step {
	step := step{
		name: rapid.SampledFrom([]string{"links", "links", "heal", "freeze", "kill", "stop", "clock", "wait", "wait"}).Draw(t, "step"),
		who:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "who"),
		span: time.Duration(rapid.IntRange(0, 300).Draw(t, "span")) * 100 * time.Millisecond,
	}
	for range rapid.IntRange(1, 4).Draw(t, "fates") {
		step.fates = append(step.fates, rapid.SampledFrom([]memory.Fate{
			{}, {}, {Delay: 2 * time.Second}, {Delay: 20 * time.Second}, {AnswerDelay: 4 * time.Second}, {NotSent: true}, {Unanswered: true}, {Late: 9 * time.Second},
		}).Draw(t, "fate"))
	}
	return step
}

func take(platform *memory.Memory, processes map[string]*process, step step, change func(*lease.Holder)) {
	process := processes[step.who]
	switch step.name {
	case "links":
		next := 0
		process.link.Set(func(string) memory.Fate {
			next++
			return step.fates[next%len(step.fates)]
		})
	case "heal":
		process.link.Set(nil)
	case "freeze":
		process.freeze(step.span)
	case "kill":
		process.kill()
		processes[step.who] = start(platform, step.who, change)
	case "stop":
		_ = process.Close()
		processes[step.who] = start(platform, step.who, change)
	case "clock":
		process.mu.Lock()
		process.shift = (step.span - 15*time.Second) * 10
		process.mu.Unlock()
	}
}

// Three instances want one lease, while they are frozen, killed and stopped,
// their wall clocks step, and calls are slow, lost or late. At no moment may
// two hold, the numbers only grow, and with engines that ignore the numbers a
// new holder keeps still for as long as an order of the old one may take.
func TestRandomHoldersNeverOverlap(t *testing.T) {
	soak.Check(t, 3, func(rt *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(drawStep), 10, 40).Draw(rt, "script")
		waitOut := rapid.Bool().Draw(rt, "wait out")
		watchdog := &watchdog{last: map[string]time.Time{}, fencing: map[string]peridotpath.FencingNumber{}}
		if waitOut {
			watchdog.longest = 30 * time.Second
		}
		change := func(holder *lease.Holder) { holder.WaitOut = waitOut }
		synctest.Test(t, func(*testing.T) {
			platform := &memory.Memory{}
			processes := map[string]*process{}
			for _, name := range []string{"a", "b", "c"} {
				processes[name] = start(platform, name, change)
			}
			for _, step := range script {
				// One that was closed in good order has nothing on its way; all
				// others' orders must be waited out.
				if step.name == "stop" && !processes[step.who].frozen() {
					delete(watchdog.last, step.who)
				}
				take(platform, processes, step, change)
				for end := time.Now().Add(step.span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					watchdog.look(processes)
				}
			}
			for _, process := range processes {
				process.link.Set(nil)
			}
			time.Sleep(2 * time.Minute)
			watchdog.look(processes)
			if len(watchdog.last) == 0 || time.Since(latest(watchdog.last)) > 0 {
				watchdog.note("nobody holds with everything mended")
			}
			for _, process := range processes {
				_ = process.Close()
			}
			time.Sleep(time.Minute) // calls that arrive late
		})
		if len(watchdog.wrong) > 0 {
			rt.Fatal(strings.Join(watchdog.wrong, "\n"))
		}
	})
}

func latest(times map[string]time.Time) time.Time {
	var last time.Time
	for _, at := range times {
		if at.After(last) {
			last = at
		}
	}
	return last
}

func TestSettingsNameEveryFault(t *testing.T) {
	is := is.New(t)
	settings := lease.Settings{}
	settings.Defaults()
	is.NoErr(settings.Validate("lease").OrNil())
	settings.MarginMS, settings.WaitMS = settings.TTLMS, 1
	is.Equal(len(settings.Validate("lease")), 3) // no time is left for an order either
}

// The service comes back from a copy that does not have the holder's lease, and in which it
// looks as if no order had ever been given. Whoever wins the lease then waits until the
// holder before knows, and its orders are over.
func TestLeaseThatTheServiceLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		platform := &memory.Memory{}
		guarded := func(name string) *process {
			return start(platform, name, func(holder *lease.Holder) {
				link := &memory.Link{Eras: &keyvalue.Eras{Now: func() time.Duration { return time.Since(began) + time.Hour }}}
				holder.Store, holder.WaitOut = link.Store(platform), true
				holder.Unused = func(context.Context) (bool, error) { return true, nil }
			})
		}
		before := platform.Copy()
		first := guarded("a")
		_, number := waitHeld(is, first)
		platform.GoBack(before)
		third := guarded("c")
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			_, ofFirst := first.Held()
			_, ofThird := third.Held()
			is.True(!ofFirst || !ofThird)
		}
		is.NoErr(first.Close())
		_, later := waitHeld(is, third)
		is.True(later > number) // also though the service gives its numbers out again
		is.NoErr(third.Close())
	})
}
