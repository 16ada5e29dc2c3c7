package enginetest

import (
	"slices"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	wire "peridotpath.example/peridotpath/engine"
)

// orders holds the order that the engine follows.
type orders struct {
	mu    sync.Mutex
	state wire.OrderState
	// weightsLoadedAt is the time at which the load of the weights completes.
	weightsLoadedAt time.Time
}

func (orders *orders) initialise() { orders.state.Role = wire.RoleServe }

// accept adopts an order and returns true. With check it refuses an order whose fencing token
// is lower than the highest received, because the sender no longer holds the lease, and
// returns false.
func (orders *orders) accept(order wire.Order, check bool, load time.Duration, now time.Time) bool {
	orders.mu.Lock()
	defer orders.mu.Unlock()
	if check && order.Fencing < orders.state.HighestFencing {
		return false
	}
	current := orders.state.Order
	if order.Model != current.Model || order.Adapter != current.Adapter || order.Version != current.Version {
		orders.weightsLoadedAt = now.Add(load)
	}
	orders.state.Order = order
	orders.state.HighestFencing = max(orders.state.HighestFencing, order.Fencing)
	return true
}

func (orders *orders) current(now time.Time) wire.OrderState {
	orders.mu.Lock()
	defer orders.mu.Unlock()
	state := orders.state
	state.Loading = now.Before(orders.weightsLoadedAt)
	return state
}

// checkServing returns an error while weights load, or if the role accepts no requests.
func (orders *orders) checkServing(now time.Time) error {
	state := orders.current(now)
	if state.Loading {
		return errClosed.New("loading %s", state.Model)
	}
	if first, _ := state.Role.Split(); first != wire.RoleServe && first != wire.RoleLead {
		return errClosed.New("role %s", state.Role)
	}
	return nil
}

// groupSize returns the number of engines, this one included, whose memory this engine
// serves with.
func (orders *orders) groupSize() int {
	orders.mu.Lock()
	defer orders.mu.Unlock()
	first, members := orders.state.Role.Split()
	if first == wire.RoleLead || first == wire.RoleClose {
		return 1 + len(members)
	}
	return 1
}

// groupEfficiency is the ratio of a group's prefill rate to the sum of its engines' prefill
// rates.
const groupEfficiency = 0.85

// capacity returns the KV memory that the engine serves with.
func (engine *Engine) capacity() peridotpath.Tokens {
	return engine.KVTokens * peridotpath.Tokens(engine.orders.groupSize())
}

// prefillRate returns the prefill rate in tokens a second.
func (engine *Engine) prefillRate() peridotpath.Tokens {
	pooled := engine.orders.groupSize()
	if pooled == 1 {
		return engine.PrefillPerS
	}
	return peridotpath.Tokens(groupEfficiency * float64(pooled) * float64(engine.PrefillPerS))
}

// cancelIfOverCapacity cancels all streams if they need more memory than is left after an order.
func (engine *Engine) cancelIfOverCapacity() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.privateKV+engine.cache.pinnedTokens() <= engine.capacity() {
		return
	}
	for _, stream := range slices.Clone(engine.activeStreams) {
		stream.cancel()
	}
}
