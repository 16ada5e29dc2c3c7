// Package reservation reserves KV cache on engines for prompts whose KV cache is split over
// several of them, because no engine can hold it alone. It acquires all parts or none,
// which avoids deadlock between prompts under memory pressure. Reservations are leases:
// they are renewed while in use and expire by their TTL when the instance crashes. A
// release is repeated as long as an earlier unanswered call to reserve may still take
// effect.
package reservation

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
)

// Error is the class of this package's errors.
var Error = errs.Class("reservation")

const (
	// TTL is the TTL of a reservation. Engines must regain their memory within four
	// seconds of its last use, and when this instance crashes only the TTL frees it.
	TTL = 3500 * time.Millisecond
	// renewInterval allows two lost renewals within the TTL.
	renewInterval = time.Second
	// callTimeout bounds one call to an engine. Engines answer within milliseconds; a
	// call that times out may still take effect much later.
	callTimeout = 400 * time.Millisecond
	// lateEffectWindow is how long a call without an answer may still take effect; delays
	// of up to 12 s occur. A call to reserve that takes effect after the release would
	// keep the memory reserved but unused for a whole TTL.
	lateEffectWindow = 14 * time.Second
	// releaseInterval is the time between two releases of a reservation that may still
	// take effect late.
	releaseInterval = 700 * time.Millisecond
)

// MemoryRequest is an amount of KV cache to reserve at an endpoint.
type MemoryRequest struct {
	Endpoint *peridotpath.Endpoint
	Tokens   peridotpath.Tokens
}

// Reservation is a reservation at one endpoint.
type Reservation struct {
	ID      string
	Request MemoryRequest

	// outcomeUnknown is set when a call to reserve or renew got no answer.
	outcomeUnknown atomic.Bool
	renewedAt      time.Time
}

// Manager acquires, renews and releases this instance's reservations. Set the exported
// fields before Run.
type Manager struct {
	Instance    peridotpath.InstanceID
	Incarnation peridotpath.Incarnation
	// Reserve creates or renews a reservation. It returns false where the endpoint has
	// too little free memory. After an error the outcome is unknown.
	Reserve func(ctx context.Context, endpoint *peridotpath.Endpoint, id string, tokens peridotpath.Tokens, ttl time.Duration) (bool, error)
	// Release ends a reservation. After an error the outcome is unknown.
	Release func(ctx context.Context, endpoint *peridotpath.Endpoint, id string) error
	// MaxTTL is the longest TTL that engines accept; zero for no bound.
	MaxTTL time.Duration
	Log    zerolog.Logger

	lastID atomic.Uint64
	mutex  sync.Mutex
	active map[string]*Reservation
	// releasing are the reservations whose release is repeated until it is certain.
	releasing map[string]*pendingRelease
	calls     sync.WaitGroup
}

type pendingRelease struct {
	reservation *Reservation
	expiresAt   time.Time
	nextAttempt time.Time
}

// ReserveError is the failure to reserve memory at an endpoint.
type ReserveError struct {
	Endpoint peridotpath.EndpointKey
	cause    error
}

// Error returns the endpoint and the cause.
func (reserveError *ReserveError) Error() string {
	return fmt.Sprintf("reservation: no memory reserved at endpoint %x: %v", uint64(reserveError.Endpoint), reserveError.cause)
}

// IsUnanswered reports that the endpoint did not answer, so that its memory may be free.
func (reserveError *ReserveError) IsUnanswered() bool { return reserveError.cause != nil }

// Acquire reserves all of the memory or none. Two prompts that each held a part would
// otherwise deadlock.
func (manager *Manager) Acquire(ctx context.Context, requests []MemoryRequest) ([]*Reservation, error) {
	reservations := make([]*Reservation, len(requests))
	failures := make(chan error, len(requests))
	for i, request := range requests {
		reservation := &Reservation{ID: manager.newID(), Request: request, renewedAt: time.Now()}
		reservations[i] = reservation
		manager.calls.Add(1)
		go func() {
			defer manager.calls.Done()
			failures <- manager.reserve(ctx, reservation)
		}()
	}
	var failure error
	for range requests {
		if err := <-failures; err != nil {
			failure = err
		}
	}
	if failure != nil {
		manager.ReleaseAsync(reservations)
		return nil, failure
	}
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if manager.active == nil {
		manager.active = map[string]*Reservation{}
	}
	for _, reservation := range reservations {
		manager.active[reservation.ID] = reservation
	}
	return reservations, nil
}

// newID returns an id that is unique over all instances and their incarnations, so that
// two requests never share a reservation.
func (manager *Manager) newID() string {
	return fmt.Sprintf("%s-%x-%d", manager.Instance, uint64(manager.Incarnation), manager.lastID.Add(1))
}

func (manager *Manager) ttl() time.Duration {
	if manager.MaxTTL > 0 {
		return min(TTL, manager.MaxTTL)
	}
	return TTL
}

func (manager *Manager) reserve(ctx context.Context, reservation *Reservation) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reserved, err := manager.Reserve(ctx, reservation.Request.Endpoint, reservation.ID, reservation.Request.Tokens, manager.ttl())
	if err != nil {
		reservation.outcomeUnknown.Store(true)
	}
	if err == nil && reserved {
		return nil
	}
	return &ReserveError{Endpoint: reservation.Request.Endpoint.Key(), cause: err}
}

// ReleaseAsync queues reservations for release and returns at once.
func (manager *Manager) ReleaseAsync(reservations []*Reservation) {
	if len(reservations) == 0 {
		return
	}
	now := time.Now()
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	if manager.releasing == nil {
		manager.releasing = map[string]*pendingRelease{}
	}
	for _, reservation := range reservations {
		delete(manager.active, reservation.ID)
		manager.releasing[reservation.ID] = &pendingRelease{reservation: reservation, expiresAt: now.Add(lateEffectWindow), nextAttempt: now}
	}
}

// ActiveCount returns the number of reservations in use.
func (manager *Manager) ActiveCount() int {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	return len(manager.active)
}

// pollInterval is the time between two checks for due renewals and releases.
const pollInterval = 20 * time.Millisecond

// Run renews and releases reservations until ctx ends.
func (manager *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			manager.calls.Wait()
			return ctx.Err()
		case now := <-ticker.C:
			manager.renewDue(ctx, now)
			manager.releaseDue(ctx, now)
		}
	}
}

func (manager *Manager) renewDue(ctx context.Context, now time.Time) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	for _, reservation := range manager.active {
		if now.Sub(reservation.renewedAt) < renewInterval {
			continue
		}
		reservation.renewedAt = now
		manager.calls.Add(1)
		go func() {
			defer manager.calls.Done()
			if err := manager.reserve(ctx, reservation); err != nil {
				manager.Log.Warn().Str("ticket", reservation.ID).Str("endpoint", string(reservation.Request.Endpoint.ID)).
					Err(err).Msg("reservation_not_renewed")
			}
		}()
	}
}

func (manager *Manager) releaseDue(ctx context.Context, now time.Time) {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	for id, release := range manager.releasing {
		if now.After(release.expiresAt) {
			manager.Log.Warn().Str("ticket", id).Str("endpoint", string(release.reservation.Request.Endpoint.ID)).
				Msg("reservation_left_to_lapse")
			delete(manager.releasing, id)
			continue
		}
		if now.Before(release.nextAttempt) {
			continue
		}
		release.nextAttempt = now.Add(releaseInterval)
		manager.calls.Add(1)
		go func() {
			defer manager.calls.Done()
			manager.release(ctx, release)
		}()
	}
}

// release ends one reservation. If the outcome of an earlier call is unknown, the release
// is repeated, since the earlier call may take effect after this release.
func (manager *Manager) release(ctx context.Context, release *pendingRelease) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := manager.Release(ctx, release.reservation.Request.Endpoint, release.reservation.ID)
	if err != nil {
		// releaseDue repeats the release, and logs it when it expires without success.
		return
	}
	if release.reservation.outcomeUnknown.Load() {
		return
	}
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	delete(manager.releasing, release.reservation.ID)
}

// Close releases all reservations and waits for completion or the end of ctx.
func (manager *Manager) Close(ctx context.Context) {
	manager.mutex.Lock()
	reservations := make([]*Reservation, 0, len(manager.active))
	for _, reservation := range manager.active {
		reservations = append(reservations, reservation)
	}
	manager.mutex.Unlock()
	manager.ReleaseAsync(reservations)
	for ctx.Err() == nil && manager.hasPendingRelease() {
		time.Sleep(pollInterval)
	}
}

// hasPendingRelease reports whether a reservation with a known outcome is not yet released.
func (manager *Manager) hasPendingRelease() bool {
	manager.mutex.Lock()
	defer manager.mutex.Unlock()
	for _, release := range manager.releasing {
		if !release.reservation.outcomeUnknown.Load() {
			return true
		}
	}
	return false
}
