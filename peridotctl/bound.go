package main

import (
	"cmp"
	"math"
	"slices"
	"time"

	"peridotpath.example/peridotpath/logline"
)

// The bound is what one that knows all could at best have on time of the same
// long prompts: every prompt is read by all engines at once without any loss,
// nobody writes, short prompts cost nothing, and a prompt that is read in part
// earns that part of its worth. Nothing that the instances could have decided is
// better, so that what lies between the bound and what was reached is all that
// other decisions could win.

const (
	// boundLeast is the reading time, at one engine, from which a prompt takes part:
	// shorter ones do not wait for their turn.
	boundLeast = 150.0 // milliseconds
	// boundSlot is the step of time in which engines are shared out.
	boundSlot = 50.0 // milliseconds
	// boundSteps is how often the part of a prompt that fits is halved in search;
	// ten make a thousandth.
	boundSteps = 10
)

// boundJob is one long prompt; times are in milliseconds.
type boundJob struct {
	arrived, due float64
	// reading is how long one engine takes.
	reading, worth float64
	onTime         bool
	// part is how much of it is read in time.
	part float64
}

// bound holds the long prompts, and how many engines there were in each second.
type bound struct {
	jobs    []*boundJob
	engines map[int]int
}

func (bound *bound) add(line logline.Line) {
	ended, err := time.Parse(time.RFC3339Nano, line.Pairs["time"])
	reading, aim := line.Number("reading"), line.Number("aim")
	if err != nil || reading == 0 || aim == 0 {
		return
	}
	arrived := float64(ended.UnixMilli()) - line.Number("took")
	second := int(arrived / 1000)
	bound.engines[second] = max(bound.engines[second], int(line.Number("engines")))
	if reading < boundLeast {
		return
	}
	first := line.Number("first_event")
	bound.jobs = append(bound.jobs, &boundJob{
		arrived: arrived, due: arrived + aim, reading: reading, worth: worthOf(line.Number("prompt")),
		onTime: line.Pairs["event"] == "served" && first > 0 && first <= aim,
	})
}

// solve returns which part of the long prompts' worth was on time, and which could
// have been. Prompts are taken in the order of their worth for a second of reading,
// each as far as it fits beside those before it: for work that may be divided at
// will no other order has more.
func (bound *bound) solve() (reached, possible float64) {
	slices.SortStableFunc(bound.jobs, func(a, b *boundJob) int {
		return cmp.Compare(b.worth/b.reading, a.worth/a.reading)
	})
	total := 0.0
	for i, job := range bound.jobs {
		total += job.worth
		if job.onTime {
			reached += job.worth
		}
		taken := bound.jobs[:i+1]
		low, high := 0.0, 1.0
		job.part = high
		if bound.fits(taken) {
			possible += job.worth
			continue
		}
		for range boundSteps {
			job.part = (low + high) / 2
			if bound.fits(taken) {
				low = job.part
			} else {
				high = job.part
			}
		}
		// The upper end, so that the bound is one.
		possible += high * job.worth
		job.part = low
	}
	if total == 0 {
		return 0, 0
	}
	return reached / total, possible / total
}

// fits reports whether the jobs' parts can all be read in time: those due first
// are read first.
func (bound *bound) fits(jobs []*boundJob) bool {
	byDue := slices.Clone(jobs)
	slices.SortStableFunc(byDue, func(a, b *boundJob) int { return cmp.Compare(a.due, b.due) })
	left := make([]float64, len(byDue))
	first, last := math.Inf(1), 0.0
	for i, job := range byDue {
		left[i] = job.part * job.reading
		first, last = min(first, job.arrived), max(last, job.due)
	}
	for start := first; start < last; start += boundSlot {
		capacity := boundSlot * float64(bound.enginesAt(start))
		for i, job := range byDue {
			if capacity <= 0 {
				break
			}
			if left[i] == 0 || job.arrived >= start+boundSlot || job.due <= start {
				continue
			}
			read := min(left[i], capacity)
			left[i] -= read
			capacity -= read
		}
	}
	for _, rest := range left {
		if rest > 0 {
			return false
		}
	}
	return true
}

// enginesAt returns how many engines there were: the most that a request found in
// that second, or in the last one before it that had any.
func (bound *bound) enginesAt(milliseconds float64) int {
	const longestGap = 60
	second := int(milliseconds / 1000)
	for back := range longestGap {
		if count := bound.engines[second-back]; count > 0 {
			return count
		}
	}
	return 0
}
