package order

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/keyvalue"
)

const (
	// maxStoredChangeIDs is how many change ids are stored to detect repeated changes.
	maxStoredChangeIDs = 32
	// maxChangeAttempts bounds the attempts to write a change when replies are lost.
	maxChangeAttempts = 4
)

// ChangeID identifies a change; its retries bear the same id.
type ChangeID string

// Desired is the desired state of the engines of one data centre and service.
type Desired struct {
	Revision  peridotpath.Revision             `json:"revision"`
	Endpoints map[peridotpath.EndpointID]State `json:"endpoints"`
	// Changes are the ids of the latest accepted changes, the newest last.
	Changes []ChangeID `json:"changes,omitempty"`
}

// Change is an operator's change to the desired state.
type Change struct {
	ID ChangeID
	// BaseRevision is the revision that the change is based on.
	BaseRevision peridotpath.Revision
	// Set holds the new desired states by endpoint.
	Set map[peridotpath.EndpointID]State
	// Remove lists endpoints whose desired state is removed; they get no more orders.
	Remove []peridotpath.EndpointID
}

// ConflictError is returned for a change whose base revision is outdated because
// another change was accepted first.
type ConflictError struct {
	BaseRevision peridotpath.Revision
	Current      Desired
}

// Error returns a message with both revisions.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("order: change is based on revision %d, the current revision is %d", conflict.BaseRevision, conflict.Current.Revision)
}

// DesiredStore stores the Desired of one data centre and service in the key-value store.
type DesiredStore struct {
	Store *keyvalue.Store
	Key   string
}

// Key returns the key of the Desired for a data centre and service.
func Key(dataCentre peridotpath.DataCentre, service peridotpath.Service) string {
	return "orders/" + string(dataCentre) + "/" + string(service)
}

// Get returns the current desired state.
func (desiredStore *DesiredStore) Get(ctx context.Context) (Desired, error) {
	desired, _, err := desiredStore.read(ctx)
	return desired, err
}

func (desiredStore *DesiredStore) read(ctx context.Context) (Desired, keyvalue.Version, error) {
	entry, err := desiredStore.Store.Get(ctx, desiredStore.Key)
	if err != nil {
		return Desired{}, 0, Error.New("read: %w", err)
	}
	desired := Desired{}
	if entry.Version == 0 {
		return desired, 0, nil
	}
	if err := json.Unmarshal(entry.Value, &desired); err != nil {
		return Desired{}, 0, Error.New("read %s: %w", desiredStore.Key, err)
	}
	return desired, entry.Version, nil
}

// Change applies the change and returns the new desired state. After a
// *ConflictError the change has not been applied. After any other error the
// outcome is unknown, and the operator retries with the same change id.
//
// A change that was written but whose reply was lost must not be reported as
// failed, because the operator would revert it by hand, nor as a conflict. The
// ids stored in the value show whether it took effect.
func (desiredStore *DesiredStore) Change(ctx context.Context, change Change) (Desired, error) {
	var lastErr error
	for range maxChangeAttempts {
		current, version, err := desiredStore.read(ctx)
		switch {
		case err != nil:
			return Desired{}, err
		case slices.Contains(current.Changes, change.ID):
			return current, nil
		case current.Revision != change.BaseRevision:
			return Desired{}, &ConflictError{BaseRevision: change.BaseRevision, Current: current}
		}
		next := current.withChange(change)
		value, err := json.Marshal(next)
		if err != nil {
			return Desired{}, Error.Wrap(err)
		}
		if _, err = desiredStore.Store.Swap(ctx, desiredStore.Key, version, value, keyvalue.LeaseID{}); err == nil {
			return next, nil
		}
		lastErr = err
	}
	return Desired{}, Error.New("change %s: outcome unknown: %w", change.ID, lastErr)
}

// withChange returns the desired state after the change.
func (desired Desired) withChange(change Change) Desired {
	next := Desired{Revision: desired.Revision + 1, Endpoints: map[peridotpath.EndpointID]State{}}
	maps.Copy(next.Endpoints, desired.Endpoints)
	maps.Copy(next.Endpoints, change.Set)
	for _, id := range change.Remove {
		delete(next.Endpoints, id)
	}
	recentIDs := desired.Changes[max(0, len(desired.Changes)-maxStoredChangeIDs+1):]
	next.Changes = append(slices.Clone(recentIDs), change.ID)
	return next
}
