package placement

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
)

// WaitingShort is a short prompt that waits at this instance for a free slot.
type WaitingShort struct {
	// Number is the order of arrival at the queue.
	Number uint64
	// Due is the sort key: the last moment to send the prompt for it to meet its TTFT target,
	// plus a delay for requests of lower priority.
	Due time.Time
	// IsLate is set when the prompt can no longer meet its target. It then yields to all that
	// can.
	IsLate bool
	// OverShare is set when the customer uses more than its fair share of engine time.
	OverShare bool
}

// Precedes reports whether the prompt is sent before another one of this instance.
func (short *WaitingShort) Precedes(other *WaitingShort) bool {
	if short.IsLate != other.IsLate {
		return other.IsLate
	}
	if short.OverShare != other.OverShare {
		return other.OverShare
	}
	if order := short.Due.Compare(other.Due); order != 0 {
		return order < 0
	}
	return short.Number < other.Number
}

// SlotOutlook is what the engines offer to a short prompt, as far as this instance knows.
type SlotOutlook struct {
	// FreeSlots is the number of free slots in which the prompt could meet its target.
	FreeSlots int
	// UsableSlots is the number of free slots in which its answer could begin before its client
	// gives up.
	UsableSlots int
	// CannotFinish is set where the answer could not end before the deadline in any free slot.
	CannotFinish bool
	// TimeToFirstEvent is the time to first event on an engine with a free slot.
	TimeToFirstEvent time.Duration
	// Decode is the time from the first event to the last one.
	Decode time.Duration
	// Unseen is the estimated number of requests that peers have sent but not reported.
	Unseen float64
	// NewsAge is the time until peers know of a request of this instance.
	NewsAge time.Duration
	// Pick is the engine of one of the free slots, each with the same probability; empty if none is
	// free. Instances that took the best slot would all take the same one.
	Pick []Candidate
	// MaySplit is set where the prompt is so long that several engines may prefill it.
	MaySplit bool
}

// quickEngineShare selects the engine whose time to first event is the outlook: a quarter of the
// engines is quicker. The others may be prefilling long prompts.
const quickEngineShare = 0.25

// NewSlotOutlook returns the outlook of a prompt.
func NewSlotOutlook(model Model, work Work, candidates []Candidate, snapshot LoadSnapshot) SlotOutlook {
	prefill := model.PrefillTime(work.PromptTokens)
	outlook := SlotOutlook{Unseen: snapshot.unseen, NewsAge: snapshot.newsAge, MaySplit: prefill >= minSplitPrefill}
	usable := withoutEjected(candidates)
	engines := newEngines(model, usable, snapshot)
	times := make([]time.Duration, 0, len(engines))
	var onTime, late []freeEngine
	for i := range engines {
		engine := &engines[i]
		plan := newPlan(model, work, prefill, engine, nil)
		firstEvent := plan.TimeToFirstEvent - engine.slotWait(model, work)
		times = append(times, firstEvent)
		free := freeEngine{Candidate: engine.Candidate, slots: engine.slots - engine.load.RequestCount(), cost: plan.Cost}
		if free.slots <= 0 || firstEvent > work.FirstEventTimeout() {
			continue
		}
		outlook.UsableSlots += free.slots
		if work.Waited+firstEvent > work.TTFTTarget {
			late = append(late, free)
			continue
		}
		outlook.FreeSlots += free.slots
		onTime = append(onTime, free)
	}
	if len(onTime) == 0 {
		onTime = late
	}
	outlook.Pick = pickSlot(onTime, maxSpreadCost*PromptValue(work.PromptTokens))
	if len(times) > 0 {
		slices.Sort(times)
		outlook.TimeToFirstEvent = times[int(quickEngineShare*float64(len(times)))]
	}
	outlook.Decode = model.ShortestDecodeTime(work)
	outlook.CannotFinish = !isFeasible(Plan{TimeToFirstEvent: outlook.TimeToFirstEvent}, work, outlook.Decode)
	return outlook
}

// freeEngine is an engine with free slots, and the cost of placing the prompt there.
type freeEngine struct {
	Candidate
	slots int
	cost  float64
}

// maxSpreadCost is the fraction of the prompt's value by which an engine may be worse than the best
// one with a free slot and still be chosen. It is larger than the costs that concentrate requests
// on some engines, and smaller than that of a target that is likely to be missed.
const maxSpreadCost = 0.1

// pickSlot returns the engine of one of the free slots at random; empty if there is none.
func pickSlot(engines []freeEngine, maxExtraCost float64) []Candidate {
	if len(engines) == 0 {
		return nil
	}
	best := slices.MinFunc(engines, func(a, b freeEngine) int { return cmp.Compare(a.cost, b.cost) }).cost
	slots := 0
	var picked Candidate
	for i := range engines {
		if engines[i].cost > best+maxExtraCost {
			continue
		}
		if slots += engines[i].slots; rand.IntN(slots) < engines[i].slots {
			picked = engines[i].Candidate
		}
	}
	return []Candidate{picked}
}

// withoutEjected returns the candidates that are not ejected, or all where all are.
func withoutEjected(candidates []Candidate) []Candidate {
	usable := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if !candidate.IsEjected {
			usable = append(usable, candidate)
		}
	}
	if len(usable) == 0 {
		return candidates
	}
	return usable
}

// HasFreeSlot reports whether an endpoint has a free slot. An endpoint without a published
// batch size always has one.
func (snapshot LoadSnapshot) HasFreeSlot(model Model, endpoint peridotpath.EndpointKey) bool {
	return model.Rates.BatchSize <= 0 || snapshot.At(endpoint).RequestCount() < model.Rates.BatchSize
}

// plentifulFactor is the number of free slots for each request that peers have sent but not
// reported from which on the best plan is used as it is. Plans agree on a few engines, so that these
// fill up while a sixteenth of all free slots is taken unseen.
const plentifulFactor = 16

// plentifulShare is the share of all slots that has to be free for the best plan to be used as it
// is. Plans fill engines up to the last slot, which two instances then take within the age of their
// reports.
const plentifulShare = 0.25

// HasPlentifulSlots reports whether so many slots are free that short prompts need not wait
// or share them.
func (snapshot LoadSnapshot) HasPlentifulSlots(model Model, candidates []Candidate) bool {
	share := plentifulShare * float64(model.Rates.BatchSize*len(candidates))
	enough := 1 + int(max(plentifulFactor*snapshot.unseen, share))
	for i := range candidates {
		if !candidates[i].IsEjected {
			enough -= max(model.Rates.BatchSize-snapshot.At(candidates[i].Key).RequestCount(), 0)
		}
		if enough <= 0 {
			return true
		}
	}
	return false
}

const (
	// likelyMetShare is the share of the TTFT target up to which a predicted time is more
	// likely to meet the target than to miss it.
	likelyMetShare = (surelyMetShare + surelyMissedShare) / 2
	// minOnTimeWait is the wait after which a prompt counts as late whose prefill alone takes
	// nearly the whole target.
	minOnTimeWait = 50 * time.Millisecond
)

// IsLate reports whether a prompt that is sent after having waited is likely to miss its TTFT
// target, given the time from dispatch to first event.
func IsLate(work Work, timeToFirstEvent time.Duration) bool {
	target := float64(work.TTFTTarget)
	latest := time.Duration(likelyMetShare * target)
	latest = max(latest, min(timeToFirstEvent+minOnTimeWait, time.Duration(surelyMissedShare*target)))
	return work.Waited+timeToFirstEvent > latest
}

// ShortVerdict is the decision about a short prompt.
type ShortVerdict uint8

// The decisions.
const (
	ShortSend ShortVerdict = iota
	ShortWait
	ShortRefuse
	// ShortExit: the answer would end after this process has exited.
	ShortExit
)

func (verdict ShortVerdict) String() string {
	return [...]string{"sent", "waits", "refused", "exit"}[verdict]
}

// ShortDecision is the input of the decision about a short prompt.
//
// It is designed for loads a little above what the slots sustain: 340 to 380 prompts per second
// before 720 slots that sustain 330. Sent at once, all prompts wait in the engines' queues, and
// more than half of them miss a target of 300 ms by a little.
type ShortDecision struct {
	Work    Work
	Outlook SlotOutlook
	// HasSlot is set where the best plan's engine has a free slot.
	HasSlot bool
	// IsOwnSlot is set where a request of this instance has released that slot.
	IsOwnSlot bool
	// IsFirst is set where no prompt that waits at this instance goes before this one.
	IsFirst bool
	// MayDraw is set where the prompt has not yet drawn for the slots that it knows to be free.
	MayDraw bool
	// Here are the prompts that wait at this instance, including this one, Peers those that wait
	// at peers.
	Here, Peers ShortWaits
	// IsLate is set where the prompt is likely to miss its target even if it is sent now.
	IsLate bool
	// LateWait is the predicted wait of a late prompt.
	LateWait time.Duration
	// Draw is a random number from 0 to 1.
	Draw float64
}

// Decide returns whether the prompt is sent now, waits or is refused.
func (decision *ShortDecision) Decide() ShortVerdict {
	if decision.Outlook.CannotFinish || decision.Work.UntilHoldLimit() <= 0 {
		return ShortRefuse
	}
	if decision.IsLate && decision.LateWait+decision.Outlook.TimeToFirstEvent > decision.Work.FirstEventTimeout() {
		return ShortRefuse
	}
	if decision.Work.EndsAfterExit(decision.untilWhole()) {
		return ShortExit
	}
	if !decision.IsFirst || !decision.HasSlot {
		return ShortWait
	}
	if decision.takesSlot() {
		return ShortSend
	}
	return ShortWait
}

// untilWhole returns the predicted time until the answer is whole.
func (decision *ShortDecision) untilWhole() time.Duration {
	untilWhole := decision.Outlook.TimeToFirstEvent + decision.Outlook.Decode
	if decision.IsLate {
		untilWhole += decision.LateWait
	}
	return untilWhole
}

// drawOdds is the number of free slots for each expected taker of one. Takers choose at random: at
// 1.4, three in ten find their slot taken in the same draw, and half of the slots remain free until
// the next one. More takers overfill engines, fewer leave slots unused.
const drawOdds = 1.4

// takesSlot reports whether the prompt takes a free slot. All instances know of the slot, so each
// of the prompts that want it draws with a probability at which one of them is expected to win.
func (decision *ShortDecision) takesSlot() bool {
	slots, contenders := decision.Outlook.FreeSlots, decision.Here.OnTime+decision.Peers.OnTime
	if decision.IsLate {
		slots = decision.Outlook.UsableSlots - contenders
		contenders = decision.Here.Late + decision.Peers.Late
	} else if decision.IsOwnSlot {
		return true
	}
	return decision.MayDraw && decision.Draw*drawOdds*max(float64(contenders)+decision.Outlook.Unseen, 1) < float64(slots)
}

const (
	// minShortRetry and maxShortRetry bound the retry delay of a refused short prompt.
	minShortRetry = 300 * time.Millisecond
	maxShortRetry = 2 * time.Second
)

// RetryAfter returns the retry delay of a refused prompt: the time until the late prompts that
// wait here have been sent. It is spread over a factor of two, so that callers that were refused
// together do not return together, and leaves half of the time until the deadline.
func (decision *ShortDecision) RetryAfter() time.Duration {
	delay := min(max(decision.LateWait, minShortRetry), maxShortRetry)
	delay = time.Duration((1 + decision.Draw) * float64(delay))
	return max(min(delay, decision.Work.TimeLeft/2), minShortRetry)
}

// LateService predicts the wait of late prompts from the rate at which late prompts were sent
// while any waited.
type LateService struct {
	sent, seconds float64
	updatedAt     time.Time
}

const (
	// lateServiceDecay is the time constant of the observed rate: the time that a client waits
	// after it could have been served on time.
	lateServiceDecay = 2 * time.Second
	// initialLateSeconds is the time in which one late prompt is assumed to be sent where
	// nothing was observed.
	initialLateSeconds = 0.25
)

// Advance adds the time since the last call, during which late prompts waited or not, and the
// late prompts that are sent now.
func (service *LateService) Advance(now time.Time, waited bool, sent int) {
	if elapsed := now.Sub(service.updatedAt); !service.updatedAt.IsZero() && elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / lateServiceDecay.Seconds())
		service.sent *= decay
		service.seconds *= decay
		if waited {
			service.seconds += elapsed.Seconds()
		}
	}
	service.sent += float64(sent)
	service.updatedAt = now
}

// Wait returns the predicted wait of a late prompt with the given number of late prompts ahead.
func (service *LateService) Wait(ahead int) time.Duration {
	perPrompt := (service.seconds + initialLateSeconds) / (service.sent + 1)
	return time.Duration(float64(ahead+1) * perPrompt * float64(time.Second))
}
