package membership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
)

// Follower polls the membership list and holds the newest one. Set the exported fields before
// Run.
type Follower struct {
	Fetch    func(ctx context.Context) (*List, error)
	Interval time.Duration
	Log      zerolog.Logger
	// OnChange, if set, is called with each list whose revision differs from the last one's.
	OnChange func(*List)

	current atomic.Pointer[List]
}

// Current returns the newest list, or nil if none was fetched yet.
func (follower *Follower) Current() *List { return follower.current.Load() }

// Endpoint returns the listed endpoint with the id, or false if there is none.
func (follower *Follower) Endpoint(id peridotpath.EndpointID) (peridotpath.Endpoint, bool) {
	list := follower.Current()
	if list == nil {
		return peridotpath.Endpoint{}, false
	}
	for i := range list.Endpoints {
		if list.Endpoints[i].ID == id {
			return list.Endpoints[i], true
		}
	}
	return peridotpath.Endpoint{}, false
}

// Run fetches the list periodically until ctx is done. If a fetch fails, the last list stays
// active: an outage of the membership service does not mean that endpoints are down.
func (follower *Follower) Run(ctx context.Context) error {
	for {
		list, err := follower.Fetch(ctx)
		if err != nil && ctx.Err() == nil {
			follower.Log.Warn().Err(err).Msg("membership_unread")
		}
		if err == nil {
			follower.setCurrent(list)
		}
		// The jitter spreads the fetches of instances that started at the same time.
		delay := follower.Interval/2 + rand.N(follower.Interval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(delay):
		}
	}
}

func (follower *Follower) setCurrent(list *List) {
	previous := follower.current.Load()
	if previous != nil && previous.Revision == list.Revision {
		return
	}
	follower.current.Store(list)
	if follower.OnChange != nil {
		follower.OnChange(list)
	}
}
