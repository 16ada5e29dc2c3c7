package placement

import "time"

const (
	// LateLoss is the part of an answer's worth that is lost when it is late.
	LateLoss = 0.75
	// soonEnough and tooLate bound, as parts of the aim, the predicted time in
	// which an answer goes from surely timely to surely late. The first leaves
	// room for what the prediction misses.
	soonEnough = 0.6
	tooLate    = 1.1
	// slopeLoss prefers the sooner of two that are both in time or both late.
	slopeLoss = 0.02
	// farLoss is what another data centre costs: bytes between them are priced.
	farLoss = 0.008
	// suspectLoss keeps requests from an endpoint that failed a moment ago.
	suspectLoss = 0.9
	// freshLoss is what it costs to put the first writer on an engine. One that
	// writes nothing can read long prompts at any time; writers are packed, so
	// that such engines remain.
	freshLoss = 0.03
	// packLoss is what it costs, for each part of an engine's slots that is free, to
	// put a writer there: writers fill some engines up and leave others to long
	// prompts.
	packLoss = 0.03
	// orderLoss makes all instances try the engines in the same order.
	orderLoss = 0.002
	// chanceLoss spreads the writers of instances that do not know of each other's:
	// as wide as freshLoss and packLoss pull them together, and less than what a
	// full engine costs.
	chanceLoss = 0.03
	// queueTolerance is the share of the aim for pauses that a pass may take.
	queueTolerance = 0.9
	// overtakeLoss is what a waiting prompt loses, a second, by readings that
	// overtake it, as a part of its worth.
	overtakeLoss = 0.2
	// freshTrust is the least part of freshLoss that counts, however little is known.
	// Without any, a burst of short prompts leaves no engine that long ones could be
	// read at.
	freshTrust = 0.5
)

// lateness is the part of its worth that an answer is expected to lose.
func lateness(first, aim time.Duration) float64 {
	if aim <= 0 {
		return 0
	}
	share := float64(first) / float64(aim)
	late := min(max((share-soonEnough)/(tooLate-soonEnough), 0), 1)
	return LateLoss*late + slopeLoss*share
}

// pauseRisk is what the answer itself loses where reads that wait at the writer
// will make a pause too long.
func pauseRisk(work Work, writer *option) float64 {
	if work.PauseAim == 0 {
		return 0
	}
	if writer.load.LongestRead+writer.pass > time.Duration(queueTolerance*float64(work.PauseAim)) {
		return LateLoss / 2
	}
	return 0
}

// harm is what those lose who write at the engine when a reading of that span
// comes on top of those that wait there: all of them fall into one pause.
func harm(at *option, span time.Duration) float64 {
	before := at.pass + at.load.Backlog
	after := before + span
	lost := 0.0
	for _, pause := range at.load.pauses {
		limit := time.Duration(queueTolerance * float64(pause.aim))
		if pause.aim > 0 && before <= limit && after > limit {
			lost += LateLoss * pause.value
		}
	}
	return lost
}

// overtaken is what prompts lose that wait to be read where they will be
// answered: engines read the parts of others' prompts first.
func overtaken(at *option, span time.Duration) float64 {
	return overtakeLoss * span.Seconds() * at.load.unreadValue
}

// trust is how far what is known of the engines' load may be relied on: fully where
// no other instance places anything before this one hears of it, half where one
// does, hardly where two do; and not yet where this instance has only begun to hear
// what others place.
//
// The load that this is made for is a burst of short prompts at hundreds of
// instances, and the return of all callers after all instances have started anew.
// Each fills engines up on what it heard some milliseconds ago, or has not heard
// yet; all see the same engine as the best one, and it has more than it can write at
// once before any of them hears of the others.
func (view *View) trust() float64 {
	square := view.unheard * view.unheard
	return view.heard / (1 + square*square)
}

// placeLoss is what speaks against an engine for itself. How full an engine is,
// whether anybody writes there and its place in the order of all count as far as what
// is known can be trusted, the second by half at least; beyond that a place by chance
// keeps instances from choosing the same one.
func placeLoss(work Work, writer *option) float64 {
	loss := orderLoss*writer.trust*writer.rank + chanceLoss*(1-writer.trust)*writer.chance
	if writer.Endpoint.DataCentre != work.DataCentre {
		loss += farLoss
	}
	if writer.Suspect {
		loss += suspectLoss
	}
	if writer.load.Taken() == 0 {
		loss += freshLoss * max(writer.trust, freshTrust)
	}
	if free := writer.slots - writer.load.Taken(); free > 0 {
		loss += packLoss * writer.trust * float64(free) / float64(writer.slots)
	}
	return loss
}
