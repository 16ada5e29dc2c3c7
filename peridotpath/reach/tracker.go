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
	// sampleSize is the number of endpoints that are probed when one does not answer. That none of
	// them answers proves no loss of links: a rack, a data centre or a release falls silent at once.
	sampleSize = 3
	// minRoundInterval is the shortest time between two rounds of probes: a single endpoint
	// that is down fails many requests.
	minRoundInterval = time.Second
	// minHold and maxHold bound how long connections to an address are opened through peers
	// before it is dialled directly again. The hold doubles when that fails again.
	minHold, maxHold = time.Second, 16 * time.Second
	// peerEvidenceAge is how long it counts that a peer reached an endpoint that this instance did
	// not reach: two follow-up probes in a row may ask peers that cannot help.
	peerEvidenceAge = 1500 * time.Millisecond
	// peerEvidenceInterval is the age from which such evidence is renewed by a probe, if no
	// connection that a peer carries has renewed it.
	peerEvidenceInterval = 500 * time.Millisecond
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
	// silentProbeAt is when a probe over the own link last met nothing at all.
	silentProbeAt time.Time
	// peerReachedAt is when a peer was last known to reach an endpoint that this instance did not
	// reach in the same time.
	peerReachedAt time.Time
	// silentSince is since when no endpoint answers while nothing shows that the links are lost;
	// zero if one does, or if they are lost.
	silentSince time.Time
	// cutOffSince is when the instance was found to be cut off; zero if it is not.
	cutOffSince time.Time
	// mayBeStalled reports whether it is not decided yet that open connections carry nothing.
	mayBeStalled bool
	holds        map[netip.AddrPort]hold
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

// IsSilent reports whether no endpoint answers, while nothing shows that the links are lost.
func (tracker *Tracker) IsSilent() bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return !tracker.silentSince.IsZero()
}

// IsReachedByPeers reports whether the instance is cut off and a peer reaches an endpoint in the same
// time.
func (tracker *Tracker) IsReachedByPeers(now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return !tracker.cutOffSince.IsZero() && now.Sub(tracker.peerReachedAt) <= peerEvidenceAge
}

// HasFreshPeerEvidence reports whether it was known a moment ago that a peer reaches an endpoint that
// this instance does not reach.
func (tracker *Tracker) HasFreshPeerEvidence(now time.Time) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return now.Sub(tracker.peerReachedAt) < peerEvidenceInterval
}

// RecordReachedByPeer records that a peer reached an endpoint that this instance did not reach in
// the same time.
func (tracker *Tracker) RecordReachedByPeer(now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.peerReachedAt = now
}

// RecordCarriedAnswer records that something was received on a connection that a peer carries. It
// counts while the instance is cut off: otherwise the peer's endpoint may be one that answers both.
func (tracker *Tracker) RecordCarriedAnswer(now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if !tracker.cutOffSince.IsZero() {
		tracker.peerReachedAt = now
	}
}

// RecordSilentProbe records that a probe over the own link has met nothing at all: no answer, no
// refusal and no reset.
func (tracker *Tracker) RecordSilentProbe(now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.silentProbeAt = now
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
	if openedAt.After(tracker.silentSince) {
		tracker.endSilence(now)
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
	if tracker.roundRunning || !tracker.cutOffSince.IsZero() || !tracker.silentSince.IsZero() || now.Sub(tracker.roundEndedAt) < minRoundInterval {
		return false
	}
	tracker.roundRunning = true
	return true
}

// EndRound ends a round that began at the given time and probed some endpoints.
func (tracker *Tracker) EndRound(startedAt time.Time, probed int, now time.Time) {
	tracker.mutex.Lock()
	tracker.roundRunning, tracker.roundEndedAt = false, now
	found := evidence{
		probed: probed, isAnswered: !tracker.newestAnswered.Before(startedAt),
		isReachedByPeer: !tracker.peerReachedAt.Before(startedAt), isSilent: !tracker.silentProbeAt.Before(startedAt),
		isReceiving: tracker.isReceivingSince(startedAt),
	}
	verdict, ground := found.judge()
	if verdict == endpointsSilent {
		tracker.silentSince = startedAt
		tracker.Log.Info().Int("probed", probed).Dur("took", now.Sub(startedAt)).Dur("last_answer", now.Sub(tracker.newestAnswered)).Msg("endpoints_silent")
	}
	tell := func() {}
	if verdict == linksLost {
		tell = tracker.loseLinks(loss{ground: ground, probed: probed, begunAt: startedAt, since: now, foundAt: now})
	}
	tracker.mutex.Unlock()
	tell()
}

// Review decides anew, after a probe that began at the given time, whether the links are lost, and
// whether open connections carry nothing either.
func (tracker *Tracker) Review(startedAt, now time.Time) {
	tracker.mutex.Lock()
	tell := func() {}
	switch {
	case !tracker.silentSince.IsZero():
		tell = tracker.reviewSilence(startedAt, now)
	case !tracker.cutOffSince.IsZero():
		tell = tracker.reviewStall(now)
	}
	tracker.mutex.Unlock()
	tell()
}

// reviewSilence decides anew, while the endpoints are silent, and returns what tells others of the
// decision. The caller holds the mutex.
func (tracker *Tracker) reviewSilence(startedAt, now time.Time) (tell func()) {
	begunAt := tracker.silentSince
	// A refusal by one endpoint says nothing about the links.
	found := evidence{
		probed: 1, isReachedByPeer: !tracker.peerReachedAt.Before(startedAt), isSilent: true,
		isReceiving: tracker.isReceivingSince(begunAt), silentFor: now.Sub(begunAt),
	}
	verdict, ground := found.judge()
	lost := loss{ground: ground, probed: 1, begunAt: begunAt, since: now, foundAt: now}
	switch {
	case verdict == linksLost && ground == groundSilence:
		lost.since = begunAt
		return tracker.loseLinks(lost)
	case verdict == linksLost:
		return tracker.loseLinks(lost)
	case verdict == linksWork:
		tracker.endSilence(now)
	}
	return func() {}
}

// isReceivingSince reports whether an endpoint has sent anything on a direct connection since the
// time.
func (tracker *Tracker) isReceivingSince(since time.Time) bool {
	return tracker.receivedAt.Load() >= since.UnixNano()
}

// endSilence ends the time in which the endpoints are silent, if they are. The caller holds the
// mutex.
func (tracker *Tracker) endSilence(now time.Time) {
	if tracker.silentSince.IsZero() {
		return
	}
	tracker.Log.Info().Dur("lasted", now.Sub(tracker.silentSince)).Msg("endpoints_answer")
	tracker.silentSince = time.Time{}
}

// loss is a loss of the links to the endpoints.
type loss struct {
	ground ground
	probed int
	// begunAt is when the first probe began, since the time from which the instance counts as cut
	// off, and foundAt when that was found.
	begunAt, since, foundAt time.Time
}

// loseLinks records that the links are lost and returns what tells others of it, to be called
// without the mutex. The caller holds the mutex.
func (tracker *Tracker) loseLinks(lost loss) (tell func()) {
	tracker.silentSince, tracker.cutOffSince = time.Time{}, lost.since
	// Refusals show a cut within milliseconds, in which open connections may have had nothing to carry.
	isStalled := !tracker.isReceivingSince(lost.begunAt) && !tracker.isReceivingSince(lost.foundAt.Add(-silentAfter))
	tracker.mayBeStalled = !tracker.isReceivingSince(lost.begunAt) && !isStalled
	tracker.Log.Warn().Int("probed", lost.probed).Dur("took", lost.foundAt.Sub(lost.begunAt)).Dur("last_answer", lost.foundAt.Sub(tracker.newestAnswered)).
		Bool("stalled", isStalled).Str("ground", string(lost.ground)).Msg("links_lost")
	tellStalled := func() {}
	if isStalled {
		tellStalled = tracker.stallNotifications()
	}
	return func() {
		tracker.notifyChanged()
		tellStalled()
	}
}

// reviewStall decides whether open connections carry nothing, where that was not known when the links
// were found to be lost, and returns what tells others of it. The caller holds the mutex.
func (tracker *Tracker) reviewStall(now time.Time) (tell func()) {
	if !tracker.mayBeStalled || now.Sub(tracker.cutOffSince) < silentAfter {
		return func() {}
	}
	tracker.mayBeStalled = false
	if tracker.isReceivingSince(tracker.cutOffSince) {
		return func() {}
	}
	tracker.Log.Warn().Dur("cut_off_for", now.Sub(tracker.cutOffSince)).Msg("links_stalled")
	return tracker.stallNotifications()
}

// stallNotifications returns a function that calls all that are registered. The caller holds the
// mutex.
func (tracker *Tracker) stallNotifications() func() {
	var notified []func()
	for notify := range tracker.onStalled {
		notified = append(notified, *notify)
	}
	return func() {
		for _, notify := range notified {
			notify()
		}
	}
}

func (tracker *Tracker) notifyChanged() {
	if tracker.OnChange != nil {
		tracker.OnChange()
	}
}
