package order

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"peridotpath.example/peridotpath"
)

const (
	// After the weight store refused, loads pause for a while that doubles.
	minLoadPause = time.Second
	maxLoadPause = time.Minute
)

// repair is an order that the plan wants sent.
type repair struct {
	endpoint peridotpath.EndpointID
	want     State
	// weights says that it holds a turn at the weight store.
	weights bool
}

// planner decides which engines get an order now. It does no input or output.
//
// The load it is made for is a new version for a whole service: twenty engines
// that each read many gigabytes from a weight store with a rate limit. All at
// once they would be refused or slow each other down past the time limit of
// their orders, and none would finish. So loads take turns: a few at a time, a
// number a minute, the engine that has waited longest first, lest the same few
// win each time. Orders that need no weights are not held up by them.
type planner struct {
	limiter  *rate.Limiter
	maxLoads int

	loads  int
	wrong  map[peridotpath.EndpointID]time.Time
	pause  time.Duration
	paused time.Time
}

func newPlanner(settings Settings) *planner {
	every := time.Minute / time.Duration(settings.LoadsPerMinute)
	return &planner{
		limiter:  rate.NewLimiter(rate.Every(every), settings.MaxLoads),
		maxLoads: settings.MaxLoads,
		wrong:    map[peridotpath.EndpointID]time.Time{},
	}
}

// plan returns the repairs to begin now, given the states that were just read.
// An engine that is missing from seen is left alone.
func (planner *planner) plan(now time.Time, desired, seen map[peridotpath.EndpointID]State) []repair {
	maps.DeleteFunc(planner.wrong, func(id peridotpath.EndpointID, _ time.Time) bool {
		_, wanted := desired[id]
		return !wanted
	})
	var waiting []peridotpath.EndpointID
	for id, state := range seen {
		want, ok := desired[id]
		if !ok || state.Equal(want) {
			delete(planner.wrong, id)
			continue
		}
		if planner.wrong[id].IsZero() {
			planner.wrong[id] = now
		}
		waiting = append(waiting, id)
	}
	slices.SortFunc(waiting, planner.longestFirst)
	var repairs []repair
	for _, id := range waiting {
		weights := seen[id].NeedsWeights(desired[id])
		if weights && !planner.turn(now) {
			continue
		}
		repairs = append(repairs, repair{endpoint: id, want: desired[id], weights: weights})
	}
	return repairs
}

func (planner *planner) longestFirst(a, b peridotpath.EndpointID) int {
	return cmp.Or(planner.wrong[a].Compare(planner.wrong[b]), cmp.Compare(a, b))
}

// turn takes a turn at the weight store if there is one.
func (planner *planner) turn(now time.Time) bool {
	if planner.loads >= planner.maxLoads || now.Before(planner.paused) || !planner.limiter.AllowN(now, 1) {
		return false
	}
	planner.loads++
	return true
}

// done takes back the turn of a repair. If the weight store refused, loads
// pause. An engine whose order failed goes to the end of the line: two broken
// ones would otherwise take every turn.
func (planner *planner) done(now time.Time, repair repair, err error) {
	if repair.weights {
		planner.loads--
	}
	switch {
	case err == nil:
		planner.pause = 0
		return
	case ErrBusy.Has(err):
		planner.pause = min(max(2*planner.pause, minLoadPause), maxLoadPause)
		planner.paused = now.Add(planner.pause)
	}
	planner.wrong[repair.endpoint] = now
}
