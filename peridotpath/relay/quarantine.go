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
	// trialPollInterval is the interval at which a suspected request polls the trial that
	// another attempt at the same content runs, and maxTrialWait its longest wait for
	// that trial. Most suspected requests ran by chance on an endpoint that crashed; a
	// fatal one mostly crashes its endpoint within maxTrialWait.
	trialPollInterval = 20 * time.Millisecond
	maxTrialWait      = 400 * time.Millisecond
	// trialRetryAfter is the retry delay of a request while another attempt runs the trial.
	trialRetryAfter = 2 * time.Second
)

// awaitQuarantineTrial returns nil when the request may be sent: at once if its content is not
// suspected; if it is suspected, when no other attempt at it is in flight in the fleet
// or after maxTrialWait; if its quarantine has expired, only when no other attempt is in
// flight.
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
		standing, left := decider.Check(content, now)
		switch {
		case standing == quarantine.Quarantined:
			return exchange.refusal(peridotpath.CodeQuarantined, left)
		case standing == quarantine.Clear, decider.ReserveTrial(content, now):
			return nil
		case standing == quarantine.OnTrial:
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
	if standing, left := decider.Check(exchange.fingerprint(), time.Now()); standing == quarantine.Quarantined {
		return exchange.refusal(peridotpath.CodeQuarantined, left)
	}
	return nil
}

// recordCrash records a crash of the attempt's endpoint if it happened soon after the
// request started to run.
func (exchange *exchange) recordCrash(now time.Time) {
	if !exchange.decodingSince.IsZero() && now.Sub(exchange.decodingSince) > crashWindow {
		return
	}
	exchange.relay.Quarantine.RecordCrash(exchange.fingerprint(), exchange.plan.Writer.Key(), now)
}

// recordProgress records an event of the attempt, and its survival after crashWindow.
func (exchange *exchange) recordProgress() {
	now := time.Now()
	if exchange.decodingSince.IsZero() {
		exchange.decodingSince = now
	}
	if !exchange.survivalRecorded && now.Sub(exchange.decodingSince) > crashWindow {
		exchange.recordSurvival()
	}
}

// recordSurvival records that the attempt's endpoint runs the request without a crash.
func (exchange *exchange) recordSurvival() {
	exchange.survivalRecorded = true
	if decider := exchange.relay.Quarantine; !decider.HasNoEvidence() {
		decider.RecordSurvival(exchange.fingerprint(), time.Now())
	}
}
