package caller

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// TestEstimateConvergesOnUsage checks that the estimate converges on the service's own
// ratio: a text in Bengali script is first estimated at twice its length and would
// be refused as too long. The ratio of another service must not change, and a single
// implausible usage must change the estimate only slightly.
func TestEstimateConvergesOnUsage(t *testing.T) {
	is := is.New(t)
	var estimator tokenEstimator
	is.Equal(int(estimator.estimate("lipi-model", 40_000)), 10_001)
	for range 200 {
		estimator.observe("lipi-model", 80_000, 10_000)
	}
	is.True(math.Abs(float64(estimator.estimate("lipi-model", 40_000))-5_000) < 50)
	is.Equal(int(estimator.estimate("claims-llm", 40_000)), 10_001)
	estimator.observe("lipi-model", 80_000, 1)
	estimator.observe("lipi-model", 80_000, 1_000_000_000)
	estimator.observe("lipi-model", 10, 10)
	is.True(math.Abs(float64(estimator.estimate("lipi-model", 40_000))-5_000) < 500)
}
