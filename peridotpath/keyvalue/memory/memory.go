// Package memory is an in-memory key-value service with fault injection. The stand-in
// server offers it over HTTP, and tests call it directly.
package memory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"peridotpath.example/peridotpath/keyvalue"
)

// Memory is the service. Set the exported fields before use; the zero value works and
// injects no faults. It compares only the numbers of the versions and leases in a call, not
// their era; the platform's service does the same.
type Memory struct {
	// Fault, if set, is called before (applied false) and after (applied true) each
	// call takes effect. Its error is returned to the caller; a write that was already
	// applied is kept. It may block to simulate a slow service.
	Fault func(ctx context.Context, call string, key string, applied bool) error
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu      sync.Mutex
	entries map[string]keyvalue.Entry
	// tombstones holds the deleted entries, which watches report.
	tombstones  map[string]keyvalue.Entry
	leases      map[uint64]*lease
	version     keyvalue.Version
	lastLeaseID uint64
	era         keyvalue.Era
	// changed is closed at the next write, which wakes the watches.
	changed chan struct{}
	calls   map[string]int
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Store returns a Store that calls the service directly.
func (memory *Memory) Store() *keyvalue.Store {
	return &keyvalue.Store{
		Get: memory.get, List: memory.list, Swap: memory.swap,
		Grant: memory.grant, Renew: memory.renew, Release: memory.release,
		Watch: memory.watch,
	}
}

// Calls returns the number of calls so far by name.
func (memory *Memory) Calls() map[string]int {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	return maps.Clone(memory.calls)
}

// beginCall locks the state, counts the call and removes expired leases. On an error the
// state is not locked.
func (memory *Memory) beginCall(ctx context.Context, call, key string) error {
	if err := memory.injectFault(ctx, call, key, false); err != nil {
		return err
	}
	memory.mu.Lock()
	if memory.entries == nil {
		memory.entries = map[string]keyvalue.Entry{}
		memory.tombstones = map[string]keyvalue.Entry{}
		memory.leases = map[uint64]*lease{}
		memory.calls = map[string]int{}
		memory.changed = make(chan struct{})
	}
	memory.calls[call]++
	memory.expireLeases()
	return nil
}

func (memory *Memory) injectFault(ctx context.Context, call, key string, applied bool) error {
	if memory.Fault == nil {
		return nil
	}
	return memory.Fault(ctx, call, key, applied)
}

func (memory *Memory) now() time.Time {
	if memory.Now == nil {
		return time.Now()
	}
	return memory.Now()
}

func (memory *Memory) expireLeases() {
	now := memory.now()
	for id, active := range memory.leases {
		if !now.Before(active.expiresAt) {
			memory.deleteLease(id)
		}
	}
}

func (memory *Memory) deleteLease(id uint64) {
	delete(memory.leases, id)
	for key, entry := range memory.entries {
		if entry.Lease.Number == id {
			memory.deleteEntry(key)
		}
	}
}

func (memory *Memory) deleteEntry(key string) {
	memory.version++
	delete(memory.entries, key)
	memory.tombstones[key] = keyvalue.Entry{Key: key, Version: memory.version, Deleted: true}
	memory.notifyWatchers()
}

func (memory *Memory) notifyWatchers() {
	close(memory.changed)
	memory.changed = make(chan struct{})
}

func (memory *Memory) get(ctx context.Context, key string) (keyvalue.Entry, error) {
	if err := memory.beginCall(ctx, keyvalue.CallGet, key); err != nil {
		return keyvalue.Entry{}, err
	}
	entry := memory.entryInEra(memory.entries[key])
	memory.mu.Unlock()
	if err := memory.injectFault(ctx, keyvalue.CallGet, key, true); err != nil {
		return keyvalue.Entry{}, err
	}
	return entry, nil
}

func (memory *Memory) list(ctx context.Context, prefix string) ([]keyvalue.Entry, keyvalue.Version, error) {
	if err := memory.beginCall(ctx, keyvalue.CallList, prefix); err != nil {
		return nil, 0, err
	}
	entries := memory.entriesAfter(memory.entries, prefix, 0)
	version := memory.versionInEra(memory.version)
	memory.mu.Unlock()
	if err := memory.injectFault(ctx, keyvalue.CallList, prefix, true); err != nil {
		return nil, 0, err
	}
	return entries, version, nil
}

func (memory *Memory) entriesAfter(from map[string]keyvalue.Entry, prefix string, after uint64) []keyvalue.Entry {
	var entries []keyvalue.Entry
	for key, entry := range from {
		if strings.HasPrefix(key, prefix) && entry.Version.Number() > after {
			entries = append(entries, memory.entryInEra(entry))
		}
	}
	slices.SortFunc(entries, func(a, b keyvalue.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return entries
}

func (memory *Memory) swap(ctx context.Context, key string, expect keyvalue.Version, value []byte, id keyvalue.LeaseID) (keyvalue.Version, error) {
	if err := memory.beginCall(ctx, keyvalue.CallSwap, key); err != nil {
		return 0, err
	}
	version, err := memory.swapLocked(key, expect, value, id.Number)
	version = memory.versionInEra(version)
	memory.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if err := memory.injectFault(ctx, keyvalue.CallSwap, key, true); err != nil {
		return 0, err
	}
	return version, nil
}

func (memory *Memory) swapLocked(key string, expect keyvalue.Version, value []byte, id uint64) (keyvalue.Version, error) {
	if len(value) > keyvalue.MaxValueBytes {
		return 0, keyvalue.ErrInvalid.New("%s: value has %d bytes", key, len(value))
	}
	if current := memory.entries[key].Version; current.Number() != expect.Number() {
		return 0, keyvalue.ErrConflict.New("%s is at version %d, not %d", key, current, expect)
	}
	if id != 0 && memory.leases[id] == nil {
		return 0, keyvalue.ErrLeaseExpired.New("lease %d", id)
	}
	if value == nil {
		memory.deleteEntry(key)
		return memory.version, nil
	}
	memory.version++
	delete(memory.tombstones, key)
	memory.entries[key] = keyvalue.Entry{Key: key, Value: append([]byte{}, value...), Version: memory.version, Lease: keyvalue.LeaseID{Number: id}}
	memory.notifyWatchers()
	return memory.version, nil
}

func (memory *Memory) grant(ctx context.Context, ttl time.Duration) (keyvalue.LeaseID, error) {
	if err := memory.beginCall(ctx, keyvalue.CallGrant, ""); err != nil {
		return keyvalue.LeaseID{}, err
	}
	memory.lastLeaseID++
	id := keyvalue.LeaseID{Era: memory.era, Number: memory.lastLeaseID}
	memory.leases[id.Number] = &lease{ttl: ttl, expiresAt: memory.now().Add(ttl)}
	memory.mu.Unlock()
	return id, memory.injectFault(ctx, keyvalue.CallGrant, "", true)
}

func (memory *Memory) renew(ctx context.Context, id keyvalue.LeaseID) error {
	if err := memory.beginCall(ctx, keyvalue.CallRenew, ""); err != nil {
		return err
	}
	active := memory.leases[id.Number]
	if active != nil {
		active.expiresAt = memory.now().Add(active.ttl)
	}
	memory.mu.Unlock()
	if active == nil {
		return keyvalue.ErrLeaseExpired.New("lease %s", id)
	}
	return memory.injectFault(ctx, keyvalue.CallRenew, "", true)
}

func (memory *Memory) release(ctx context.Context, id keyvalue.LeaseID) error {
	if err := memory.beginCall(ctx, keyvalue.CallRelease, ""); err != nil {
		return err
	}
	memory.deleteLease(id.Number)
	memory.mu.Unlock()
	return memory.injectFault(ctx, keyvalue.CallRelease, "", true)
}

func (memory *Memory) watch(ctx context.Context, prefix string, after keyvalue.Version, wait time.Duration) ([]keyvalue.Entry, keyvalue.Version, error) {
	if err := memory.beginCall(ctx, keyvalue.CallWatch, prefix); err != nil {
		return nil, 0, err
	}
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		entries := append(memory.entriesAfter(memory.entries, prefix, after.Number()), memory.entriesAfter(memory.tombstones, prefix, after.Number())...)
		version, changed, untilExpiry := memory.versionInEra(memory.version), memory.changed, memory.untilNextExpiry()
		memory.mu.Unlock()
		if len(entries) > 0 {
			return entries, version, memory.injectFault(ctx, keyvalue.CallWatch, prefix, true)
		}
		if !waitForChange(waitCtx, changed, untilExpiry) {
			if ctx.Err() != nil {
				return nil, after, keyvalue.ErrUnavailable.Wrap(ctx.Err())
			}
			return nil, version, memory.injectFault(ctx, keyvalue.CallWatch, prefix, true)
		}
		memory.mu.Lock()
		memory.expireLeases()
	}
}

// maxExpiryWait is the longest time that a watch waits between two checks for expired
// leases, and the time that it waits where there are none.
const maxExpiryWait = 24 * time.Hour

// untilNextExpiry returns the time until the next lease expires if none is renewed, at most
// maxExpiryWait. The expiry deletes entries, which watches report.
func (memory *Memory) untilNextExpiry() time.Duration {
	next := maxExpiryWait
	for _, active := range memory.leases {
		next = min(next, active.expiresAt.Sub(memory.now()))
	}
	return next
}

// waitForChange waits for a write or a lease's expiry; it returns false if ctx ended first.
func waitForChange(ctx context.Context, changed <-chan struct{}, untilExpiry time.Duration) bool {
	timer := time.NewTimer(max(untilExpiry, time.Millisecond))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
