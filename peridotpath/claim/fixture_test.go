package claim_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
)

// fate is what becomes of one call to the platform.
type fate struct {
	// delay passes before the call arrives.
	delay time.Duration
	// notSent and unanswered end a call before it arrives and after.
	notSent, unanswered bool
	// late makes a swap return without an answer at once and arrive this much
	// later.
	late time.Duration
}

// link is one instance's way to the platform.
type link struct {
	mu   sync.Mutex
	fate func(call string) fate
}

func (link *link) set(fate func(call string) fate) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.fate = fate
}

func (link *link) next(call string) fate {
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.fate == nil {
		return fate{}
	}
	return link.fate(call)
}

// do makes one call with the fate that was drawn for it.
func (link *link) do(ctx context.Context, name string, call func(context.Context) error) error {
	fate := link.next(name)
	if fate.notSent {
		return keyvalue.ErrNotSent.New("fault")
	}
	if fate.late > 0 {
		go func() {
			time.Sleep(fate.late)
			_ = call(context.Background())
		}()
		return keyvalue.ErrUnavailable.New("fault: arrives late")
	}
	select {
	case <-time.After(fate.delay):
	case <-ctx.Done():
		return keyvalue.ErrUnavailable.Wrap(ctx.Err())
	}
	err := call(ctx)
	if fate.unanswered {
		return keyvalue.ErrUnavailable.New("fault: answer lost")
	}
	return err
}

func (link *link) store(service *memory.Memory) *keyvalue.Store {
	inner := service.Store()
	outer := *inner
	outer.Get = func(ctx context.Context, key string) (entry keyvalue.Entry, err error) {
		err = link.do(ctx, "get", func(ctx context.Context) (err error) {
			entry, err = inner.Get(ctx, key)
			return err
		})
		return entry, err
	}
	outer.Swap = func(ctx context.Context, key string, expect keyvalue.Version, value []byte, lease keyvalue.LeaseID) (keyvalue.Version, error) {
		versions := make(chan keyvalue.Version, 1)
		err := link.do(ctx, "swap", func(ctx context.Context) error {
			version, err := inner.Swap(ctx, key, expect, value, lease)
			versions <- version
			return err
		})
		if err != nil {
			return 0, err
		}
		return <-versions, nil
	}
	return &outer
}

// fleet is several ledgers over one platform.
type fleet struct {
	t        *testing.T
	platform memory.Memory
	mu       sync.Mutex
	dead     map[peridotpath.InstanceID]peridotpath.Incarnation
}

// instance is one process with a ledger.
type instance struct {
	*claim.Ledger
	link   link
	cancel context.CancelFunc
	ended  chan error
}

func newFleet(t *testing.T) *fleet {
	return &fleet{t: t, dead: map[peridotpath.InstanceID]peridotpath.Incarnation{}}
}

// start runs an instance; change may alter its ledger first.
func (fleet *fleet) start(id peridotpath.InstanceID, incarnation peridotpath.Incarnation, change func(*claim.Ledger)) *instance {
	instance := &instance{ended: make(chan error, 1)}
	instance.Ledger = &claim.Ledger{
		Store: instance.link.store(&fleet.platform), Instance: id, Incarnation: incarnation,
		Settings: claim.Settings{Buckets: 1}, Alive: fleet.alive,
		Logger: zerolog.Nop(), Metrics: metrics.NewSet(),
	}
	if change != nil {
		change(instance.Ledger)
	}
	ctx, cancel := context.WithCancel(context.Background())
	instance.cancel = cancel
	go func() { instance.ended <- instance.Run(ctx) }()
	return instance
}

func (fleet *fleet) alive(id peridotpath.InstanceID, incarnation peridotpath.Incarnation) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.dead[id] < incarnation
}

// kill ends the instance without a chance to write, and tells the list.
func (fleet *fleet) kill(instance *instance) {
	instance.cancel()
	if err := <-instance.ended; err != nil {
		fleet.t.Error(err)
	}
	fleet.bury(instance)
}

func (fleet *fleet) bury(instance *instance) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.dead[instance.Instance] = instance.Incarnation
}

// swaps returns how many writes the platform got.
func (fleet *fleet) swaps() int { return fleet.platform.Calls()["swap"] }

func hash(body string) claim.BodyHash { return sha256.Sum256([]byte(body)) }

const customer = peridotpath.CustomerID("airline")

// ask claims the key with the body "body".
func (instance *instance) ask(key string) (claim.Verdict, error) {
	return instance.Claim(context.Background(), customer, key, hash("body"))
}

// standing asks and returns the standing alone; a refusal fails the test.
func (instance *instance) standing(is *is.I, key string) claim.Standing {
	verdict, err := instance.ask(key)
	is.NoErr(err)
	return verdict.Standing
}

// granted asks and expects to be granted the claim.
func (instance *instance) granted(is *is.I, key string) *claim.Claim {
	verdict, err := instance.ask(key)
	is.NoErr(err)
	is.Equal(verdict.Standing, claim.Granted)
	return verdict.Claim
}

func isCode(err error, code peridotpath.Code) bool {
	var result *peridotpath.Result
	return errors.As(err, &result) && result.Code == code
}

// story runs a test in virtual time with a fleet.
func story(t *testing.T, test func(is *is.I, fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(is.New(t), newFleet(t)) })
}

// close ends instances and waits for them.
func closeAll(is *is.I, instances ...*instance) {
	for _, instance := range instances {
		instance.cancel()
		is.NoErr(<-instance.ended)
	}
}

func ok(body string) *claim.Answer {
	return &claim.Answer{Status: 200, Body: []byte(body)}
}

var background = context.Background()

// shift is how far a wall clock is from the true time, in nanoseconds.
type shift struct{ atomic.Int64 }

func (shift *shift) now() time.Time { return time.Now().Add(time.Duration(shift.Load())) }
