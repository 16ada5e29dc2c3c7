// Package placement decides which endpoints a request goes to. It knows how an
// engine works from the rates that its service publishes, and how busy each one
// is from what this instance and its peers have sent there. It does no I/O.
package placement

import (
	"math"
	"time"

	"peridotpath.example/peridotpath"
)

// Model predicts an engine's work from its service's rates.
type Model struct {
	Rates *peridotpath.EngineRates
}

const pairsPerMillion = 1e6

// ReadTime returns how long one engine takes to read a prompt when it does
// nothing else. It grows with the square of the prompt's length.
func (model Model) ReadTime(prompt peridotpath.Tokens) time.Duration {
	rates := model.Rates
	tokens := float64(prompt)
	read := tokens / rates.ReadPerSecond * float64(time.Second)
	pairs := tokens * tokens / 2 / pairsPerMillion * float64(rates.PerMillionPairs)
	steps := math.Ceil(tokens/float64(rates.Chunk)) * float64(rates.Step)
	return time.Duration(read + pairs + steps)
}

// Pass returns how long a pass takes that only writes: the pause between two
// events of each of its writers.
func (model Model) Pass(writers int, context peridotpath.Tokens) time.Duration {
	if writers == 0 {
		return 0
	}
	rates := model.Rates
	step := rates.Step + time.Duration(writers)*rates.StepPerWriter +
		time.Duration(float64(context)/1000*float64(rates.StepPerContextK))
	return time.Duration(rates.StepsPerPass) * step
}

// WriteTime returns how long an answer takes on an engine whose passes take
// that long.
func (model Model) WriteTime(answer peridotpath.Tokens, pass time.Duration) time.Duration {
	passes := (int64(answer) + int64(model.Rates.StepsPerPass) - 1) / int64(model.Rates.StepsPerPass)
	return time.Duration(passes) * pass
}

// valueUnit is the prompt, in tokens, whose answer counts as 1, and
// valueExponent how value grows with length: between the same for all lengths, by
// which long work would starve, and one by tokens, by which short work would.
const (
	valueUnit     = 5000
	valueExponent = 0.75
)

// Value weighs a request against others when not all can be on time.
func Value(prompt peridotpath.Tokens) float64 {
	return math.Pow(max(float64(prompt), 1)/valueUnit, valueExponent)
}
