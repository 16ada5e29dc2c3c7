package engine

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotpath.example/peridotpath"
)

// pollConcurrency bounds the reports that are fetched at a time.
const pollConcurrency = 32

// Poller reads the load reports of endpoints. Set the exported fields before Run.
type Poller struct {
	Load func(ctx context.Context, address netip.AddrPort) (peridotpath.Load, error)
	// Endpoints returns the endpoints that are to be read.
	Endpoints func() []peridotpath.Endpoint
	Interval  time.Duration
	// Report takes a report; its AsOf is when the call was sent.
	Report func(now time.Time, endpoint peridotpath.EndpointID, load peridotpath.Load)
}

// Run reads all reports once every Interval until ctx ends.
func (poller *Poller) Run(ctx context.Context) error {
	ticker := time.NewTicker(poller.Interval)
	defer ticker.Stop()
	for {
		poller.round(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (poller *Poller) round(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(pollConcurrency)
	for _, endpoint := range poller.Endpoints() {
		if endpoint.Kind != peridotpath.KindEngine {
			continue
		}
		group.Go(func() error {
			sent := time.Now()
			load, err := poller.Load(ctx, endpoint.Address)
			if err != nil {
				// A missing report costs only accuracy: the last one ages.
				return nil //nolint:nilerr
			}
			load.AsOf = sent
			poller.Report(time.Now(), endpoint.ID, load)
			return nil
		})
	}
	_ = group.Wait()
}
