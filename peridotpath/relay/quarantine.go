package relay

import (
	"context"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/quarantine"
)

const (
	// earlyRun is how long after a first event an end of the endpoint still counts
	// against a request: one that ends endpoints does so as it begins to run.
	earlyRun = time.Second
	// trialTick is the time between two looks at another attempt's trial, and trialWait
	// the longest wait of a suspected request for one. Most that are suspected were there
	// by chance; one that ends endpoints does so in that time, mostly.
	trialTick = 20 * time.Millisecond
	trialWait = 400 * time.Millisecond
	// trialReturn is when a caller may come back whose request another one tries.
	trialReturn = 2 * time.Second
)

// awaitTrial lets a request through against which nothing is held, a suspected one when
// no other attempt at it is under way in the fleet or it has waited long enough for that,
// and one whose bar is over when no other attempt is under way.
func (exchange *exchange) awaitTrial(ctx context.Context) *peridotpath.Result {
	decider := exchange.relay.Quarantine
	if decider.Empty() {
		return nil
	}
	content := exchange.fingerprint()
	if exchange.suspected.IsZero() {
		exchange.suspected = time.Now()
	}
	for {
		now := time.Now()
		standing, left := decider.Look(content, now)
		switch {
		case standing == quarantine.Barred:
			return exchange.refusal(peridotpath.CodeQuarantined, left)
		case standing == quarantine.Clear, decider.Try(content, now):
			return nil
		case standing == quarantine.OnTrial:
			return exchange.refusal(peridotpath.CodeQuarantined, trialReturn)
		case now.Sub(exchange.suspected) > trialWait:
			return nil
		}
		if !clock.Pause(ctx, trialTick) {
			return exchange.ended(ctx)
		}
	}
}

// barred refuses a request that is barred, also one that was barred while it waited.
func (exchange *exchange) barred() *peridotpath.Result {
	decider := exchange.relay.Quarantine
	if decider.Empty() {
		return nil
	}
	if standing, left := decider.Look(exchange.fingerprint(), time.Now()); standing == quarantine.Barred {
		return exchange.refusal(peridotpath.CodeQuarantined, left)
	}
	return nil
}

// noteEnd notes that the attempt's endpoint ended, if soon after it began to run.
func (exchange *exchange) noteEnd(now time.Time) {
	if !exchange.writingSince.IsZero() && now.Sub(exchange.writingSince) > earlyRun {
		return
	}
	exchange.relay.Quarantine.Ended(exchange.fingerprint(), exchange.plan.Writer.Key(), now)
}

// noteProgress notes an event of the attempt, and that its endpoint goes on with it.
func (exchange *exchange) noteProgress() {
	now := time.Now()
	if exchange.writingSince.IsZero() {
		exchange.writingSince = now
	}
	if !exchange.survived && now.Sub(exchange.writingSince) > earlyRun {
		exchange.noteSurvival()
	}
}

// noteSurvival notes that the attempt's endpoint runs the request and goes on.
func (exchange *exchange) noteSurvival() {
	exchange.survived = true
	if decider := exchange.relay.Quarantine; !decider.Empty() {
		decider.Survived(exchange.fingerprint(), time.Now())
	}
}
