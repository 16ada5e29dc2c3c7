package peridotpath_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/soak"
)

// drawDocument returns customers of one of two documents. Keys may repeat within and
// across documents, and the ids do not sort by document.
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

// An index that is updated document by document must find the same customers as one built
// from all customers, also where two customers have the same key. Indexes from before an
// update must keep their results.
func TestReplaceCustomersMatchesIndex(t *testing.T) {
	soak.Check(t, 3, func(t *rapid.T) {
		config := &peridotpath.Config{}
		config.Index()
		var documents [2][]*peridotpath.Customer
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			document := rapid.IntRange(0, 1).Draw(t, "document")
			before, old := lookups(config), config
			after := drawDocument(t, document)
			config = config.ReplaceCustomers(documents[document], after)
			documents[document] = after
			if have := lookups(old); have != before {
				t.Fatalf("the old index finds %s, not %s", have, before)
			}
			whole := &peridotpath.Config{}
			for _, customers := range documents {
				for _, customer := range customers {
					whole.Customers = append(whole.Customers, *customer)
				}
			}
			whole.Index()
			if have, want := lookups(config), lookups(whole); have != want {
				t.Fatalf("have %s, want %s", have, want)
			}
		}
	})
}

func lookups(config *peridotpath.Config) string {
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
