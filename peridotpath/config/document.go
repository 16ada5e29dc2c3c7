package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath"
)

// Kind tells what an item of the configuration is.
type Kind string

// The kinds of item.
const (
	KindProfile  Kind = "profile"
	KindCustomer Kind = "customer"
	// KindDrain takes an endpoint out of placement.
	KindDrain Kind = "drain"
)

// DocumentName names one document: "profiles", "drains" or "customers/17".
type DocumentName string

const (
	// KeyPrefix comes before a document's name in the key-value service.
	KeyPrefix = "config/"
	// Shards is the number of documents that the customers are spread over.
	// With 34,000 customers of about 250 bytes a document holds some 130 of
	// them in 35 kB, a thirtieth of the largest value that the service holds,
	// and a change writes and spreads that much. The number is part of the stored form.
	Shards = 256

	profilesDocument DocumentName = "profiles"
	drainsDocument   DocumentName = "drains"
	customersPrefix               = "customers/"
)

// DocumentOf returns the document that holds an item.
func DocumentOf(kind Kind, name string) DocumentName {
	switch kind {
	case KindProfile:
		return profilesDocument
	case KindDrain:
		return drainsDocument
	default:
		return shardName(xxhash.Sum64String(name) % Shards)
	}
}

func shardName(shard uint64) DocumentName {
	return DocumentName(fmt.Sprintf("%s%d", customersPrefix, shard))
}

// kind returns what the document holds.
func (name DocumentName) kind() Kind {
	switch {
	case name == profilesDocument:
		return KindProfile
	case name == drainsDocument:
		return KindDrain
	case strings.HasPrefix(string(name), customersPrefix):
		return KindCustomer
	default:
		return ""
	}
}

func (name DocumentName) key() string { return KeyPrefix + string(name) }

func nameOf(key string) DocumentName { return DocumentName(strings.TrimPrefix(key, KeyPrefix)) }

// Document is one document as it is stored and as instances hand it on.
type Document struct {
	Name DocumentName `json:"name"`
	// Text is the stored form, JSON.
	Text []byte `json:"text"`
}

// content is what a document's text holds.
type content struct {
	// Revision grows by one with each accepted change of the document.
	Revision peridotpath.Revision `json:"revision"`
	// Items are sorted by name.
	Items []Item `json:"items"`
	// History holds the last changes, latest last.
	History []Event `json:"history"`
}

// Item is one profile, customer or drain with the revision of its last change.
type Item struct {
	Name     string               `json:"name"`
	Revision peridotpath.Revision `json:"revision"`
	// Value is kept as written, so that an instance of an older version keeps
	// the fields of a newer one when it changes another item.
	Value json.RawMessage `json:"value"`
}

// Event is one accepted change in a document's history.
type Event struct {
	Revision peridotpath.Revision `json:"revision"`
	ID       ChangeID             `json:"change_id"`
	Who      string               `json:"who"`
	When     time.Time            `json:"when"`
	Kind     Kind                 `json:"kind"`
	Name     string               `json:"name"`
	Deleted  bool                 `json:"deleted,omitempty"`
}

// Drain takes an endpoint out of placement: it gets no new work, and what it
// runs is finished.
type Drain struct {
	Endpoint peridotpath.EndpointID `json:"endpoint"`
	Reason   string                 `json:"reason,omitempty"`
}

// parse reads a document's text.
func parse(text []byte) (*content, error) {
	parsed := &content{}
	if err := json.Unmarshal(text, parsed); err != nil {
		return nil, Error.New("parse: %v", err)
	}
	return parsed, nil
}

// find returns the position of an item, or where it would be put.
func (content *content) find(name string) (int, bool) {
	return slices.BinarySearchFunc(content.Items, name, func(item Item, name string) int {
		return strings.Compare(item.Name, name)
	})
}

// item returns an item, or nil.
func (content *content) item(name string) *Item {
	at, found := content.find(name)
	if !found {
		return nil
	}
	return &content.Items[at]
}

// put writes or, with a nil value, deletes an item.
func (content *content) put(item Item) {
	at, found := content.find(item.Name)
	switch {
	case item.Value == nil && found:
		content.Items = slices.Delete(content.Items, at, at+1)
	case item.Value == nil:
	case found:
		content.Items[at] = item
	default:
		content.Items = slices.Insert(content.Items, at, item)
	}
}

// values decodes the items of a document, each into an allocation of its own.
func values[T any](content *content) ([]*T, error) {
	decoded := make([]*T, 0, len(content.Items))
	for _, item := range content.Items {
		value := new(T)
		if err := json.Unmarshal(item.Value, value); err != nil {
			return nil, Error.New("parse: item %q: %v", item.Name, err)
		}
		decoded = append(decoded, value)
	}
	return decoded, nil
}
