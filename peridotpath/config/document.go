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

// Kind is the type of a configuration item.
type Kind string

// Kinds of configuration items.
const (
	KindProfile  Kind = "profile"
	KindCustomer Kind = "customer"
	// KindDrain excludes an endpoint from placement.
	KindDrain Kind = "drain"
)

// DocumentName identifies a document: "profiles", "drains" or "customers/17".
type DocumentName string

const (
	// KeyPrefix is the prefix of a document's key in the key-value service.
	KeyPrefix = "config/"
	// CustomerShards is the number of documents that customers are sharded into. With
	// 34,000 customers of about 250 bytes, a document holds about 130 of them in
	// 35 kB, 1/30 of the service's maximum value size. A change writes and
	// propagates one document. The number is part of the storage format.
	CustomerShards = 256

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
		return shardName(xxhash.Sum64String(name) % CustomerShards)
	}
}

func shardName(shard uint64) DocumentName {
	return DocumentName(fmt.Sprintf("%s%d", customersPrefix, shard))
}

// kind returns the kind of the document's items.
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

func documentName(key string) DocumentName { return DocumentName(strings.TrimPrefix(key, KeyPrefix)) }

// Document is a document as it is stored and forwarded between instances.
type Document struct {
	Name DocumentName `json:"name"`
	// Text is the stored JSON.
	Text []byte `json:"text"`
}

// content is the parsed text of a document.
type content struct {
	// Revision increases by one with each accepted change of the document.
	Revision peridotpath.Revision `json:"revision"`
	// Items are sorted by name.
	Items []Item `json:"items"`
	// History holds the most recent changes, latest last.
	History []Event `json:"history"`
}

// Item is one profile, customer or drain with the revision of its last change.
type Item struct {
	Name     string               `json:"name"`
	Revision peridotpath.Revision `json:"revision"`
	// Value is kept as raw JSON, so that an instance of an older software version
	// preserves fields it does not know when it changes another item.
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

// Drain excludes an endpoint from placement: it receives no new requests, and
// running requests complete.
type Drain struct {
	Endpoint peridotpath.EndpointID `json:"endpoint"`
	Reason   string                 `json:"reason,omitempty"`
}

// parseContent parses a document's text.
func parseContent(text []byte) (*content, error) {
	parsed := &content{}
	if err := json.Unmarshal(text, parsed); err != nil {
		return nil, Error.New("parse: %v", err)
	}
	return parsed, nil
}

// find returns the index of an item, or the index at which to insert it, and
// whether it exists.
func (content *content) find(name string) (int, bool) {
	return slices.BinarySearchFunc(content.Items, name, func(item Item, name string) int {
		return strings.Compare(item.Name, name)
	})
}

// item returns an item, or nil if it does not exist.
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

// decodeItems decodes the items of a document, each into its own allocation.
func decodeItems[T any](content *content) ([]*T, error) {
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
