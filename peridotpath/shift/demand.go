package shift

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/keyvalue"
)

// Error is the class of this package's errors.
var Error = errs.Class("shift")

// DemandTotal counts the prompts of a service that are too long for one engine, at all
// data centres of the region. It is cumulative, so a reader computes the rate with
// its own clock alone.
type DemandTotal struct {
	Prompts uint64             `json:"prompts"`
	Tokens  peridotpath.Tokens `json:"tokens"`
}

func demandKey(service peridotpath.Service) string { return "demand/" + string(service) }

func readTotal(ctx context.Context, store *keyvalue.Store, key string) (DemandTotal, keyvalue.Version, error) {
	var total DemandTotal
	entry, err := store.Get(ctx, key)
	if err != nil {
		return total, 0, Error.Wrap(err)
	}
	if entry.Version == 0 {
		return total, 0, nil
	}
	if err := json.Unmarshal(entry.Value, &total); err != nil {
		return total, 0, Error.New("%s: %v", key, err)
	}
	return total, entry.Version, nil
}

// DemandCounter adds the prompts of this instance that are too long for one engine to the
// totals in the key-value store. Set the exported fields before Run.
type DemandCounter struct {
	Store *keyvalue.Store
	// Interval is the time between two writes of the totals. Each takes a read and
	// a write per service; without new prompts there is neither.
	Interval time.Duration

	mu        sync.Mutex
	unwritten map[peridotpath.Service]DemandTotal
}

// RecordPrompt counts one prompt of the given size, in memory only.
func (demandCounter *DemandCounter) RecordPrompt(service peridotpath.Service, tokens peridotpath.Tokens) {
	demandCounter.addUnwritten(service, DemandTotal{Prompts: 1, Tokens: tokens})
}

func (demandCounter *DemandCounter) addUnwritten(service peridotpath.Service, added DemandTotal) {
	demandCounter.mu.Lock()
	defer demandCounter.mu.Unlock()
	if demandCounter.unwritten == nil {
		demandCounter.unwritten = map[peridotpath.Service]DemandTotal{}
	}
	sum := demandCounter.unwritten[service]
	sum.Prompts += added.Prompts
	sum.Tokens += added.Tokens
	demandCounter.unwritten[service] = sum
}

// Run writes the counted prompts to the store at each interval until ctx is done.
func (demandCounter *DemandCounter) Run(ctx context.Context) error {
	ticker := time.NewTicker(demandCounter.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		demandCounter.mu.Lock()
		unwritten := demandCounter.unwritten
		demandCounter.unwritten = nil
		demandCounter.mu.Unlock()
		for service, added := range unwritten {
			if err := demandCounter.write(ctx, service, added); err != nil {
				demandCounter.addUnwritten(service, added)
			}
		}
	}
}

// write adds to the total in the store. A swap whose reply is lost may be counted
// twice, which costs one group too many at most.
func (demandCounter *DemandCounter) write(ctx context.Context, service peridotpath.Service, added DemandTotal) error {
	key := demandKey(service)
	total, version, err := readTotal(ctx, demandCounter.Store, key)
	if err != nil {
		return err
	}
	total.Prompts += added.Prompts
	total.Tokens += added.Tokens
	value, err := json.Marshal(total)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = demandCounter.Store.Swap(ctx, key, version, value, keyvalue.LeaseID{})
	return err
}
