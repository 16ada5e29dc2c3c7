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

// Total counts the prompts beyond one engine that came to a service, at any
// data centre of the region. It only grows, so that no clock is needed to read a rate from it.
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

// Counter adds the prompts beyond one engine that came to this instance to the
// platform's totals. Set the exported fields before Run.
type Counter struct {
	Store *keyvalue.Store
	// Interval bounds the platform calls: at most a read and a write in each,
	// and none while no such prompt comes.
	Interval time.Duration

	mu   sync.Mutex
	news map[peridotpath.Service]Total
}

// Note counts one prompt that needs the given tokens. It makes no call.
func (counter *Counter) Note(service peridotpath.Service, tokens peridotpath.Tokens) {
	counter.add(service, Total{Prompts: 1, Tokens: tokens})
}

func (counter *Counter) add(service peridotpath.Service, more Total) {
	counter.mu.Lock()
	defer counter.mu.Unlock()
	if counter.news == nil {
		counter.news = map[peridotpath.Service]Total{}
	}
	sum := counter.news[service]
	sum.Prompts += more.Prompts
	sum.Tokens += more.Tokens
	counter.news[service] = sum
}

// Run adds what was noted at each interval until ctx ends.
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
		news := counter.news
		counter.news = nil
		counter.mu.Unlock()
		for service, more := range news {
			if err := counter.write(ctx, service, more); err != nil {
				counter.add(service, more)
			}
		}
	}
}

// write adds to the total. A swap whose answer is lost may count twice, which
// costs a group at the most; the figure is a demand, not an account.
func (counter *Counter) write(ctx context.Context, service peridotpath.Service, more Total) error {
	key := demandKey(service)
	total, version, err := readTotal(ctx, counter.Store, key)
	if err != nil {
		return err
	}
	total.Prompts += more.Prompts
	total.Tokens += more.Tokens
	value, err := json.Marshal(total)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = counter.Store.Swap(ctx, key, version, value, keyvalue.LeaseID{})
	return err
}
