package memory

import (
	"context"
	"sync"
	"time"

	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
)

// Fate is what becomes of one call on its way to the service and back. The
// zero value is a call that goes well.
type Fate struct {
	// Delay passes before the call arrives.
	Delay time.Duration
	// AnswerDelay passes after it took effect.
	AnswerDelay time.Duration
	// NotSent ends the call before it arrives.
	NotSent bool
	// Unanswered loses the answer of a call that took effect.
	Unanswered bool
	// Late loses the call for its caller at once; a write still takes effect
	// this much later.
	Late time.Duration
}

// Link is one process's way to a Memory, with faults of its own.
type Link struct {
	// Eras guards the way where the service may go back; nil where it does not.
	Eras *keyvalue.Eras

	mu   sync.Mutex
	fate func(call string) Fate
	// era is that of the service.
	era func() keyvalue.Era
}

// Set chooses the fate of each call from now on; nil lets all go well.
func (link *Link) Set(fate func(call string) Fate) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.fate = fate
}

func (link *Link) next(call string) Fate {
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.fate == nil {
		return Fate{}
	}
	return link.fate(call)
}

// Store returns the service as seen over the link.
func (link *Link) Store(memory *Memory) *keyvalue.Store {
	link.era = memory.Era
	store := link.store(memory)
	if link.Eras != nil {
		return link.Eras.Guard(store)
	}
	return store
}

func (link *Link) store(memory *Memory) *keyvalue.Store {
	return &keyvalue.Store{
		Get: func(ctx context.Context, key string) (keyvalue.Entry, error) {
			return through(ctx, link, keyvalue.CallGet, func(ctx context.Context) (keyvalue.Entry, error) {
				return memory.get(ctx, key)
			})
		},
		List: func(ctx context.Context, prefix string) ([]keyvalue.Entry, keyvalue.Version, error) {
			return listing(ctx, link, keyvalue.CallList, func(ctx context.Context) ([]keyvalue.Entry, keyvalue.Version, error) {
				return memory.list(ctx, prefix)
			})
		},
		Swap: func(ctx context.Context, key string, expect keyvalue.Version, value []byte, lease keyvalue.LeaseID) (keyvalue.Version, error) {
			return through(ctx, link, keyvalue.CallSwap, func(ctx context.Context) (keyvalue.Version, error) {
				return memory.swap(ctx, key, expect, value, lease)
			})
		},
		Grant: func(ctx context.Context, ttl time.Duration) (keyvalue.LeaseID, error) {
			return through(ctx, link, keyvalue.CallGrant, func(ctx context.Context) (keyvalue.LeaseID, error) {
				return memory.grant(ctx, ttl)
			})
		},
		Renew: func(ctx context.Context, lease keyvalue.LeaseID) error {
			return plain(ctx, link, keyvalue.CallRenew, func(ctx context.Context) error { return memory.renew(ctx, lease) })
		},
		Release: func(ctx context.Context, lease keyvalue.LeaseID) error {
			return plain(ctx, link, keyvalue.CallRelease, func(ctx context.Context) error { return memory.release(ctx, lease) })
		},
		Watch: func(ctx context.Context, prefix string, after keyvalue.Version, wait time.Duration) ([]keyvalue.Entry, keyvalue.Version, error) {
			return listing(ctx, link, keyvalue.CallWatch, func(ctx context.Context) ([]keyvalue.Entry, keyvalue.Version, error) {
				return memory.watch(ctx, prefix, after, wait)
			})
		},
	}
}

// through makes one call with the fate that was drawn for it.
func through[T any](ctx context.Context, link *Link, name string, call func(context.Context) (T, error)) (T, error) {
	var nothing T
	fate := link.next(name)
	if fate.NotSent {
		return nothing, keyvalue.ErrNotSent.New("fault")
	}
	if fate.Late > 0 {
		if isWrite(name) {
			go arriveLate(fate.Late, call)
		}
		return nothing, keyvalue.ErrUnavailable.New("fault: no answer")
	}
	if !clock.Sleep(ctx, fate.Delay) {
		return nothing, keyvalue.ErrUnavailable.Wrap(ctx.Err())
	}
	result, err := call(ctx)
	era := link.era()
	if !clock.Sleep(ctx, fate.AnswerDelay) || fate.Unanswered {
		return nothing, keyvalue.ErrUnavailable.New("fault: answer lost")
	}
	if link.Eras != nil {
		link.Eras.Met(era)
	}
	return result, err
}

func arriveLate[T any](after time.Duration, call func(context.Context) (T, error)) {
	time.Sleep(after)
	_, _ = call(context.Background())
}

func isWrite(call string) bool {
	return call != keyvalue.CallGet && call != keyvalue.CallList && call != keyvalue.CallWatch
}

func plain(ctx context.Context, link *Link, name string, call func(context.Context) error) error {
	_, err := through(ctx, link, name, func(ctx context.Context) (struct{}, error) { return struct{}{}, call(ctx) })
	return err
}

type entries struct {
	list    []keyvalue.Entry
	version keyvalue.Version
}

func listing(
	ctx context.Context, link *Link, name string,
	call func(context.Context) ([]keyvalue.Entry, keyvalue.Version, error),
) ([]keyvalue.Entry, keyvalue.Version, error) {
	result, err := through(ctx, link, name, func(ctx context.Context) (entries, error) {
		list, version, err := call(ctx)
		return entries{list, version}, err
	})
	return result.list, result.version, err
}
