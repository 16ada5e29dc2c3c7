package relay

import (
	"context"

	"peridotpath.example/peridotpath/failover"
	"peridotpath.example/peridotpath/liveness"
)

// startLivenessProbe starts probes that suspect the contender when its engine stops answering them.
func (race *race) startLivenessProbe(contender *contender) *liveness.Probe {
	check := func(ctx context.Context) error { return race.exchange.relay.checkLiveness(ctx, contender.attemptState) }
	return liveness.Start(contender.ctx, check, func(err error) {
		race.reportSuspicion(contender, failover.DoubtUnresponsive, err)
	})
}

// checkLiveness probes the engine over the link that the attempt uses: where another one works,
// the answer would still never arrive.
func (relay *Relay) checkLiveness(ctx context.Context, attempt *attemptState) error {
	if _, isCarried := attempt.link.Peer(); !isCarried && relay.CheckDirectly != nil {
		return relay.CheckDirectly(ctx, attempt.plan.Primary)
	}
	return relay.Check(ctx, attempt.plan.Primary)
}
