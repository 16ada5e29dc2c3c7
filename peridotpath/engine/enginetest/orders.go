package enginetest

import (
	"sync"
	"time"

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
	if state.Role != wire.RoleServe {
		return errClosed.New("role %s", state.Role)
	}
	return nil
}
