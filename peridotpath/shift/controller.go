package shift

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/lease"
	"peridotpath.example/peridotpath/order"
)

const (
	// demandAveragingTime is the time constant of the moving average of the demand.
	demandAveragingTime = time.Minute
	// halfPlanTimeout is half the time limit of making and applying one plan, which includes
	// the reads of the engines' roles and memory.
	halfPlanTimeout = 2 * time.Second
)

// Controller changes the roles of the engines of one data centre and service by the
// demand, while its process holds the lease. Set the exported fields before Run.
type Controller struct {
	Log          zerolog.Logger
	Store        *keyvalue.Store
	DataCentre   peridotpath.DataCentre
	Service      peridotpath.Service
	DesiredStore *order.DesiredStore
	Held         func() (lease.Term, bool)
	// ReadEngines reads the service's engines, with Engine.Alive set for those that are
	// live on the membership list and without their desired roles.
	ReadEngines func(ctx context.Context) ([]Engine, error)
	// Sites returns the region's data centres with their live engines of the service.
	Sites func() []Site
	// MaxPromptTokens returns the maximum size of a prompt of the service.
	MaxPromptTokens func() peridotpath.Tokens
	Limits          Limits
	// Interval is the time between two plans.
	Interval time.Duration

	demandRate demandEstimator
	// failedStateReads counts, for each engine, the consecutive reads of its state (role,
	// load and streams) that failed.
	failedStateReads map[peridotpath.EndpointID]int
}

// maxFailedStateReads is the number of consecutive failed reads of an engine's state
// after which the engine counts as lost. Dissolving a group aborts its prompts, so a single slow
// response must not cause it.
const maxFailedStateReads = 3

// demandEstimator computes a moving average of the demand in tokens a second from
// successive totals, on the lease holder's own clock.
type demandEstimator struct {
	initialised     bool
	lastTotal       DemandTotal
	lastPromptAt    time.Time
	tokensPerSecond float64
	sampledAt       time.Time
}

// addSample updates the rate with a new value of the total.
func (estimator *demandEstimator) addSample(now time.Time, total DemandTotal) {
	if !estimator.initialised {
		// A new holder has no rate yet. It must neither count earlier prompts as
		// new nor dissolve groups that the last holder formed.
		*estimator = newDemandEstimator(now, total)
		return
	}
	elapsed := now.Sub(estimator.sampledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	if total.Prompts < estimator.lastTotal.Prompts {
		// The store was restored from an older copy; the decrease is lost counts, not demand.
		estimator.lastTotal, estimator.sampledAt = total, now
		return
	}
	rate := float64(total.Tokens-estimator.lastTotal.Tokens) / elapsed
	weight := min(elapsed/demandAveragingTime.Seconds(), 1)
	estimator.tokensPerSecond += weight * (rate - estimator.tokensPerSecond)
	if total.Prompts != estimator.lastTotal.Prompts {
		estimator.lastPromptAt = now
	}
	estimator.lastTotal, estimator.sampledAt = total, now
}

func newDemandEstimator(now time.Time, total DemandTotal) demandEstimator {
	return demandEstimator{initialised: true, lastTotal: total, lastPromptAt: now, sampledAt: now}
}

// Run plans at each interval until ctx is done.
func (controller *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(controller.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if _, held := controller.Held(); !held {
			controller.demandRate, controller.failedStateReads = demandEstimator{}, nil
			continue
		}
		if err := controller.replan(ctx); err != nil {
			controller.Log.Warn().Str("service", string(controller.Service)).Err(err).Msg("shift_failed")
		}
	}
}

// replan makes one plan and applies it with one compare-and-swap. The desired roles
// are read together with their revision, so a plan based on roles that have changed
// after that read is refused and recomputed at the next interval.
func (controller *Controller) replan(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*halfPlanTimeout)
	defer cancel()
	total, _, err := readTotal(ctx, controller.Store, demandKey(controller.Service))
	if err != nil {
		return err
	}
	now := time.Now()
	controller.demandRate.addSample(now, total)
	desired, err := controller.DesiredStore.Get(ctx)
	if err != nil {
		return err
	}
	demand := Demand{
		MaxPromptTokens: controller.MaxPromptTokens(), TokensPerSecond: controller.demandRate.tokensPerSecond, IdleTime: now.Sub(controller.demandRate.lastPromptAt),
		Sites: controller.Sites(), DataCentre: controller.DataCentre,
	}
	if !demand.mayRequireGroup(controller.Limits) && !hasGroup(desired) {
		return nil
	}
	engines, err := controller.ReadEngines(ctx)
	if err != nil {
		return err
	}
	for i := range engines {
		engines[i].DesiredRole = desired.Endpoints[engines[i].ID].Role
		engines[i].Alive = engines[i].Alive && controller.isResponsive(engines[i])
	}
	return controller.applyMoves(ctx, desired, engines, Plan(engines, demand, controller.Limits))
}

// hasGroup reports whether the desired state has a group. Without groups and
// without demand no plan moves an engine, so the engines are not read, which saves
// three calls to each of them in every interval.
func hasGroup(desired order.Desired) bool {
	for _, state := range desired.Endpoints {
		if parseRole(state.Role).duty != dutyServe {
			return true
		}
	}
	return false
}

// isResponsive records whether the last read of the engine's state succeeded, and reports
// whether fewer than maxFailedStateReads consecutive reads have failed.
func (controller *Controller) isResponsive(engine Engine) bool {
	if controller.failedStateReads == nil {
		controller.failedStateReads = map[peridotpath.EndpointID]int{}
	}
	if engine.Responded {
		delete(controller.failedStateReads, engine.ID)
		return true
	}
	controller.failedStateReads[engine.ID]++
	return controller.failedStateReads[engine.ID] < maxFailedStateReads
}

// applyMoves writes the moves to the desired state. Only roles change: model, version
// and adapters stay as desired, or as the engine has them if it has no desired state.
func (controller *Controller) applyMoves(ctx context.Context, desired order.Desired, engines []Engine, moves []RoleChange) error {
	if len(moves) == 0 {
		return nil
	}
	change := order.Change{ID: order.ChangeID(uuid.NewString()), BaseRevision: desired.Revision, Set: map[peridotpath.EndpointID]order.State{}}
	actual := map[peridotpath.EndpointID]order.State{}
	for _, engine := range engines {
		actual[engine.ID] = engine.ActualState
	}
	for _, move := range moves {
		state := actual[move.Endpoint]
		if desiredState, ok := desired.Endpoints[move.Endpoint]; ok {
			state = desiredState
		}
		state.Role = move.Role
		change.Set[move.Endpoint] = state
	}
	if _, err := controller.DesiredStore.Change(ctx, change); err != nil {
		return err
	}
	for _, move := range moves {
		metrics.GetOrCreateCounter("peridotpath_shift_moves_total").Inc()
		controller.Log.Info().Str("service", string(controller.Service)).Str("endpoint", string(move.Endpoint)).
			Str("role", string(move.Role)).Str("reason", move.Reason).Msg("shift")
	}
	return nil
}
