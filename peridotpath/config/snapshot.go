package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
)

// Snapshot is the configuration in force at one moment. It is never changed.
type Snapshot struct {
	// Config is indexed; its plain list of customers is nil.
	Config *peridotpath.Config
	// Drains are the endpoints that operators took out of placement.
	Drains map[peridotpath.EndpointID]Drain

	documents map[DocumentName]*held
}

// held is one document in force.
type held struct {
	revision  peridotpath.Revision
	text      []byte
	customers []*peridotpath.Customer
}

func emptySnapshot() *Snapshot {
	config := &peridotpath.Config{}
	config.Index()
	return &Snapshot{Config: config, Drains: map[peridotpath.EndpointID]Drain{}, documents: map[DocumentName]*held{}}
}

// Revisions returns the revision of each document.
func (snapshot *Snapshot) Revisions() Revisions {
	revisions := make(Revisions, len(snapshot.documents))
	for name, document := range snapshot.documents {
		revisions[name] = document.revision
	}
	return revisions
}

// Revision returns one document's revision, zero if it does not exist.
func (snapshot *Snapshot) Revision(name DocumentName) peridotpath.Revision {
	if document := snapshot.documents[name]; document != nil {
		return document.revision
	}
	return 0
}

// Above returns the documents with a higher revision than have gives them.
func (snapshot *Snapshot) Above(have Revisions) []Document {
	var documents []Document
	for name, document := range snapshot.documents {
		if document.revision > have[name] {
			documents = append(documents, Document{Name: name, Text: document.text})
		}
	}
	slices.SortFunc(documents, func(a, b Document) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return documents
}

// with returns a snapshot that holds the documents with a higher revision than
// held, and how many there were.
//
// A lower or equal revision comes from a lagging peer, from a late answer or
// from a service that was restored from a copy. Applying it would take an
// accepted change out of force; keeping the higher one can't.
func (snapshot *Snapshot) with(documents []Document, log zerolog.Logger) (*Snapshot, int) {
	next := &Snapshot{Config: snapshot.Config, Drains: snapshot.Drains, documents: maps.Clone(snapshot.documents)}
	applied := 0
	for _, document := range documents {
		ok, err := next.apply(document)
		if err != nil {
			refused("invalid").Inc()
			log.Error().Str("event", "config_document_refused").Str("document", string(document.Name)).Err(err).Send()
		}
		if ok {
			applied++
		}
	}
	return next, applied
}

// apply puts one document in force in a snapshot that nobody else reads yet.
func (snapshot *Snapshot) apply(document Document) (bool, error) {
	parsed, err := parse(document.Text)
	if err != nil {
		return false, err
	}
	before := snapshot.documents[document.Name]
	if before == nil {
		before = &held{}
	}
	if parsed.Revision <= before.revision {
		refused("not_higher").Inc()
		return false, nil
	}
	after := &held{revision: parsed.Revision, text: document.Text}
	if err := snapshot.rebuild(document.Name.kind(), parsed, before, after); err != nil {
		return false, err
	}
	snapshot.documents[document.Name] = after
	return true, nil
}

// rebuild rebuilds the part of the snapshot that the document's kind makes up.
func (snapshot *Snapshot) rebuild(kind Kind, parsed *content, before, after *held) error {
	switch kind {
	case KindProfile:
		return snapshot.applyProfiles(parsed)
	case KindCustomer:
		return snapshot.applyCustomers(parsed, before, after)
	case KindDrain:
		return snapshot.applyDrains(parsed)
	default:
		return Error.New("unknown document")
	}
}

func (snapshot *Snapshot) applyProfiles(parsed *content) error {
	decoded, err := values[peridotpath.Profile](parsed)
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

func (snapshot *Snapshot) applyCustomers(parsed *content, before, after *held) error {
	customers, err := values[peridotpath.Customer](parsed)
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
	drains, err := values[Drain](parsed)
	if err != nil {
		return err
	}
	snapshot.Drains = make(map[peridotpath.EndpointID]Drain, len(drains))
	for _, drain := range drains {
		snapshot.Drains[drain.Endpoint] = *drain
	}
	return nil
}

// refused counts documents that were not put in force, by reason.
func refused(reason string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`peridotpath_config_documents_refused_total{reason="` + reason + `"}`)
}
