package keyvalue

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Purpose is what a call to the service is made for.
type Purpose string

// The purposes.
const (
	// PurposeRegistration is to enter instances into the list of instances, and to keep them
	// there; PurposeInstances is to read that list.
	PurposeRegistration Purpose = "registration"
	PurposeInstances    Purpose = "instances"
	// PurposeRouting, PurposeEndpoints and PurposeDrains are to read what operators and endpoints
	// write.
	PurposeRouting   Purpose = "routing"
	PurposeEndpoints Purpose = "endpoints"
	PurposeDrains    Purpose = "drains"

	purposeOther Purpose = "other"
)

type purposeKey struct{}

// WithPurpose returns a context whose calls are counted under the purpose.
func WithPurpose(ctx context.Context, purpose Purpose) context.Context {
	return context.WithValue(ctx, purposeKey{}, purpose)
}

func purposeOf(ctx context.Context) Purpose {
	if purpose, ok := ctx.Value(purposeKey{}).(Purpose); ok {
		return purpose
	}
	return purposeOther
}

// CallKind is the kind of a call to the service. A list of several pages is as many calls.
type CallKind string

// The kinds of calls.
const (
	KindGet          CallKind = "get"
	KindGetIfChanged CallKind = "get_if_changed"
	KindList         CallKind = "list"
	KindListStale    CallKind = "list_stale"
	KindSwap         CallKind = "swap"
	KindGrant        CallKind = "grant"
	KindRenew        CallKind = "renew"
	KindRelease      CallKind = "release"
)

// CallCount is how many calls of a kind were made for a purpose, whether they were answered
// or not.
type CallCount struct {
	Purpose Purpose
	Kind    CallKind
	Count   int
}

// Account counts the calls of this process to the service. The zero value is ready for use.
//
// It matters in a large fleet, in which a few calls of each instance are thousands: it shows
// what they are made for.
type Account struct {
	mutex  sync.Mutex
	counts []CallCount
}

// Add counts a call.
func (account *Account) Add(ctx context.Context, kind CallKind) {
	purpose := purposeOf(ctx)
	metrics.GetOrCreateCounter(fmt.Sprintf("peridotpath_store_calls_total{purpose=%q,call=%q}", purpose, kind)).Inc()
	account.mutex.Lock()
	defer account.mutex.Unlock()
	for i := range account.counts {
		if account.counts[i].Purpose == purpose && account.counts[i].Kind == kind {
			account.counts[i].Count++
			return
		}
	}
	account.counts = append(account.counts, CallCount{Purpose: purpose, Kind: kind, Count: 1})
}

// Counts returns the counts since the start of the process, sorted by purpose and kind.
func (account *Account) Counts() []CallCount {
	account.mutex.Lock()
	defer account.mutex.Unlock()
	return slices.SortedFunc(slices.Values(account.counts), func(a, b CallCount) int {
		return cmp.Or(cmp.Compare(a.Purpose, b.Purpose), cmp.Compare(a.Kind, b.Kind))
	})
}
