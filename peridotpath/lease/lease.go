// Package lease elects a leader for each data centre and service through a lease of the
// platform's key-value service: the holder of the lease is the only instance that sends
// orders to the engines.
//
// A lease alone does not stop a holder that resumes after a pause. Three mechanisms
// together do: the holder counts the lease from before its renewal was sent and stops a
// clock margin early; each tenure has a higher fencing token, which some engines check;
// and where engines ignore the token, a new holder waits until the old lease and the
// longest order have ended. A holder that freezes between its check and its send is not
// covered; see docs/CLAIMS.md.
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

// Term is the fencing token and the remaining time of the current holder.
type Term struct {
	// Fencing is the tenure's fencing token; a later tenure has a higher one.
	Fencing peridotpath.FencingNumber
	// Remaining is for how long the holder may still act.
	Remaining time.Duration
}

// Holder acquires and renews one lease. Set the exported fields before Run.
type Holder struct {
	Store *keyvalue.Store
	// Key is the lease's key, one for each data centre and service.
	Key         string
	Instance    peridotpath.InstanceID
	Incarnation peridotpath.Incarnation
	Settings    Settings
	// WaitForOldOrders makes a new holder wait for the orders of the one before. It is set
	// where any engine ignores fencing tokens.
	WaitForOldOrders bool
	// NeverUsed reports whether no order was ever sent under the lease, so that there is
	// none to wait for. It is called once the lease is acquired; nil means unknown.
	NeverUsed func(ctx context.Context) (bool, error)
	Clock     clock.Clock
	Logger    zerolog.Logger
	// Metrics is the set of the counters; nil means the default set.
	Metrics *metrics.Set

	tenure    atomic.Pointer[tenure]
	setUpOnce sync.Once
	closeOnce sync.Once
	started   atomic.Bool
	stop      chan struct{}
	done      chan struct{}
}

func (holder *Holder) setUp() {
	holder.setUpOnce.Do(func() {
		holder.Settings.Defaults()
		if holder.Metrics == nil {
			holder.Metrics = metrics.GetDefaultSet()
		}
		holder.stop, holder.done = make(chan struct{}), make(chan struct{})
	})
}

// tenure is one uninterrupted holding of the lease. It is immutable; a renewal stores a
// new copy.
type tenure struct {
	lease   keyvalue.LeaseID
	fencing peridotpath.FencingNumber
	// acquiredAt is a time after the acquisition was confirmed.
	acquiredAt clock.Instant
	// renewalSentAt is a time before the last successful renewal was sent.
	renewalSentAt clock.Instant
	// noOrderInFlight is set if no earlier order can be in flight: the holder before
	// released the lease, or no order was ever sent.
	noOrderInFlight bool
}

// leaseRecord is the value stored under the lease's key.
type leaseRecord struct {
	Instance    peridotpath.InstanceID  `json:"instance"`
	Incarnation peridotpath.Incarnation `json:"incarnation"`
	// Released is set when the holder has released the lease. The entry is then bound
	// to no lease and remains until the next holder overwrites it.
	Released bool `json:"released,omitempty"`
}

// Key returns the key of the lease for a data centre and service.
func Key(dataCentre peridotpath.DataCentre, service peridotpath.Service) string {
	return "leases/" + string(dataCentre) + "/" + string(service)
}

// Held returns the term if this process may act now. Callers check it right before each
// action and bound the action by Term.Remaining.
func (holder *Holder) Held() (Term, bool) {
	tenure := holder.tenure.Load()
	if tenure == nil {
		return Term{}, false
	}
	now := holder.Clock.Read()
	settings := &holder.Settings
	// The platform counts the TTL from the arrival of the renewal, and this process from before
	// the renewal was sent, so the term ends here before the lease expires there.
	remaining := (settings.TTLMS - settings.MarginMS).Duration() - tenure.renewalSentAt.Elapsed(now)
	if remaining <= 0 || !holder.oldOrdersEnded(tenure) {
		return Term{}, false
	}
	return Term{Fencing: tenure.fencing, Remaining: remaining}, true
}

// oldOrdersWait is how long a new holder sends no orders. An engine that ignores fencing tokens
// would still apply an order that the holder before sent at the last moment of its lease
// and that takes the longest time allowed. A holder that released the lease has no order
// in flight, so a rolling replacement of instances causes no such pause.
func (holder *Holder) oldOrdersWait(tenure *tenure) time.Duration {
	if !holder.WaitForOldOrders || tenure.noOrderInFlight {
		return 0
	}
	return (holder.Settings.TTLMS + holder.Settings.LongestOrderMS).Duration()
}

// Run acquires the lease whenever it is free and renews it until ctx ends or Close is
// called; then it releases the lease. End Run only once no order of this process is in
// flight: the next holder may send its first order at once.
func (holder *Holder) Run(ctx context.Context) error {
	holder.setUp()
	if holder.started.Swap(true) {
		return Error.New("run: already running")
	}
	defer close(holder.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchEnded := make(chan struct{})
	go holder.cancelOnStop(ctx, cancel, watchEnded)
	defer func() {
		cancel()
		<-watchEnded
	}()
	for ctx.Err() == nil {
		tenure, err := holder.tryAcquire(ctx)
		switch {
		case err != nil:
			holder.count("lease_errors_total")
			holder.Logger.Warn().Str("event", "lease_not_won").Str("key", holder.Key).Err(err).Send()
			clock.SleepContext(ctx, holder.retryDelay())
		case tenure != nil:
			holder.keepRenewed(ctx, tenure)
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

// Close ends Run and waits until the lease is released. A Run after Close returns at once.
func (holder *Holder) Close() error {
	holder.setUp()
	holder.closeOnce.Do(func() { close(holder.stop) })
	if holder.started.Load() {
		<-holder.done
	}
	return nil
}

// retryDelay is the delay after a failed call: short enough for two more attempts within the
// margin, long enough not to load a failing platform.
func (holder *Holder) retryDelay() time.Duration { return holder.Settings.TTLMS.Duration() / 10 }

// tryAcquire makes one attempt to acquire the lease. While another process holds it, it waits
// for a change for up to Settings.WaitMS and returns nil.
func (holder *Holder) tryAcquire(ctx context.Context) (*tenure, error) {
	entry, err := holder.Store.Get(ctx, holder.Key)
	if err != nil {
		return nil, Error.New("read key: %w", err)
	}
	released := isReleased(entry)
	if entry.Version != 0 && !released {
		_, _, err := holder.Store.Watch(ctx, holder.Key, entry.Version, holder.Settings.WaitMS.Duration())
		return nil, Error.Wrap(err)
	}
	grantSentAt := holder.Clock.Read()
	lease, err := holder.Store.Grant(ctx, holder.Settings.TTLMS.Duration())
	if err != nil {
		return nil, Error.New("grant lease: %w", err)
	}
	version, err := holder.writeKey(ctx, entry.Version, lease)
	if err != nil || version == 0 {
		holder.releaseLease(lease)
		return nil, err
	}
	// The fencing token is the version of the write that acquired the key, which
	// grows with each write. Lease numbers are unsuitable: a lease granted early may
	// acquire the key after one with a higher number has expired.
	return &tenure{
		lease: lease, fencing: peridotpath.FencingNumber(version),
		renewalSentAt: grantSentAt, acquiredAt: holder.Clock.Read(), noOrderInFlight: holder.noOrderInFlight(ctx, released),
	}, nil
}

// noOrderInFlight reports whether no order sent under an earlier lease can be in flight: its
// holder released it, or no order was ever sent. Shortly after the store was restored from
// an older copy neither is known: the restore may have lost a later tenure, whose holder
// may still act.
func (holder *Holder) noOrderInFlight(ctx context.Context, released bool) bool {
	if holder.Store.TimeSinceDataLoss != nil && holder.Store.TimeSinceDataLoss() < (holder.Settings.TTLMS+holder.Settings.LongestOrderMS).Duration() {
		return false
	}
	return released || holder.neverUsed(ctx)
}

// neverUsed reports whether no order was ever sent. It returns false if that is unknown.
func (holder *Holder) neverUsed(ctx context.Context) bool {
	if !holder.WaitForOldOrders || holder.NeverUsed == nil {
		return false
	}
	unused, err := holder.NeverUsed(ctx)
	return err == nil && unused
}

// isReleased reports whether the entry marks a lease that its holder released.
func isReleased(entry keyvalue.Entry) bool {
	var record leaseRecord
	return entry.Version != 0 && json.Unmarshal(entry.Value, &record) == nil && record.Released
}

// writeKey writes the key under the lease. It returns zero if another process wrote it first.
func (holder *Holder) writeKey(ctx context.Context, expect keyvalue.Version, lease keyvalue.LeaseID) (keyvalue.Version, error) {
	value, err := json.Marshal(leaseRecord{Instance: holder.Instance, Incarnation: holder.Incarnation})
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
	// The reply was lost; the lease of the stored entry shows whether the write was applied.
	entry, readErr := holder.Store.Get(ctx, holder.Key)
	if readErr != nil {
		return 0, Error.New("write key: %w; read back: %w", err, readErr)
	}
	if entry.Lease == lease {
		return entry.Version, nil
	}
	return 0, Error.New("write key: %w", err)
}

// keepRenewed renews the lease until it expires or ctx ends, and releases it when ctx ends.
func (holder *Holder) keepRenewed(ctx context.Context, tenure *tenure) {
	holder.tenure.Store(tenure)
	holder.count("lease_won_total")
	holder.Logger.Info().Str("event", "lease_won").Str("key", holder.Key).Uint64("fencing", uint64(tenure.fencing)).Send()
	defer holder.tenure.Store(nil)
	wait := holder.Settings.TTLMS.Duration() / 3
	for clock.SleepContext(ctx, wait) {
		renewed, err := holder.renew(ctx, tenure)
		switch {
		case err == nil:
			tenure = renewed
			holder.tenure.Store(tenure)
			wait = holder.Settings.TTLMS.Duration() / 3
		case keyvalue.ErrLeaseExpired.Has(err):
			holder.count("lease_lost_total")
			holder.Logger.Warn().Str("event", "lease_lost").Str("key", holder.Key).Send()
			return
		default:
			holder.count("lease_renewals_failed_total")
			wait = holder.retryDelay()
		}
	}
	holder.tenure.Store(nil)
	if holder.oldOrdersEnded(tenure) {
		holder.markReleased(tenure)
	}
	holder.releaseLease(tenure.lease)
}

// oldOrdersEnded reports whether the orders of the holder before have ended. A holder that is
// stopped sooner must not mark the lease as released: the next one would send its first
// order while one of a frozen holder is still in flight.
func (holder *Holder) oldOrdersEnded(tenure *tenure) bool {
	return holder.Clock.Read().Monotonic.Sub(tenure.acquiredAt.Monotonic) >= holder.oldOrdersWait(tenure)
}

// markReleased marks the lease as released in the store. If the write fails, the next holder
// waits as after a crash.
func (holder *Holder) markReleased(tenure *tenure) {
	ctx, cancel := context.WithTimeout(context.Background(), holder.Settings.TTLMS.Duration()/2)
	defer cancel()
	value, err := json.Marshal(leaseRecord{Instance: holder.Instance, Incarnation: holder.Incarnation, Released: true})
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
	renewed.renewalSentAt = holder.Clock.Read()
	if err := holder.Store.Renew(ctx, before.lease); err != nil {
		return nil, err
	}
	return &renewed, nil
}

// releaseLease releases the lease at the service; if that fails, the lease expires.
func (holder *Holder) releaseLease(lease keyvalue.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), holder.Settings.TTLMS.Duration()/2)
	defer cancel()
	if err := holder.Store.Release(ctx, lease); err != nil {
		holder.count("lease_releases_failed_total")
	}
}

func (holder *Holder) count(name string) {
	holder.Metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_%s{key=%q}", name, holder.Key)).Inc()
}
