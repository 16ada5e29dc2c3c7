package bench

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotpath.example/peridotpath"
)

// JointEndpoints is the fleet's size where instances decide jointly.
const JointEndpoints = 32

// Joint is one size and report lag at which instances decide jointly.
type Joint struct {
	Instances int
	Lag       time.Duration
	Offered   int // percent of capacity
	// Replaced instances die in the middle and come back empty.
	Replaced int
	Figures  Figures
	// Imbalance is the mean over time of the prompt work that the busiest
	// endpoint has ahead of it, less the mean of all, in milliseconds.
	Imbalance float64
}

// Joints returns what is to be measured: one instance that knows all it sent
// first, then several that know of one another by reports alone, at last 32 of
// which half are replaced at once.
func Joints(offered int) []Joint {
	joints := []Joint{{Instances: 1, Lag: 300 * time.Millisecond, Offered: offered}}
	for _, lag := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second, 9 * time.Second} {
		for _, instances := range []int{2, 8, 32, 64} {
			joints = append(joints, Joint{Instances: instances, Lag: lag, Offered: offered})
		}
	}
	return append(joints, Joint{Instances: 32, Lag: time.Second, Offered: offered, Replaced: 16})
}

// RunJoints measures all, on the same arrivals.
func RunJoints(ctx context.Context, joints []Joint, seed uint64, parallel int) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallel)
	for i := range joints {
		group.Go(func() error {
			if ctx.Err() == nil {
				joints[i].run(seed)
			}
			return ctx.Err()
		})
	}
	return group.Wait()
}

func (joint *Joint) run(seed uint64) {
	load := &Load{
		Name: "joint", Shares: mixedShares, ReportLag: joint.Lag, EstimateError: 1.1, Replaced: joint.Replaced,
		Deployment: Deployment{Name: "joint", Endpoints: JointEndpoints, Instances: joint.Instances, Latency: time.Millisecond},
	}
	arrivals := load.arrivals(float64(joint.Offered)/100, seed)
	whole := run(load, Peridotpath("peridotpath", 0), arrivals, seed)
	whole.capacity = load.capacity(seed)
	joint.Figures = whole.figures(joint.Offered)
	joint.Imbalance = whole.imbalance / float64(max(whole.samples, 1))
}

// sample notes how unevenly the prompt work lies on the endpoints.
func (cluster *cluster) sample(loads []peridotpath.Load) {
	since := cluster.clock.now.Sub(epoch)
	if since < warmUp || since > arrivalsTime {
		return
	}
	var most, sum float64
	for _, load := range loads {
		most = max(most, float64(load.PrefillTokens))
		sum += float64(load.PrefillTokens)
	}
	cluster.imbalance += (most - sum/float64(len(loads))) / fullPrefillPerS * 1000
	cluster.samples++
}
