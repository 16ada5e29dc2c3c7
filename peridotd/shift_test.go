package main

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/membership"
)

// TestEverySiteHasKeepers: all instances that watch the configuration happen to
// stand in one data centre, and the engines of the other had nobody who tried
// for their lease: no group formed there, no order was repaired. Each site needs
// two candidates, its own data centre's where it has any.
func TestEverySiteHasKeepers(t *testing.T) {
	cases := map[string]struct {
		instances []peridotpath.DataCentre
		want      map[peridotpath.DataCentre]int
	}{
		"both have instances":  {[]peridotpath.DataCentre{"a", "a", "a", "b", "b"}, map[peridotpath.DataCentre]int{"a": 2, "b": 2}},
		"one has a single one": {[]peridotpath.DataCentre{"a", "a", "b"}, map[peridotpath.DataCentre]int{"a": 2, "b": 1}},
		"one has none":         {[]peridotpath.DataCentre{"b", "b", "b"}, map[peridotpath.DataCentre]int{"a": 2, "b": 2}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := &membership.List{Endpoints: []peridotpath.Endpoint{
				{ID: "e1", Service: "claims-llm", Kind: peridotpath.KindEngine, DataCentre: "a"},
				{ID: "e2", Service: "claims-llm", Kind: peridotpath.KindEngine, DataCentre: "a"},
				{ID: "e3", Service: "claims-llm", Kind: peridotpath.KindEngine, DataCentre: "b"},
				{ID: "p1", Service: "desk-app", Kind: peridotpath.KindPlain, DataCentre: "a"},
			}}
			for i, dataCentre := range test.instances {
				list.Instances = append(list.Instances, peridotpath.Instance{
					ID: peridotpath.InstanceID(fmt.Sprintf("i%d", i)), DataCentre: dataCentre, State: peridotpath.StateLive,
				})
			}
			keepers := map[peridotpath.DataCentre]int{}
			for _, instance := range list.Instances {
				for _, site := range sitesToKeep(list, instance.ID) {
					is.Equal(site.service, peridotpath.Service("claims-llm"))
					keepers[site.dataCentre]++
				}
			}
			is.Equal(keepers, test.want)
		})
	}
}
