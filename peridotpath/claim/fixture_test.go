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
	"peridotpath.example/peridotpath/keyvalue/memory"
)

// fate is short for the tests' many faults.
type fate = memory.Fault

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
	link   memory.Link
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
		Store: instance.link.Store(&fleet.platform), Instance: id, Incarnation: incarnation,
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

// stop ends the instance at once and waits for it.
func (instance *instance) stop() error {
	instance.cancel()
	return <-instance.ended
}

// kill ends the instance without a chance to write, and tells the list.
func (fleet *fleet) kill(instance *instance) {
	if err := instance.stop(); err != nil {
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
		is.NoErr(instance.stop())
	}
}

func ok(body string) *claim.Answer {
	return &claim.Answer{Status: 200, Body: []byte(body)}
}

var background = context.Background()

// shift is how far a wall clock is from the true time, in nanoseconds.
type shift struct{ atomic.Int64 }

func (shift *shift) now() time.Time { return time.Now().Add(time.Duration(shift.Load())) }
