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

// mustChange makes a change and fails the test unless it is accepted.
func (instance *instance) mustChange(t *testing.T, change config.Change) peridotpath.Revision {
	t.Helper()
	accepted, err := instance.store().Change(changeContext(t), change)
	if err != nil {
		t.Fatal(err)
	}
	return accepted.Revision
}

func (instance *instance) revision() peridotpath.Revision {
	return instance.store().ActiveRevisions()["profiles"]
}

// An instance restarts with an empty store while the platform is down. One of its peers
// missed the last change, the other one has it. The instance must wait for both and take the
// higher revision: with the first response it could revert an accepted change.
func TestStartDuringOutageTakesHighestRevision(t *testing.T) {
	withFleet(t, 3, 3, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		lagging, ahead, restarted := fleet.instances[0], fleet.instances[1], fleet.instances[2]
		ahead.mustChange(t, putProfile("1", "counter", 0, 100))
		time.Sleep(time.Second)
		lagging.isPartitioned.Store(true)
		ahead.mustChange(t, putProfile("2", "counter", 1, 200))
		time.Sleep(time.Second)
		restarted.stop()
		fleet.platformDown.Store(true)
		lagging.isPartitioned.Store(false)
		is.Equal(lagging.revision(), peridotpath.Revision(1))
		restarted.replaceStore()
		is.NoErr(restarted.start())
		is.Equal(restarted.revision(), peridotpath.Revision(2)) // the lagging peer's revision was applied
		is.True(restarted.store().Ready())
	})
}

// An instance restarts with an empty store while the platform is down, and its only peer
// missed the last change. The instance must start with the peer's configuration, and apply
// the last change once the platform is reachable again.
func TestStartFromLaggingPeer(t *testing.T) {
	withFleet(t, 2, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		lagging, restarted := fleet.instances[0], fleet.instances[1]
		restarted.mustChange(t, putProfile("1", "counter", 0, 100))
		time.Sleep(time.Second)
		lagging.isPartitioned.Store(true)
		restarted.mustChange(t, putProfile("2", "counter", 1, 200))
		restarted.stop()
		fleet.platformDown.Store(true)
		lagging.isPartitioned.Store(false)
		restarted.replaceStore()
		is.NoErr(restarted.start())
		is.Equal(restarted.revision(), peridotpath.Revision(1))
		time.Sleep(10 * time.Minute)
		is.True(restarted.store().Ready()) // not ready in an outage of the platform alone
		fleet.platformDown.Store(false)
		time.Sleep(11 * time.Second)
		is.Equal(restarted.revision(), peridotpath.Revision(2))
		is.Equal(lagging.revision(), peridotpath.Revision(2))
	})
}

// An instance starts without access to the platform or a peer. It must not become
// ready: without a configuration it would refuse every caller that the load balancer
// sends to it.
func TestStartWithoutReachableSource(t *testing.T) {
	withFleet(t, 2, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		fleet.instances[0].mustChange(t, putProfile("1", "counter", 0, 100))
		isolated := fleet.instances[1]
		isolated.stop()
		isolated.isPartitioned.Store(true)
		isolated.replaceStore()
		is.True(isolated.start() != nil)
		time.Sleep(time.Hour)
		is.True(!isolated.store().Ready())
		_, err := isolated.store().Change(changeContext(t), putProfile("2", "counter", 1, 200))
		is.True(config.ErrNotAccepted.Has(err))
		isolated.isPartitioned.Store(false)
		time.Sleep(11 * time.Second)
		is.True(isolated.store().Ready())
		is.Equal(isolated.revision(), peridotpath.Revision(1))
	})
}

// An instance is partitioned from the platform and its peers while callers still reach
// it. It must become not ready within the documented time, keep its configuration, and
// catch up when the partition heals. Its peers must stay ready.
func TestPartitionedInstance(t *testing.T) {
	withFleet(t, 3, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		for _, isolated := range fleet.instances {
			before := isolated.mustChange(t, putProfile(fmt.Sprint(time.Now().UnixNano()), "counter", config.AnyRevision, 100))
			time.Sleep(time.Second)
			isolated.isPartitioned.Store(true)
			time.Sleep(config.DefaultNotReadyAfter - 7*time.Second)
			is.True(isolated.store().Ready()) // not ready after a short partition
			other := fleet.instances[0]
			if other == isolated {
				other = fleet.instances[1]
			}
			other.mustChange(t, putProfile(fmt.Sprint(time.Now().UnixNano()), "counter", config.AnyRevision, 200))
			time.Sleep(8 * time.Second)
			is.True(!isolated.store().Ready()) // a partitioned instance still accepts callers
			is.True(other.store().Ready())
			is.Equal(isolated.revision(), before)
			is.True(isolated.store().Current().Config.Profile("counter") != nil)
			time.Sleep(time.Minute)
			isolated.isPartitioned.Store(false)
			time.Sleep(11 * time.Second)
			is.True(isolated.store().Ready())
			is.Equal(isolated.revision(), before+1)
		}
	})
}

// All instances are restarted with an empty store, one by one, during an outage of the
// platform, so that only the instances hold the configuration. Each must load the
// configuration from its peers before the next instance is restarted.
func TestReplaceAllDuringOutage(t *testing.T) {
	withFleet(t, 4, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		for i := range 3 {
			fleet.instances[i].mustChange(t, putProfile(fmt.Sprint(i), "counter", config.AnyRevision, 100))
			time.Sleep(time.Second)
		}
		fleet.platformDown.Store(true)
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

// The platform is down for a long time, and the data centre has only one reader, which has
// no other reader to follow. The reader must stay ready: its callers would otherwise move
// to the other instances without need.
func TestOutageWithOneReader(t *testing.T) {
	withFleet(t, 3, 1, nil, func(t *testing.T, is *is.I, fleet *fleet) {
		fleet.instances[0].mustChange(t, putProfile("1", "counter", 0, 100))
		fleet.platformDown.Store(true)
		for range 60 {
			time.Sleep(10 * time.Second)
			for _, instance := range fleet.instances {
				is.True(instance.store().Ready()) // not ready in an outage of the platform alone
			}
		}
	})
}

// A follower's peer responds to every poll but has had no platform contact for a long time,
// for example because only its route to the platform is down. The follower must fall
// back to the platform; otherwise the follower would keep an outdated configuration.
func TestFollowerOfStalePeer(t *testing.T) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		platform := (&memory.Memory{}).Store()
		store := &config.Store{
			KeyValue: platform,
			IsReader: func() bool { return false },
			FetchFromPeers: func(ctx context.Context, _ config.Revisions, wait time.Duration) ([]config.Update, error) {
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
		_, err = platform.Swap(ctx, "config/profiles", 0, documentJSON(t, 1, "counter", profile("counter")), keyvalue.LeaseID{})
		is.NoErr(err)
		time.Sleep(config.DefaultStaleAfter + config.DefaultMaxPollWait)
		is.Equal(store.ActiveRevisions()["profiles"], peridotpath.Revision(1)) // the follower did not fall back to the platform
		cancel()
		is.True(errors.Is(<-done, context.Canceled))
	})
}

// propagationTime makes a change and returns the time until it is active on every
// instance.
func (fleet *fleet) propagationTime(t *testing.T, change config.Change) time.Duration {
	t.Helper()
	begin := time.Now()
	want := fleet.instances[len(fleet.instances)-1].mustChange(t, change)
	for _, instance := range fleet.instances {
		for instance.revision() < want {
			time.Sleep(hopDelay)
			if time.Since(begin) > time.Minute {
				t.Fatal("want the change active on every instance within a minute")
			}
		}
	}
	return time.Since(begin)
}

// maxPropagationTime makes changes at varied intervals and returns the longest
// propagation time.
func (fleet *fleet) maxPropagationTime(t *testing.T, count int) time.Duration {
	t.Helper()
	var spans []time.Duration
	for i := range count {
		spans = append(spans, fleet.propagationTime(t, putProfile(fmt.Sprint(i), "counter", config.AnyRevision, 100)))
		time.Sleep(time.Duration(i) * 97 * time.Millisecond)
	}
	slices.Sort(spans)
	longest := spans[count-1]
	t.Logf("propagation to %d instances: median %s, longest of %d %s", len(fleet.instances), spans[count/2], count, longest)
	return longest
}

// TestPropagationTime bounds the time, on the synctest bubble's clock, from a change
// until it is active on all 12 instances, with a network delay of 1 ms per hop.
func TestPropagationTime(t *testing.T) {
	tests := []struct {
		name  string
		fault fault
		limit time.Duration
	}{
		{"no fault", nil, 20 * time.Millisecond},
		{"platform takes 2 s per reply", func(_ *fleet, call, _ string, applied bool) error {
			if applied && call != "list" {
				time.Sleep(2 * time.Second)
			}
			return nil
		}, 7 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, 12, 2, test.fault, func(t *testing.T, is *is.I, fleet *fleet) {
				is.True(fleet.maxPropagationTime(t, 100) <= test.limit)
			})
		})
	}
}

// A reader hangs, so that it accepts its followers' polls but never responds, or loses
// only its route to the platform. Followers must switch to another source; otherwise
// they would receive later changes late or never.
func TestPropagationTimeWithFailedReader(t *testing.T) {
	tests := []struct {
		name        string
		injectFault func(fleet *fleet)
		limit       time.Duration
	}{
		{"hung", func(fleet *fleet) { fleet.firstInstanceHangs.Store(true) }, config.DefaultMaxPollWait + 2*time.Second},
		{"without platform", func(fleet *fleet) { fleet.instances[0].platformUnreachable.Store(true) }, config.DefaultStaleAfter + config.DefaultMaxPollWait},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, 12, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
				test.injectFault(fleet)
				is.True(fleet.maxPropagationTime(t, 100) <= test.limit)
			})
		})
	}
}

// TestPlatformCallRate bounds the rate of platform calls of a data centre of 12
// instances over ten minutes: idle, and with a change every 2.2 s, which is 39,000
// changes a day.
func TestPlatformCallRate(t *testing.T) {
	const span = 10 * time.Minute
	tests := []struct {
		name     string
		interval time.Duration
		limit    float64 // calls per second
	}{
		{"no changes", 0, 0.5},
		{"39,000 changes a day", 2215 * time.Millisecond, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFleet(t, 12, 2, nil, func(t *testing.T, is *is.I, fleet *fleet) {
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
				t.Logf("%.2f platform calls per second: %v", rate, fleet.memory.Calls())
				is.True(rate <= test.limit)
			})
		})
	}
}
