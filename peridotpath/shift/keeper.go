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
	// demandSpan is the time over which the demand is averaged.
	demandSpan = time.Minute
	// readTimeout bounds the reading of all engines' roles and memory.
	readTimeout = 2 * time.Second
)

// Keeper shifts the engines of one data centre and service while its process
// holds the lease. Set the exported fields before Run.
type Keeper struct {
	Log        zerolog.Logger
	Store      *keyvalue.Store
	DataCentre peridotpath.DataCentre
	Service    peridotpath.Service
	Book       *order.Book
	Held       func() (lease.Term, bool)
	// Engines returns what is seen of the service's engines, Alive for those on
	// the list; Wanted is filled in by the Keeper.
	Engines func(ctx context.Context) ([]Engine, error)
	// Sites returns the region's data centres with their live engines of the service.
	Sites func() []Site
	// Longest returns the most tokens that a prompt of the service may take.
	Longest func() peridotpath.Tokens
	Limits  Limits
	// Interval is the time between two plans.
	Interval time.Duration

	demand demand
	// missed counts the readings in a row that an engine did not answer.
	missed map[peridotpath.EndpointID]int
}

// missedMost is how many readings in a row an engine may miss. Taking apart a
// group loses the prompts that it runs, so one slow answer must not do it.
const missedMost = 3

// demand turns the totals into a rate, by the holder's own clock.
type demand struct {
	known   bool
	last    Total
	changed time.Time
	perS    float64
	sampled time.Time
}

// sample takes in a reading of the totals.
func (demand *demand) sample(now time.Time, total Total) {
	if !demand.known {
		// A new holder knows no rate yet, and must not take old prompts for new
		// ones, nor dissolve what the last holder formed.
		*demand = newDemand(now, total)
		return
	}
	elapsed := now.Sub(demand.sampled).Seconds()
	if elapsed <= 0 {
		return
	}
	if total.Prompts < demand.last.Prompts {
		// The service came back from an older copy: what it lost says nothing of the demand.
		demand.last, demand.sampled = total, now
		return
	}
	rate := float64(total.Tokens-demand.last.Tokens) / elapsed
	weight := min(elapsed/demandSpan.Seconds(), 1)
	demand.perS += weight * (rate - demand.perS)
	if total.Prompts != demand.last.Prompts {
		demand.changed = now
	}
	demand.last, demand.sampled = total, now
}

func newDemand(now time.Time, total Total) demand {
	return demand{known: true, last: total, changed: now, sampled: now}
}

// Run plans at each interval until ctx ends.
func (keeper *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(keeper.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if _, held := keeper.Held(); !held {
			keeper.demand, keeper.missed = demand{}, nil
			continue
		}
		if err := keeper.look(ctx); err != nil {
			keeper.Log.Warn().Str("service", string(keeper.Service)).Err(err).Msg("shift_failed")
		}
	}
}

// look makes one plan and puts it in force with one compare-and-swap. Wanted
// roles are read together with their revision, so a plan made on roles that
// somebody has changed meanwhile is refused and made anew.
func (keeper *Keeper) look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*readTimeout)
	defer cancel()
	total, _, err := readTotal(ctx, keeper.Store, demandKey(keeper.Service))
	if err != nil {
		return err
	}
	now := time.Now()
	keeper.demand.sample(now, total)
	desired, err := keeper.Book.Get(ctx)
	if err != nil {
		return err
	}
	need := Need{
		Longest: keeper.Longest(), PerS: keeper.demand.perS, Idle: now.Sub(keeper.demand.changed),
		Sites: keeper.Sites(), Here: keeper.DataCentre,
	}
	if !need.asks(keeper.Limits) && !anyGroup(desired) {
		return nil
	}
	engines, err := keeper.Engines(ctx)
	if err != nil {
		return err
	}
	for i := range engines {
		engines[i].Wanted = desired.Endpoints[engines[i].ID].Role
		engines[i].Alive = engines[i].Alive && keeper.answers(engines[i])
	}
	return keeper.apply(ctx, desired, engines, Plan(engines, need, keeper.Limits))
}

// anyGroup reports whether a group is wanted. Without one, and without demand, no
// plan moves anything, and engines need not be read: that costs three calls to
// each of a site's engines in every interval.
func anyGroup(desired order.Desired) bool {
	for _, state := range desired.Endpoints {
		if parseRole(state.Role).duty != serve {
			return true
		}
	}
	return false
}

// answers reports whether the engine answered in one of the last readings.
func (keeper *Keeper) answers(engine Engine) bool {
	if keeper.missed == nil {
		keeper.missed = map[peridotpath.EndpointID]int{}
	}
	if engine.Answered {
		delete(keeper.missed, engine.ID)
		return true
	}
	keeper.missed[engine.ID]++
	return keeper.missed[engine.ID] < missedMost
}

// apply puts the moves in force. Only the role changes: the model, version and
// adapters stay as they are wanted, or as the engine has them.
func (keeper *Keeper) apply(ctx context.Context, desired order.Desired, engines []Engine, moves []Move) error {
	if len(moves) == 0 {
		return nil
	}
	change := order.Change{ID: order.ChangeID(uuid.NewString()), From: desired.Revision, Set: map[peridotpath.EndpointID]order.State{}}
	actual := map[peridotpath.EndpointID]order.State{}
	for _, engine := range engines {
		actual[engine.ID] = engine.Actual
	}
	for _, move := range moves {
		state := actual[move.Endpoint]
		if wanted, known := desired.Endpoints[move.Endpoint]; known {
			state = wanted
		}
		state.Role = move.Role
		change.Set[move.Endpoint] = state
	}
	if _, err := keeper.Book.Change(ctx, change); err != nil {
		return err
	}
	for _, move := range moves {
		metrics.GetOrCreateCounter("peridotpath_shift_moves_total").Inc()
		keeper.Log.Info().Str("service", string(keeper.Service)).Str("endpoint", string(move.Endpoint)).
			Str("role", string(move.Role)).Str("reason", move.Reason).Msg("shift")
	}
	return nil
}
