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

// published records what a View publishes.
type published struct {
	states map[peridotpath.EndpointID]peridotpath.State
	loads  map[peridotpath.EndpointID]int
}

func newView(drained map[peridotpath.EndpointID]bool) (*fleet.View, *published) {
	seen := &published{loads: map[peridotpath.EndpointID]int{}}
	return &fleet.View{
		IsDrained: func(id peridotpath.EndpointID) bool { return drained[id] },
		OnChange: func(_ time.Time, endpoints []peridotpath.Endpoint) {
			seen.states = map[peridotpath.EndpointID]peridotpath.State{}
			for _, endpoint := range endpoints {
				seen.states[endpoint.ID] = endpoint.State
			}
		},
		OnLoad: func(_ time.Time, id peridotpath.EndpointID, load peridotpath.Load) { seen.loads[id] = load.Running },
	}, seen
}

// A membership service that has restarted returns an empty list for a while. The view must keep
// its endpoints, or every request would be refused.
func TestEmptyMembershipListIsIgnored(t *testing.T) {
	is := is.New(t)
	view, seen := newView(nil)
	view.SetMembers(start, engines("engine-1", "engine-2"))
	view.SetMembers(start.Add(time.Second), nil)
	is.Equal(seen.states["engine-1"], peridotpath.StateLive)
	view.SetMembers(start.Add(2*time.Second), engines("engine-1"))
	is.Equal(seen.states["engine-2"], peridotpath.StateLeaving) // no longer listed: no new work
	view.SetMembers(start.Add(time.Minute), engines("engine-1"))
	is.Equal(len(seen.states), 1)
	is.Equal(len(view.ListedEngines()), 1)
}

// A leaving engine refuses a request while a report from before the engine was leaving is still
// in transit through the engine's owner. The report must not override the refusal: the engine
// would again be sent requests, which it refuses.
func TestRefusalOverridesEarlierReports(t *testing.T) {
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	cases := []struct {
		name     string
		reported time.Time
		leaving  bool
		want     peridotpath.State
	}{
		{"report before the refusal", at(9.9), false, peridotpath.StateLeaving},
		{"report within the time error", at(10.5), false, peridotpath.StateLeaving},
		{"report after the refusal", at(11.5), false, peridotpath.StateLive},
		{"report that confirms the refusal", at(11.5), true, peridotpath.StateLeaving},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			view, seen := newView(nil)
			view.SetMembers(start, engines("engine-1", "engine-2"))
			view.RecordRefusal(at(10), "engine-1")
			is.Equal(seen.states["engine-1"], peridotpath.StateLeaving)
			is.Equal(seen.states["engine-2"], peridotpath.StateLive)
			view.ApplyReport(at(12), "engine-1", peridotpath.Load{AsOf: test.reported, Leaving: test.leaving})
			is.Equal(seen.states["engine-1"], test.want)
			view.SetMembers(at(13), engines("engine-1", "engine-2"))
			is.Equal(seen.states["engine-1"], test.want) // the membership list does not override it
		})
	}
}

// Another process takes over the id of an endpoint that has left, at another address. The
// refusal of the old process must not apply to the new one.
func TestNewAddressResetsEndpointState(t *testing.T) {
	is := is.New(t)
	view, seen := newView(nil)
	view.SetMembers(start, engines("engine-1"))
	view.RecordRefusal(start, "engine-1")
	next := engines("engine-1")
	next[0].Address = netip.MustParseAddrPort("10.0.9.9:80")
	view.SetMembers(start.Add(time.Second), next)
	is.Equal(seen.states["engine-1"], peridotpath.StateLive)
}

// Two instances both act as owner of an endpoint, and the older of their reports arrives last.
// The older report must be dropped.
func TestOlderReportIsDropped(t *testing.T) {
	is := is.New(t)
	view, seen := newView(nil)
	view.SetMembers(start, engines("engine-1"))
	view.ApplyReport(start.Add(3*time.Second), "engine-1", peridotpath.Load{Running: 7, AsOf: start.Add(2 * time.Second)})
	view.ApplyReport(start.Add(3*time.Second), "engine-1", peridotpath.Load{Running: 1, AsOf: start.Add(time.Second)})
	is.Equal(seen.loads["engine-1"], 7)
	is.Equal(view.ReportAge(start.Add(3*time.Second), "engine-1"), time.Second)
}

func TestDrainedEndpointIsPublishedAsLeaving(t *testing.T) {
	is := is.New(t)
	drained := map[peridotpath.EndpointID]bool{}
	view, seen := newView(drained)
	view.SetMembers(start, engines("engine-1"))
	drained["engine-1"] = true
	view.Republish(start)
	is.Equal(seen.states["engine-1"], peridotpath.StateLeaving)
	delete(drained, "engine-1")
	view.Republish(start)
	is.Equal(seen.states["engine-1"], peridotpath.StateLive)
}
