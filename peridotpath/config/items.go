package config

import (
	"cmp"
	"slices"
	"strings"
)

// Items returns the items of one kind, sorted by name.
func (snapshot *Snapshot) Items(kind Kind) ([]Item, error) {
	var items []Item
	err := snapshot.visitContents(kind, func(content *content) { items = append(items, content.Items...) })
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Name, b.Name) })
	return items, err
}

// Item returns one item, or nil.
func (snapshot *Snapshot) Item(kind Kind, name string) (*Item, error) {
	document := snapshot.documents[DocumentOf(kind, name)]
	if document == nil {
		return nil, nil
	}
	content, err := parseContent(document.text)
	if err != nil {
		return nil, err
	}
	return content.item(name), nil
}

// History returns the last accepted changes of all documents, latest first. Across
// documents, the order depends on the clocks of the accepting instances.
func (snapshot *Snapshot) History(limit int) ([]Event, error) {
	var events []Event
	err := snapshot.visitContents("", func(content *content) { events = append(events, content.History...) })
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(b.When.Compare(a.When), cmp.Compare(b.Revision, a.Revision), strings.Compare(string(a.ID), string(b.ID)))
	})
	return events[:min(limit, len(events))], err
}

// visitContents calls visit with each document of one kind, or with all documents
// for an empty kind.
func (snapshot *Snapshot) visitContents(kind Kind, visit func(content *content)) error {
	for name, document := range snapshot.documents {
		if kind != "" && name.kind() != kind {
			continue
		}
		content, err := parseContent(document.text)
		if err != nil {
			return err
		}
		visit(content)
	}
	return nil
}
