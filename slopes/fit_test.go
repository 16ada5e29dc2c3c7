package main

import (
	"math"
	"testing"
)

func TestFit(t *testing.T) {
	cases := []struct {
		name         string
		sizes, costs []float64
		want         line
		fails        bool
	}{
		{"a line", []float64{1, 2, 3, 4}, []float64{5, 7, 9, 11}, line{Intercept: 3, Slope: 2, RSquared: 1}, false},
		// The textbook's: residuals -0.2, 0.4, -0.2 give 0.24/1 over a spread of 2.
		{"a bent one", []float64{1, 2, 3}, []float64{1, 3, 3.8}, line{Intercept: -0.2, Slope: 1.4, Error: math.Sqrt(0.24 / 2), RSquared: 0.9423}, false},
		{"too few", []float64{1, 2}, []float64{1, 2}, line{}, true},
		{"one size", []float64{1, 1, 1}, []float64{1, 2, 3}, line{}, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			have, err := fit(test.sizes, test.costs)
			if (err != nil) != test.fails {
				t.Fatalf("error %v", err)
			}
			for _, pair := range [][2]float64{
				{have.Intercept, test.want.Intercept}, {have.Slope, test.want.Slope},
				{have.Error, test.want.Error}, {have.RSquared, test.want.RSquared},
			} {
				if math.Abs(pair[0]-pair[1]) > 1e-4 {
					t.Fatalf("have %+v, want %+v", have, test.want)
				}
			}
		})
	}
}
