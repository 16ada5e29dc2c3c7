package config_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/keyvalue"
)

func TestChangeFaults(t *testing.T) {
	tests := []struct {
		name   string
		change config.Change
		want   string
	}{
		{"every fault at once", config.Change{ID: "c", Who: "nimal", Kind: config.KindProfile, Name: "p", Value: json.RawMessage(`{"name": "p", "priority": 11, "deadline_ms": 1}`)},
			"profile.service: is missing\nprofile.priority: is 11, must be from 0 to 9\nprofile.deadline_ms: is 1, must be from 10 to 21600000"},
		{"unknown field", config.Change{ID: "c", Who: "nimal", Kind: config.KindProfile, Name: "p", Value: json.RawMessage(`{"name": "p", "service": "s", "deadline_s": 1}`)},
			"profile.deadline_s: is unknown; the unit is part of the key: deadline_ms"},
		{"another name", config.Change{ID: "c", Who: "nimal", Kind: config.KindDrain, Name: "e1", Value: json.RawMessage(`{"endpoint": "e2"}`)},
			`drain: bears the name "e2", the change is for "e1"`},
		{"no operator", config.Change{ID: "c", Kind: config.KindDrain, Name: "e1"}, "who: has 0 bytes, must have from 1 to 64"},
		{"kind", config.Change{ID: "c", Who: "nimal", Kind: "route", Name: "e1"}, `kind: is "route", must be profile, customer or drain`},
		{"alias of another profile", config.Change{ID: "c", Who: "nimal", Kind: config.KindProfile, Name: "p", Value: json.RawMessage(`{"name": "p", "service": "s", "aliases": ["a", "counter", "a"]}`)},
			"profile.aliases[1]: \"counter\" belongs to profile counter\nprofile.aliases[2]: \"a\" belongs to profile p"},
		{"key in another document", putCustomer("c", "b", "key-a"), "customer.key_sha256: is the key of customer a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, 1, 1, nil, func(t *testing.T, is *is.I, fleet *fleet) {
				store := fleet.instances[0].store()
				for _, change := range []config.Change{putProfile("1", "counter", 0, 100), putCustomer("2", "a", "key-a")} {
					_, err := store.Change(changeContext(t), change)
					is.NoErr(err)
				}
				is.True(config.DocumentOf(config.KindCustomer, "a") != config.DocumentOf(config.KindCustomer, "b"))
				_, err := store.Change(changeContext(t), test.change)
				var faults peridotpath.Faults
				is.True(errors.As(err, &faults))
				is.Equal(faults.Error(), test.want)
				is.Equal(fleet.memory.Calls()["swap"], 2) // a swap was made for an invalid change
			})
		})
	}
}

// Two operators change the same revision of a profile concurrently on different
// instances. Without optimistic concurrency control the second change would silently
// overwrite the first (lost update). One must be rejected with a conflict that holds
// both values and the accepted change.
func TestConcurrentChangesConflict(t *testing.T) {
	withFleet(t, 2, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		_, err := fleet.instances[0].store().Change(changeContext(t), putProfile("first", "counter", 0, 100))
		is.NoErr(err)
		changes := []config.Change{putProfile("a", "counter", 1, 200), putProfile("b", "counter", 1, 300)}
		failures := changeConcurrently(t, fleet, changes)
		rejected := 0
		if failures[0] == nil {
			rejected = 1
		}
		var conflict *config.Conflict
		is.True(errors.As(failures[rejected], &conflict)) // the rejected change did not return a conflict
		is.NoErr(failures[1-rejected])
		is.Equal(conflict.Base, peridotpath.Revision(1))
		is.Equal(conflict.Current, peridotpath.Revision(2))
		is.Equal(conflict.Last.ID, changes[1-rejected].ID)
		deadlines := []string{`"deadline_ms":200`, `"deadline_ms":300`}
		is.True(strings.Contains(string(conflict.Yours), deadlines[rejected]))
		is.True(strings.Contains(string(conflict.Theirs), deadlines[1-rejected]))
	})
}

// changeConcurrently makes each change on its own instance, all at the same time.
func changeConcurrently(t *testing.T, fleet *fleet, changes []config.Change) []error {
	t.Helper()
	ctx := changeContext(t)
	failures := make([]error, len(changes))
	var group sync.WaitGroup
	for i, change := range changes {
		group.Go(func() { _, failures[i] = fleet.instances[i].store().Change(ctx, change) })
	}
	group.Wait()
	return failures
}

// Two operators concurrently change different profiles of one document. Both swaps
// expect the same version, so one of them fails. It must be retried, not reported as a
// conflict.
func TestConcurrentChangesOfDifferentItems(t *testing.T) {
	withFleet(t, 2, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		failures := changeConcurrently(t, fleet, []config.Change{putProfile("a", "counter", 0, 200), putProfile("b", "dossier", 0, 300)})
		is.NoErr(errors.Join(failures...))
		time.Sleep(time.Second)
		for _, instance := range fleet.instances {
			is.Equal(len(instance.store().Current().Config.Profiles), 2)
			is.Equal(instance.store().ActiveRevisions()["profiles"], peridotpath.Revision(2))
		}
	})
}

// The call or the reply of a swap is lost, in some cases followed by another
// operator's change. If an active change were reported as failed, it would be made again.
// It must be accepted and take effect exactly once.
func TestLostSwapReply(t *testing.T) {
	tests := []struct {
		name       string
		applied    bool // the fault occurs after the write took effect
		concurrent bool
		want       peridotpath.Revision
	}{
		{"reply lost", true, false, 1},
		{"call lost", false, false, 1},
		{"reply lost, then another change", true, true, 1},
		{"call lost, then another change", false, true, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var lost atomic.Bool
			loseOneSwap := func(_ *fleet, call, _ string, applied bool) error {
				if call != "swap" || applied != test.applied || lost.Swap(true) {
					return nil
				}
				return keyvalue.ErrUnavailable.New("the reply was lost")
			}
			withFleet(t, 2, 2, loseOneSwap, func(t *testing.T, is *is.I, fleet *fleet) {
				if test.concurrent {
					go func() {
						time.Sleep(10 * hopDelay)
						_, err := fleet.instances[1].store().Change(changeContext(t), putProfile("rival", "dossier", 0, 300))
						if err != nil {
							t.Error(err)
						}
					}()
				}
				accepted, err := fleet.instances[0].store().Change(changeContext(t), putProfile("mine", "counter", 0, 200))
				is.NoErr(err)
				is.Equal(accepted.Revision, test.want)
				time.Sleep(time.Second)
				events, err := fleet.instances[1].store().Current().History(10)
				is.NoErr(err)
				count := 0
				for _, event := range events {
					if event.ID == "mine" {
						count++
					}
				}
				is.Equal(count, 1) // the change took effect more than once
			})
		})
	}
}

// A swap's reply is lost and the platform goes down before the document can be read
// again. The outcome must be unknown, not "not accepted". The same change, repeated on
// another instance after the outage, must take effect once.
func TestLostSwapReplyThenOutage(t *testing.T) {
	var lost atomic.Bool
	loseReplyAndGoDown := func(fleet *fleet, call, _ string, applied bool) error {
		if call == "swap" && applied && !lost.Swap(true) {
			fleet.platformDown.Store(true)
			return keyvalue.ErrUnavailable.New("the reply was lost")
		}
		return nil
	}
	withFleet(t, 2, 2, loseReplyAndGoDown, func(t *testing.T, is *is.I, fleet *fleet) {
		change := putProfile("mine", "counter", 0, 200)
		_, err := fleet.instances[0].store().Change(changeContext(t), change)
		is.True(config.ErrOutcomeUnknown.Has(err)) // a definite outcome was reported
		_, err = fleet.instances[1].store().Change(changeContext(t), putProfile("other", "dossier", 0, 300))
		is.True(config.ErrNotAccepted.Has(err))
		fleet.platformDown.Store(false)
		accepted, err := fleet.instances[1].store().Change(changeContext(t), change)
		is.NoErr(err)
		is.Equal(accepted.Revision, peridotpath.Revision(1))
	})
}

// A swap's call is lost, and so many changes of the document follow that its history
// no longer shows whether the swap took effect. The outcome must be unknown.
func TestOutcomeUnknownAfterHistoryOverflow(t *testing.T) {
	var lost atomic.Bool
	loseCallThenChangeOften := func(fleet *fleet, call, _ string, applied bool) error {
		if call != "swap" || applied || lost.Swap(true) {
			return nil
		}
		for i := range 40 {
			change := putProfile(fmt.Sprint("rival-", i), "dossier", config.AnyRevision, 100)
			if _, err := fleet.instances[1].store().Change(context.Background(), change); err != nil {
				return err
			}
		}
		return keyvalue.ErrUnavailable.New("the call was lost")
	}
	withFleet(t, 2, 2, loseCallThenChangeOften, func(t *testing.T, is *is.I, fleet *fleet) {
		_, err := fleet.instances[0].store().Change(changeContext(t), putProfile("mine", "counter", 0, 200))
		is.True(config.ErrOutcomeUnknown.Has(err))
	})
}

// The key-value service is restored from a backup that lacks the last changes, which
// stay active on the instances. The next change must be based on the active configuration
// and restore the last changes; otherwise it would get a revision that instances have
// already seen and would never be applied.
func TestPlatformRestoredFromBackup(t *testing.T) {
	withFleet(t, 2, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		fleet.instances[0].mustChange(t, putProfile("1", "counter", 0, 100))
		backup, err := fleet.platform.Get(t.Context(), "config/profiles")
		is.NoErr(err)
		fleet.instances[0].mustChange(t, putProfile("2", "dossier", 0, 200))
		fleet.instances[0].mustChange(t, putProfile("3", "folio", 0, 300))
		time.Sleep(time.Second)
		entry, err := fleet.platform.Get(t.Context(), "config/profiles")
		is.NoErr(err)
		_, err = fleet.platform.Swap(t.Context(), "config/profiles", entry.Version, backup.Value, keyvalue.LeaseID{})
		is.NoErr(err)
		time.Sleep(time.Minute)
		restarted := fleet.instances[0]
		restarted.restart(t)
		is.Equal(restarted.revision(), peridotpath.Revision(3)) // the restored backup became active
		is.Equal(fleet.instances[1].mustChange(t, putProfile("4", "page", 0, 400)), peridotpath.Revision(4))
		time.Sleep(time.Second)
		for _, instance := range fleet.instances {
			is.Equal(len(instance.store().Current().Config.Profiles), 4) // an accepted change was lost
		}
	})
}

// Two operators concurrently assign one API key to customers of different documents,
// which compare-and-swap on one document cannot prevent. Every instance must resolve
// the key to the same customer, whatever the order in which it got the documents.
func TestSameKeyInTwoDocuments(t *testing.T) {
	withFleet(t, 2, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		failures := changeConcurrently(t, fleet, []config.Change{putCustomer("1", "b", "same"), putCustomer("2", "a", "same")})
		is.NoErr(errors.Join(failures...))
		time.Sleep(time.Second)
		for _, instance := range fleet.instances {
			is.Equal(instance.store().Current().Config.CustomerByKey("same").ID, peridotpath.CustomerID("a"))
		}
		_, err := fleet.instances[0].store().Change(changeContext(t), config.Change{ID: "3", Who: "nimal", Kind: config.KindCustomer, Name: "a", Base: 1})
		is.NoErr(err)
		time.Sleep(time.Second)
		for _, instance := range fleet.instances {
			is.Equal(instance.store().Current().Config.CustomerByKey("same").ID, peridotpath.CustomerID("b"))
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	withFleet(t, 1, 1, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		store := fleet.instances[0].store()
		for i := range 100 {
			change := putProfile(strings.Repeat("i", 60)+string(rune('0'+i/10))+string(rune('0'+i%10)), "counter", config.AnyRevision, 200)
			change.Who = strings.Repeat("w", 64)
			_, err := store.Change(changeContext(t), change)
			is.NoErr(err)
		}
		events, err := store.Current().History(1_000)
		is.NoErr(err)
		is.Equal(len(events), 32)
		is.Equal(events[0].Revision, peridotpath.Revision(100))
		entry, err := fleet.platform.Get(t.Context(), "config/profiles")
		is.NoErr(err)
		is.True(len(entry.Value) < 16<<10)
	})
}
