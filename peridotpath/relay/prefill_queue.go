package relay

import (
	"context"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/telemetry"
)

// Long prompts wait at the instances and not at the engines, for their turn in
// an order that all instances agree on.
//
// The load that this is made for is a burst of long prompts: a dozen within two
// seconds, each of which one engine reads for seconds. Sent at once, they are
// read side by side at all engines, each overtaking the others' parts: all are
// late, and so are the short prompts among them. One after the other, each is
// spread over all engines that write little and takes a fraction of a second.
const (
	// longRead is the reading time, at one engine alone, from which a prompt
	// waits for its turn; what is shorter fits between the events of others.
	longRead = 150 * time.Millisecond
	// leastWaitAim is the least aim of a request that waits. One with less is late
	// after any wait at all, and its caller leaves before a line of long prompts
	// has been read, so that it would never be sent.
	leastWaitAim = 4 * longRead
	// turnTick is the time between two looks whether it is a request's turn, and
	// turnTickPerPeer what each peer adds: a look goes through what all have under
	// way, which grows with them.
	turnTick        = 10 * time.Millisecond
	turnTickPerPeer = 200 * time.Microsecond
	// rankShift is how much later a request is due for each rank of priority that
	// it has less: a rank is worth as much as being first by a second.
	rankShift = time.Second
	// startSlack is how long before the engines are free the next prompt is sent,
	// so that they do not stand idle for the time that it is on its way.
	startSlack = 120 * time.Millisecond
	// harmAtOnce is the loss to others, as a part of its own worth, that a prompt
	// may cause as soon as it comes. harmGrowth is what is added until it would be
	// late: better others lose nearly as much than that it loses all. Once it is
	// late, most of its worth is gone, and lateHarm is all that it may cause.
	harmAtOnce, harmGrowth, lateHarm = 0.1, 0.8, 0.2
	// holdShare is the part of its time after which a prompt that is late is given
	// up rather than held on: its caller learns it while there is time to come back.
	holdShare = 0.4
	// spreadShare is the part of all engines' time that long prompts get at best:
	// some write for others, and parts do not end at the same moment.
	spreadShare = 0.6
)

// awaitTurn waits until it is the request's turn and the engines can take it.
func (exchange *exchange) awaitTurn(ctx context.Context, model placement.Model, reading time.Duration) *peridotpath.Result {
	book := exchange.relay.Book
	tick := turnTick + time.Duration(book.Peers(time.Now()))*turnTickPerPeer
	ranked := exchange.request.Arrived.Add(time.Duration(exchange.priority) * rankShift)
	wait := book.Join(placement.NewWait(ranked, reading))
	defer book.Leave(wait)
	for {
		if result := exchange.barred(); result != nil {
			return result
		}
		now := time.Now()
		candidates := exchange.candidates(now)
		if len(candidates) == 0 {
			return exchange.noEndpoint()
		}
		ahead, before := book.Ahead(wait, exchange.relay.Instance, now)
		work := exchange.work(now)
		share := spreadShare * float64(len(candidates))
		soonest := time.Duration(float64(before+reading) / share)
		if last := work.LastStart(); soonest > last {
			return exchange.refusal(peridotpath.CodeCannotFinish, max(shortReturn, soonest-last))
		}
		late := work.Waited+soonest > work.AnswerAim
		if late && work.Waited > time.Duration(holdShare*float64(work.Waited+work.Left)) {
			return exchange.refusal(peridotpath.CodeQueueTimeout, max(shortReturn, soonest))
		}
		blocked := false
		if ahead == 0 {
			plan, found := placement.PlanPrompt(model, work, candidates, book.View(now))
			if found && worthwhile(plan, work) && exchange.begin(plan, now) {
				telemetry.TurnWait(work.Waited)
				return nil
			}
			// Others need not wait for what this one waits for: memory, or engines at
			// which less is lost.
			blocked = !found || plan.Ready <= startSlack
		}
		book.Mark(wait, late, blocked)
		if !clock.Pause(ctx, tick) {
			return exchange.ended(ctx)
		}
	}
}

// worthwhile reports whether a plan is better than to wait for a better one.
func worthwhile(plan placement.Plan, work placement.Work) bool {
	if plan.Ready > startSlack {
		return false
	}
	allowed := lateHarm
	if first := work.Waited + plan.FirstEvent; first <= work.AnswerAim {
		pressed := float64(first) / float64(work.AnswerAim)
		allowed = harmAtOnce + harmGrowth*pressed*pressed
	}
	return plan.Harm <= allowed*placement.Value(work.Prompt)
}
