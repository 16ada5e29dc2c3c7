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
	// keptChanges is how many of the latest changes can be told from new ones.
	keptChanges = 32
	// maxTries bounds how often a change is written when answers are lost.
	maxTries = 4
)

// ChangeID names one change of one operator, through all its repeats.
type ChangeID string

// Desired is what the engines of one data centre and service are to be.
type Desired struct {
	Revision  peridotpath.Revision             `json:"revision"`
	Endpoints map[peridotpath.EndpointID]State `json:"endpoints"`
	// Changes are the latest accepted changes, the newest last.
	Changes []ChangeID `json:"changes,omitempty"`
}

// Change is what an operator asks for.
type Change struct {
	ID ChangeID
	// From is the revision that the operator saw.
	From peridotpath.Revision
	// Set gives endpoints the state they are to have.
	Set map[peridotpath.EndpointID]State
	// Forget names endpoints to leave as they are.
	Forget []peridotpath.EndpointID
}

// ConflictError says that another change came first.
type ConflictError struct {
	From    peridotpath.Revision
	Current Desired
}

// Error names both revisions.
func (conflict *ConflictError) Error() string {
	return fmt.Sprintf("order: change of revision %d: revision %d is in force", conflict.From, conflict.Current.Revision)
}

// Book keeps the Desired of one data centre and service on the platform.
type Book struct {
	Store *keyvalue.Store
	Key   string
}

// Key returns the key of the Desired for a data centre and service.
func Key(dataCentre peridotpath.DataCentre, service peridotpath.Service) string {
	return "orders/" + string(dataCentre) + "/" + string(service)
}

// Get returns what is in force.
func (book *Book) Get(ctx context.Context) (Desired, error) {
	desired, _, err := book.read(ctx)
	return desired, err
}

func (book *Book) read(ctx context.Context) (Desired, keyvalue.Version, error) {
	entry, err := book.Store.Get(ctx, book.Key)
	if err != nil {
		return Desired{}, 0, Error.New("read: %w", err)
	}
	desired := Desired{}
	if entry.Version == 0 {
		return desired, 0, nil
	}
	if err := json.Unmarshal(entry.Value, &desired); err != nil {
		return Desired{}, 0, Error.New("read %s: %w", book.Key, err)
	}
	return desired, entry.Version, nil
}

// Change puts the change in force and returns the result. A *ConflictError
// says that it was not, since another came first. After any other error the
// outcome is unknown, and the operator repeats the change with the same id.
//
// A change whose answer is lost must neither be reported as failed, since the
// operator would undo it by hand, nor be taken for another's. Its id in the
// value shows whether it took effect.
func (book *Book) Change(ctx context.Context, change Change) (Desired, error) {
	var lost error
	for range maxTries {
		current, version, err := book.read(ctx)
		switch {
		case err != nil:
			return Desired{}, err
		case slices.Contains(current.Changes, change.ID):
			return current, nil
		case current.Revision != change.From:
			return Desired{}, &ConflictError{From: change.From, Current: current}
		}
		next := current.with(change)
		value, err := json.Marshal(next)
		if err != nil {
			return Desired{}, Error.Wrap(err)
		}
		if _, err = book.Store.Swap(ctx, book.Key, version, value, keyvalue.LeaseID{}); err == nil {
			return next, nil
		}
		lost = err
	}
	return Desired{}, Error.New("change %s: outcome unknown: %w", change.ID, lost)
}

// with returns the state that the change leads to.
func (desired Desired) with(change Change) Desired {
	next := Desired{Revision: desired.Revision + 1, Endpoints: map[peridotpath.EndpointID]State{}}
	maps.Copy(next.Endpoints, desired.Endpoints)
	maps.Copy(next.Endpoints, change.Set)
	for _, id := range change.Forget {
		delete(next.Endpoints, id)
	}
	kept := desired.Changes[max(0, len(desired.Changes)-keptChanges+1):]
	next.Changes = append(slices.Clone(kept), change.ID)
	return next
}
