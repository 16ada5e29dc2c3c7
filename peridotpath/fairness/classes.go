package fairness

import (
	"math/bits"
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// classWindow is the time over which served and refused requests are counted, in steps of
	// classStep.
	classWindow = 10 * time.Second
	classStep   = time.Second
	classSteps  = int(classWindow / classStep)
	// minServedRatio is the ratio of the served part of a class to that of the others below which
	// it counts as served too little. No class may be served less than half as often as the others.
	// With a ratio of 0.5, the largest prompts were served 0.44 to 0.50 as often: the counts are
	// seconds old.
	minServedRatio = 0.7
	// minClassSamples is the number of requests of a class from which it is compared, and
	// minOtherSamples that of the others. One request of a class suffices, because an instance ends
	// one of the largest prompts in about 10 s: with two, they were served 0.46 as often as the others.
	minClassSamples = 1
	minOtherSamples = 4
)

// SizeClass returns the size class of a prompt: a factor of two in tokens.
func SizeClass(prompt peridotpath.Tokens) int { return bits.Len64(uint64(max(prompt, 0))) }

// servedCount counts requests that ended within one step.
type servedCount struct {
	step          int64
	served, ended int
}

// ClassCounts counts served and refused requests by class, such as the size class or the data
// centre of the caller, within the classes of one route. It is not safe for concurrent use.
type ClassCounts[Class comparable] struct {
	steps map[Class]*[classSteps]servedCount
}

// Record counts a request that was served or refused.
func (counts *ClassCounts[Class]) Record(class Class, served bool, now time.Time) {
	if counts.steps == nil {
		counts.steps = map[Class]*[classSteps]servedCount{}
	}
	ring := counts.steps[class]
	if ring == nil {
		ring = &[classSteps]servedCount{}
		counts.steps[class] = ring
	}
	step := now.UnixNano() / int64(classStep)
	slot := &ring[step%int64(classSteps)]
	if slot.step != step {
		*slot = servedCount{step: step}
	}
	slot.ended++
	if served {
		slot.served++
	}
}

// Underserved reports whether the class was served so much less often than the others in the last
// 10 s, relative to their requests, that it may fall below half. It addresses large prompts that yield to smaller ones
// for as long as those keep coming.
func (counts *ClassCounts[Class]) Underserved(class Class, now time.Time) bool {
	var own, others servedCount
	for each, ring := range counts.steps {
		sum := &others
		if each == class {
			sum = &own
		}
		for _, slot := range ring {
			if age := now.UnixNano()/int64(classStep) - slot.step; age < int64(classSteps) {
				sum.served += slot.served
				sum.ended += slot.ended
			}
		}
	}
	if own.ended < minClassSamples || others.ended < minOtherSamples {
		return false
	}
	return float64(own.served)/float64(own.ended) < minServedRatio*float64(others.served)/float64(others.ended)
}
