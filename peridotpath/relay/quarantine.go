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
	// to the request's content: a fatal request crashes its endpoint soon after it starts to
	// run. beginWindow is that time for the parts of its prompt: a fatal part crashes the
	// endpoint when it begins to answer.
	crashWindow = time.Second
	beginWindow = 100 * time.Millisecond
	// trialPollInterval is the interval at which a suspected request checks for the end of
	// a trial, which is an attempt of another request with the same suspect, and
	// maxTrialWait its longest wait for that end. Most suspected requests ran by chance on
	// an endpoint that crashed; a fatal one mostly crashes its endpoint within
	// maxTrialWait.
	trialPollInterval = 20 * time.Millisecond
	maxTrialWait      = 400 * time.Millisecond
	// trialRetryAfter is the retry delay of a request while another attempt runs the trial.
	trialRetryAfter = 2 * time.Second
)

// suspects returns what may crash endpoints in the request: its content and the shared parts
// of its prompt.
func (exchange *exchange) suspects() quarantine.Request {
	return quarantine.Request{Content: exchange.fingerprint(), Parts: exchange.parts()}
}

// parts returns the shared parts of the prompt with their fingerprints, computed on first use.
func (exchange *exchange) parts() []quarantine.Part {
	if exchange.sharedParts == nil {
		for _, part := range exchange.request.SharedParts {
			exchange.sharedParts = append(exchange.sharedParts, quarantine.Part{
				ID: part, Fingerprint: peridotpath.FingerprintOfPart(exchange.customer, part),
			})
		}
	}
	return exchange.sharedParts
}

// judge returns the quarantine state of the request.
func (exchange *exchange) judge(now time.Time) quarantine.Verdict {
	decider := exchange.relay.Quarantine
	if decider.HasNoEvidence() {
		return quarantine.Verdict{}
	}
	verdict := decider.Judge(exchange.suspects(), now)
	exchange.verdict = verdict
	return verdict
}

// awaitQuarantineTrial returns nil when the request may be sent. A request without a suspect
// is sent at once. One that is suspected is sent when no other attempt at the suspect is in
// flight in the fleet, or after maxTrialWait. One whose quarantine has expired is sent only
// when no other attempt is in flight, and otherwise refused.
func (exchange *exchange) awaitQuarantineTrial(ctx context.Context) *peridotpath.Result {
	if exchange.relay.Quarantine.HasNoEvidence() {
		return nil
	}
	if exchange.trialWaitSince.IsZero() {
		exchange.trialWaitSince = time.Now()
	}
	for {
		now := time.Now()
		verdict := exchange.judge(now)
		switch {
		case verdict.State == quarantine.Quarantined:
			return exchange.refusal(peridotpath.CodeQuarantined, verdict.Remaining)
		case verdict.State == quarantine.Clear:
			return nil
		case verdict.State == quarantine.OnTrial:
			return exchange.reserveOnlyTrial(ctx, verdict.Suspect)
		case exchange.relay.Quarantine.ReserveTrial(verdict.Suspect, now), now.Sub(exchange.trialWaitSince) > maxTrialWait:
			return nil
		}
		if !clock.SleepContext(ctx, trialPollInterval) {
			return exchange.contextResult(ctx)
		}
	}
}

// reserveOnlyTrial returns nil if this request is the only one in the fleet that tries a
// suspect whose quarantine has ended. All instances hear of the trial before it is sent: they
// often get such requests at the same moment, and each of them would crash an endpoint.
func (exchange *exchange) reserveOnlyTrial(ctx context.Context, suspect peridotpath.Fingerprint) *peridotpath.Result {
	if !exchange.relay.Quarantine.ReserveTrial(suspect, time.Now()) {
		return exchange.refusal(peridotpath.CodeQuarantined, trialRetryAfter)
	}
	if !clock.SleepContext(ctx, quarantine.EvidenceDelay) {
		return exchange.contextResult(ctx)
	}
	if !exchange.relay.Quarantine.HoldsTrial(suspect, time.Now()) {
		return exchange.refusal(peridotpath.CodeQuarantined, trialRetryAfter)
	}
	return nil
}

// checkQuarantine refuses a quarantined request. It is called again after each wait,
// during which a suspect may have been quarantined.
func (exchange *exchange) checkQuarantine() *peridotpath.Result {
	if verdict := exchange.judge(time.Now()); verdict.State == quarantine.Quarantined {
		return exchange.refusal(peridotpath.CodeQuarantined, verdict.Remaining)
	}
	return nil
}

// recordCrash records a crash of the attempt's endpoint, of which the request is a suspect if
// it happened soon after it started to run.
func (exchange *exchange) recordCrash(at time.Time) {
	sinceFirstEvent := time.Duration(0)
	if !exchange.decodingSince.IsZero() {
		sinceFirstEvent = at.Sub(exchange.decodingSince)
	}
	exchange.relay.Quarantine.RecordCrash(exchange.suspects(), quarantine.Crash{
		Endpoint: exchange.plan.Primary.Key(), At: at, Age: at.Sub(exchange.sentAt),
		IsContentSuspect: sinceFirstEvent <= crashWindow,
		ArePartsSuspect:  sinceFirstEvent <= beginWindow && !exchange.hasBegun,
	})
}

// recordProgress records an event of the attempt. From beginWindow after the first event, it
// also records that the endpoint began to answer, and from crashWindow that it survived the
// request.
func (exchange *exchange) recordProgress() {
	now := time.Now()
	if exchange.decodingSince.IsZero() {
		exchange.decodingSince = now
	}
	if !exchange.hasBegun && now.Sub(exchange.decodingSince) > beginWindow {
		exchange.recordBegun()
	}
	if !exchange.survivalRecorded && now.Sub(exchange.decodingSince) > crashWindow {
		exchange.recordSurvival()
	}
}

// recordBegun records that an endpoint began to answer the request and did not crash.
func (exchange *exchange) recordBegun() {
	exchange.hasBegun = true
	exchange.relay.Quarantine.RecordBegun(exchange.parts(), time.Now())
}

// recordSurvival records that the endpoint survived the request.
func (exchange *exchange) recordSurvival() {
	exchange.survivalRecorded = true
	if decider := exchange.relay.Quarantine; !decider.HasNoEvidence() {
		decider.RecordSurvival(exchange.fingerprint(), time.Now())
	}
}
