// Package placement chooses the endpoints that run a request. It predicts prefill and
// decode times from the rates that a service publishes for its engines, and the load of
// each engine from the in-flight requests of this instance and, by gossip, of its peers.
// Among the feasible plans it takes the one that minimises the expected value lost to
// missed TTFT and ITL targets, of the request itself and of requests on the same engines.
//
// It matters under mixed load, where the prefill of long prompts delays short requests
// on the same engine (head-of-line blocking). Long prompts are queued across all
// instances and split over several engines; short requests are packed onto the others.
// Outlier ejection keeps requests away from endpoints that failed. The package does no I/O.
package placement

import (
	"math"
	"time"

	"peridotpath.example/peridotpath"
)

// Model predicts the times of an engine from its service's rates. Engines use
// continuous batching with chunked prefill.
type Model struct {
	Rates *peridotpath.EngineRates
}

const million = 1e6

// PrefillTime returns the prefill time of a prompt on one idle engine. It grows
// with the square of the prompt's length.
func (model Model) PrefillTime(prompt peridotpath.Tokens) time.Duration {
	rates := model.Rates
	tokens := float64(prompt)
	linear := tokens / rates.PrefillPerSecond * float64(time.Second)
	quadratic := tokens * tokens / 2 / million * float64(rates.PerMillionPairs)
	steps := math.Ceil(tokens/float64(rates.Chunk)) * float64(rates.Step)
	return time.Duration(linear + quadratic + steps)
}

// IterationTime returns the duration of an iteration without prefill, which is the time
// between two events of each decoding request.
func (model Model) IterationTime(decoding int, context peridotpath.Tokens) time.Duration {
	if decoding == 0 {
		return 0
	}
	rates := model.Rates
	step := rates.Step + time.Duration(decoding)*rates.StepPerSequence +
		time.Duration(float64(context)/1000*float64(rates.StepPerContextK))
	return time.Duration(rates.StepsPerIteration) * step
}

// DecodeTime returns the decode time of an answer at the given iteration time.
func (model Model) DecodeTime(answer peridotpath.Tokens, iteration time.Duration) time.Duration {
	iterations := (int64(answer) + int64(model.Rates.StepsPerIteration) - 1) / int64(model.Rates.StepsPerIteration)
	return time.Duration(iterations) * iteration
}

// ShortestDecodeTime returns the decode time of the work's answer on an engine that runs nothing else.
func (model Model) ShortestDecodeTime(work Work) time.Duration {
	return model.DecodeTime(work.AnswerTokens, model.IterationTime(1, work.PromptTokens))
}

// valueUnitTokens is the prompt length whose answer has the value 1. valueExponent is
// how value grows with length. An equal value for all lengths (exponent 0) would starve
// long prompts, and a value per token (exponent 1) would starve short ones.
const (
	valueUnitTokens = 5000
	valueExponent   = 0.75
)

// PromptValue weighs a request against others when not all can meet their targets.
func PromptValue(prompt peridotpath.Tokens) float64 {
	return math.Pow(max(float64(prompt), 1)/valueUnitTokens, valueExponent)
}
