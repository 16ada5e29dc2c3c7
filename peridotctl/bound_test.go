package main

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestUpperBound(t *testing.T) {
	const start = 1_000_000.0
	job := func(after, ttftTarget, prefillTime, value float64, metTarget bool) *boundJob {
		return &boundJob{arrived: start + after, deadline: start + after + ttftTarget, prefillTime: prefillTime, value: value, metTarget: metTarget}
	}
	tests := []struct {
		name               string
		engines            int
		jobs               []*boundJob
		achieved, possible float64
	}{
		{"none", 4, nil, 0, 0},
		{"all fit", 4, []*boundJob{job(0, 1000, 2000, 1, true), job(0, 1000, 2000, 1, false)}, 0.5, 1},
		{"half fits", 2, []*boundJob{job(0, 1000, 2000, 1, true), job(0, 1000, 2000, 1, false)}, 0.5, 0.5},
		{"a partial prefill yields partial value", 3, []*boundJob{job(0, 1000, 2000, 1, true), job(0, 1000, 2000, 1, false)}, 0.5, 0.75},
		{"the higher value is admitted first", 2, []*boundJob{job(0, 1000, 2000, 1, true), job(0, 1000, 2000, 3, false)}, 0.25, 0.75},
		{"the earliest deadline runs first", 1, []*boundJob{job(0, 2000, 1000, 1, false), job(0, 1000, 1000, 1, false)}, 0, 1},
		{"capacity before the arrival is unused", 1, []*boundJob{job(500, 500, 1000, 1, false), job(0, 500, 250, 1, false)}, 0, 0.75},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			upperBound := &upperBound{jobs: test.jobs, engines: map[int]int{start / 1000: test.engines}}
			achieved, possible := upperBound.solve()
			is.True(math.Abs(achieved-test.achieved) < 0.01)
			is.True(math.Abs(possible-test.possible) < 0.01)
		})
	}
}
