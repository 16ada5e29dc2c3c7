package main

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/membership"
)

// TestEverySiteHasCandidates guards against a site without candidates for its lease. If
// candidates are only instances that watch the configuration, and all of these are in one
// data centre, no group forms and no order is repaired in the other one. Each site needs
// two candidates, from its own data centre if that has any instances.
func TestEverySiteHasCandidates(t *testing.T) {
	cases := map[string]struct {
		instances []peridotpath.DataCentre
		want      map[peridotpath.DataCentre]int
	}{
		"both have instances":  {[]peridotpath.DataCentre{"a", "a", "a", "b", "b"}, map[peridotpath.DataCentre]int{"a": 2, "b": 2}},
		"one has one instance": {[]peridotpath.DataCentre{"a", "a", "b"}, map[peridotpath.DataCentre]int{"a": 2, "b": 1}},
		"one has no instance":  {[]peridotpath.DataCentre{"b", "b", "b"}, map[peridotpath.DataCentre]int{"a": 2, "b": 2}},
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
			candidates := map[peridotpath.DataCentre]int{}
			for _, instance := range list.Instances {
				for _, site := range candidateSites(list, instance.ID) {
					is.Equal(site.service, peridotpath.Service("claims-llm"))
					candidates[site.dataCentre]++
				}
			}
			is.Equal(candidates, test.want)
		})
	}
}
