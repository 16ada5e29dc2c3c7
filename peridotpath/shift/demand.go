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

// Total counts the prompts of a service that are too long for one engine, at all
// data centres of the region. It is cumulative, so a reader computes the rate with
// its own clock alone.
type Total struct {
	Prompts uint64             `json:"prompts"`
	Tokens  peridotpath.Tokens `json:"tokens"`
}

func demandKey(service peridotpath.Service) string { return "demand/" + string(service) }

func readTotal(ctx context.Context, store *keyvalue.Store, key string) (Total, keyvalue.Version, error) {
	var total Total
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

// Counter adds the prompts of this instance that are too long for one engine to the
// totals in the key-value store. Set the exported fields before Run.
type Counter struct {
	Store *keyvalue.Store
	// Interval is the time between two writes of the totals. Each takes a read and
	// a write per service; without new prompts there is neither.
	Interval time.Duration

	mu        sync.Mutex
	unwritten map[peridotpath.Service]Total
}

// Note counts one prompt of the given size, in memory only.
func (counter *Counter) Note(service peridotpath.Service, tokens peridotpath.Tokens) {
	counter.addUnwritten(service, Total{Prompts: 1, Tokens: tokens})
}

func (counter *Counter) addUnwritten(service peridotpath.Service, added Total) {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	if counter.unwritten == nil {
		counter.unwritten = map[peridotpath.Service]Total{}
	}
	sum := counter.unwritten[service]
	sum.Prompts += added.Prompts
	sum.Tokens += added.Tokens
	counter.unwritten[service] = sum
}

// Run writes the counted prompts to the store at each interval until ctx is done.
func (counter *Counter) Run(ctx context.Context) error {
	ticker := time.NewTicker(counter.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		counter.mu.Lock()
		unwritten := counter.unwritten
		counter.unwritten = nil
		counter.mu.Unlock()
		for service, added := range unwritten {
			if err := counter.write(ctx, service, added); err != nil {
				counter.addUnwritten(service, added)
			}
		}
	}
}

// write adds to the total in the store. A swap whose reply is lost may be counted
// twice, which costs one group too many at most.
func (counter *Counter) write(ctx context.Context, service peridotpath.Service, added Total) error {
	key := demandKey(service)
	total, version, err := readTotal(ctx, counter.Store, key)
	if err != nil {
		return err
	}
	total.Prompts += added.Prompts
	total.Tokens += added.Tokens
	value, err := json.Marshal(total)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = counter.Store.Swap(ctx, key, version, value, keyvalue.LeaseID{})
	return err
}
