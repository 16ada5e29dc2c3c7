package config

import (
	"cmp"
	"slices"
	"strings"
)

// Items returns the items of one kind, sorted by name.
func (snapshot *Snapshot) Items(kind Kind) ([]Item, error) {
	var items []Item
	err := snapshot.each(kind, func(content *content) { items = append(items, content.Items...) })
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Name, b.Name) })
	return items, err
}

// Item returns one item, or nil.
func (snapshot *Snapshot) Item(kind Kind, name string) (*Item, error) {
	document := snapshot.documents[DocumentOf(kind, name)]
	if document == nil {
		return nil, nil
	}
	content, err := parse(document.text)
	if err != nil {
		return nil, err
	}
	return content.item(name), nil
}

// History returns the last accepted changes of all documents, latest first. The
// order between documents is that of the clocks that accepted them.
func (snapshot *Snapshot) History(limit int) ([]Event, error) {
	var events []Event
	err := snapshot.each("", func(content *content) { events = append(events, content.History...) })
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(b.When.Compare(a.When), cmp.Compare(b.Revision, a.Revision), strings.Compare(string(a.ID), string(b.ID)))
	})
	return events[:min(limit, len(events))], err
}

// each calls visit with the documents of one kind, or of all for an empty kind.
func (snapshot *Snapshot) each(kind Kind, visit func(content *content)) error {
	for name, document := range snapshot.documents {
		if kind != "" && name.kind() != kind {
			continue
		}
		content, err := parse(document.text)
		if err != nil {
			return err
		}
		visit(content)
	}
	return nil
}
