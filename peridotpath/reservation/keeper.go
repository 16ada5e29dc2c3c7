// Package reservation keeps memory of engines reserved for prompts that no engine
// can hold alone, and makes sure that every reservation ends.
package reservation

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
)

// Error is the class of this package's errors.
var Error = errs.Class("reservation")

const (
	// Hold is how long a reservation lasts that is not renewed. Engines must have
	// their memory back four seconds after its last use; when this instance dies
	// nobody else gives it back.
	Hold = 3500 * time.Millisecond
	// renewEvery leaves two renewals that may be lost before a hold ends.
	renewEvery = time.Second
	// orderTimeout bounds one order. Engines answer within milliseconds; one that
	// does not may carry the order out much later.
	orderTimeout = 400 * time.Millisecond
	// lateFor is how long after an order without an answer it may still be carried
	// out: engines were seen to do so for up to twelve seconds. A reservation that
	// begins after its release would stand for its whole hold, unused.
	lateFor = 14 * time.Second
	// releaseEvery is the time between two releases of what may begin late.
	releaseEvery = 700 * time.Millisecond
)

// Need is memory to be reserved at an endpoint.
type Need struct {
	Endpoint *peridotpath.Endpoint
	Tokens   peridotpath.Tokens
}

// Ticket is one reservation.
type Ticket struct {
	ID   string
	Need Need

	// unsure says that an order about it got no answer.
	unsure  atomic.Bool
	renewed time.Time
}

// Keeper holds this instance's reservations. Set the exported fields before Run.
type Keeper struct {
	Instance    peridotpath.InstanceID
	Incarnation peridotpath.Incarnation
	// Reserve makes or renews a reservation; it returns false where the memory is
	// not free. Release ends one. An error leaves open whether they were done.
	Reserve func(ctx context.Context, endpoint *peridotpath.Endpoint, id string, tokens peridotpath.Tokens, hold time.Duration) (bool, error)
	Release func(ctx context.Context, endpoint *peridotpath.Endpoint, id string) error
	// MaxHold is the longest hold that engines allow; zero for any.
	MaxHold time.Duration
	Log     zerolog.Logger

	last  atomic.Uint64
	mutex sync.Mutex
	held  map[string]*Ticket
	// ending is released again and again until the time given.
	ending map[string]*ending
	orders sync.WaitGroup
}

type ending struct {
	ticket *Ticket
	until  time.Time
	next   time.Time
}

// NotFree is the endpoint that had no memory for a reservation.
type NotFree struct {
	Endpoint peridotpath.EndpointKey
	cause    error
}

// Error says which endpoint it was.
func (notFree *NotFree) Error() string {
	return fmt.Sprintf("reservation: no memory at endpoint %x: %v", uint64(notFree.Endpoint), notFree.cause)
}

// Take reserves all that is needed or nothing; two prompts that each held half
// of their memory would wait for each other.
func (keeper *Keeper) Take(ctx context.Context, needs []Need) ([]*Ticket, error) {
	tickets := make([]*Ticket, len(needs))
	failures := make(chan error, len(needs))
	for i, need := range needs {
		ticket := &Ticket{ID: keeper.newID(), Need: need, renewed: time.Now()}
		tickets[i] = ticket
		keeper.orders.Add(1)
		go func() {
			defer keeper.orders.Done()
			failures <- keeper.reserve(ctx, ticket)
		}()
	}
	var failure error
	for range needs {
		if err := <-failures; err != nil {
			failure = err
		}
	}
	if failure != nil {
		keeper.End(tickets)
		return nil, failure
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.held == nil {
		keeper.held = map[string]*Ticket{}
	}
	for _, ticket := range tickets {
		keeper.held[ticket.ID] = ticket
	}
	return tickets, nil
}

// newID names a reservation that no other start of any instance uses, so that
// two requests never share one.
func (keeper *Keeper) newID() string {
	return fmt.Sprintf("%s-%x-%d", keeper.Instance, uint64(keeper.Incarnation), keeper.last.Add(1))
}

func (keeper *Keeper) hold() time.Duration {
	if keeper.MaxHold > 0 {
		return min(Hold, keeper.MaxHold)
	}
	return Hold
}

func (keeper *Keeper) reserve(ctx context.Context, ticket *Ticket) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	done, err := keeper.Reserve(ctx, ticket.Need.Endpoint, ticket.ID, ticket.Need.Tokens, keeper.hold())
	if err != nil {
		ticket.unsure.Store(true)
	}
	if err == nil && done {
		return nil
	}
	return &NotFree{Endpoint: ticket.Need.Endpoint.Key(), cause: err}
}

// End gives reservations back. It does not wait.
func (keeper *Keeper) End(tickets []*Ticket) {
	if len(tickets) == 0 {
		return
	}
	now := time.Now()
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	if keeper.ending == nil {
		keeper.ending = map[string]*ending{}
	}
	for _, ticket := range tickets {
		delete(keeper.held, ticket.ID)
		keeper.ending[ticket.ID] = &ending{ticket: ticket, until: now.Add(lateFor), next: now}
	}
}

// Held counts the reservations in use.
func (keeper *Keeper) Held() int {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	return len(keeper.held)
}

// step is the time between two looks at what is due.
const step = 20 * time.Millisecond

// Run renews and releases until ctx ends.
func (keeper *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			keeper.orders.Wait()
			return ctx.Err()
		case now := <-ticker.C:
			keeper.renewDue(ctx, now)
			keeper.releaseDue(ctx, now)
		}
	}
}

func (keeper *Keeper) renewDue(ctx context.Context, now time.Time) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	for _, ticket := range keeper.held {
		if now.Sub(ticket.renewed) < renewEvery {
			continue
		}
		ticket.renewed = now
		keeper.orders.Add(1)
		go func() {
			defer keeper.orders.Done()
			if err := keeper.reserve(ctx, ticket); err != nil {
				keeper.Log.Warn().Str("ticket", ticket.ID).Str("endpoint", string(ticket.Need.Endpoint.ID)).
					Err(err).Msg("reservation_not_renewed")
			}
		}()
	}
}

func (keeper *Keeper) releaseDue(ctx context.Context, now time.Time) {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	for id, entry := range keeper.ending {
		if now.After(entry.until) {
			keeper.Log.Warn().Str("ticket", id).Str("endpoint", string(entry.ticket.Need.Endpoint.ID)).
				Msg("reservation_left_to_lapse")
			delete(keeper.ending, id)
			continue
		}
		if now.Before(entry.next) {
			continue
		}
		entry.next = now.Add(releaseEvery)
		keeper.orders.Add(1)
		go func() {
			defer keeper.orders.Done()
			keeper.release(ctx, entry)
		}()
	}
}

// release ends one reservation. Where an order about it is unanswered it goes on
// being released, since that order may come after this one.
func (keeper *Keeper) release(ctx context.Context, entry *ending) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := keeper.Release(ctx, entry.ticket.Need.Endpoint, entry.ticket.ID)
	if err != nil {
		// It is sent again until it is answered; only the last failure is logged.
		return
	}
	if entry.ticket.unsure.Load() {
		return
	}
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	delete(keeper.ending, entry.ticket.ID)
}

// Close gives everything back and waits until it is done or ctx ends.
func (keeper *Keeper) Close(ctx context.Context) {
	keeper.mutex.Lock()
	tickets := make([]*Ticket, 0, len(keeper.held))
	for _, ticket := range keeper.held {
		tickets = append(tickets, ticket)
	}
	keeper.mutex.Unlock()
	keeper.End(tickets)
	for ctx.Err() == nil && keeper.unreleased() {
		time.Sleep(step)
	}
}

// unreleased reports whether a release is still to be sent that is sure to count.
func (keeper *Keeper) unreleased() bool {
	keeper.mutex.Lock()
	defer keeper.mutex.Unlock()
	for _, entry := range keeper.ending {
		if !entry.ticket.unsure.Load() {
			return true
		}
	}
	return false
}
