package membership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
)

// Follower keeps the newest reading of the membership list. Set the exported
// fields before Run.
type Follower struct {
	Fetch    func(ctx context.Context) (*List, error)
	Interval time.Duration
	Log      zerolog.Logger
	// Changed, when set, is called with each reading that differs in revision.
	Changed func(*List)

	current atomic.Pointer[List]
}

// Current returns the newest reading; nil before the first.
func (follower *Follower) Current() *List { return follower.current.Load() }

// Endpoint returns the endpoint with that id, if the list has it.
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

// Run reads the list until ctx ends. When a reading fails the last one stays:
// the service is one more thing that may be down, and endpoints outlive it.
func (follower *Follower) Run(ctx context.Context) error {
	for {
		list, err := follower.Fetch(ctx)
		if err != nil && ctx.Err() == nil {
			follower.Log.Warn().Err(err).Msg("membership_unread")
		}
		if err == nil {
			follower.take(list)
		}
		// Jitter keeps many instances that started together apart.
		wait := follower.Interval/2 + rand.N(follower.Interval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

func (follower *Follower) take(list *List) {
	last := follower.current.Load()
	if last != nil && last.Revision == list.Revision {
		return
	}
	follower.current.Store(list)
	if follower.Changed != nil {
		follower.Changed(list)
	}
}
