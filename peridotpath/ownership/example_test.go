package ownership_test

import (
	"fmt"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/ownership"
)

// Three instances, one of them leaving, read the same membership list. Without communication
// exactly one of them is the owner of an endpoint.
func Example() {
	list := []peridotpath.Instance{
		{ID: "entry-1", DataCentre: "colombo-a", State: peridotpath.StateLive},
		{ID: "entry-2", DataCentre: "colombo-a", State: peridotpath.StateLive},
		{ID: "entry-3", DataCentre: "colombo-a", State: peridotpath.StateLeaving},
	}
	endpoints := []peridotpath.Endpoint{{ID: "engine-1"}, {ID: "engine-2"}}
	ownerCount := 0
	for _, self := range list {
		owners := &ownership.Owners{Scope: ownership.Scope{Self: self.ID, DataCentre: self.DataCentre, ReaderCount: 1}}
		owners.Update(list, endpoints)
		if owners.Current().OwnsEndpoint("engine-1") {
			ownerCount++
		}
	}
	fmt.Println("instances that own engine-1:", ownerCount)
	// Output:
	// instances that own engine-1: 1
}
