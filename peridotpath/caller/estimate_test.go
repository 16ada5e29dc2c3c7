package caller

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// TestEstimateFollowsUsage: a folio in Bengali script is taken for twice its
// length and refused as too long, until the estimate has learnt the service's
// own ratio. The other service's is left alone, and one absurd usage moves
// nothing far.
func TestEstimateFollowsUsage(t *testing.T) {
	is := is.New(t)
	var estimator estimator
	is.Equal(int(estimator.tokens("lipi-model", 40_000)), 10_001)
	for range 200 {
		estimator.observe("lipi-model", 80_000, 10_000)
	}
	is.True(math.Abs(float64(estimator.tokens("lipi-model", 40_000))-5_000) < 50)
	is.Equal(int(estimator.tokens("claims-llm", 40_000)), 10_001)
	estimator.observe("lipi-model", 80_000, 1)
	estimator.observe("lipi-model", 80_000, 1_000_000_000)
	estimator.observe("lipi-model", 10, 10)
	is.True(math.Abs(float64(estimator.tokens("lipi-model", 40_000))-5_000) < 500)
}
