package config_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
)

// mustChange makes a change that is accepted.
func (instance *instance) mustChange(t *testing.T, change config.Change) peridotpath.Revision {
	t.Helper()
	accepted, err := instance.store().Change(soon(t), change)
	if err != nil {
		t.Fatal(err)
	}
	return accepted.Revision
}

func (instance *instance) revision() peridotpath.Revision {
	return instance.store().Applied()["profiles"]
}

// The platform is down and an instance is replaced. The new one finds a peer
// that missed the last change and one that has it. Taking the first answer, it
// would put back in force what operators have changed.
func TestStartInOutageTakesTheHighestRevision(t *testing.T) {
	inFleet(t, 3, 3, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		lagging, ahead, replaced := fleet.instances[0], fleet.instances[1], fleet.instances[2]
		ahead.mustChange(t, putProfile("1", "counter", 0, 100))
		time.Sleep(time.Second)
		lagging.cut.Store(true)
		ahead.mustChange(t, putProfile("2", "counter", 1, 200))
		time.Sleep(time.Second)
		replaced.stop()
		fleet.down.Store(true)
		lagging.cut.Store(false)
		is.Equal(lagging.revision(), peridotpath.Revision(1))
		replaced.renew()
		is.NoErr(replaced.start())
		is.Equal(replaced.revision(), peridotpath.Revision(2)) // the lagging peer's answer was taken
		is.True(replaced.store().Ready())
	})
}

// The platform is down, and the only peer a starting instance reaches lags. It
// takes what there is, and the last change when the platform is back.
func TestStartFromALaggingPeer(t *testing.T) {
	inFleet(t, 2, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		lagging, replaced := fleet.instances[0], fleet.instances[1]
		replaced.mustChange(t, putProfile("1", "counter", 0, 100))
		time.Sleep(time.Second)
		lagging.cut.Store(true)
		replaced.mustChange(t, putProfile("2", "counter", 1, 200))
		replaced.stop()
		fleet.down.Store(true)
		lagging.cut.Store(false)
		replaced.renew()
		is.NoErr(replaced.start())
		is.Equal(replaced.revision(), peridotpath.Revision(1))
		time.Sleep(10 * time.Minute)
		is.True(replaced.store().Ready()) // an outage of the platform alone
		fleet.down.Store(false)
		time.Sleep(11 * time.Second)
		is.Equal(replaced.revision(), peridotpath.Revision(2))
		is.Equal(lagging.revision(), peridotpath.Revision(2))
	})
}

// An instance starts while it reaches neither the platform nor a peer. Ready
// with nothing, it would refuse every caller that the balancer sends.
func TestStartWithNobodyToHear(t *testing.T) {
	inFleet(t, 2, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		fleet.instances[0].mustChange(t, putProfile("1", "counter", 0, 100))
		alone := fleet.instances[1]
		alone.stop()
		alone.cut.Store(true)
		alone.renew()
		is.True(alone.start() != nil)
		time.Sleep(time.Hour)
		is.True(!alone.store().Ready())
		_, err := alone.store().Change(soon(t), putProfile("2", "counter", 1, 200))
		is.True(config.ErrNotAccepted.Has(err))
		alone.cut.Store(false)
		time.Sleep(11 * time.Second)
		is.True(alone.store().Ready())
		is.Equal(alone.revision(), peridotpath.Revision(1))
	})
}

// An instance's network is cut while callers still reach it. It must stop
// taking new ones within a stated time, go on by the rules it holds, and catch
// up afterwards. Its peers, who miss only it, stay ready.
func TestCutOffInstance(t *testing.T) {
	inFleet(t, 3, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		for _, cut := range fleet.instances {
			before := cut.mustChange(t, putProfile(fmt.Sprint(time.Now().UnixNano()), "counter", config.AnyRevision, 100))
			time.Sleep(time.Second)
			cut.cut.Store(true)
			time.Sleep(config.DefaultCutOffAfter - 7*time.Second)
			is.True(cut.store().Ready()) // a short cut empties no instance
			other := fleet.instances[0]
			if other == cut {
				other = fleet.instances[1]
			}
			other.mustChange(t, putProfile(fmt.Sprint(time.Now().UnixNano()), "counter", config.AnyRevision, 200))
			time.Sleep(8 * time.Second)
			is.True(!cut.store().Ready()) // callers still come to an instance that is cut off
			is.True(other.store().Ready())
			is.Equal(cut.revision(), before)
			is.True(cut.store().Current().Config.Profile("counter") != nil)
			time.Sleep(time.Minute)
			cut.cut.Store(false)
			time.Sleep(11 * time.Second)
			is.True(cut.store().Ready())
			is.Equal(cut.revision(), before+1)
		}
	})
}

// All instances are replaced one by one, during an outage of the platform. The
// configuration lives in them only then; each has to take it over before the
// next one goes.
func TestReplaceAllDuringOutage(t *testing.T) {
	inFleet(t, 4, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		for i := range 3 {
			fleet.instances[i].mustChange(t, putProfile(fmt.Sprint(i), "counter", config.AnyRevision, 100))
			time.Sleep(time.Second)
		}
		fleet.down.Store(true)
		for _, instance := range fleet.instances {
			instance.restart(t)
			is.True(instance.store().Ready())
			is.Equal(instance.revision(), peridotpath.Revision(3))
			time.Sleep(time.Minute)
		}
		for _, instance := range fleet.instances {
			is.True(instance.store().Ready())
		}
	})
}

// The platform is down for long, and one instance alone is its data centre's
// reader: it has no other reader to follow. It would turn not ready, and the
// callers' work would move off it, though its peers are well.
func TestOutageWithOneReader(t *testing.T) {
	inFleet(t, 3, 1, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		fleet.instances[0].mustChange(t, putProfile("1", "counter", 0, 100))
		fleet.down.Store(true)
		for range 60 {
			time.Sleep(10 * time.Second)
			for _, instance := range fleet.instances {
				is.True(instance.store().Ready()) // an outage of the platform alone
			}
		}
	})
}

// A follower's peer answers every poll but has not heard the platform for long,
// as when only its route to the platform is gone. The follower would stay on
// old rules for as long as that lasts.
func TestFollowerOfAPeerOutOfTouch(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		platform := (&memory.Memory{}).Store()
		store := &config.Store{
			KeyValue: platform,
			IsReader: func() bool { return false },
			Peers: func(ctx context.Context, _ config.Revisions, wait time.Duration) ([]config.Update, error) {
				select {
				case <-time.After(wait):
				case <-ctx.Done():
				}
				return []config.Update{{AgeMS: 3_600_000}}, nil
			},
		}
		_, err := store.Load(ctx)
		is.NoErr(err)
		done := make(chan error, 1)
		go func() { done <- store.Run(ctx) }()
		_, err = platform.Swap(ctx, "config/profiles", 0, stored(t, 1, "counter", profile("counter")), keyvalue.LeaseID{})
		is.NoErr(err)
		time.Sleep(config.DefaultStaleAfter + config.DefaultWait)
		is.Equal(store.Applied()["profiles"], peridotpath.Revision(1)) // the follower stayed behind
		cancel()
		is.True(errors.Is(<-done, context.Canceled))
	})
}

// spread returns how long it took until every instance had a change.
func (fleet *fleet) spread(t *testing.T, change config.Change) time.Duration {
	t.Helper()
	begin := time.Now()
	want := fleet.instances[len(fleet.instances)-1].mustChange(t, change)
	for _, instance := range fleet.instances {
		for instance.revision() < want {
			time.Sleep(hop)
			if time.Since(begin) > time.Minute {
				t.Fatal("the change did not come into force")
			}
		}
	}
	return time.Since(begin)
}

// longestSpread makes changes at varied times and returns the longest spread.
func (fleet *fleet) longestSpread(t *testing.T, count int) time.Duration {
	t.Helper()
	var spans []time.Duration
	for i := range count {
		spans = append(spans, fleet.spread(t, putProfile(fmt.Sprint(i), "counter", config.AnyRevision, 100)))
		time.Sleep(time.Duration(i) * 97 * time.Millisecond)
	}
	slices.Sort(spans)
	longest := spans[count-1]
	t.Logf("in force on %d instances: median %s, longest of %d %s", len(fleet.instances), spans[count/2], count, longest)
	return longest
}

// TestTimeUntilInForceEverywhere bounds, on the bubble's clock, the time from
// an operator's call until 12 instances have the change, with 1 ms a hop.
func TestTimeUntilInForceEverywhere(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
		limit time.Duration
	}{
		{"all well", nil, 20 * time.Millisecond},
		{"platform takes 2 s an answer", func(_ *fleet, call, _ string, applied bool) error {
			if applied && call != "list" {
				time.Sleep(2 * time.Second)
			}
			return nil
		}, 7 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inFleet(t, 12, 2, test.fault, func(t *testing.T, is *is.I, fleet *fleet) {
				is.True(fleet.longestSpread(t, 100) <= test.limit)
			})
		})
	}
}

// A reader hangs: it takes its followers' polls and never answers. Or it loses
// only its own route to the platform. Followers that stay with it would get the
// next changes late or never.
func TestTimeUntilInForceWithABadReader(t *testing.T) {
	tests := []struct {
		name   string
		damage func(fleet *fleet)
		limit  time.Duration
	}{
		{"hung", func(fleet *fleet) { fleet.hung.Store(true) }, config.DefaultWait + 2*time.Second},
		{"out of touch", func(fleet *fleet) { fleet.instances[0].astray.Store(true) }, config.DefaultStaleAfter + config.DefaultWait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inFleet(t, 12, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
				test.damage(fleet)
				is.True(fleet.longestSpread(t, 100) <= test.limit)
			})
		})
	}
}

// TestCallsOfThePlatform counts what a data centre of 12 instances costs the
// platform in ten minutes: at rest, and with a change every 2.2 s, which makes
// 39,000 a day.
func TestCallsOfThePlatform(t *testing.T) {
	const span = 10 * time.Minute
	tests := []struct {
		name     string
		interval time.Duration
		limit    float64 // calls in a second
	}{
		{"at rest", 0, 0.5},
		{"39,000 changes a day", 2215 * time.Millisecond, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inFleet(t, 12, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
				begin := time.Now()
				for i := 0; time.Since(begin) < span; i++ {
					if test.interval == 0 {
						time.Sleep(span)
						break
					}
					time.Sleep(test.interval)
					fleet.instances[i%12].mustChange(t, putProfile(fmt.Sprint(i), "counter", config.AnyRevision, 100))
				}
				calls := 0
				for _, count := range fleet.memory.Calls() {
					calls += count
				}
				rate := float64(calls) / time.Since(begin).Seconds()
				t.Logf("%.2f calls of the platform in a second: %v", rate, fleet.memory.Calls())
				is.True(rate <= test.limit)
			})
		})
	}
}
