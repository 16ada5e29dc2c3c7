package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
)

// manyCustomers is the number of customers expected in the largest deployment.
const manyCustomers = 34_000

func customerName(i int) string { return fmt.Sprintf("customer-of-a-long-name-%06d", i) }

// newFilledStore writes manyCustomers to a new key-value service and returns a loaded Store.
func newFilledStore(tb testing.TB) (*config.Store, *keyvalue.Store) {
	tb.Helper()
	items := map[config.DocumentName][]config.Item{}
	for i := range manyCustomers {
		value := customer(customerName(i), fmt.Sprint(i))
		value.Defaults()
		text, err := json.Marshal(value)
		if err != nil {
			tb.Fatal(err)
		}
		name := config.DocumentOf(config.KindCustomer, customerName(i))
		items[name] = append(items[name], config.Item{Name: customerName(i), Revision: 1, Value: text})
	}
	platform := (&memory.Memory{}).Store()
	for name, documentItems := range items {
		text, err := json.Marshal(map[string]any{"revision": 1, "items": documentItems})
		if err != nil {
			tb.Fatal(err)
		}
		if _, err := platform.Swap(tb.Context(), config.KeyPrefix+string(name), 0, text, keyvalue.LeaseID{}); err != nil {
			tb.Fatal(err)
		}
	}
	store := &config.Store{KeyValue: platform, Log: zerolog.Nop()}
	if _, err := store.Load(tb.Context()); err != nil {
		tb.Fatal(err)
	}
	return store, platform
}

func TestManyCustomers(t *testing.T) {
	is := is.New(t)
	store, platform := newFilledStore(t)
	for i := range 100 { // until the history of the changed document is full
		change := putCustomer(fmt.Sprint(i), customerName(7), fmt.Sprint("new-", i))
		change.Base = config.AnyRevision
		_, err := store.Change(t.Context(), change)
		is.NoErr(err)
	}
	is.Equal(store.Current().Config.CustomerByKey("new-99").ID, peridotpath.CustomerID(customerName(7)))
	is.True(store.Current().Config.CustomerByKey("new-98") == nil)
	is.True(store.Current().Config.CustomerByKey("7") == nil)
	for i := range manyCustomers {
		found := store.Current().Config.CustomerByKey(fmt.Sprint(i))
		is.True(i == 7 || found != nil && string(found.ID) == customerName(i))
	}
	entries, _, err := platform.List(t.Context(), config.KeyPrefix)
	is.NoErr(err)
	largest := 0
	for _, entry := range entries {
		largest = max(largest, len(entry.Value))
	}
	t.Logf("%d customers in %d documents, the largest of %d bytes", manyCustomers, len(entries), largest)
	is.True(largest < keyvalue.MaxValueBytes/10)
}

// BenchmarkChange measures one change among manyCustomers: validation, swap and
// applying it to the snapshot.
func BenchmarkChange(b *testing.B) {
	store, _ := newFilledStore(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		change := putCustomer(fmt.Sprint(i), customerName(i%manyCustomers), fmt.Sprint("new-", i))
		change.Base = config.AnyRevision
		if _, err := store.Change(b.Context(), change); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIndexAll measures building the key index of manyCustomers from scratch,
// which would be the cost of each change without structural sharing.
func BenchmarkIndexAll(b *testing.B) {
	whole := &peridotpath.Config{}
	for i := range manyCustomers {
		whole.Customers = append(whole.Customers, customer(customerName(i), fmt.Sprint(i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		whole.Index()
	}
}

// BenchmarkReplaceCustomers measures updating the key index after one customer's
// change.
func BenchmarkReplaceCustomers(b *testing.B) {
	whole := &peridotpath.Config{}
	for i := range manyCustomers {
		whole.Customers = append(whole.Customers, customer(customerName(i), fmt.Sprint(i)))
	}
	whole.Index()
	var before, after []*peridotpath.Customer
	for i := range manyCustomers / config.CustomerShards {
		before = append(before, &whole.Customers[i])
		after = append(after, &whole.Customers[i])
	}
	changed := customer(customerName(0), "new")
	after[0] = &changed
	b.ReportAllocs()
	for b.Loop() {
		whole.ReplaceCustomers(before, after)
	}
}

// BenchmarkCustomerByKey measures the key lookup that each request makes.
func BenchmarkCustomerByKey(b *testing.B) {
	store, _ := newFilledStore(b)
	b.ReportAllocs()
	for b.Loop() {
		if store.Current().Config.CustomerByKey("12345") == nil {
			b.Fatal("not found")
		}
	}
}
