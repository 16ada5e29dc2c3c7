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

// hop is the one-way delay between any two processes of a fleet.
const hop = time.Millisecond

// fleet is a few instances over one key-value service, on the clock of a
// synctest bubble.
type fleet struct {
	memory    *memory.Memory
	platform  *keyvalue.Store
	down      atomic.Bool  // no call reaches the platform
	slow      atomic.Int64 // how many answers to watches will come seconds late
	hung      atomic.Bool  // the first instance takes calls of peers and never answers
	instances []*instance
}

// instance is one life of one instance after another.
type instance struct {
	fleet  *fleet
	reader bool
	cut    atomic.Bool // neither platform nor peers are reached
	astray atomic.Bool // the platform is not reached
	life   atomic.Pointer[config.Store]
	cancel context.CancelFunc
	done   chan error
}

func newFleet(size, readers int) *fleet {
	fleet := &fleet{memory: &memory.Memory{}}
	fleet.platform = fleet.memory.Store()
	for i := range size {
		instance := &instance{fleet: fleet, reader: i < readers}
		instance.renew()
		fleet.instances = append(fleet.instances, instance)
	}
	return fleet
}

// renew puts a new Store, which holds nothing, in the place of the old one.
func (instance *instance) renew() {
	instance.life.Store(&config.Store{
		KeyValue: instance.keyValue(),
		Log:      zerolog.Nop(),
		IsReader: func() bool { return instance.reader },
		Peers:    instance.peers,
		Random:   func() float64 { return 0.5 },
	})
}

func (instance *instance) store() *config.Store { return instance.life.Load() }

// start loads and runs; the error is that of Load.
func (instance *instance) start() error {
	ctx, cancel := context.WithCancel(context.Background())
	store, done := instance.store(), make(chan error, 1)
	instance.cancel, instance.done = cancel, done
	_, err := store.Load(ctx)
	go func() { done <- store.Run(ctx) }()
	return err
}

// stop ends a life and waits for its end.
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

// inFleet calls test in a synctest bubble with a running fleet.
func inFleet(t *testing.T, size, readers int, fault fault, test func(t *testing.T, is *is.I, fleet *fleet)) {
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

// fault decides whether a call of the platform fails, before or after it took
// effect.
type fault func(fleet *fleet, call, key string, applied bool) error

func (fleet *fleet) start(t *testing.T) {
	t.Helper()
	for _, instance := range fleet.instances {
		if err := instance.start(); err != nil {
			t.Fatal(err)
		}
	}
}

// restart replaces an instance by one that holds nothing.
func (instance *instance) restart(t *testing.T) {
	t.Helper()
	instance.stop()
	instance.renew()
	if err := instance.start(); err != nil {
		t.Fatal(err)
	}
}

func (fleet *fleet) stop() {
	for _, instance := range fleet.instances {
		instance.stop()
	}
}

// keyValue returns the platform as the instance reaches it.
func (instance *instance) keyValue() *keyvalue.Store {
	platform := instance.fleet.platform
	return &keyvalue.Store{
		Get: func(ctx context.Context, key string) (keyvalue.Entry, error) {
			if err := instance.reach(); err != nil {
				return keyvalue.Entry{}, err
			}
			return platform.Get(ctx, key)
		},
		List: func(ctx context.Context, prefix string) ([]keyvalue.Entry, keyvalue.Version, error) {
			if err := instance.reach(); err != nil {
				return nil, 0, err
			}
			return platform.List(ctx, prefix)
		},
		Swap: func(ctx context.Context, key string, expect keyvalue.Version, value []byte, lease keyvalue.LeaseID) (keyvalue.Version, error) {
			if err := instance.reach(); err != nil {
				return 0, err
			}
			return platform.Swap(ctx, key, expect, value, lease)
		},
		Watch: func(ctx context.Context, prefix string, after keyvalue.Version, wait time.Duration) ([]keyvalue.Entry, keyvalue.Version, error) {
			if err := instance.reach(); err != nil {
				return nil, 0, err
			}
			entries, version, err := platform.Watch(ctx, prefix, after, wait)
			instance.fleet.delay()
			if cut := instance.reach(); cut != nil { // an answer on its way is lost too
				return nil, 0, cut
			}
			return entries, version, err
		},
	}
}

// delay holds an answer to a watch back, so that it tells old news.
func (fleet *fleet) delay() {
	if fleet.slow.Add(-1) >= 0 {
		time.Sleep(2 * time.Second)
		return
	}
	fleet.slow.Store(0)
}

func (instance *instance) reach() error {
	time.Sleep(hop)
	if instance.fleet.down.Load() || instance.cut.Load() || instance.astray.Load() {
		return keyvalue.ErrNotSent.New("no route")
	}
	return nil
}

// peers asks one reader or, without a wait, everyone.
func (instance *instance) peers(ctx context.Context, have config.Revisions, wait time.Duration) ([]config.Update, error) {
	time.Sleep(hop)
	var updates []config.Update
	for _, other := range instance.fleet.instances {
		if other == instance || instance.cut.Load() || other.cut.Load() || wait > 0 && !other.reader {
			continue
		}
		if instance.fleet.hung.Load() && other == instance.fleet.instances[0] && wait > 0 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		update, err := other.store().Changes(ctx, have, wait)
		if err != nil || instance.cut.Load() || other.cut.Load() {
			continue
		}
		updates = append(updates, update)
		if wait > 0 {
			break
		}
	}
	time.Sleep(hop)
	if len(updates) == 0 {
		return nil, errors.New("every peer is silent")
	}
	return updates, nil
}

// putProfile returns a change that writes a profile.
func putProfile(id, name string, base peridotpath.Revision, deadline peridotpath.Millis) config.Change {
	value := fmt.Sprintf(`{"name": %q, "service": "claims-llm", "deadline_ms": %d}`, name, deadline)
	return config.Change{ID: config.ChangeID(id), Who: "nimal", Kind: config.KindProfile, Name: name, Base: base, Value: json.RawMessage(value)}
}

// putCustomer returns a change that writes a customer.
func putCustomer(id, name, key string) config.Change {
	value := fmt.Sprintf(`{"id": %q, "key_sha256": %q}`, name, peridotpath.HashKey(key))
	return config.Change{ID: config.ChangeID(id), Who: "nimal", Kind: config.KindCustomer, Name: name, Value: json.RawMessage(value)}
}

// soon bounds an operator's patience.
func soon(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}
