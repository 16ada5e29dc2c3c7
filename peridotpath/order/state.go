// Package order reconciles model engines with their desired state.
//
// The desired state of the engines of one data centre and service is a value in
// the key-value store, changed by compare-and-swap. The lease holder polls each
// engine's actual state and sends an order where the two differ (level-triggered
// reconciliation). An order holds the complete state, not a difference, so it is
// idempotent: a duplicate has no effect, and the result of a delayed one shows in
// the engine's state and is corrected at the next poll. Orders carry a fencing
// token, and orders that read from the weight store are rate limited.
package order

import (
	"slices"
	"time"

	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
)

// Error is the class of this package's errors.
var Error = errs.Class("order")

// ErrWeightStoreBusy is the class of errors of orders that failed because the weight store
// refused the load at its rate limit.
var ErrWeightStoreBusy = errs.Class("order: weight store busy")

// Role has the form of engine.Role; this package only compares roles.
type Role string

// State is the actual or the desired state of an engine.
type State struct {
	Model    string   `json:"model"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	Role     Role     `json:"role"`
}

// Equal reports whether the states are the same, ignoring the order of adapters.
func (state State) Equal(other State) bool {
	return state.Model == other.Model && state.Version == other.Version && state.Role == other.Role &&
		slices.Equal(slices.Sorted(slices.Values(state.Adapters)), slices.Sorted(slices.Values(other.Adapters)))
}

// NeedsWeights reports whether an engine in this state has to read from the
// weight store to reach the state want.
func (state State) NeedsWeights(want State) bool {
	if state.Model != want.Model || state.Version != want.Version {
		return true
	}
	return slices.ContainsFunc(want.Adapters, func(adapter string) bool {
		return !slices.Contains(state.Adapters, adapter)
	})
}

// Order instructs one engine to reach a state.
type Order struct {
	Desired State `json:"want"`
	// Fencing is the fencing token of the holder's lease. Engines that check it
	// refuse an order with a lower token than the highest they have received.
	Fencing peridotpath.FencingNumber `json:"fencing"`
	// Timeout is the time after which the engine abandons the order. It is no
	// longer than the rest of the holder's lease.
	Timeout time.Duration `json:"limit"`
}
