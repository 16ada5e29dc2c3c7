package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
)

// Snapshot is the configuration that was active at one time. It is immutable.
type Snapshot struct {
	// Config is indexed; its Customers list is nil.
	Config *peridotpath.Config
	// Drains are the endpoints that operators excluded from placement.
	Drains map[peridotpath.EndpointID]Drain

	documents map[DocumentName]*activeDocument
}

// activeDocument is a document that is part of a snapshot.
type activeDocument struct {
	revision  peridotpath.Revision
	text      []byte
	customers []*peridotpath.Customer
}

func emptySnapshot() *Snapshot {
	config := &peridotpath.Config{}
	config.Index()
	return &Snapshot{Config: config, Drains: map[peridotpath.EndpointID]Drain{}, documents: map[DocumentName]*activeDocument{}}
}

// Revisions returns the revision of each document.
func (snapshot *Snapshot) Revisions() Revisions {
	revisions := make(Revisions, len(snapshot.documents))
	for name, document := range snapshot.documents {
		revisions[name] = document.revision
	}
	return revisions
}

// Revision returns a document's revision, or zero if it does not exist.
func (snapshot *Snapshot) Revision(name DocumentName) peridotpath.Revision {
	if document := snapshot.documents[name]; document != nil {
		return document.revision
	}
	return 0
}

// NewerThan returns the documents with higher revisions than have.
func (snapshot *Snapshot) NewerThan(have Revisions) []Document {
	var documents []Document
	for name, document := range snapshot.documents {
		if document.revision > have[name] {
			documents = append(documents, Document{Name: name, Text: document.text})
		}
	}
	slices.SortFunc(documents, func(a, b Document) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return documents
}

// withDocuments returns a copy of the snapshot to which the documents with higher
// revisions have been applied, and their number.
//
// A lower or equal revision comes from a lagging peer, from a delayed response or
// from a service that was restored from a backup. Applying such a document would revert
// an accepted change, so it is ignored.
func (snapshot *Snapshot) withDocuments(documents []Document, log zerolog.Logger) (*Snapshot, int) {
	next := &Snapshot{Config: snapshot.Config, Drains: snapshot.Drains, documents: maps.Clone(snapshot.documents)}
	applied := 0
	for _, document := range documents {
		ok, err := next.applyDocument(document)
		if err != nil {
			refusedCounter("invalid").Inc()
			log.Error().Str("event", "config_document_refused").Str("document", string(document.Name)).Err(err).Send()
		}
		if ok {
			applied++
		}
	}
	return next, applied
}

// applyDocument applies one document to a snapshot that is not published yet.
func (snapshot *Snapshot) applyDocument(document Document) (bool, error) {
	parsed, err := parseContent(document.Text)
	if err != nil {
		return false, err
	}
	before := snapshot.documents[document.Name]
	if before == nil {
		before = &activeDocument{}
	}
	if parsed.Revision <= before.revision {
		refusedCounter("not_higher").Inc()
		return false, nil
	}
	after := &activeDocument{revision: parsed.Revision, text: document.Text}
	if err := snapshot.rebuild(document.Name.kind(), parsed, before, after); err != nil {
		return false, err
	}
	snapshot.documents[document.Name] = after
	return true, nil
}

// rebuild rebuilds the part of the snapshot that depends on documents of this kind.
func (snapshot *Snapshot) rebuild(kind Kind, parsed *content, before, after *activeDocument) error {
	switch kind {
	case KindProfile:
		return snapshot.applyProfiles(parsed)
	case KindCustomer:
		return snapshot.applyCustomers(parsed, before, after)
	case KindDrain:
		return snapshot.applyDrains(parsed)
	default:
		return Error.New("document name has no known kind")
	}
}

func (snapshot *Snapshot) applyProfiles(parsed *content) error {
	decoded, err := decodeItems[peridotpath.Profile](parsed)
	if err != nil {
		return err
	}
	config := &peridotpath.Config{}
	for _, profile := range decoded {
		config.Profiles = append(config.Profiles, *profile)
	}
	config.Defaults()
	if err := config.Validate().OrNil(); err != nil {
		return err
	}
	snapshot.Config = snapshot.Config.ReplaceProfiles(config.Profiles)
	return nil
}

func (snapshot *Snapshot) applyCustomers(parsed *content, before, after *activeDocument) error {
	customers, err := decodeItems[peridotpath.Customer](parsed)
	if err != nil {
		return err
	}
	var faults peridotpath.Faults
	for i, customer := range customers {
		customer.Defaults()
		faults = append(faults, customer.Validate(parsed.Items[i].Name)...)
	}
	if err := faults.OrNil(); err != nil {
		return err
	}
	after.customers = customers
	snapshot.Config = snapshot.Config.ReplaceCustomers(before.customers, customers)
	return nil
}

func (snapshot *Snapshot) applyDrains(parsed *content) error {
	drains, err := decodeItems[Drain](parsed)
	if err != nil {
		return err
	}
	snapshot.Drains = make(map[peridotpath.EndpointID]Drain, len(drains))
	for _, drain := range drains {
		snapshot.Drains[drain.Endpoint] = *drain
	}
	return nil
}

// refusedCounter counts documents that were not applied, by reason.
func refusedCounter(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`peridotpath_config_documents_refused_total{reason="` + reason + `"}`)
}
