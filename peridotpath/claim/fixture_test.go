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

type fault = memory.Fault

// fleet is a set of ledgers that share one store.
type fleet struct {
	t     *testing.T
	store memory.Memory
	mu    sync.Mutex
	dead  map[peridotpath.InstanceID]peridotpath.Incarnation
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

// start runs an instance; change may modify its ledger first.
func (fleet *fleet) start(id peridotpath.InstanceID, incarnation peridotpath.Incarnation, change func(*claim.Ledger)) *instance {
	instance := &instance{ended: make(chan error, 1)}
	instance.Ledger = &claim.Ledger{
		Store: instance.link.Store(&fleet.store), Instance: id, Incarnation: incarnation,
		Settings: claim.Settings{Buckets: 1}, IsAlive: fleet.isAlive,
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

func (fleet *fleet) isAlive(id peridotpath.InstanceID, incarnation peridotpath.Incarnation) bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.dead[id] < incarnation
}

// stop ends the instance at once and waits for it.
func (instance *instance) stop() error {
	instance.cancel()
	return <-instance.ended
}

// kill ends the instance before it can write anything more, and removes it from the
// membership list.
func (fleet *fleet) kill(instance *instance) {
	if err := instance.stop(); err != nil {
		fleet.t.Error(err)
	}
	fleet.markDead(instance)
}

func (fleet *fleet) markDead(instance *instance) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.dead[instance.Instance] = instance.Incarnation
}

// swapCount returns the number of writes that the store received.
func (fleet *fleet) swapCount() int { return fleet.store.Calls()["swap"] }

func hash(body string) claim.BodyHash { return sha256.Sum256([]byte(body)) }

const customer = peridotpath.CustomerID("airline")

// claimKey claims the key with the body "body".
func (instance *instance) claimKey(key string) (claim.Verdict, error) {
	return instance.Claim(context.Background(), customer, key, hash("body"))
}

// keyStatus claims the key and returns only the status; a refusal fails the test.
func (instance *instance) keyStatus(is *is.I, key string) claim.KeyStatus {
	verdict, err := instance.claimKey(key)
	is.NoErr(err)
	return verdict.Status
}

// mustClaim claims the key and fails the test unless the claim is granted.
func (instance *instance) mustClaim(is *is.I, key string) *claim.Claim {
	verdict, err := instance.claimKey(key)
	is.NoErr(err)
	is.Equal(verdict.Status, claim.Granted)
	return verdict.Claim
}

func isCode(err error, code peridotpath.Code) bool {
	var result *peridotpath.Result
	return errors.As(err, &result) && result.Code == code
}

// runWithFleet runs a test with a fleet, in virtual time.
func runWithFleet(t *testing.T, test func(is *is.I, fleet *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(is.New(t), newFleet(t)) })
}

// closeAll stops the instances and waits for them.
func closeAll(is *is.I, instances ...*instance) {
	for _, instance := range instances {
		is.NoErr(instance.stop())
	}
}

func okAnswer(body string) *claim.Answer {
	return &claim.Answer{Status: 200, Body: []byte(body)}
}

var background = context.Background()

// clockOffset is the offset of a wall clock from the true time, in nanoseconds.
type clockOffset struct{ atomic.Int64 }

func (clockOffset *clockOffset) now() time.Time {
	return time.Now().Add(time.Duration(clockOffset.Load()))
}
