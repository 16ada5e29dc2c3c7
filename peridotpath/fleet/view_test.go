package fleet_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/fleet"
)

var start = time.Unix(1_000_000, 0)

func engines(ids ...peridotpath.EndpointID) []peridotpath.Endpoint {
	var list []peridotpath.Endpoint
	for i, id := range ids {
		list = append(list, peridotpath.Endpoint{
			ID: id, Kind: peridotpath.KindEngine, State: peridotpath.StateLive,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	return list
}

// seen is what a View hands out.
type seen struct {
	states map[peridotpath.EndpointID]peridotpath.State
	loads  map[peridotpath.EndpointID]int
}

func view(drained map[peridotpath.EndpointID]bool) (*fleet.View, *seen) {
	seen := &seen{loads: map[peridotpath.EndpointID]int{}}
	return &fleet.View{
		Drained: func(id peridotpath.EndpointID) bool { return drained[id] },
		Publish: func(_ time.Time, endpoints []peridotpath.Endpoint) {
			seen.states = map[peridotpath.EndpointID]peridotpath.State{}
			for _, endpoint := range endpoints {
				seen.states[endpoint.ID] = endpoint.State
			}
		},
		Load: func(_ time.Time, id peridotpath.EndpointID, load peridotpath.Load) { seen.loads[id] = load.Running },
	}, seen
}

// The membership service restarts and answers with an empty list for a while.
// Acting on it, every instance would refuse every caller.
func TestEmptyListIsNotBelieved(t *testing.T) {
	is := is.New(t)
	view, seen := view(nil)
	view.SetMembers(start, engines("engine-1", "engine-2"))
	view.SetMembers(start.Add(time.Second), nil)
	is.Equal(seen.states["engine-1"], peridotpath.StateLive)
	view.SetMembers(start.Add(2*time.Second), engines("engine-1"))
	is.Equal(seen.states["engine-2"], peridotpath.StateLeaving) // vanished: no new work
	view.SetMembers(start.Add(time.Minute), engines("engine-1"))
	is.Equal(len(seen.states), 1)
	is.Equal(len(view.Engines()), 1)
}

// An engine turns work away because it leaves, while its report of a moment
// before, which said nothing of that, is still on its way through its owner.
// Taken for newer, the report would send it work again, to be refused again.
func TestRefusalOutweighsReportsFromBefore(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	cases := []struct {
		name     string
		reported time.Time
		leaving  bool
		want     peridotpath.State
	}{
		{"report from before", at(9.9), false, peridotpath.StateLeaving},
		{"report whose time is uncertain", at(10.5), false, peridotpath.StateLeaving},
		{"report from well after", at(11.5), false, peridotpath.StateLive},
		{"report that says so too", at(11.5), true, peridotpath.StateLeaving},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			view, seen := view(nil)
			view.SetMembers(start, engines("engine-1", "engine-2"))
			view.Refused(at(10), "engine-1")
			is.Equal(seen.states["engine-1"], peridotpath.StateLeaving)
			is.Equal(seen.states["engine-2"], peridotpath.StateLive)
			view.Report(at(12), "engine-1", peridotpath.Load{AsOf: test.reported, Leaving: test.leaving})
			is.Equal(seen.states["engine-1"], test.want)
			view.SetMembers(at(13), engines("engine-1", "engine-2"))
			is.Equal(seen.states["engine-1"], test.want) // whatever the list says
		})
	}
}

// An endpoint left, and another process takes its name at another address. The
// word of the old one must not keep the new one out of work.
func TestAnotherAddressIsAnotherProcess(t *testing.T) {
	is := is.New(t)
	view, seen := view(nil)
	view.SetMembers(start, engines("engine-1"))
	view.Refused(start, "engine-1")
	next := engines("engine-1")
	next[0].Address = netip.MustParseAddrPort("10.0.9.9:80")
	view.SetMembers(start.Add(time.Second), next)
	is.Equal(seen.states["engine-1"], peridotpath.StateLive)
}

// Two instances took themselves for the owner, and the older report of the two
// comes last.
func TestOlderReportIsDropped(t *testing.T) {
	is := is.New(t)
	view, seen := view(nil)
	view.SetMembers(start, engines("engine-1"))
	view.Report(start.Add(3*time.Second), "engine-1", peridotpath.Load{Running: 7, AsOf: start.Add(2 * time.Second)})
	view.Report(start.Add(3*time.Second), "engine-1", peridotpath.Load{Running: 1, AsOf: start.Add(time.Second)})
	is.Equal(seen.loads["engine-1"], 7)
	is.Equal(view.Age(start.Add(3*time.Second), "engine-1"), time.Second)
}

func TestDrainTakesOutOfPlacement(t *testing.T) {
	is := is.New(t)
	drained := map[peridotpath.EndpointID]bool{}
	view, seen := view(drained)
	view.SetMembers(start, engines("engine-1"))
	drained["engine-1"] = true
	view.Refresh(start)
	is.Equal(seen.states["engine-1"], peridotpath.StateLeaving)
	delete(drained, "engine-1")
	view.Refresh(start)
	is.Equal(seen.states["engine-1"], peridotpath.StateLive)
}
