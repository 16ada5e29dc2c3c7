package enginetest

import (
	"slices"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	wire "peridotpath.example/peridotpath/engine"
)

// orders is what the engine was told to be.
type orders struct {
	mu    sync.Mutex
	state wire.OrderState
	// ready is when the weights are in.
	ready time.Time
}

func (orders *orders) open() { orders.state.Role = wire.RoleServe }

// follow takes an order and reports whether it did. With check it refuses one
// with a lower fencing number than the highest seen: its sender has lost the
// lease without knowing.
func (orders *orders) follow(order wire.Order, check bool, load time.Duration, now time.Time) bool {
	orders.mu.Lock()
	defer orders.mu.Unlock()
	if check && order.Fencing < orders.state.Highest {
		return false
	}
	current := orders.state.Order
	if order.Model != current.Model || order.Adapter != current.Adapter || order.Version != current.Version {
		orders.ready = now.Add(load)
	}
	orders.state.Order = order
	orders.state.Highest = max(orders.state.Highest, order.Fencing)
	return true
}

func (orders *orders) current(now time.Time) wire.OrderState {
	orders.mu.Lock()
	defer orders.mu.Unlock()
	state := orders.state
	state.Loading = now.Before(orders.ready)
	return state
}

// mayServe refuses work while weights load and in a role without work of its own.
func (orders *orders) mayServe(now time.Time) error {
	state := orders.current(now)
	if state.Loading {
		return errClosed.New("loading %s", state.Model)
	}
	if first, _ := state.Role.Split(); first != wire.RoleServe && first != wire.RoleLead {
		return errClosed.New("role %s", state.Role)
	}
	return nil
}

// pooled returns how many engines' memory this one serves with.
func (orders *orders) pooled() int {
	orders.mu.Lock()
	defer orders.mu.Unlock()
	first, members := orders.state.Role.Split()
	if first == wire.RoleLead || first == wire.RoleClose {
		return 1 + len(members)
	}
	return 1
}

// groupEfficiency is the part of its engines' prefill rates that a group keeps.
const groupEfficiency = 0.85

// capacity returns the KV memory that the engine serves with.
func (engine *Engine) capacity() peridotpath.Tokens {
	return engine.KVTokens * peridotpath.Tokens(engine.orders.pooled())
}

// prefillRate returns the prompt tokens that the engine processes in a second.
func (engine *Engine) prefillRate() peridotpath.Tokens {
	pooled := engine.orders.pooled()
	if pooled == 1 {
		return engine.PrefillPerS
	}
	return peridotpath.Tokens(groupEfficiency * float64(pooled) * float64(engine.PrefillPerS))
}

// shed drops all streams when an order took away the memory that they are in.
func (engine *Engine) shed() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.used+engine.cache.pinned() <= engine.capacity() {
		return
	}
	for _, stream := range slices.Clone(engine.order) {
		stream.cancel()
	}
}
