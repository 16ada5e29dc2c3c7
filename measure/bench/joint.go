package bench

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotpath.example/peridotpath"
)

// ScaleOutEndpoints is the number of endpoints that the instances of a run share.
const ScaleOutEndpoints = 32

// ScaleOutRun is a run in which a number of instances share the endpoints, with a given lag of
// the load reports.
type ScaleOutRun struct {
	Instances      int
	ReportLag      time.Duration
	OfferedPercent int // percent of capacity
	// ReplacedInstances is the number of instances that crash during the run and restart
	// without state.
	ReplacedInstances int
	Figures           Figures
	// Imbalance is the mean over time of the difference between the prefill backlog of
	// the busiest endpoint and the mean backlog of all endpoints, in milliseconds.
	Imbalance float64
}

// ScaleOutRuns returns the runs: one instance that receives all requests, then several instances
// that share only load reports, and last 32 instances of which half are replaced at once.
func ScaleOutRuns(offered int) []ScaleOutRun {
	runs := []ScaleOutRun{{Instances: 1, ReportLag: 300 * time.Millisecond, OfferedPercent: offered}}
	for _, lag := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 9 * time.Second} {
		for _, instances := range []int{2, 8, 32, 64} {
			runs = append(runs, ScaleOutRun{Instances: instances, ReportLag: lag, OfferedPercent: offered})
		}
	}
	return append(runs, ScaleOutRun{Instances: 32, ReportLag: time.Second, OfferedPercent: offered, ReplacedInstances: 16})
}

// RunScaleOut simulates all runs with the same arrivals.
func RunScaleOut(ctx context.Context, runs []ScaleOutRun, seed uint64, parallel int) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallel)
	for i := range runs {
		group.Go(func() error {
			if ctx.Err() == nil {
				runs[i].run(seed)
			}
			return ctx.Err()
		})
	}
	return group.Wait()
}

func (scaleOutRun *ScaleOutRun) run(seed uint64) {
	load := &Load{
		Name: "joint", LengthShares: mixedShares, ReportLag: scaleOutRun.ReportLag, MaxEstimateError: 1.1, ReplacedInstances: scaleOutRun.ReplacedInstances,
		Deployment: Deployment{Name: "joint", Endpoints: ScaleOutEndpoints, Instances: scaleOutRun.Instances, Latency: time.Millisecond},
	}
	arrivals := load.arrivals(float64(scaleOutRun.OfferedPercent)/100, seed)
	cluster := run(load, NewPeridotpath("peridotpath", 0), arrivals, seed)
	cluster.engineCapacity = load.engineCapacity(seed)
	scaleOutRun.Figures = cluster.figures(scaleOutRun.OfferedPercent)
	scaleOutRun.Imbalance = cluster.imbalanceSum / float64(max(cluster.imbalanceSamples, 1))
}

// sampleImbalance records the imbalance of the prefill backlog between endpoints.
func (cluster *cluster) sampleImbalance(loads []peridotpath.Load) {
	since := cluster.clock.now.Sub(epoch)
	if since < warmUpPeriod || since > arrivalPeriod {
		return
	}
	var largest, sum float64
	for _, load := range loads {
		largest = max(largest, float64(load.PrefillTokens))
		sum += float64(load.PrefillTokens)
	}
	cluster.imbalanceSum += (largest - sum/float64(len(loads))) / busyPrefillPerS * 1000
	cluster.imbalanceSamples++
}
