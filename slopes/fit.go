package main

import (
	"errors"
	"math"

	"gonum.org/v1/gonum/stat"
)

// line is a straight line through measured points.
type line struct {
	Intercept, Slope float64
	// Error is the standard error of the slope.
	Error    float64
	RSquared float64
}

var errTooFew = errors.New("a line with its error needs three points of two sizes")

// fit returns the line of least squares.
func fit(sizes, costs []float64) (line, error) {
	_, variance := stat.MeanVariance(sizes, nil)
	freedom := float64(len(sizes) - 2)
	if freedom < 1 || variance == 0 {
		return line{}, errTooFew
	}
	intercept, slope := stat.LinearRegression(sizes, costs, nil, false)
	var residual float64
	for i := range sizes {
		off := costs[i] - intercept - slope*sizes[i]
		residual += off * off
	}
	spread := variance * float64(len(sizes)-1)
	return line{
		Intercept: intercept, Slope: slope,
		Error:    math.Sqrt(residual / freedom / spread),
		RSquared: stat.RSquared(sizes, costs, nil, intercept, slope),
	}, nil
}
