package peridotpath_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/soak"
)

// drawDocument returns customers of one of two documents, with keys that they
// may share with others and ids that sort differently from the documents.
func drawDocument(t *rapid.T, document int) []*peridotpath.Customer {
	var customers []*peridotpath.Customer
	for i := range 4 {
		if rapid.Bool().Draw(t, "absent") {
			continue
		}
		customers = append(customers, &peridotpath.Customer{
			ID:        peridotpath.CustomerID(fmt.Sprintf("%d-%d", i, document)),
			KeySHA256: peridotpath.HashKey(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key"))),
			Weight:    rapid.IntRange(1, 2).Draw(t, "weight"),
		})
	}
	return customers
}

// An index that was changed document by document finds the same customers as
// one that was built as a whole, also where two customers hold one key, and the
// indexes that it came from go on finding what they found.
func TestReplaceCustomersFindsWhatIndexFinds(t *testing.T) {
	soak.Check(t, 3, func(t *rapid.T) {
		config := &peridotpath.Config{}
		config.Index()
		var documents [2][]*peridotpath.Customer
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			document := rapid.IntRange(0, 1).Draw(t, "document")
			before, old := finds(config), config
			after := drawDocument(t, document)
			config = config.ReplaceCustomers(documents[document], after)
			documents[document] = after
			if have := finds(old); have != before {
				t.Fatalf("the old index finds %s, not %s", have, before)
			}
			whole := &peridotpath.Config{}
			for _, customers := range documents {
				for _, customer := range customers {
					whole.Customers = append(whole.Customers, *customer)
				}
			}
			whole.Index()
			if have, want := finds(config), finds(whole); have != want {
				t.Fatalf("have %s, want %s", have, want)
			}
		}
	})
}

func finds(config *peridotpath.Config) string {
	text := ""
	for key := range 6 {
		found := config.CustomerByKey(fmt.Sprint(key))
		if found == nil {
			text += " -"
			continue
		}
		text += fmt.Sprintf(" %s/%d", found.ID, found.Weight)
	}
	return text
}
