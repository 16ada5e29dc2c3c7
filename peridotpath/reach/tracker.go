// Package reach finds out whether this instance reaches the endpoints, and opens connections to
// them: directly, or through a peer that reaches them.
//
// It matters when an instance loses its links to the endpoints, while callers, peers and the
// store still reach it. Each failed connection looks like the failure of one endpoint, so that all
// its requests would fail though every endpoint works. An instance that reaches no endpoint asks
// peers to carry its connections. If only some endpoints cannot be reached, connections to
// just these are carried.
//
// Tracker decides, without input or output; Dialer carries out what it decides.
package reach

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// sampleSize is the number of endpoints that are probed when one does not answer. If none of
	// them answers, the instance is cut off: that many do not fail in the same instant.
	sampleSize = 3
	// minRoundInterval is the shortest time between two rounds of probes: a single endpoint
	// that is down fails many requests.
	minRoundInterval = time.Second
	// minHold and maxHold bound how long connections to an address are opened through peers
	// before it is dialled directly again. The hold doubles when that fails again.
	minHold, maxHold = time.Second, 16 * time.Second
)

// Tracker decides whether the endpoints can be reached directly. Its zero value is an instance
// that reaches all of them. Set the exported fields before use.
type Tracker struct {
	Log zerolog.Logger
	// OnChange, when set, is called when the instance is found to be cut off or to reach
	// endpoints again.
	OnChange func()

	mutex sync.Mutex
	// newestAnswered is when the newest of the direct connections was opened on which an endpoint
	// has answered. Connections from before a cut may live on and prove nothing about new ones.
	newestAnswered time.Time
	// receivedAt is when an endpoint last sent anything on a direct connection, in nanoseconds
	// since 1970.
	receivedAt atomic.Int64
	// onStalled are called when the links are found to carry nothing any more.
	onStalled map[*func()]bool
	// answeredWrite is when the latest of the requests was written that was answered, on any
	// direct connection.
	answeredWrite time.Time
	// roundRunning and roundEndedAt describe the last round of probes.
	roundRunning bool
	roundEndedAt time.Time
	// cutOffSince is when the instance was found to be cut off; zero if it is not.
	cutOffSince time.Time
	holds       map[netip.AddrPort]hold
}

// hold makes connections to an address go through peers.
type hold struct {
	until time.Time
	span  time.Duration
}

// CutOffFor returns for how long the instance has been cut off from all endpoints; zero if it
// is not.
func (tracker *Tracker) CutOffFor(now time.Time) time.Duration {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.cutOffSince.IsZero() {
		return 0
	}
	return max(now.Sub(tracker.cutOffSince), 1)
}

// IsCutOff reports whether the instance reaches no endpoint directly.
func (tracker *Tracker) IsCutOff() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return !tracker.cutOffSince.IsZero()
}

// PrefersPeers reports whether a connection to the address is opened through a peer at once.
func (tracker *Tracker) PrefersPeers(address netip.AddrPort, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return !tracker.cutOffSince.IsZero() || now.Before(tracker.holds[address].until)
}

// NotifyStalled registers a function that is called when the instance is found to be cut off and its
// open connections carry nothing either. The function must not block. Stop unregisters it.
func (tracker *Tracker) NotifyStalled(notify func()) (stop func()) {
	key := &notify
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.onStalled == nil {
		tracker.onStalled = map[*func()]bool{}
	}
	tracker.onStalled[key] = true
	return func() {
		tracker.mutex.Lock()
		defer tracker.mutex.Unlock()
		delete(tracker.onStalled, key)
	}
}

// RecordReceived records that an endpoint has sent something on a direct connection.
func (tracker *Tracker) RecordReceived(now time.Time) { tracker.receivedAt.Store(now.UnixNano()) }

// RecordAnswer records that an endpoint has answered a request that was written at the given time
// on a direct connection.
func (tracker *Tracker) RecordAnswer(writtenAt time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if writtenAt.After(tracker.answeredWrite) {
		tracker.answeredWrite = writtenAt
	}
}

// RecordFirstAnswer records that the endpoint at the address has answered on a direct connection
// for the first time, which was opened at the given time. If it was opened since the instance was
// cut off, that has ended.
func (tracker *Tracker) RecordFirstAnswer(address netip.AddrPort, openedAt, now time.Time) {
	tracker.mutex.Lock()
	if openedAt.After(tracker.newestAnswered) {
		tracker.newestAnswered = openedAt
	}
	if held, isHeld := tracker.holds[address]; isHeld && openedAt.After(held.until.Add(-held.span)) {
		delete(tracker.holds, address)
	}
	since := tracker.cutOffSince
	isRestored := !since.IsZero() && openedAt.After(since)
	if isRestored {
		tracker.cutOffSince = time.Time{}
	}
	tracker.mutex.Unlock()
	if isRestored {
		tracker.Log.Info().Dur("lasted", now.Sub(since)).Stringer("answered", address).Msg("links_restored")
		tracker.notifyChanged()
	}
}

// HoldForPeers makes the next connections to the address go through peers: one over this
// instance's own link broke before an answer, or only a peer could open one.
func (tracker *Tracker) HoldForPeers(address netip.AddrPort, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	held := tracker.holds[address]
	if now.Before(held.until) {
		return
	}
	span := minHold
	if !held.until.IsZero() && now.Sub(held.until) < maxHold {
		span = min(2*held.span, maxHold)
	}
	if tracker.holds == nil {
		tracker.holds = map[netip.AddrPort]hold{}
	}
	tracker.dropOldHolds(now)
	tracker.holds[address] = hold{until: now.Add(span), span: span}
}

// dropOldHolds removes the holds that no longer lengthen a later one, so that addresses that are
// no longer in use take no memory. The caller holds the mutex.
func (tracker *Tracker) dropOldHolds(now time.Time) {
	for address, held := range tracker.holds {
		if now.Sub(held.until) >= maxHold {
			delete(tracker.holds, address)
		}
	}
}

// BeginRoundAfterDial reports whether a round of probes begins because a dial that began at the
// given time has failed or is overdue. It does not where an endpoint has answered on a connection
// that was opened later, while a round runs, or shortly after one.
func (tracker *Tracker) BeginRoundAfterDial(dialledAt, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return !tracker.newestAnswered.After(dialledAt) && tracker.beginRound(now)
}

// BeginRoundAfterSilence reports whether a round of probes begins because a request that was
// written at the given time has no answer yet, or its connection broke. It does not where an
// endpoint has answered a later one.
func (tracker *Tracker) BeginRoundAfterSilence(writtenAt, now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return !tracker.answeredWrite.After(writtenAt) && tracker.beginRound(now)
}

// beginRound begins a round if none runs and the last one ended long enough ago. The caller holds
// the mutex.
func (tracker *Tracker) beginRound(now time.Time) bool {
	if tracker.roundRunning || !tracker.cutOffSince.IsZero() || now.Sub(tracker.roundEndedAt) < minRoundInterval {
		return false
	}
	tracker.roundRunning = true
	return true
}

// EndRound ends a round that began at the given time and probed some endpoints. The instance is
// cut off if none has answered on a connection that was opened since.
func (tracker *Tracker) EndRound(startedAt time.Time, probed int, now time.Time) {
	tracker.mutex.Lock()
	tracker.roundRunning, tracker.roundEndedAt = false, now
	isCutOff := probed > 0 && tracker.newestAnswered.Before(startedAt)
	if isCutOff {
		tracker.cutOffSince = now
	}
	silentFor := now.Sub(tracker.newestAnswered)
	isStalled := isCutOff && tracker.receivedAt.Load() < startedAt.UnixNano()
	var notified []func()
	for notify := range tracker.onStalled {
		notified = append(notified, *notify)
	}
	tracker.mutex.Unlock()
	if !isCutOff {
		return
	}
	tracker.Log.Warn().Int("probed", probed).Dur("took", now.Sub(startedAt)).Dur("last_answer", silentFor).Bool("stalled", isStalled).Msg("links_lost")
	tracker.notifyChanged()
	if !isStalled {
		return
	}
	for _, notify := range notified {
		notify()
	}
}

func (tracker *Tracker) notifyChanged() {
	if tracker.OnChange != nil {
		tracker.OnChange()
	}
}
