// Package order brings model engines to the state that operators want.
//
// Orders are absolute: "be this", never "change that". So an order that comes
// twice does no harm, and one that comes late shows in the engine's state and
// is put right. The state wanted is kept on the platform and changed by
// compare-and-swap; the holder of a lease reads each engine's state again and
// again and sends an order where it differs.
package order

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
)

// Error is the class of this package's errors.
var Error = errs.Class("order")

// ErrBusy is the class of a Send whose order was refused because the weight
// store is at its rate limit.
var ErrBusy = errs.Class("order: weight store busy")

// Role is the part that an engine plays, in the form of engine.Role; this
// package only compares roles.
type Role string

// State is what an engine is, or is to be.
type State struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     Role     `json:"role"`
}

// Equal reports that the states are the same; the order of adapters is not
// part of it.
func (state State) Equal(other State) bool {
	return state.Model == other.Model && state.Version == other.Version && state.Role == other.Role &&
		slices.Equal(slices.Sorted(slices.Values(state.Adapters)), slices.Sorted(slices.Values(other.Adapters)))
}

// NeedsWeights reports that an engine in this state reads from the weight store
// to become the other.
func (state State) NeedsWeights(want State) bool {
	if state.Model != want.Model || state.Version != want.Version {
		return true
	}
	return slices.ContainsFunc(want.Adapters, func(adapter string) bool {
		return !slices.Contains(state.Adapters, adapter)
	})
}

// Order tells one engine what to be.
type Order struct {
	Want State `json:"want"`
	// Fencing is the number of the holder's tenure. Engines that check it
	// refuse an order with a lower one than they have seen.
	Fencing peridotpath.FencingNumber `json:"fencing"`
	// Limit is how long the order may take; the engine gives it up after that.
	// It ends within the holder's lease.
	Limit time.Duration `json:"limit"`
}
