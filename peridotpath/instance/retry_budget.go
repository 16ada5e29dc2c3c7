package instance

import (
	"time"

	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/retrybudget"
	"peridotpath.example/peridotpath/throttle"
)

// createRetryBudget creates the retry budget, which lends and borrows by the facts that
// instances exchange.
func (instance *Instance) createRetryBudget() {
	settings := instance.Settings
	instance.retryBudget = &retrybudget.Budget{
		Ratio: settings.RetryRatio, Slack: settings.RetrySlack, Window: settings.RetryWindow,
		Instances: instance.estimateFleetSize, Facts: instance.facts, Instance: settings.InstanceID,
		SenderID: throttle.SenderID(settings.InstanceID, instance.incarnation), SinceBoot: clock.SinceBoot, StartedAt: time.Now(), Log: instance.Log,
	}
}
