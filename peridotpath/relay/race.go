package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/failover"
	"peridotpath.example/peridotpath/outbound"
)

var (
	errOtherAnswered = errors.New("another endpoint has answered this request")
	errRaceOver      = errors.New("the attempts at this request have ended")
	errNoEvents      = errors.New("resumed stream has no events, while another attempt goes on or had begun one")
	errWithinEvent   = errors.New("stream broken off within an event")
)

// noCheck is the time until the next check where none is due.
const noCheck = time.Hour

// race is the attempts at one request that run side by side. Its methods run on the goroutine of
// the exchange, which alone uses the state of the exchange.
type race struct {
	exchange *exchange
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// running are the contenders that may still answer, oldest first. current is the one that is
	// recorded and logged.
	running []*contender
	current *contender
	// active is the number of goroutines that have not reported their end.
	active     int
	progresses chan progress
	results    chan contenderResult
	reserved   chan reservedMemory
	doubts     chan suspicion
	retry      retryGrant
	// first and second are the attempts that the log line of a second attempt names; second is
	// nil while there is none.
	first, second *contender
	// joinedFor is the doubt for which the last contender joined.
	joinedFor failover.Doubt
	// lateJoined reports that a late call was joined, spareDenied that the budget had no retry
	// for that.
	lateJoined, spareDenied bool
	// emptyEnd is the last resumption that ended without an event while others went on; nil if none
	// has, or an event has arrived since.
	emptyEnd *contenderResult
}

// suspicion is a doubt that another goroutine has about a contender.
type suspicion struct {
	contender *contender
	doubt     failover.Doubt
	err       error
}

// maxSuspicions bounds the suspicions that wait to be read: two for each contender.
const maxSuspicions = 4 * maxTotalAttempts

func newRace(ctx context.Context, exchange *exchange) *race {
	ctx, cancel := context.WithCancelCause(ctx)
	return &race{
		exchange: exchange, ctx: ctx, cancel: cancel, progresses: make(chan progress), results: make(chan contenderResult),
		reserved: make(chan reservedMemory), doubts: make(chan suspicion, maxSuspicions), retry: retryGrant{granted: make(chan bool)},
	}
}

// add adds a contender for the attempt that the exchange has planned.
func (race *race) add() *contender {
	contender := &contender{attemptState: race.exchange.attemptState}
	ctx, link := outbound.WithRoute(race.ctx)
	contender.link, contender.sentAt = link, time.Now()
	contender.ctx, contender.cancel = context.WithCancelCause(ctx)
	race.running = append(race.running, contender)
	if race.current == nil {
		race.current, race.first = contender, contender
	}
	contender.stops = append(contender.stops, race.watchLink(contender))
	return contender
}

// begin sends the request to the contender's endpoints once their memory is reserved, unless that
// failed or they take no requests any more.
func (race *race) begin(contender *contender, reserved reservedMemory) (outcome, error) {
	exchange := race.exchange
	contender.reservations = reserved.reservations
	if reserved.err != nil {
		return outcomeNoMemory, reserved.err
	}
	exchange.attemptState = contender.attemptState
	defer func() { exchange.attemptState = race.current.attemptState }()
	if !exchange.planTakesRequests(time.Now()) || len(contender.reservations) > 0 && exchange.checkQuarantine() != nil {
		return outcomeWithdrawn, nil
	}
	race.watch(contender)
	contender.sent.Store(true)
	exchange.logSendsDespiteAnnouncement(time.Now())
	call := exchange.newCall(contender.sentAt, contender.reservations)
	race.active++
	go contender.run(exchange.relay, call, exchange.route.Streaming, race.progresses, race.results)
	return outcomeDone, nil
}

// watch watches a contender that is about to be sent. Its events have timeouts where another attempt
// may join it, and its engine is probed also where it holds the memory of others.
func (race *race) watch(contender *contender) {
	exchange, now := race.exchange, time.Now()
	stop := exchange.watchFirstEvent(contender.attemptState)
	contender.stops = append(contender.stops, func() { stop() })
	contender.progressAt = now
	state := race.request()
	mayFailOver := exchange.route.Streaming && state.IsRepeatable && state.Sent < state.MaxSent
	if mayFailOver {
		contender.eventTimeout, contender.nextEventTimeout = exchange.eventTimeouts(&contender.plan)
	}
	if mayFailOver || len(contender.reservations) > 0 {
		contender.probe = race.startLivenessProbe(contender)
		contender.stops = append(contender.stops, contender.probe.Close)
	}
}

// request returns the state that decides whether another attempt joins those that run.
func (race *race) request() failover.Request {
	request := race.exchange.failoverState()
	request.MayHaveRun, request.Sent = true, request.Sent+len(race.running)
	for _, contender := range race.running {
		request.Running = append(request.Running, contender.state())
	}
	return request
}

// run relays the answer of the contender that delivers first. It returns a failure when none is
// left.
func (race *race) run() (outcome, error) {
	timer := time.NewTimer(race.untilNextCheck(time.Now()))
	defer timer.Stop()
	for {
		select {
		case progress := <-race.progresses:
			if err := race.relayProgress(&progress); err != nil {
				return outcomeFailed, err
			}
		case result := <-race.results:
			race.active--
			over, outcome, err := race.handleResult(&result)
			result.held.Release()
			if over {
				return outcome, err
			}
		case reserved := <-race.reserved:
			race.active--
			race.beginJoined(reserved)
		case suspicion := <-race.doubts:
			suspicion.contender.suspect(suspicion.doubt, suspicion.err)
		case granted := <-race.retry.granted:
			race.active--
			race.retry.record(granted, time.Now())
		case <-timer.C:
		}
		now := time.Now()
		race.check(now)
		if race.emptyEnd != nil && race.ctx.Err() == nil && race.isOnlyUnresponsive() {
			return race.endEmpty(), nil
		}
		timer.Reset(race.untilNextCheck(now))
	}
}

// check ends the contenders that must be ended, gives back the memory of others, and lets another
// contender join those in doubt, which may need that memory and comes at the next check then.
func (race *race) check(now time.Time) {
	if race.ctx.Err() != nil {
		return
	}
	hasReleased := false
	for _, contender := range race.running {
		if left, hasTimeout := contender.untilOverdue(now); hasTimeout && left <= 0 {
			contender.suspect(failover.DoubtOverdue, errStalled)
		}
		if contender.state().MustEnd() {
			contender.cancel(contender.doubtErr)
		}
		if contender.state().MustReleaseMemory() {
			race.releaseMemory(contender, now)
			hasReleased = true
		}
	}
	race.checkLate(now)
	if !hasReleased && race.request().MayJoin() {
		race.join(now)
	}
}

// untilNextCheck returns the time until check has something to decide, if nothing happens before.
func (race *race) untilNextCheck(now time.Time) time.Duration {
	if race.request().MayJoin() {
		return race.untilNextJoin(now)
	}
	next := noCheck
	for _, contender := range race.running {
		if left, hasTimeout := contender.untilOverdue(now); hasTimeout {
			next = min(next, left)
		}
	}
	if race.mayJoinLate() {
		next = min(next, race.exchange.nextSecondCheck(race.first))
	}
	return max(next, 0)
}

// relayProgress relays an event. The contender that it is from has won: the others are ended.
func (race *race) relayProgress(progress *progress) error {
	contender, exchange, now := progress.contender, race.exchange, time.Now()
	if !slices.Contains(race.running, contender) {
		return nil
	}
	if progress.event == nil {
		contender.answer = progress.answer
		race.recordHead(contender)
		return nil
	}
	race.win(contender, now)
	contender.recordProgress(now)
	race.emptyEnd, exchange.isNextEventKnown = nil, false
	if contender.eventCount == 1 {
		exchange.recordFirstEvent()
	}
	if contender.unloaded.Swap(false) {
		contender.inFlight = exchange.relay.LoadTracker.AddInFlight(contender.plan.InFlight(exchange.placementWork(now), now))
		exchange.relay.LoadTracker.MarkDecoding(contender.inFlight)
	}
	if contender.eventCount == 1 {
		exchange.relay.LoadTracker.MarkDecoding(contender.inFlight)
	}
	exchange.beginStream(progress.answer)
	if err := exchange.caller.Event(progress.event); err != nil {
		return err
	}
	exchange.recordEvent(time.Now())
	exchange.recordProgress()
	if progress.id != "" {
		exchange.lastEventID = progress.id
	}
	return nil
}

// recordHead records what the head of a stream announces of its endpoint.
func (race *race) recordHead(contender *contender) {
	exchange := race.exchange
	exchange.attemptState = contender.attemptState
	exchange.head = &contender.answer.Head
	exchange.recordRateLimit(contender.answer)
	exchange.recordAnnouncement(contender.answer)
	exchange.attemptState = race.current.attemptState
}

// win makes the contender the current one and ends the others. Those that it has joined have failed.
func (race *race) win(winner *contender, now time.Time) {
	exchange := race.exchange
	if len(race.running) > 1 {
		winnerAt := slices.Index(race.running, winner)
		for i, other := range slices.Clone(race.running) {
			if other != winner {
				race.recordLost(other, i < winnerAt)
			}
		}
		winner.wasAnswered = true
		race.logSecondAttempt(winner, now)
	}
	race.current, exchange.attemptState = winner, winner.attemptState
}

// recordLost records a contender that another one was faster than, and ends it. One that was joined
// was silent until then, as after a failure.
func (race *race) recordLost(loser *contender, wasJoined bool) {
	exchange := race.exchange
	exchange.attemptState = loser.attemptState
	race.remove(loser, errOtherAnswered)
	switch {
	case !loser.sent.Load():
		exchange.attemptCount--
	case wasJoined:
		exchange.recordFailure(race.ctx, outcomeFailed, loser.doubtErr)
	default:
		exchange.sentCount++
		exchange.mayHaveRun = true
	}
}

// handleResult relays the answer of a contender that has ended. The race is over after a success,
// or when no contender is left.
func (race *race) handleResult(result *contenderResult) (over bool, _ outcome, _ error) {
	contender, exchange := result.contender, race.exchange
	if !slices.Contains(race.running, contender) {
		return false, outcomeDone, nil
	}
	race.current, exchange.attemptState = contender, contender.attemptState
	contender.endedAt, contender.endpointGone = result.endedAt, result.endpointGone
	outcome, err := race.finish(result)
	contender.failed, contender.wasAnswered = outcome != outcomeDone, outcome == outcomeDone
	race.remove(contender, errRaceOver)
	if errors.Is(err, errWithinEvent) {
		race.emptyEnd, exchange.isNextEventKnown = nil, true
	}
	if outcome != outcomeDone && len(race.running) == 0 && race.emptyEnd != nil && race.ctx.Err() == nil {
		exchange.recordFailure(race.ctx, outcome, err)
		return true, race.endEmpty(), nil
	}
	if outcome == outcomeDone || len(race.running) == 0 {
		race.logSecondAttempt(contender, time.Now())
		return true, outcome, err
	}
	exchange.recordFailure(race.ctx, outcome, err)
	race.current = race.running[0]
	exchange.attemptState = race.current.attemptState
	return false, outcome, err
}

// finish records what a contender received, and relays it if it is a success.
func (race *race) finish(result *contenderResult) (outcome, error) {
	exchange := race.exchange
	switch {
	case result.answer == nil:
		return result.outcome, result.err
	case result.contender.answer != nil:
		return race.finishStream(result)
	}
	if outcome, err := exchange.checkAnswer(result.answer); outcome != outcomeDone {
		return outcome, err
	}
	if result.outcome != outcomeDone {
		return result.outcome, result.err
	}
	if result.answer.Status < statusFirstFailure && !exchange.streamBegun {
		for _, other := range race.running {
			if other != result.contender {
				other.cancel(errOtherAnswered)
				exchange.relay.LoadTracker.RemoveInFlight(other.inFlight)
			}
		}
	}
	exchange.relay.silentCalls.RecordAnswer(result.contender.plan.Primary.Key())
	return exchange.relayWhole(result.answer, result.held.Body), nil
}

// finishStream ends the stream if its last event has been relayed. The end of a resumed stream that
// has no event more says less than those that still run, and is kept until they have failed. It is
// wrong where an attempt had begun to deliver another event.
func (race *race) finishStream(result *contenderResult) (outcome, error) {
	if result.outcome != outcomeDone {
		return result.outcome, result.err
	}
	if result.contender.eventCount == 0 && race.exchange.isNextEventKnown {
		return outcomeErrored, errNoEvents
	}
	if result.contender.eventCount == 0 && len(race.running) > 1 {
		race.emptyEnd = result
		return outcomeErrored, errNoEvents
	}
	race.endStream(result)
	return outcomeDone, nil
}

func (race *race) endStream(result *contenderResult) {
	exchange := race.exchange
	exchange.beginStream(result.answer)
	exchange.recordBegun()
	exchange.caller.End()
	exchange.relay.LoadTracker.ClearEjection(exchange.plan.Primary.Key())
}

// endEmpty ends the stream as its last resumption did, since those that went on have failed or are
// unresponsive. Nothing has arrived since the event that it was resumed after.
func (race *race) endEmpty() outcome {
	exchange := race.exchange
	for _, other := range slices.Clone(race.running) {
		race.recordLost(other, true)
	}
	race.current = race.emptyEnd.contender
	exchange.attemptState = race.current.attemptState
	race.endStream(race.emptyEnd)
	return outcomeDone
}

// isOnlyUnresponsive reports whether no contender answers its liveness probes.
func (race *race) isOnlyUnresponsive() bool {
	return !slices.ContainsFunc(race.running, func(contender *contender) bool { return contender.doubt != failover.DoubtUnresponsive })
}

// releaseMemory gives back the memory at other engines of a contender that goes on. It counts as load
// again with its next event: until then all instances would take these engines for full, and the
// deadline may be far away.
func (race *race) releaseMemory(contender *contender, now time.Time) {
	relay, request := race.exchange.relay, race.exchange.request
	if relay.ServedSampler.Allow(now) {
		relay.Log.Info().Str("request", string(request.ID)).Str("endpoint", string(contender.plan.Primary.ID)).
			Stringer("doubt", contender.doubt).Int("reservations", len(contender.reservations)).
			Dur("silent", now.Sub(contender.progressAt)).Msg("memory_released")
	}
	relay.Reservations.ReleaseAsync(contender.reservations)
	contender.reservations, contender.memoryReleased = nil, true
	relay.LoadTracker.RemoveInFlight(contender.inFlight)
	contender.unloaded.Store(true)
}

// remove removes a contender and ends it.
func (race *race) remove(contender *contender, reason error) {
	if at := slices.Index(race.running, contender); at >= 0 {
		race.running = slices.Delete(race.running, at, at+1)
	}
	contender.cancel(reason)
	for _, stop := range contender.stops {
		stop()
	}
	relay, now := race.exchange.relay, time.Now()
	relay.LoadTracker.RemoveInFlight(contender.inFlight)
	relay.Reservations.ReleaseAsync(contender.reservations)
	race.exchange.releaseShortSlot(contender.plan.Primary.Key(), now)
}

// close ends all contenders and waits for their goroutines.
func (race *race) close() {
	race.cancel(errRaceOver)
	for len(race.running) > 0 {
		race.remove(race.running[0], errRaceOver)
	}
	for ; race.active > 0; race.active-- {
		select {
		case result := <-race.results:
			result.held.Release()
		case reserved := <-race.reserved:
			race.exchange.relay.Reservations.ReleaseAsync(reserved.reservations)
		case <-race.retry.granted:
		}
	}
}

// runningKeys returns the primaries of the contenders that run.
func (race *race) runningKeys() []peridotpath.EndpointKey {
	var keys []peridotpath.EndpointKey
	for _, contender := range race.running {
		keys = append(keys, contender.plan.Primary.Key())
	}
	return keys
}
