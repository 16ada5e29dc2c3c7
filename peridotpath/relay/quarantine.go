package relay

import (
	"context"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/quarantine"
)

const (
	// crashWindow is how long after the first event a crash of the endpoint is attributed
	// to the request: a fatal request crashes its endpoint soon after it starts to run.
	crashWindow = time.Second
	// trialPollInterval is the interval at which a suspected request checks for the end of
	// a trial, which is an attempt of another request with the same content, and
	// maxTrialWait its longest wait for that end. Most suspected requests ran by chance on
	// an endpoint that crashed; a fatal one mostly crashes its endpoint within
	// maxTrialWait.
	trialPollInterval = 20 * time.Millisecond
	maxTrialWait      = 400 * time.Millisecond
	// trialRetryAfter is the retry delay of a request while another attempt runs the trial.
	trialRetryAfter = 2 * time.Second
)

// awaitQuarantineTrial returns nil when the request may be sent. A request whose content is
// not suspected is sent at once. One that is suspected is sent when no other attempt at
// its content is in flight in the fleet, or after maxTrialWait. One whose quarantine has
// expired is sent only when no other attempt is in flight, and otherwise refused.
func (exchange *exchange) awaitQuarantineTrial(ctx context.Context) *peridotpath.Result {
	decider := exchange.relay.Quarantine
	if decider.HasNoEvidence() {
		return nil
	}
	content := exchange.fingerprint()
	if exchange.trialWaitSince.IsZero() {
		exchange.trialWaitSince = time.Now()
	}
	for {
		now := time.Now()
		state, remaining := decider.Check(content, now)
		switch {
		case state == quarantine.Quarantined:
			return exchange.refusal(peridotpath.CodeQuarantined, remaining)
		case state == quarantine.Clear, decider.ReserveTrial(content, now):
			return nil
		case state == quarantine.OnTrial:
			return exchange.refusal(peridotpath.CodeQuarantined, trialRetryAfter)
		case now.Sub(exchange.trialWaitSince) > maxTrialWait:
			return nil
		}
		if !clock.SleepContext(ctx, trialPollInterval) {
			return exchange.contextResult(ctx)
		}
	}
}

// checkQuarantine refuses a quarantined request. It is called again after each wait,
// during which the content may have been quarantined.
func (exchange *exchange) checkQuarantine() *peridotpath.Result {
	decider := exchange.relay.Quarantine
	if decider.HasNoEvidence() {
		return nil
	}
	if state, remaining := decider.Check(exchange.fingerprint(), time.Now()); state == quarantine.Quarantined {
		return exchange.refusal(peridotpath.CodeQuarantined, remaining)
	}
	return nil
}

// recordCrash records a crash of the attempt's endpoint if it happened soon after the
// request started to run.
func (exchange *exchange) recordCrash(now time.Time) {
	if !exchange.decodingSince.IsZero() && now.Sub(exchange.decodingSince) > crashWindow {
		return
	}
	exchange.relay.Quarantine.RecordCrash(exchange.fingerprint(), exchange.plan.Primary.Key(), now)
}

// recordProgress records an event of the attempt. From crashWindow after the first event,
// it also records that the endpoint survived the request.
func (exchange *exchange) recordProgress() {
	now := time.Now()
	if exchange.decodingSince.IsZero() {
		exchange.decodingSince = now
	}
	if !exchange.survivalRecorded && now.Sub(exchange.decodingSince) > crashWindow {
		exchange.recordSurvival()
	}
}

// recordSurvival records that the endpoint survived the request.
func (exchange *exchange) recordSurvival() {
	exchange.survivalRecorded = true
	if decider := exchange.relay.Quarantine; !decider.HasNoEvidence() {
		decider.RecordSurvival(exchange.fingerprint(), time.Now())
	}
}
