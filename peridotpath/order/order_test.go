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

// The holder passes its lease check, then its machine freezes for longer than the
// lease with orders not yet sent. A second instance takes over and applies
// another version; then the first resumes and sends its stale orders. Engines that
// check fencing tokens must refuse these orders. Engines that ignore the tokens apply
// them, and the new holder must correct the stale state.
func TestStaleHolderResumesAfterLeaseExpiry(t *testing.T) {
	for name, checksFencing := range map[string]bool{"engines check fencing tokens": true, "engines ignore fencing tokens": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				site := newSite(3, checksFencing)
				first := site.start("a", !checksFencing)
				time.Sleep(2 * time.Minute)
				second := site.start("b", !checksFencing)
				time.Sleep(time.Minute)
				held, ok := first.holder.Held()
				is.True(ok)
				_, secondHeld := second.holder.Held()
				is.True(!secondHeld && held.Fencing > 0)

				first.freeze(4 * time.Minute)
				staleState := order.State{Model: "claims", Version: "1", Role: "group-1/0"}
				site.setDesired(is, "1", 0, staleState)
				time.Sleep(3 * time.Second) // the orders have passed the lease check
				site.setDesired(is, "2", 1, newState)
				took := site.awaitState(is, newState)
				t.Logf("second holder done %v after the freeze", took+3*time.Second)
				for site.countPending(newState) == 0 && time.Since(time.Unix(0, first.ordersBlockedUntil.Load())) < 10*time.Second {
					time.Sleep(10 * time.Millisecond)
				}
				is.Equal(site.countPending(newState) == 0, checksFencing)
				refused := 0
				for _, engine := range site.engines {
					refused += engine.refusals
				}
				is.Equal(refused == 3, checksFencing)
				if !checksFencing {
					t.Logf("stale order repaired after %v", site.awaitState(is, newState))
				}
				first.stop(is)
				second.stop(is)
			})
		})
	}
}

// The holder freezes while it reads the engines' states and resumes after its
// lease has expired, or it is disconnected from the key-value store while its
// lease runs out. Orders that it still has planned must not be sent: they would be
// executed concurrently with those of the next holder.
func TestNoOrderOutlivesLease(t *testing.T) {
	for name, injectFault := range map[string]func(*process){
		"frozen between read and send": func(process *process) {
			process.freeze(3 * time.Minute)
			process.readsBlockedUntil.Store(process.ordersBlockedUntil.Swap(0))
		},
		"lease about to expire": func(process *process) {
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
				site.setDesired(is, "1", 0, oldState)
				injectFault(first)
				site.setDesired(is, "2", 1, newState)
				time.Sleep(5 * time.Minute)
				is.Equal(first.ordersPastLease.Load(), int64(0))
				first.stop(is)
			})
		})
	}
}

// The holder is killed when some engines have the new version and restarts. It must
// read the engines' states before it sends orders, and finish the change.
func TestRestartedHolderFinishesChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(4, true)
		first := site.start("a", false)
		time.Sleep(2 * time.Minute)
		site.setDesired(is, "1", 0, newState)
		time.Sleep(9 * time.Second)
		pending := site.countPending(newState)
		is.True(pending > 0 && pending < 4)
		first.kill(is)
		again := site.start("a", false)
		t.Logf("%d of 4 engines pending; all done %v after the restart", pending, site.awaitState(is, newState))
		again.stop(is)
	})
}

// An engine loses its state or receives an order by hand. No event reports that,
// so the engine serves the wrong version until its state is polled. The holder must
// poll and correct it.
func TestDriftedStateIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(20, false)
		holder := site.start("a", false)
		site.setDesired(is, "1", 0, oldState)
		time.Sleep(2 * time.Minute)
		otherRole := oldState
		otherRole.Role = "group-1/0"
		is.NoErr(site.engines["e07"].apply(order.Order{Desired: otherRole}))
		t.Logf("wrong role repaired after %v", site.awaitState(is, oldState))
		is.NoErr(site.engines["e07"].apply(order.Order{Desired: newState}))
		t.Logf("wrong version repaired after %v, of which 5 s to load the weights", site.awaitState(is, oldState))
		holder.stop(is)
	})
}

// Two operators change the same engine concurrently, based on the same revision.
// Exactly one change is accepted; the other gets a ConflictError with both
// revisions and can be retried.
func TestConcurrentChangesConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(2, true)
		other := &order.DesiredStore{Store: (&memory.Link{}).Store(&site.keyValue), Key: site.desired.Key}
		errs := make(chan error, 2)
		for i, store := range []*order.DesiredStore{site.desired, other} {
			change := order.Change{
				ID:  order.ChangeID(fmt.Sprint(i)),
				Set: map[peridotpath.EndpointID]order.State{"e00": {Version: fmt.Sprint(i)}},
			}
			go func() {
				_, err := store.Change(background, change)
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		is.True((first == nil) != (second == nil))
		var conflict *order.ConflictError
		is.True(errors.As(errors.Join(first, second), &conflict))
		is.Equal(conflict.BaseRevision, peridotpath.Revision(0))
		is.Equal(conflict.Current.Revision, peridotpath.Revision(1))
		current, err := site.desired.Get(background)
		is.NoErr(err)
		is.Equal(current.Endpoints, conflict.Current.Endpoints)
	})
}

// The reply to an accepted change is lost. The change must be reported neither as
// failed, because the operator would revert it, nor as a conflict with another.
func TestChangeWithLostReply(t *testing.T) {
	is := is.New(t)
	platform, link := &memory.Memory{}, &memory.Link{}
	store := &order.DesiredStore{Store: link.Store(platform), Key: "orders/x"}
	link.SetFaults(func(call string) memory.Fault { return memory.Fault{ReplyLost: call == "swap"} })
	desired, err := store.Change(background, order.Change{ID: "1", Set: map[peridotpath.EndpointID]order.State{"e": newState}})
	is.NoErr(err)
	is.Equal(desired.Revision, peridotpath.Revision(1))
	link.SetFaults(nil)
	retried, err := store.Change(background, order.Change{ID: "1"}) // the operator's retry
	is.NoErr(err)
	is.Equal(retried, desired)
}

// Twenty engines get a new version. The weight store refuses more than two
// concurrent reads; without a limit all twenty would load at once and most be
// refused again and again. A change of role needs no weights and must not queue
// behind the loads, and four engines that fail each load must not block the others.
func TestWeightLoadsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(20, false)
		site.failing = map[peridotpath.EndpointID]bool{"e00": true, "e01": true, "e02": true, "e03": true}
		holder := site.start("a", false)
		site.setDesired(is, "1", 0, oldState)
		time.Sleep(2 * time.Minute)
		site.setDesired(is, "2", 1, newState)
		time.Sleep(10 * time.Second)
		otherRole := oldState
		otherRole.Role = "group-1/0"
		_, err := site.desired.Change(background, order.Change{
			ID: "3", BaseRevision: 2, Set: map[peridotpath.EndpointID]order.State{"e19": otherRole},
		})
		is.NoErr(err)
		begin := time.Now()
		for !site.engines["e19"].read().Equal(otherRole) {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("role changed after %v while 20 loads are queued", time.Since(begin))
		is.True(time.Since(begin) <= 5*time.Second)
		_, err = site.desired.Change(background, order.Change{ID: "4", BaseRevision: 3, Set: map[peridotpath.EndpointID]order.State{"e19": newState}})
		is.NoErr(err)
		took := site.awaitState(is, newState)
		t.Logf("20 loads in %v, at most %d concurrently, %d refused", took+10*time.Second, site.weights.peak, site.weights.setLimit(2))
		is.Equal(site.weights.setLimit(2), 0)
		holder.stop(is)
	})
}

// The weight store's effective limit is below the settings because it has other
// readers too. Refused loads must back off instead of being retried at every interval.
func TestRefusedWeightLoadsBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(4, false)
		site.weights.setLimit(0)
		holder := site.start("a", false)
		site.setDesired(is, "1", 0, newState)
		time.Sleep(10 * time.Minute)
		refused := site.weights.setLimit(2)
		t.Logf("%d loads refused in 10 min", refused)
		is.True(refused < 40)
		t.Logf("done %v after the store recovered", site.awaitState(is, newState))
		holder.stop(is)
	})
}

// Reads of one engine's state hang. The other engines must still get their orders.
func TestHangingEngineDelaysNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		site := newSite(3, false)
		site.hanging = map[peridotpath.EndpointID]bool{"e00": true}
		holder := site.start("a", false)
		site.setDesired(is, "1", 0, newState)
		time.Sleep(time.Minute)
		is.Equal(site.countPending(newState), 1)
		holder.stop(is)
	})
}

func TestSettingsReportEveryFault(t *testing.T) {
	is := is.New(t)
	settings := order.Settings{}
	settings.Defaults()
	is.NoErr(settings.Validate("orders").OrNil())
	settings.MaxConcurrentLoads, settings.IntervalMS = -1, 1
	is.Equal(len(settings.Validate("orders")), 2)
}
