package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/keyvalue"
)

// ChangeID names one change of one operator. A repeat of the same change bears
// the same id, so that it takes effect once.
type ChangeID string

// AnyRevision as a Change's Base overwrites whatever is there.
const AnyRevision = ^peridotpath.Revision(0)

// Change puts or deletes one item.
type Change struct {
	ID   ChangeID
	Who  string
	Kind Kind
	Name string
	// Base is the item's revision that the operator saw, zero for "there is
	// none", or AnyRevision.
	Base peridotpath.Revision
	// Value is the item as JSON; nil deletes it.
	Value json.RawMessage
}

// Accepted says where an accepted change stands.
type Accepted struct {
	Document DocumentName
	Revision peridotpath.Revision
}

var (
	// ErrNotAccepted says that the change certainly did not take effect.
	ErrNotAccepted = errs.Class("config: not accepted")
	// ErrUnknown says that the change may have taken effect. Sent again with
	// the same id, it takes effect once.
	ErrUnknown = errs.Class("config: outcome unknown")
)

// Conflict says that the item is not what the operator saw.
type Conflict struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Base and Current are the revisions seen and found, zero for "no item".
	Base    peridotpath.Revision `json:"base"`
	Current peridotpath.Revision `json:"current"`
	// Yours and Theirs are the texts, empty for a deletion.
	Yours  json.RawMessage `json:"yours,omitempty"`
	Theirs json.RawMessage `json:"theirs,omitempty"`
	// Last is the change that was accepted first, if history still holds it.
	Last *Event `json:"last,omitempty"`
}

// Error returns both revisions.
func (conflict *Conflict) Error() string {
	return fmt.Sprintf("config: conflict: %s %q is at revision %d, not %d",
		conflict.Kind, conflict.Name, conflict.Current, conflict.Base)
}

const (
	// historyLength bounds a document's history, and with it how many later
	// changes of the document a change's read-back survives. With names at
	// their longest it takes 13 kB of the document.
	historyLength = 32
	// maxDocument leaves room below the service's largest value.
	maxDocument = keyvalue.MaxValueBytes * 9 / 10
)

// Change checks a change and writes it with one compare-and-swap; accepted
// means that this swap took effect. Errors hold peridotpath.Faults, a *Conflict
// or the class ErrNotAccepted: all three certainly changed nothing; or the
// class ErrUnknown.
//
// The failure guarded against is a swap that takes effect though its answer is
// lost: an operator told "failed" would change it again, or not know of it. The
// swap is sent again on the same version until the service answers for sure.
// It either takes effect now or conflicts, and then the document's history
// tells whether the first one did.
func (store *Store) Change(ctx context.Context, change Change) (Accepted, error) {
	accepted, err := store.change(ctx, change)
	metrics.GetOrCreateCounter(`peridotpath_config_changes_total{result="` + resultOf(err) + `"}`).Inc()
	return accepted, err
}

func (store *Store) change(ctx context.Context, change Change) (Accepted, error) {
	if store.Current() == nil {
		return Accepted{}, ErrNotAccepted.New("this instance has no configuration yet")
	}
	if faults := change.check(); len(faults) > 0 {
		return Accepted{}, faults
	}
	writer := &writer{store: store, change: change, document: DocumentOf(change.Kind, change.Name)}
	for backoff := backoffStart; ; backoff = min(2*backoff, backoffLimit) {
		accepted, err := writer.try(ctx)
		if err == nil || !errors.Is(err, errAgain) {
			return accepted, err
		}
		store.pause(ctx, backoff)
		if ctx.Err() != nil {
			return Accepted{}, writer.giveUp(errs.Combine(ctx.Err(), writer.last))
		}
	}
}

// resultOf names an outcome for the counter.
func resultOf(err error) string {
	var faults peridotpath.Faults
	var conflict *Conflict
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &faults):
		return "faults"
	case errors.As(err, &conflict):
		return "conflict"
	case ErrUnknown.Has(err):
		return "unknown"
	default:
		return "not_accepted"
	}
}

// errAgain says that nothing is decided yet.
var errAgain = errs.New("config: again")

// writer carries one change through its attempts.
type writer struct {
	store    *Store
	change   Change
	document DocumentName
	// unsure is set while a swap on version, made at revision, may still take
	// effect or have done so.
	unsure   bool
	last     error // of the service, for the operator who waited in vain
	version  keyvalue.Version
	revision peridotpath.Revision
}

// giveUp returns what is certain at the end of the operator's time.
func (writer *writer) giveUp(err error) error {
	if writer.unsure {
		return ErrUnknown.New("change %s of %s: %v", writer.change.ID, writer.document, err)
	}
	return ErrNotAccepted.Wrap(err)
}

// try reads the document, and decides or swaps once.
func (writer *writer) try(ctx context.Context) (Accepted, error) {
	entry, err := writer.store.KeyValue.Get(ctx, writer.document.key())
	if err != nil {
		return Accepted{}, writer.failed(err)
	}
	text := writer.latest(entry.Value)
	current, err := parse(text)
	if err != nil {
		return Accepted{}, writer.giveUp(err)
	}
	if done := current.event(writer.change.ID); done != nil {
		return writer.accept(done.Revision, text), nil
	}
	if err := writer.settle(entry.Version, current.Revision); err != nil {
		return Accepted{}, err
	}
	if err := writer.check(current); err != nil {
		return Accepted{}, err
	}
	return writer.swap(ctx, entry.Version, current)
}

// latest returns the text to start from: what was read from the platform or, if
// this instance has a higher revision in force, that one.
//
// The platform holds the lower one after it was restored from an old copy. A
// change made on it would be accepted under a revision that instances have seen
// already and never come into force. Made on the higher one, it comes into force
// and brings back what the copy lacked. A read that is merely late does no harm:
// its version is no longer the document's, and the swap conflicts.
func (writer *writer) latest(read []byte) []byte {
	if read == nil {
		read = []byte("{}")
	}
	held := writer.store.Current().documents[writer.document]
	if held == nil {
		return read
	}
	if current, err := parse(read); err != nil || current.Revision >= held.revision {
		return read
	}
	return held.text
}

// failed sorts an error of the service. A call that never reached it is given
// back at once, so that the operator can go to another instance.
func (writer *writer) failed(err error) error {
	writer.last = err
	if writer.unsure || !keyvalue.ErrNotSent.Has(err) && !keyvalue.ErrInvalid.Has(err) {
		return errAgain
	}
	return ErrNotAccepted.Wrap(err)
}

// settle clears unsure when the document has moved on: a swap on the old version
// can take effect no more, and had it done so, history would hold its id, unless
// so many changes came after it that the id was dropped.
func (writer *writer) settle(version keyvalue.Version, revision peridotpath.Revision) error {
	if !writer.unsure || version == writer.version {
		return nil
	}
	if revision > writer.revision+historyLength {
		return ErrUnknown.New("change %s of %s: history no longer reaches back", writer.change.ID, writer.document)
	}
	writer.unsure = false
	return nil
}

// check compares with what the operator saw and with the rest of the
// configuration. While a swap may still take effect nothing may be refused any
// more as "not accepted", so it is sent again whatever has come up since.
func (writer *writer) check(current *content) error {
	if err := writer.change.conflict(current); err != nil && !writer.unsure {
		return err
	}
	faults, err := writer.change.clashes(current, writer.store.Current())
	if err != nil {
		return writer.giveUp(err)
	}
	if len(faults) > 0 && !writer.unsure {
		return faults
	}
	return nil
}

// swap writes the changed document on the version that was read.
func (writer *writer) swap(ctx context.Context, version keyvalue.Version, current *content) (Accepted, error) {
	before := current.Revision
	current.apply(writer.change, writer.store.now())
	text, err := json.Marshal(current)
	if err != nil {
		return Accepted{}, writer.giveUp(err)
	}
	if len(text) > maxDocument {
		return Accepted{}, writer.giveUp(Error.New("document %s is full: %d of %d bytes", writer.document, len(text), maxDocument))
	}
	_, err = writer.store.KeyValue.Swap(ctx, writer.document.key(), version, text, keyvalue.LeaseID{})
	switch {
	case err == nil:
		return writer.accept(current.Revision, text), nil
	case keyvalue.ErrConflict.Has(err):
		return Accepted{}, errAgain
	case keyvalue.ErrNotSent.Has(err), keyvalue.ErrInvalid.Has(err):
		return Accepted{}, writer.failed(err)
	}
	writer.unsure, writer.version, writer.revision = true, version, before
	return Accepted{}, writer.failed(err)
}

// accept puts the change in force on this instance, which spreads it without
// waiting for a watch, and so that its operator sees it here at once.
func (writer *writer) accept(revision peridotpath.Revision, text []byte) Accepted {
	writer.store.take([]Document{{Name: writer.document, Text: text}})
	return Accepted{Document: writer.document, Revision: revision}
}

// apply makes the change in a document's content.
func (content *content) apply(change Change, now time.Time) {
	// Accepting instances' clocks differ, and steps happen: within a document,
	// times follow the order in which changes were accepted.
	if last := len(content.History) - 1; last >= 0 && content.History[last].When.After(now) {
		now = content.History[last].When
	}
	content.Revision++
	content.put(Item{Name: change.Name, Revision: content.Revision, Value: change.Value})
	content.History = append(content.History, Event{
		Revision: content.Revision, ID: change.ID, Who: change.Who, When: now.UTC(),
		Kind: change.Kind, Name: change.Name, Deleted: change.Value == nil,
	})
	content.History = content.History[max(0, len(content.History)-historyLength):]
}

// event returns the accepted change with that id, or nil.
func (content *content) event(id ChangeID) *Event {
	for i := range content.History {
		if content.History[i].ID == id {
			return &content.History[i]
		}
	}
	return nil
}

// last returns the latest change of an item, or nil.
func (content *content) last(name string) *Event {
	for i := len(content.History) - 1; i >= 0; i-- {
		if content.History[i].Name == name {
			return &content.History[i]
		}
	}
	return nil
}
