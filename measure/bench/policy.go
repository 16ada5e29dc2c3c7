package bench

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/decide"
)

// decider is the policy of one Instance: the methods of decide.Scheduler as functions.
type decider struct {
	setEndpoints func(now time.Time, endpoints []peridotpath.Endpoint)
	report       func(now time.Time, id peridotpath.EndpointID, load peridotpath.Load)
	submit       func(now time.Time, work *decide.Work) decide.Decision
	advance      func(now time.Time) []decide.Decision
	next         func() time.Time
	cancel       func(now time.Time, work *decide.Work)
	firstToken   func(now time.Time, work *decide.Work)
	done         func(now time.Time, work *decide.Work, outcome decide.Outcome, tokens peridotpath.Tokens)
	retry        func(now time.Time, work *decide.Work, last *peridotpath.Result) decide.Decision
}

// Policy creates the deciders of a fleet's instances.
type Policy struct {
	Name string
	// build returns the function that creates the decider of each instance of a run, and
	// that holds the state that these deciders share.
	build func(deployment Deployment, seed uint64) func(instance int) *decider
}

// NewPeridotpath returns the policy under test with the given mechanisms disabled.
func NewPeridotpath(name string, without decide.Mechanism) Policy {
	return Policy{Name: name, build: func(deployment Deployment, seed uint64) func(int) *decider {
		return func(instance int) *decider {
			scheduler := &decide.Scheduler{Seed: seed*1000 + uint64(instance), Disabled: without}
			scheduler.SetInstances(deployment.Instances)
			return &decider{
				setEndpoints: scheduler.SetEndpoints,
				report:       scheduler.ApplyReport,
				submit:       scheduler.Submit,
				advance:      scheduler.DispatchQueued,
				next:         scheduler.NextDispatch,
				cancel:       scheduler.Cancel,
				firstToken:   scheduler.RecordFirstToken,
				done:         scheduler.EndAttempt,
				retry:        scheduler.Retry,
			}
		}
	}}
}

// Baselines returns the baseline policies.
func Baselines() []Policy {
	return []Policy{
		{Name: "round_robin", build: roundRobin},
		{Name: "least_in_flight", build: leastInFlight(false)},
		{Name: "least_in_flight_priority", build: leastInFlight(true)},
		{Name: "one_fifo", build: oneFIFO},
		{Name: "split_fleets", build: splitFleets},
	}
}
