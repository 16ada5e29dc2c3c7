package main

import (
	"cmp"
	"math"
	"slices"
	"time"

	"peridotpath.example/peridotpath/logline"
)

// The upper bound is the value that an offline scheduler with full knowledge of
// the arrivals could have served within the TTFT targets. It relaxes the problem:
// every prompt's prefill is split across all engines without overhead, no engine
// decodes, short prompts take no time, and a prompt whose prefill completes in
// part yields that fraction of its value. No schedule exceeds the bound, so the
// gap between it and the achieved value is the most that better scheduling could
// gain.

const (
	// minBoundPrefill is the prefill time on one engine from which a prompt counts.
	// Shorter prompts bypass the prefill queue.
	minBoundPrefill = 150.0 // milliseconds
	// boundSlot is the time slot in which engine capacity is allocated.
	boundSlot = 50.0 // milliseconds
	// bisectionSteps is the number of steps in the search for the fraction of a
	// prompt that fits; ten steps resolve a thousandth.
	bisectionSteps = 10
)

// boundJob is one long prompt; times are in milliseconds.
type boundJob struct {
	arrived, deadline float64
	// prefillTime is the prefill time on one engine.
	prefillTime, value float64
	metTarget          bool
	// fraction is the part of the prefill that completes before the deadline.
	fraction float64
}

// upperBound holds the long prompts and the number of engines in each second.
type upperBound struct {
	jobs    []*boundJob
	engines map[int]int
}

func (upperBound *upperBound) add(line logline.Line) {
	ended, err := time.Parse(time.RFC3339Nano, line.Pairs["time"])
	prefillTime, ttftTarget := line.Number("reading"), line.Number("aim")
	if err != nil || prefillTime == 0 || ttftTarget == 0 {
		return
	}
	arrived := float64(ended.UnixMilli()) - line.Number("took")
	second := int(arrived / 1000)
	upperBound.engines[second] = max(upperBound.engines[second], int(line.Number("engines")))
	if prefillTime < minBoundPrefill {
		return
	}
	firstEvent := line.Number("first_event")
	upperBound.jobs = append(upperBound.jobs, &boundJob{
		arrived: arrived, deadline: arrived + ttftTarget, prefillTime: prefillTime, value: requestValue(line.Number("prompt")),
		metTarget: line.Pairs["event"] == "served" && firstEvent > 0 && firstEvent <= ttftTarget,
	})
}

// solve returns the share of the long prompts' value that met the TTFT target, and
// the share that could have. Prompts are admitted greedily by value per second of
// prefill, each with the largest fraction that fits beside the prompts admitted before.
// For divisible work this order is optimal, as in the fractional knapsack problem.
func (upperBound *upperBound) solve() (achieved, possible float64) {
	slices.SortStableFunc(upperBound.jobs, func(a, b *boundJob) int {
		return cmp.Compare(b.value/b.prefillTime, a.value/a.prefillTime)
	})
	total := 0.0
	for i, job := range upperBound.jobs {
		total += job.value
		if job.metTarget {
			achieved += job.value
		}
		admitted := upperBound.jobs[:i+1]
		low, high := 0.0, 1.0
		job.fraction = high
		if upperBound.fits(admitted) {
			possible += job.value
			continue
		}
		for range bisectionSteps {
			job.fraction = (low + high) / 2
			if upperBound.fits(admitted) {
				low = job.fraction
			} else {
				high = job.fraction
			}
		}
		// The upper end of the interval keeps the result an upper bound.
		possible += high * job.value
		job.fraction = low
	}
	if total == 0 {
		return 0, 0
	}
	return achieved / total, possible / total
}

// fits reports whether the prefill fractions of all jobs can complete before their
// deadlines, scheduled earliest deadline first.
func (upperBound *upperBound) fits(jobs []*boundJob) bool {
	byDeadline := slices.Clone(jobs)
	slices.SortStableFunc(byDeadline, func(a, b *boundJob) int { return cmp.Compare(a.deadline, b.deadline) })
	remaining := make([]float64, len(byDeadline))
	begin, end := math.Inf(1), 0.0
	for i, job := range byDeadline {
		remaining[i] = job.fraction * job.prefillTime
		begin, end = min(begin, job.arrived), max(end, job.deadline)
	}
	for start := begin; start < end; start += boundSlot {
		capacity := boundSlot * float64(upperBound.enginesAt(start))
		for i, job := range byDeadline {
			if capacity <= 0 {
				break
			}
			if remaining[i] == 0 || job.arrived >= start+boundSlot || job.deadline <= start {
				continue
			}
			processed := min(remaining[i], capacity)
			remaining[i] -= processed
			capacity -= processed
		}
	}
	for _, rest := range remaining {
		if rest > 0 {
			return false
		}
	}
	return true
}

// enginesAt returns the number of engines at a time: the most that any request
// logged in that second, or in the last second before it with a logged count.
func (upperBound *upperBound) enginesAt(milliseconds float64) int {
	const maxGapSeconds = 60
	second := int(milliseconds / 1000)
	for age := range maxGapSeconds {
		if count := upperBound.engines[second-age]; count > 0 {
			return count
		}
	}
	return 0
}
