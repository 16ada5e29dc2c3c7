package memory

import (
	"context"
	"sync"
	"time"

	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
)

// Fault is the fault injected into one call. The zero value injects none.
type Fault struct {
	// RequestDelay passes before the service receives the call.
	RequestDelay time.Duration
	// ReplyDelay passes between the effect of the call and its reply.
	ReplyDelay time.Duration
	// NotSent fails the call before the service receives it.
	NotSent bool
	// ReplyLost drops the reply of a call that took effect.
	ReplyLost bool
	// AppliedAfter fails the call at once with ErrUnavailable; a write is still applied
	// this much later.
	AppliedAfter time.Duration
}

// Link is one process's connection to a Memory, with its own fault injection.
type Link struct {
	// Eras guards the Store where the service may be restored; nil where it is not.
	Eras *keyvalue.EraTracker

	mu          sync.Mutex
	selectFault func(call string) Fault
	// era returns the service's current era.
	era func() keyvalue.Era
}

// SetFaults sets the function that selects the fault of each call; nil injects none.
func (link *Link) SetFaults(selectFault func(call string) Fault) {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.selectFault = selectFault
}

func (link *Link) nextFault(call string) Fault {
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.selectFault == nil {
		return Fault{}
	}
	return link.selectFault(call)
}

// Store returns a Store that calls memory over the link.
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
			return callOverLink(ctx, link, keyvalue.CallGet, func(ctx context.Context) (keyvalue.Entry, error) {
				return memory.get(ctx, key)
			})
		},
		List: func(ctx context.Context, prefix string) ([]keyvalue.Entry, keyvalue.Version, error) {
			return callListing(ctx, link, keyvalue.CallList, func(ctx context.Context) ([]keyvalue.Entry, keyvalue.Version, error) {
				return memory.list(ctx, prefix)
			})
		},
		Swap: func(ctx context.Context, key string, expect keyvalue.Version, value []byte, lease keyvalue.LeaseID) (keyvalue.Version, error) {
			return callOverLink(ctx, link, keyvalue.CallSwap, func(ctx context.Context) (keyvalue.Version, error) {
				return memory.swap(ctx, key, expect, value, lease)
			})
		},
		Grant: func(ctx context.Context, ttl time.Duration) (keyvalue.LeaseID, error) {
			return callOverLink(ctx, link, keyvalue.CallGrant, func(ctx context.Context) (keyvalue.LeaseID, error) {
				return memory.grant(ctx, ttl)
			})
		},
		Renew: func(ctx context.Context, lease keyvalue.LeaseID) error {
			return callWithoutResult(ctx, link, keyvalue.CallRenew, func(ctx context.Context) error { return memory.renew(ctx, lease) })
		},
		Release: func(ctx context.Context, lease keyvalue.LeaseID) error {
			return callWithoutResult(ctx, link, keyvalue.CallRelease, func(ctx context.Context) error { return memory.release(ctx, lease) })
		},
		Watch: func(ctx context.Context, prefix string, after keyvalue.Version, wait time.Duration) ([]keyvalue.Entry, keyvalue.Version, error) {
			return callListing(ctx, link, keyvalue.CallWatch, func(ctx context.Context) ([]keyvalue.Entry, keyvalue.Version, error) {
				return memory.watch(ctx, prefix, after, wait)
			})
		},
	}
}

// callOverLink makes one call with the fault selected for it.
func callOverLink[T any](ctx context.Context, link *Link, name string, call func(context.Context) (T, error)) (T, error) {
	var zero T
	fault := link.nextFault(name)
	if fault.NotSent {
		return zero, keyvalue.ErrNotSent.New("fault: call not sent")
	}
	if fault.AppliedAfter > 0 {
		if isWrite(name) {
			go applyLate(fault.AppliedAfter, call)
		}
		return zero, keyvalue.ErrUnavailable.New("fault: no reply")
	}
	if !clock.SleepContext(ctx, fault.RequestDelay) {
		return zero, keyvalue.ErrUnavailable.Wrap(ctx.Err())
	}
	result, err := call(ctx)
	era := link.era()
	if !clock.SleepContext(ctx, fault.ReplyDelay) || fault.ReplyLost {
		return zero, keyvalue.ErrUnavailable.New("fault: reply lost")
	}
	if link.Eras != nil {
		link.Eras.Observe(era)
	}
	return result, err
}

func applyLate[T any](after time.Duration, call func(context.Context) (T, error)) {
	time.Sleep(after)
	_, _ = call(context.Background())
}

func isWrite(call string) bool {
	return call != keyvalue.CallGet && call != keyvalue.CallList && call != keyvalue.CallWatch
}

func callWithoutResult(ctx context.Context, link *Link, name string, call func(context.Context) error) error {
	_, err := callOverLink(ctx, link, name, func(ctx context.Context) (struct{}, error) { return struct{}{}, call(ctx) })
	return err
}

type listResult struct {
	list    []keyvalue.Entry
	version keyvalue.Version
}

func callListing(
	ctx context.Context, link *Link, name string,
	call func(context.Context) ([]keyvalue.Entry, keyvalue.Version, error),
) ([]keyvalue.Entry, keyvalue.Version, error) {
	result, err := callOverLink(ctx, link, name, func(ctx context.Context) (listResult, error) {
		list, version, err := call(ctx)
		return listResult{list, version}, err
	})
	return result.list, result.version, err
}
