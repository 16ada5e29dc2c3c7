package order_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/keyvalue/memory"
	"peridotpath.example/peridotpath/order"
)

var (
	background = context.Background()
	oldState   = order.State{Model: "claims", Version: "1", Role: "whole"}
	newState   = order.State{Model: "claims", Version: "2", Role: "whole"}
)

// The holder checks its lease, then its machine freezes for three minutes with
// an order on its way. Meanwhile operators want another version, and a second
// instance brings it about. Then the first thaws and its order goes out: the
// remaining window. Engines that check numbers refuse it; at the others the old
// version comes back for a moment, and is put right by the new holder.
func TestHolderFrozenPastItsLease(t *testing.T) {
	for name, checks := range map[string]bool{"engines check numbers": true, "engines ignore numbers": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newSite(3, checks)
				first := site.start("a", !checks)
				time.Sleep(2 * time.Minute)
				second := site.start("b", !checks)
				time.Sleep(time.Minute)
				held, ok := first.holder.Held()
				is.True(ok)
				_, other := second.holder.Held()
				is.True(!other && held.Fencing > 0)

				first.freeze(4 * time.Minute)
				middle := order.State{Model: "claims", Version: "1", Role: "group-1/0"}
				site.want(is, "1", 0, middle)
				time.Sleep(3 * time.Second) // the orders have passed their check
				site.want(is, "2", 1, newState)
				took := site.repaired(is, newState)
				t.Logf("second holder done %v after the freeze", took+3*time.Second)
				for site.wrong(newState) == 0 && time.Since(time.Unix(0, first.thaw.Load())) < 10*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				is.Equal(site.wrong(newState) == 0, checks)
				refused := 0
				for _, engine := range site.engines {
					refused += engine.refused
				}
				is.Equal(refused == 3, checks)
				if !checks {
					t.Logf("stale order repaired after %v", site.repaired(is, newState))
				}
				first.stop(is)
				second.stop(is)
			})
		})
	}
}

// The holder freezes while it reads the engines' states, and thaws when its
// lease is gone; or it is cut off from the platform and its lease runs out. In
// both cases it still has a plan, and an order sent now would be carried out
// beside those of the next holder.
func TestNoOrderThatOutlivesTheLease(t *testing.T) {
	for name, spoil := range map[string]func(*process){
		"frozen between look and send": func(process *process) {
			process.freeze(3 * time.Minute)
			process.thawReads.Store(process.thaw.Swap(0))
		},
		"little of the lease left": func(process *process) {
			process.link.SetFaults(func(string) memory.Fault { return memory.Fault{NotSent: true} })
			time.Sleep(30 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newSite(3, false)
				first := site.start("a", false)
				time.Sleep(2 * time.Minute)
				site.want(is, "1", 0, oldState)
				spoil(first)
				site.want(is, "2", 1, newState)
				time.Sleep(5 * time.Minute)
				is.Equal(first.outlived.Load(), int64(0))
				first.stop(is)
			})
		})
	}
}

// The holder is killed in the middle of a change and comes back. It must read
// what the engines are before it orders anything, and finish the change.
func TestHolderRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(4, true)
		first := site.start("a", false)
		time.Sleep(2 * time.Minute)
		site.want(is, "1", 0, newState)
		time.Sleep(9 * time.Second)
		half := site.wrong(newState)
		is.True(half > 0 && half < 4)
		first.kill(is)
		again := site.start("a", false)
		t.Logf("%d of 4 left; done %v after the restart", half, site.repaired(is, newState))
		again.stop(is)
	})
}

// An engine forgets its state or someone gives it an order by hand. Nobody is
// told, and it answers with the wrong version until it is looked at.
func TestWrongStateIsRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(20, false)
		holder := site.start("a", false)
		site.want(is, "1", 0, oldState)
		time.Sleep(2 * time.Minute)
		moved := oldState
		moved.Role = "group-1/0"
		is.NoErr(site.engines["e07"].take(order.Order{Want: moved}))
		t.Logf("wrong role repaired after %v", site.repaired(is, oldState))
		is.NoErr(site.engines["e07"].take(order.Order{Want: newState}))
		t.Logf("wrong version repaired after %v, of which 5 s load", site.repaired(is, oldState))
		holder.stop(is)
	})
}

// Two operators change the same engines from the same revision, one to the new
// version and one to a group. Were both told "accepted", one would wait for
// what never comes. The loser is shown both revisions and may try again.
func TestTwoOperatorsContraryChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(2, true)
		slow := &order.Book{Store: (&memory.Link{}).Store(&site.platform), Key: site.book.Key}
		errs := make(chan error, 2)
		for i, book := range []*order.Book{site.book, slow} {
			change := order.Change{
				ID:  order.ChangeID(fmt.Sprint(i)),
				Set: map[peridotpath.EndpointID]order.State{"e00": {Version: fmt.Sprint(i)}},
			}
			go func() {
				_, err := book.Change(background, change)
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		is.True((first == nil) != (second == nil))
		var conflict *order.ConflictError
		is.True(errors.As(errors.Join(first, second), &conflict))
		is.Equal(conflict.From, peridotpath.Revision(0))
		is.Equal(conflict.Current.Revision, peridotpath.Revision(1))
		current, err := site.book.Get(background)
		is.NoErr(err)
		is.Equal(current.Endpoints, conflict.Current.Endpoints)
	})
}

// The answer to an accepted change is lost. Told that it failed, the operator
// would undo it; told of a conflict, look for a colleague who is not there.
func TestLostAnswerToAChange(t *testing.T) {
	is := is.New(t)
	platform, link := &memory.Memory{}, &memory.Link{}
	book := &order.Book{Store: link.Store(platform), Key: "orders/x"}
	link.SetFaults(func(call string) memory.Fault { return memory.Fault{ReplyLost: call == "swap"} })
	desired, err := book.Change(background, order.Change{ID: "1", Set: map[peridotpath.EndpointID]order.State{"e": newState}})
	is.NoErr(err)
	is.Equal(desired.Revision, peridotpath.Revision(1))
	link.SetFaults(nil)
	again, err := book.Change(background, order.Change{ID: "1"}) // the operator's own repeat
	is.NoErr(err)
	is.Equal(again, desired)
}

// A new version for twenty engines. The weight store takes two reads at once
// and a number a minute; more are refused. Without turns all twenty would ask
// at once, most be refused, and again. A change of role needs no weights and
// must not wait behind them, and four engines that fail each load must not take
// every turn.
func TestWeightLoadsTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(20, false)
		site.failing = map[peridotpath.EndpointID]bool{"e00": true, "e01": true, "e02": true, "e03": true}
		holder := site.start("a", false)
		site.want(is, "1", 0, oldState)
		time.Sleep(2 * time.Minute)
		site.want(is, "2", 1, newState)
		time.Sleep(10 * time.Second)
		moved := oldState
		moved.Role = "group-1/0"
		_, err := site.book.Change(background, order.Change{
			ID: "3", From: 2, Set: map[peridotpath.EndpointID]order.State{"e19": moved},
		})
		is.NoErr(err)
		begin := time.Now()
		for !site.engines["e19"].read().Equal(moved) {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("role changed after %v while 20 loads wait", time.Since(begin))
		is.True(time.Since(begin) <= 5*time.Second)
		_, err = site.book.Change(background, order.Change{ID: "4", From: 3, Set: map[peridotpath.EndpointID]order.State{"e19": newState}})
		is.NoErr(err)
		took := site.repaired(is, newState)
		t.Logf("20 loads in %v, at most %d at once, %d refused", took+10*time.Second, site.weights.peak, site.weights.setLimit(2))
		is.Equal(site.weights.setLimit(2), 0)
		holder.stop(is)
	})
}

// The weight store's limit is lower than the settings say, because others read
// from it too. Refused loads must not be tried at every look.
func TestBusyWeightStoreIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(4, false)
		site.weights.setLimit(0)
		holder := site.start("a", false)
		site.want(is, "1", 0, newState)
		time.Sleep(10 * time.Minute)
		refused := site.weights.setLimit(2)
		t.Logf("%d loads refused in 10 min", refused)
		is.True(refused < 40)
		t.Logf("done %v after the store recovered", site.repaired(is, newState))
		holder.stop(is)
	})
}

// One engine hangs when asked for its state. It must not hold up the repair of
// the others.
func TestHangingEngineHoldsUpNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(3, false)
		site.hanging = map[peridotpath.EndpointID]bool{"e00": true}
		holder := site.start("a", false)
		site.want(is, "1", 0, newState)
		time.Sleep(time.Minute)
		is.Equal(site.wrong(newState), 1)
		holder.stop(is)
	})
}

func TestSettingsNameEveryFault(t *testing.T) {
	is := is.New(t)
	settings := order.Settings{}
	settings.Defaults()
	is.NoErr(settings.Validate("orders").OrNil())
	settings.MaxLoads, settings.IntervalMS = -1, 1
	is.Equal(len(settings.Validate("orders")), 2)
}
