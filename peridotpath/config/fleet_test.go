package config_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
)

// hopDelay is the one-way network delay between any two processes of a fleet.
const hopDelay = time.Millisecond

// fleet is a group of instances that share one key-value service, called the platform, on
// the clock of a synctest bubble.
type fleet struct {
	memory             *memory.Memory
	platform           *keyvalue.Store
	platformDown       atomic.Bool  // the key-value service is unreachable for all instances
	delayedWatches     atomic.Int64 // number of watch replies still to be delayed
	firstInstanceHangs atomic.Bool  // the first instance accepts polls but never responds
	instances          []*instance
}

// instance is one instance of a fleet, across its restarts.
type instance struct {
	fleet               *fleet
	isReader            bool
	isPartitioned       atomic.Bool // the key-value service and all peers are unreachable
	platformUnreachable atomic.Bool // the key-value service is unreachable for this instance
	current             atomic.Pointer[config.Store]
	cancel              context.CancelFunc
	done                chan error
}

func newFleet(size, readers int) *fleet {
	fleet := &fleet{memory: &memory.Memory{}}
	fleet.platform = fleet.memory.Store()
	for i := range size {
		instance := &instance{fleet: fleet, isReader: i < readers}
		instance.replaceStore()
		fleet.instances = append(fleet.instances, instance)
	}
	return fleet
}

// replaceStore replaces the instance's Store by an empty one.
func (instance *instance) replaceStore() {
	instance.current.Store(&config.Store{
		KeyValue:       instance.keyValue(),
		Log:            zerolog.Nop(),
		IsReader:       func() bool { return instance.isReader },
		FetchFromPeers: instance.fetchFromPeers,
		Random:         func() float64 { return 0.5 },
	})
}

func (instance *instance) store() *config.Store { return instance.current.Load() }

// start calls Load and starts Run. It returns Load's error.
func (instance *instance) start() error {
	ctx, cancel := context.WithCancel(context.Background())
	store, done := instance.store(), make(chan error, 1)
	instance.cancel, instance.done = cancel, done
	_, err := store.Load(ctx)
	go func() { done <- store.Run(ctx) }()
	return err
}

// stop cancels Run and waits until it returns.
func (instance *instance) stop() {
	if instance.done == nil {
		return
	}
	instance.cancel()
	if err := <-instance.done; !errors.Is(err, context.Canceled) {
		panic(err)
	}
	instance.done = nil
}

// withFleet calls test in a synctest bubble with a running fleet.
func withFleet(t *testing.T, size, readers int, fault fault, test func(t *testing.T, is *is.I, fleet *fleet)) {
	t.Helper()
	virtual.Test(t, func(t *testing.T) {
		fleet := newFleet(size, readers)
		if fault != nil {
			fleet.memory.Fault = func(_ context.Context, call, key string, applied bool) error {
				return fault(fleet, call, key, applied)
			}
		}
		fleet.start(t)
		defer fleet.stop()
		test(t, is.New(t), fleet)
	})
}

// fault returns an error if a platform call is to fail. It is called before and after
// the call takes effect.
type fault func(fleet *fleet, call, key string, applied bool) error

func (fleet *fleet) start(t *testing.T) {
	t.Helper()
	for _, instance := range fleet.instances {
		if err := instance.start(); err != nil {
			t.Fatal(err)
		}
	}
}

// restart restarts an instance with an empty Store.
func (instance *instance) restart(t *testing.T) {
	t.Helper()
	instance.stop()
	instance.replaceStore()
	if err := instance.start(); err != nil {
		t.Fatal(err)
	}
}

func (fleet *fleet) stop() {
	for _, instance := range fleet.instances {
		instance.stop()
	}
}

// keyValue returns the platform's key-value service, reached through the instance's
// simulated network.
func (instance *instance) keyValue() *keyvalue.Store {
	platform := instance.fleet.platform
	return &keyvalue.Store{
		Get: func(ctx context.Context, key string) (keyvalue.Entry, error) {
			if err := instance.callPlatform(); err != nil {
				return keyvalue.Entry{}, err
			}
			return platform.Get(ctx, key)
		},
		List: func(ctx context.Context, prefix string) ([]keyvalue.Entry, keyvalue.Version, error) {
			if err := instance.callPlatform(); err != nil {
				return nil, 0, err
			}
			return platform.List(ctx, prefix)
		},
		Swap: func(ctx context.Context, key string, expect keyvalue.Version, value []byte, lease keyvalue.LeaseID) (keyvalue.Version, error) {
			if err := instance.callPlatform(); err != nil {
				return 0, err
			}
			return platform.Swap(ctx, key, expect, value, lease)
		},
		Watch: func(ctx context.Context, prefix string, after keyvalue.Version, wait time.Duration) ([]keyvalue.Entry, keyvalue.Version, error) {
			if err := instance.callPlatform(); err != nil {
				return nil, 0, err
			}
			entries, version, err := platform.Watch(ctx, prefix, after, wait)
			instance.fleet.delayWatch()
			if callErr := instance.callPlatform(); callErr != nil { // a fault that begins during the watch loses the reply
				return nil, 0, callErr
			}
			return entries, version, err
		},
	}
}

// delayWatch delays a watch reply, so that it is stale on arrival.
func (fleet *fleet) delayWatch() {
	if fleet.delayedWatches.Add(-1) >= 0 {
		time.Sleep(2 * time.Second)
		return
	}
	fleet.delayedWatches.Store(0)
}

func (instance *instance) callPlatform() error {
	time.Sleep(hopDelay)
	if instance.fleet.platformDown.Load() || instance.isPartitioned.Load() || instance.platformUnreachable.Load() {
		return keyvalue.ErrNotSent.New("no route")
	}
	return nil
}

// fetchFromPeers polls one reader or, if wait is zero, all other instances.
func (instance *instance) fetchFromPeers(ctx context.Context, have config.Revisions, wait time.Duration) ([]config.Update, error) {
	time.Sleep(hopDelay)
	var updates []config.Update
	for _, other := range instance.fleet.instances {
		if other == instance || instance.isPartitioned.Load() || other.isPartitioned.Load() || wait > 0 && !other.isReader {
			continue
		}
		if instance.fleet.firstInstanceHangs.Load() && other == instance.fleet.instances[0] && wait > 0 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		update, err := other.store().WaitForUpdate(ctx, have, wait)
		if err != nil || instance.isPartitioned.Load() || other.isPartitioned.Load() {
			continue
		}
		updates = append(updates, update)
		if wait > 0 {
			break
		}
	}
	time.Sleep(hopDelay)
	if len(updates) == 0 {
		return nil, errors.New("no peer responded")
	}
	return updates, nil
}

// putProfile returns a change that creates or replaces a profile.
func putProfile(id, name string, base peridotpath.Revision, deadline peridotpath.Millis) config.Change {
	value := fmt.Sprintf(`{"name": %q, "service": "claims-llm", "deadline_ms": %d}`, name, deadline)
	return config.Change{ID: config.ChangeID(id), Who: "nimal", Kind: config.KindProfile, Name: name, Base: base, Value: json.RawMessage(value)}
}

// putCustomer returns a change that creates or replaces a customer.
func putCustomer(id, name, key string) config.Change {
	value := fmt.Sprintf(`{"id": %q, "key_sha256": %q}`, name, peridotpath.HashKey(key))
	return config.Change{ID: config.ChangeID(id), Who: "nimal", Kind: config.KindCustomer, Name: name, Value: json.RawMessage(value)}
}

// changeContext returns a context with an operator's client timeout.
func changeContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}
