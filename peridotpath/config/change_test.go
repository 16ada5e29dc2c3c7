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

func TestFaultsOfAChange(t *testing.T) {
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
			inFleet(t, 1, 1, nil, func(t *testing.T, is *is.I, fleet *fleet) {
				store := fleet.instances[0].store()
				for _, change := range []config.Change{putProfile("1", "counter", 0, 100), putCustomer("2", "a", "key-a")} {
					_, err := store.Change(soon(t), change)
					is.NoErr(err)
				}
				is.True(config.DocumentOf(config.KindCustomer, "a") != config.DocumentOf(config.KindCustomer, "b"))
				_, err := store.Change(soon(t), test.change)
				var faults peridotpath.Faults
				is.True(errors.As(err, &faults))
				is.Equal(faults.Error(), test.want)
				is.Equal(fleet.memory.Calls()["swap"], 2) // a faulty change was written
			})
		})
	}
}

// Two operators open the same profile, and both save within the same moment at
// different instances. Without a check the second would undo the first without
// either of them noticing. The loser sees both texts and who was first.
func TestRacingOperators(t *testing.T) {
	inFleet(t, 2, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		_, err := fleet.instances[0].store().Change(soon(t), putProfile("first", "counter", 0, 100))
		is.NoErr(err)
		changes := []config.Change{putProfile("a", "counter", 1, 200), putProfile("b", "counter", 1, 300)}
		failures := race(t, fleet, changes)
		loser := 0
		if failures[0] == nil {
			loser = 1
		}
		var conflict *config.Conflict
		is.True(errors.As(failures[loser], &conflict)) // the loser was not told
		is.NoErr(failures[1-loser])
		is.Equal(conflict.Base, peridotpath.Revision(1))
		is.Equal(conflict.Current, peridotpath.Revision(2))
		is.Equal(conflict.Last.ID, changes[1-loser].ID)
		deadlines := []string{`"deadline_ms":200`, `"deadline_ms":300`}
		is.True(strings.Contains(string(conflict.Yours), deadlines[loser]))
		is.True(strings.Contains(string(conflict.Theirs), deadlines[1-loser]))
	})
}

// race sends each change through another instance at the same moment.
func race(t *testing.T, fleet *fleet, changes []config.Change) []error {
	t.Helper()
	ctx := soon(t)
	failures := make([]error, len(changes))
	var group sync.WaitGroup
	for i, change := range changes {
		group.Go(func() { _, failures[i] = fleet.instances[i].store().Change(ctx, change) })
	}
	group.Wait()
	return failures
}

// Two operators change different profiles of one document. Both swaps expect the
// same version, so one of them fails; that is no conflict between the operators.
func TestRaceForOneDocumentIsNoConflict(t *testing.T) {
	inFleet(t, 2, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		failures := race(t, fleet, []config.Change{putProfile("a", "counter", 0, 200), putProfile("b", "dossier", 0, 300)})
		is.NoErr(errors.Join(failures...))
		time.Sleep(time.Second)
		for _, instance := range fleet.instances {
			is.Equal(len(instance.store().Current().Config.Profiles), 2)
			is.Equal(instance.store().Applied()["profiles"], peridotpath.Revision(2))
		}
	})
}

// An operator's change takes effect, but the answer is lost on its way, and in
// one case another operator's change comes in before the read-back. Told
// "failed", the operator would repeat or work around a change that is in force.
func TestLostAnswer(t *testing.T) {
	tests := []struct {
		name    string
		applied bool // the fault comes after the write took effect
		rival   bool
		want    peridotpath.Revision
	}{
		{"answer lost", true, false, 1},
		{"call lost", false, false, 1},
		{"answer lost, then a rival", true, true, 1},
		{"call lost, then a rival", false, true, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var lost atomic.Bool
			loseOne := func(_ *fleet, call, _ string, applied bool) error {
				if call != "swap" || applied != test.applied || lost.Swap(true) {
					return nil
				}
				return keyvalue.ErrUnavailable.New("the answer was lost")
			}
			inFleet(t, 2, 2, loseOne, func(t *testing.T, is *is.I, fleet *fleet) {
				if test.rival {
					go func() {
						time.Sleep(10 * hop)
						_, err := fleet.instances[1].store().Change(soon(t), putProfile("rival", "dossier", 0, 300))
						if err != nil {
							t.Error(err)
						}
					}()
				}
				accepted, err := fleet.instances[0].store().Change(soon(t), putProfile("mine", "counter", 0, 200))
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

// The answer is lost and the platform goes away before it can be read back. The
// operator must not be told "not accepted"; the same change, sent again through
// another instance when the platform is back, takes effect once.
func TestLostAnswerThenOutage(t *testing.T) {
	var lost atomic.Bool
	loseOneAndGoDown := func(fleet *fleet, call, _ string, applied bool) error {
		if call == "swap" && applied && !lost.Swap(true) {
			fleet.down.Store(true)
			return keyvalue.ErrUnavailable.New("the answer was lost")
		}
		return nil
	}
	inFleet(t, 2, 2, loseOneAndGoDown, func(t *testing.T, is *is.I, fleet *fleet) {
		change := putProfile("mine", "counter", 0, 200)
		_, err := fleet.instances[0].store().Change(soon(t), change)
		is.True(config.ErrUnknown.Has(err)) // the operator was told something certain
		_, err = fleet.instances[1].store().Change(soon(t), putProfile("other", "dossier", 0, 300))
		is.True(config.ErrNotAccepted.Has(err))
		fleet.down.Store(false)
		accepted, err := fleet.instances[1].store().Change(soon(t), change)
		is.NoErr(err)
		is.Equal(accepted.Revision, peridotpath.Revision(1))
	})
}

// A change's call is lost, and so many changes of the document follow that its
// history no longer tells whether it took effect. Nothing certain may be said.
func TestHistoryNoLongerReachesBack(t *testing.T) {
	var lost atomic.Bool
	loseOneAndGoOn := func(fleet *fleet, call, _ string, applied bool) error {
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
	inFleet(t, 2, 2, loseOneAndGoOn, func(t *testing.T, is *is.I, fleet *fleet) {
		_, err := fleet.instances[0].store().Change(soon(t), putProfile("mine", "counter", 0, 200))
		is.True(config.ErrUnknown.Has(err))
	})
}

// The platform's service is restored from a copy that lacks the last changes.
// Instances keep them in force; the next change has to bring them back there,
// or it would be accepted under a revision that no instance applies again.
func TestRestoredPlatform(t *testing.T) {
	inFleet(t, 2, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		fleet.instances[0].mustChange(t, putProfile("1", "counter", 0, 100))
		copied, err := fleet.platform.Get(t.Context(), "config/profiles")
		is.NoErr(err)
		fleet.instances[0].mustChange(t, putProfile("2", "dossier", 0, 200))
		fleet.instances[0].mustChange(t, putProfile("3", "folio", 0, 300))
		time.Sleep(time.Second)
		entry, err := fleet.platform.Get(t.Context(), "config/profiles")
		is.NoErr(err)
		_, err = fleet.platform.Swap(t.Context(), "config/profiles", entry.Version, copied.Value, keyvalue.LeaseID{})
		is.NoErr(err)
		time.Sleep(time.Minute)
		restarted := fleet.instances[0]
		restarted.restart(t)
		is.Equal(restarted.revision(), peridotpath.Revision(3)) // the old copy came into force
		is.Equal(fleet.instances[1].mustChange(t, putProfile("4", "page", 0, 400)), peridotpath.Revision(4))
		time.Sleep(time.Second)
		for _, instance := range fleet.instances {
			is.Equal(len(instance.store().Current().Config.Profiles), 4) // an accepted change was lost
		}
	})
}

// Two operators give one API key to two customers of different documents at the
// same moment; one compare-and-swap can't prevent it. Every instance must give
// the key to the same customer, in whatever order the documents came.
func TestOneKeyInTwoDocuments(t *testing.T) {
	inFleet(t, 2, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		failures := race(t, fleet, []config.Change{putCustomer("1", "b", "same"), putCustomer("2", "a", "same")})
		is.NoErr(errors.Join(failures...))
		time.Sleep(time.Second)
		for _, instance := range fleet.instances {
			is.Equal(instance.store().Current().Config.CustomerByKey("same").ID, peridotpath.CustomerID("a"))
		}
		_, err := fleet.instances[0].store().Change(soon(t), config.Change{ID: "3", Who: "nimal", Kind: config.KindCustomer, Name: "a", Base: 1})
		is.NoErr(err)
		time.Sleep(time.Second)
		for _, instance := range fleet.instances {
			is.Equal(instance.store().Current().Config.CustomerByKey("same").ID, peridotpath.CustomerID("b"))
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	inFleet(t, 1, 1, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		store := fleet.instances[0].store()
		for i := range 100 {
			change := putProfile(strings.Repeat("i", 60)+string(rune('0'+i/10))+string(rune('0'+i%10)), "counter", config.AnyRevision, 200)
			change.Who = strings.Repeat("w", 64)
			_, err := store.Change(soon(t), change)
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
