// Package lease holds a lease of the platform's key-value service, so that one
// instance at a time gives the orders for one data centre and service.
//
// A lease does not keep a paused holder from acting. Three things together do:
// the holder counts the lease from before its renewal was sent and stops a
// margin early; each tenure has a higher fencing number, which some engines
// check; and where engines ignore it, a new holder waits out the old lease and
// the longest order before it begins. What remains is a holder that freezes
// between its check and its send; see docs/CLAIMS.md.
package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
)

// Error is the class of this package's errors.
var Error = errs.Class("lease")

// Term is what a holder has at one moment.
type Term struct {
	// Fencing is the tenure's number; a later tenure has a higher one.
	Fencing peridotpath.FencingNumber
	// Left is how long the holder may still act.
	Left time.Duration
}

// Holder gets and keeps one lease. Set the exported fields before Run.
type Holder struct {
	Store *keyvalue.Store
	// Key is the lease's key, one for each data centre and service.
	Key         string
	Instance    peridotpath.InstanceID
	Incarnation peridotpath.Incarnation
	Settings    Settings
	// WaitOut is set where any engine ignores fencing numbers.
	WaitOut bool
	// Unused reports that no order was ever given under the lease, so that there
	// is none to wait out; asked once the lease is won. nil stands for unknown.
	Unused func(ctx context.Context) (bool, error)
	Clock  clock.Clock
	Logger zerolog.Logger
	// Metrics takes the counters; nil stands for the default set.
	Metrics *metrics.Set

	tenure  atomic.Pointer[tenure]
	once    sync.Once
	closing sync.Once
	started atomic.Bool
	stop    chan struct{}
	ended   chan struct{}
}

func (holder *Holder) setUp() {
	holder.once.Do(func() {
		holder.Settings.Defaults()
		if holder.Metrics == nil {
			holder.Metrics = metrics.GetDefaultSet()
		}
		holder.stop, holder.ended = make(chan struct{}), make(chan struct{})
	})
}

// tenure is one lease from when it was won. It is replaced, not changed, when
// the lease is renewed.
type tenure struct {
	lease   keyvalue.LeaseID
	fencing peridotpath.FencingNumber
	// won is after the lease was seen to be ours.
	won clock.Instant
	// renewed is before the last renewal that succeeded was sent.
	renewed clock.Instant
	// handedOver says that the holder before gave the lease back in good order,
	// or that there was none: nothing that was sent is still on its way.
	handedOver bool
}

// claimant is the value of the lease's key.
type claimant struct {
	Instance    peridotpath.InstanceID  `json:"instance"`
	Incarnation peridotpath.Incarnation `json:"incarnation"`
	// Released says that the holder has given the lease back. The entry then
	// belongs to no lease and stays until somebody takes the key.
	Released bool `json:"released,omitempty"`
}

// Key returns the key of the lease for a data centre and service.
func Key(dataCentre peridotpath.DataCentre, service peridotpath.Service) string {
	return "leases/" + string(dataCentre) + "/" + string(service)
}

// Held returns the term if this process may act now. Ask right before each
// action, and bound the action by Term.Left.
func (holder *Holder) Held() (Term, bool) {
	tenure := holder.tenure.Load()
	if tenure == nil {
		return Term{}, false
	}
	now := holder.Clock.Read()
	settings := &holder.Settings
	// The platform counts from when it got the renewal, which is later than
	// when it was sent, so by its count the lease outlives this.
	left := (settings.TTLMS - settings.MarginMS).Duration() - tenure.renewed.Elapsed(now)
	if left <= 0 || !holder.waitedOut(tenure) {
		return Term{}, false
	}
	return Term{Fencing: tenure.fencing, Left: left}, true
}

// quiet is how long a new holder gives no orders. An engine that ignores
// fencing numbers would still take an order of the holder before: one sent at
// the last moment of its lease, which then took as long as an order may. One
// that gave the lease back has sent nothing that is still on its way, so that
// replacing instances one after another leaves no time without orders.
func (holder *Holder) quiet(tenure *tenure) time.Duration {
	if !holder.WaitOut || tenure.handedOver {
		return 0
	}
	return (holder.Settings.TTLMS + holder.Settings.LongestOrderMS).Duration()
}

// Run gets the lease whenever it is free and keeps it, until ctx ends or Close
// is called; then it gives the lease back. End it only once no order of this
// process is under way: the next holder may give its first at once.
func (holder *Holder) Run(ctx context.Context) error {
	holder.setUp()
	if holder.started.Swap(true) {
		return Error.New("run: already running")
	}
	defer close(holder.ended)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watched := make(chan struct{})
	go holder.cancelOnStop(ctx, cancel, watched)
	defer func() {
		cancel()
		<-watched
	}()
	for ctx.Err() == nil {
		tenure, err := holder.win(ctx)
		switch {
		case err != nil:
			holder.count("lease_errors_total")
			holder.Logger.Warn().Str("event", "lease_not_won").Str("key", holder.Key).Err(err).Send()
			clock.Sleep(ctx, holder.retry())
		case tenure != nil:
			holder.keep(ctx, tenure)
		}
	}
	return nil
}

func (holder *Holder) cancelOnStop(ctx context.Context, cancel context.CancelFunc, done chan<- struct{}) {
	defer close(done)
	select {
	case <-holder.stop:
		cancel()
	case <-ctx.Done():
	}
}

// Close ends Run, gives the lease back and waits for both. A Run that comes
// after Close returns at once.
func (holder *Holder) Close() error {
	holder.setUp()
	holder.closing.Do(func() { close(holder.stop) })
	if holder.started.Load() {
		<-holder.ended
	}
	return nil
}

// retry is how long a failed call is waited after: often enough to bring two
// more tries within the margin, seldom enough for a platform in trouble.
func (holder *Holder) retry() time.Duration { return holder.Settings.TTLMS.Duration() / 10 }

// win waits a while for the lease to be free and tries to get it. It returns
// nil when another has it.
func (holder *Holder) win(ctx context.Context) (*tenure, error) {
	entry, err := holder.Store.Get(ctx, holder.Key)
	if err != nil {
		return nil, Error.New("read: %w", err)
	}
	released := isReleased(entry)
	if entry.Version != 0 && !released {
		_, _, err := holder.Store.Watch(ctx, holder.Key, entry.Version, holder.Settings.WaitMS.Duration())
		return nil, Error.Wrap(err)
	}
	sent := holder.Clock.Read()
	lease, err := holder.Store.Grant(ctx, holder.Settings.TTLMS.Duration())
	if err != nil {
		return nil, Error.New("grant: %w", err)
	}
	version, err := holder.take(ctx, entry.Version, lease)
	if err != nil || version == 0 {
		holder.giveBack(lease)
		return nil, err
	}
	// The version of the write that took the key is the fencing number: it
	// grows with each write. Lease numbers do not do: one granted early may
	// win late, after a higher one has come and gone.
	return &tenure{
		lease: lease, fencing: peridotpath.FencingNumber(version),
		renewed: sent, won: holder.Clock.Read(), handedOver: holder.handedOver(ctx, released),
	}, nil
}

// handedOver reports that nothing which was sent under the lease before can still be on
// its way: its holder gave it back, or no order was ever given. Where the service came back
// from a copy, both may be older than a tenure that is gone from it and whose holder does
// not know yet.
func (holder *Holder) handedOver(ctx context.Context, released bool) bool {
	if holder.Store.Unbroken != nil && holder.Store.Unbroken() < (holder.Settings.TTLMS+holder.Settings.LongestOrderMS).Duration() {
		return false
	}
	return released || holder.unused(ctx)
}

// unused reports that no order can be on its way since none was ever given.
func (holder *Holder) unused(ctx context.Context) bool {
	if !holder.WaitOut || holder.Unused == nil {
		return false
	}
	unused, err := holder.Unused(ctx)
	return err == nil && unused
}

// isReleased reports whether the entry is what a holder left that gave its
// lease back.
func isReleased(entry keyvalue.Entry) bool {
	var left claimant
	return entry.Version != 0 && json.Unmarshal(entry.Value, &left) == nil && left.Released
}

// take writes the key under the lease. It returns zero when another was faster.
func (holder *Holder) take(ctx context.Context, expect keyvalue.Version, lease keyvalue.LeaseID) (keyvalue.Version, error) {
	value, err := json.Marshal(claimant{Instance: holder.Instance, Incarnation: holder.Incarnation})
	if err != nil {
		return 0, Error.Wrap(err)
	}
	version, err := holder.Store.Swap(ctx, holder.Key, expect, value, lease)
	switch {
	case err == nil:
		return version, nil
	case keyvalue.ErrConflict.Has(err):
		return 0, nil
	}
	// The answer was lost; the lease's number shows whether the write stands.
	entry, readErr := holder.Store.Get(ctx, holder.Key)
	if readErr != nil {
		return 0, Error.New("take: %w; read back: %w", err, readErr)
	}
	if entry.Lease == lease {
		return entry.Version, nil
	}
	return 0, Error.New("take: %w", err)
}

// keep renews the lease until it is lost or ctx ends.
func (holder *Holder) keep(ctx context.Context, tenure *tenure) {
	holder.tenure.Store(tenure)
	holder.count("lease_won_total")
	holder.Logger.Info().Str("event", "lease_won").Str("key", holder.Key).Uint64("fencing", uint64(tenure.fencing)).Send()
	defer holder.tenure.Store(nil)
	wait := holder.Settings.TTLMS.Duration() / 3
	for clock.Sleep(ctx, wait) {
		renewed, err := holder.renew(ctx, tenure)
		switch {
		case err == nil:
			tenure = renewed
			holder.tenure.Store(tenure)
			wait = holder.Settings.TTLMS.Duration() / 3
		case keyvalue.ErrLeaseGone.Has(err):
			holder.count("lease_lost_total")
			holder.Logger.Warn().Str("event", "lease_lost").Str("key", holder.Key).Send()
			return
		default:
			holder.count("lease_renewals_failed_total")
			wait = holder.retry()
		}
	}
	holder.tenure.Store(nil)
	if holder.waitedOut(tenure) {
		holder.handOver(tenure)
	}
	holder.giveBack(tenure.lease)
}

// waitedOut reports whether the orders of the holder before are over. A holder
// that is stopped sooner must not vouch for them: the next would give its first
// order while one of a frozen holder is still on its way.
func (holder *Holder) waitedOut(tenure *tenure) bool {
	return holder.Clock.Read().Monotonic.Sub(tenure.won.Monotonic) >= holder.quiet(tenure)
}

// handOver leaves word that this holder has ended in good order. When it fails
// the next one waits, as after a holder that died.
func (holder *Holder) handOver(tenure *tenure) {
	ctx, cancel := context.WithTimeout(context.Background(), holder.Settings.TTLMS.Duration()/2)
	defer cancel()
	value, err := json.Marshal(claimant{Instance: holder.Instance, Incarnation: holder.Incarnation, Released: true})
	if err != nil {
		return
	}
	if _, err := holder.Store.Swap(ctx, holder.Key, keyvalue.Version(tenure.fencing), value, keyvalue.LeaseID{}); err != nil {
		holder.count("lease_handovers_failed_total")
	}
}

func (holder *Holder) renew(ctx context.Context, before *tenure) (*tenure, error) {
	ctx, cancel := context.WithTimeout(ctx, holder.Settings.TTLMS.Duration()/2)
	defer cancel()
	renewed := *before
	renewed.renewed = holder.Clock.Read()
	if err := holder.Store.Renew(ctx, before.lease); err != nil {
		return nil, err
	}
	return &renewed, nil
}

// giveBack releases a lease that is not used. Failing that, it lapses.
func (holder *Holder) giveBack(lease keyvalue.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), holder.Settings.TTLMS.Duration()/2)
	defer cancel()
	if err := holder.Store.Release(ctx, lease); err != nil {
		holder.count("lease_releases_failed_total")
	}
}

func (holder *Holder) count(name string) {
	holder.Metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_%s{key=%q}", name, holder.Key)).Inc()
}
