package fairshare

import (
	"math"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/fairness"
	"peridotpath.example/peridotpath/placement"
)

// Demand is what a request asks of the engines.
type Demand struct {
	// Customer is whose request it is.
	Customer placement.CustomerHash
	// Rates are those of the engines.
	Rates *peridotpath.EngineRates
	// PromptTokens is the length of the prompt, Prefill its prefill time on one engine.
	PromptTokens peridotpath.Tokens
	Prefill      time.Duration
	// AnswerTokens is the expected length of the rest of the answer.
	AnswerTokens peridotpath.Tokens
}

// decodeTime returns the engine time that decoding takes for a number of events: the iterations
// of a full batch, divided by the batch size.
func (demand *Demand) decodeTime(events float64) time.Duration {
	model := placement.Model{Rates: demand.Rates}
	batch := max(model.Rates.BatchSize, 1)
	iteration := model.IterationTime(batch, demand.PromptTokens*peridotpath.Tokens(batch))
	return time.Duration(events * float64(iteration) / float64(batch))
}

// events returns the number of events that the rest of the answer is expected to have.
func (demand *Demand) events() float64 {
	return max(float64(demand.AnswerTokens)/float64(max(demand.Rates.StepsPerIteration, 1)), 1)
}

// SlotTime returns the time for which the request has a slot of a busy engine.
func (demand *Demand) SlotTime() time.Duration {
	return demand.Prefill + demand.decodeTime(demand.events())*time.Duration(demand.Rates.BatchSize)
}

// RecordArrival records the engine time that a request asks for.
func (divider *Divider) RecordArrival(demand *Demand, now time.Time) {
	divider.mutex.Lock()
	defer divider.mutex.Unlock()
	divider.ledger.RecordArrival(demand.Customer, demand.Prefill+demand.decodeTime(divider.answerEvents(demand.events())), now)
}

// Charge is the engine time of an attempt as RecordDispatch has estimated it.
type Charge struct {
	demand Demand
	// decode is the engine time of the decoding, charged at the time at.
	decode time.Duration
	at     time.Time
}

// RecordDispatch records the engine time of an attempt that is about to be sent. RecordEnd takes the
// charge when the attempt has ended.
func (divider *Divider) RecordDispatch(demand *Demand, now time.Time) Charge {
	divider.mutex.Lock()
	defer divider.mutex.Unlock()
	charge := Charge{demand: *demand, decode: demand.decodeTime(divider.answerEvents(demand.events())), at: now}
	divider.ledger.RecordUse(demand.Customer, demand.Prefill+charge.decode, now)
	if divider.inFlight == nil {
		divider.inFlight = map[placement.CustomerHash]int{}
	}
	divider.inFlight[demand.Customer]++
	return charge
}

// Answer is what an attempt has brought of the answer.
type Answer struct {
	// IsStreamed reports that Events is known: the length of an answer that is not streamed is not.
	IsStreamed bool
	// Events is the number of events that arrived.
	Events float64
	// IsWhole reports that the attempt was to bring the whole answer: the length of the rest of a
	// resumed one is not known.
	IsWhole bool
}

// RecordEnd replaces the estimated decode time of an attempt that has ended by that of the events
// that arrived.
func (divider *Divider) RecordEnd(charge *Charge, answer Answer, now time.Time) {
	demand := &charge.demand
	divider.mutex.Lock()
	defer divider.mutex.Unlock()
	if divider.inFlight[demand.Customer]--; divider.inFlight[demand.Customer] <= 0 {
		delete(divider.inFlight, demand.Customer)
	}
	if !answer.IsStreamed {
		return
	}
	// What is left of the estimate after its decay is taken back.
	charged := time.Duration(float64(charge.decode) * math.Exp(-now.Sub(charge.at).Seconds()/fairness.TimeConstant.Seconds()))
	divider.ledger.RecordUse(demand.Customer, demand.decodeTime(answer.Events)-charged, now)
	if answer.Events > 0 && answer.IsWhole {
		divider.recordAnswer(answer.Events / demand.events())
	}
}

// answerEvents corrects an expected number of events by the average of the answers so far. The
// caller holds the mutex.
func (divider *Divider) answerEvents(expected float64) float64 {
	if divider.answerRatio == 0 {
		return expected
	}
	return expected * divider.answerRatio
}

const (
	// answerLengthGain is the weight of a new sample in the average ratio of the length of an
	// answer to the expected one.
	answerLengthGain = 0.05
	// minAnswerRatio and maxAnswerRatio bound the ratio of one answer's length to the expected one.
	minAnswerRatio, maxAnswerRatio = 0.1, 4
)

// recordAnswer adds the ratio of an answer's length to the expected one to the average. The caller
// holds the mutex.
func (divider *Divider) recordAnswer(ratio float64) {
	ratio = min(max(ratio, minAnswerRatio), maxAnswerRatio)
	if divider.answerRatio == 0 {
		divider.answerRatio = ratio
	}
	divider.answerRatio += answerLengthGain * (ratio - divider.answerRatio)
}
