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

// ChangeID is the idempotency key of a change. A change that is repeated with the
// same id takes effect once.
type ChangeID string

// AnyRevision as a Change's Base disables the conflict check.
const AnyRevision = ^peridotpath.Revision(0)

// Change creates, replaces or deletes one item.
type Change struct {
	ID   ChangeID
	Who  string
	Kind Kind
	Name string
	// Base is the item revision that the change is based on: zero if the item must
	// not exist, or AnyRevision.
	Base peridotpath.Revision
	// Value is the item as JSON; nil deletes it.
	Value json.RawMessage
}

// Accepted is the document and revision of an accepted change.
type Accepted struct {
	Document DocumentName
	Revision peridotpath.Revision
}

var (
	// ErrNotAccepted reports that the change certainly did not take effect.
	ErrNotAccepted = errs.Class("config: not accepted")
	// ErrOutcomeUnknown reports that the change may have taken effect. It can be sent
	// again with the same id and then takes effect once.
	ErrOutcomeUnknown = errs.Class("config: outcome unknown")
)

// Conflict reports that the item is not at the revision that the change is based on.
type Conflict struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Base and Current are the expected and the actual revision; zero for no item.
	Base    peridotpath.Revision `json:"base"`
	Current peridotpath.Revision `json:"current"`
	// Yours and Theirs are the requested and the stored value; empty for a deletion.
	Yours  json.RawMessage `json:"yours,omitempty"`
	Theirs json.RawMessage `json:"theirs,omitempty"`
	// Last is the item's last accepted change, if history still holds it.
	Last *Event `json:"last,omitempty"`
}

// Error returns a message with both revisions.
func (conflict *Conflict) Error() string {
	return fmt.Sprintf("config: conflict: %s %q is at revision %d, not %d",
		conflict.Kind, conflict.Name, conflict.Current, conflict.Base)
}

const (
	// maxHistoryEvents bounds a document's history, and thereby the number of later
	// changes after which the outcome of a lost swap can still be determined. With
	// names of maximum length the history takes 13 kB of the document.
	maxHistoryEvents = 32
	// maxDocumentBytes leaves a margin below the service's maximum value size.
	maxDocumentBytes = keyvalue.MaxValueBytes * 9 / 10
)

// Change validates a change and writes it with one compare-and-swap. It is accepted
// if that swap took effect. An error is peridotpath.Faults, a *Conflict or of class
// ErrNotAccepted, all of which mean that nothing changed, or of class ErrOutcomeUnknown.
//
// A swap can take effect although its reply is lost. If Change reported it as failed, the
// change would be active unnoticed or be made a second time. The swap is therefore repeated
// on the same version until the service returns a definite result. The repetition either takes
// effect or conflicts, and after a conflict the document's history shows whether the
// first swap took effect.
func (store *Store) Change(ctx context.Context, change Change) (Accepted, error) {
	accepted, err := store.change(ctx, change)
	metrics.GetOrCreateCounter(`peridotpath_config_changes_total{result="` + resultLabel(err) + `"}`).Inc()
	return accepted, err
}

func (store *Store) change(ctx context.Context, change Change) (Accepted, error) {
	if store.Current() == nil {
		return Accepted{}, ErrNotAccepted.New("this instance has no configuration yet")
	}
	if faults := change.validate(); len(faults) > 0 {
		return Accepted{}, faults
	}
	writer := &writer{store: store, change: change, document: DocumentOf(change.Kind, change.Name)}
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		accepted, err := writer.attempt(ctx)
		if err == nil || !errors.Is(err, errRetry) {
			return accepted, err
		}
		store.sleepWithJitter(ctx, backoff)
		if ctx.Err() != nil {
			return Accepted{}, writer.abortError(errs.Combine(ctx.Err(), writer.lastError))
		}
	}
}

// resultLabel returns the counter's label for an outcome.
func resultLabel(err error) string {
	var faults peridotpath.Faults
	var conflict *Conflict
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &faults):
		return "faults"
	case errors.As(err, &conflict):
		return "conflict"
	case ErrOutcomeUnknown.Has(err):
		return "unknown"
	default:
		return "not_accepted"
	}
}

// errRetry reports that the outcome of a change is not decided yet.
var errRetry = errs.New("config: outcome undecided; retry")

// writer makes the attempts of one change.
type writer struct {
	store    *Store
	change   Change
	document DocumentName
	// outcomeUnknown is set while a swap on swapVersion, made at swapRevision, may
	// have taken effect or may still take effect.
	outcomeUnknown bool
	lastError      error // error of the service, reported on timeout
	swapVersion    keyvalue.Version
	swapRevision   peridotpath.Revision
}

// abortError returns the error with which to abort: ErrOutcomeUnknown if a swap may have taken
// effect, else ErrNotAccepted.
func (writer *writer) abortError(err error) error {
	if writer.outcomeUnknown {
		return ErrOutcomeUnknown.New("change %s of %s: %v", writer.change.ID, writer.document, err)
	}
	return ErrNotAccepted.Wrap(err)
}

// attempt reads the document, and either determines the outcome or swaps once.
func (writer *writer) attempt(ctx context.Context) (Accepted, error) {
	entry, err := writer.store.KeyValue.Get(ctx, writer.document.key())
	if err != nil {
		return Accepted{}, writer.classifyError(err)
	}
	text := writer.newestText(entry.Value)
	current, err := parseContent(text)
	if err != nil {
		return Accepted{}, writer.abortError(err)
	}
	if accepted := current.eventByID(writer.change.ID); accepted != nil {
		return writer.accept(accepted.Revision, text), nil
	}
	if err := writer.resolvePendingSwap(entry.Version, current.Revision); err != nil {
		return Accepted{}, err
	}
	if err := writer.check(current); err != nil {
		return Accepted{}, err
	}
	return writer.swap(ctx, entry.Version, current)
}

// newestText returns the text to change: the one read from the platform or, if this
// instance has a higher active revision, the active one.
//
// The platform has the lower revision after it was restored from an old backup. A
// change based on it would get a revision that instances have already seen, so they
// would never apply it. A change based on the higher revision is applied, and
// restores what the backup lacked. A stale read is harmless: its version is no longer
// current, so the swap conflicts.
func (writer *writer) newestText(stored []byte) []byte {
	if stored == nil {
		stored = []byte("{}")
	}
	active := writer.store.Current().documents[writer.document]
	if active == nil {
		return stored
	}
	if current, err := parseContent(stored); err != nil || current.Revision >= active.revision {
		return stored
	}
	return active.text
}

// classifyError returns errRetry or the final error for an error of the service. A
// call that never reached the service fails at once, so that the operator can call
// another instance.
func (writer *writer) classifyError(err error) error {
	writer.lastError = err
	if writer.outcomeUnknown || !keyvalue.ErrNotSent.Has(err) && !keyvalue.ErrInvalid.Has(err) {
		return errRetry
	}
	return ErrNotAccepted.Wrap(err)
}

// resolvePendingSwap clears outcomeUnknown if the document's version has changed. A
// swap on the old version can then no longer take effect, and if it had, history
// would hold its id, unless so many changes followed that the id was dropped.
func (writer *writer) resolvePendingSwap(version keyvalue.Version, revision peridotpath.Revision) error {
	if !writer.outcomeUnknown || version == writer.swapVersion {
		return nil
	}
	if revision > writer.swapRevision+maxHistoryEvents {
		return ErrOutcomeUnknown.New("change %s of %s: history no longer reaches back", writer.change.ID, writer.document)
	}
	writer.outcomeUnknown = false
	return nil
}

// check compares the change with its base revision and with other items. While an
// earlier swap may still take effect, the change must not be refused as not accepted,
// so the swap is repeated despite conflicts and clashes.
func (writer *writer) check(current *content) error {
	if err := writer.change.conflict(current); err != nil && !writer.outcomeUnknown {
		return err
	}
	faults, err := writer.change.clashes(current, writer.store.Current())
	if err != nil {
		return writer.abortError(err)
	}
	if len(faults) > 0 && !writer.outcomeUnknown {
		return faults
	}
	return nil
}

// swap writes the changed document if its version is still the one that was read.
func (writer *writer) swap(ctx context.Context, version keyvalue.Version, current *content) (Accepted, error) {
	baseRevision := current.Revision
	current.applyChange(writer.change, writer.store.now())
	text, err := json.Marshal(current)
	if err != nil {
		return Accepted{}, writer.abortError(err)
	}
	if len(text) > maxDocumentBytes {
		return Accepted{}, writer.abortError(Error.New("document %s is full: %d of %d bytes", writer.document, len(text), maxDocumentBytes))
	}
	_, err = writer.store.KeyValue.Swap(ctx, writer.document.key(), version, text, keyvalue.LeaseID{})
	switch {
	case err == nil:
		return writer.accept(current.Revision, text), nil
	case keyvalue.ErrConflict.Has(err):
		return Accepted{}, errRetry
	case keyvalue.ErrNotSent.Has(err), keyvalue.ErrInvalid.Has(err):
		return Accepted{}, writer.classifyError(err)
	}
	writer.outcomeUnknown, writer.swapVersion, writer.swapRevision = true, version, baseRevision
	return Accepted{}, writer.classifyError(err)
}

// accept applies the change on this instance at once. The operator can read it here
// immediately, and it propagates to followers without waiting for a watch.
func (writer *writer) accept(revision peridotpath.Revision, text []byte) Accepted {
	writer.store.applyDocuments([]Document{{Name: writer.document, Text: text}})
	return Accepted{Document: writer.document, Revision: revision}
}

// applyChange applies a change to the content and records it in the history.
func (content *content) applyChange(change Change, now time.Time) {
	// The clocks of instances differ and can step back. Timestamps are kept
	// monotonic within a document, in the order of acceptance.
	if last := len(content.History) - 1; last >= 0 && content.History[last].When.After(now) {
		now = content.History[last].When
	}
	content.Revision++
	content.put(Item{Name: change.Name, Revision: content.Revision, Value: change.Value})
	content.History = append(content.History, Event{
		Revision: content.Revision, ID: change.ID, Who: change.Who, When: now.UTC(),
		Kind: change.Kind, Name: change.Name, Deleted: change.Value == nil,
	})
	content.History = content.History[max(0, len(content.History)-maxHistoryEvents):]
}

// eventByID returns the accepted change with that id, or nil.
func (content *content) eventByID(id ChangeID) *Event {
	for i := range content.History {
		if content.History[i].ID == id {
			return &content.History[i]
		}
	}
	return nil
}

// lastEvent returns the latest change of an item, or nil.
func (content *content) lastEvent(name string) *Event {
	for i := len(content.History) - 1; i >= 0; i-- {
		if content.History[i].Name == name {
			return &content.History[i]
		}
	}
	return nil
}
