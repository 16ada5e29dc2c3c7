package main

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

func TestBound(t *testing.T) {
	const start = 1_000_000.0
	job := func(after, aim, reading, worth float64, onTime bool) *boundJob {
		return &boundJob{arrived: start + after, due: start + after + aim, reading: reading, worth: worth, onTime: onTime}
	}
	tests := []struct {
		name              string
		engines           int
		jobs              []*boundJob
		reached, possible float64
	}{
		{"none", 4, nil, 0, 0},
		{"all fit", 4, []*boundJob{job(0, 1000, 2000, 1, true), job(0, 1000, 2000, 1, false)}, 0.5, 1},
		{"half fits", 2, []*boundJob{job(0, 1000, 2000, 1, true), job(0, 1000, 2000, 1, false)}, 0.5, 0.5},
		{"a part of one counts in part", 3, []*boundJob{job(0, 1000, 2000, 1, true), job(0, 1000, 2000, 1, false)}, 0.5, 0.75},
		{"what is worth more goes first", 2, []*boundJob{job(0, 1000, 2000, 1, true), job(0, 1000, 2000, 3, false)}, 0.25, 0.75},
		{"one that is due first makes room", 1, []*boundJob{job(0, 2000, 1000, 1, false), job(0, 1000, 1000, 1, false)}, 0, 1},
		{"time before the arrival is lost", 1, []*boundJob{job(500, 500, 1000, 1, false), job(0, 500, 250, 1, false)}, 0, 0.75},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			bound := &bound{jobs: test.jobs, engines: map[int]int{start / 1000: test.engines}}
			reached, possible := bound.solve()
			is.True(math.Abs(reached-test.reached) < 0.01)
			is.True(math.Abs(possible-test.possible) < 0.01)
		})
	}
}
