package pace_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/pace"
)

// fakeEngines answers probes with set slowdowns and counts the probes.
type fakeEngines struct {
	mutex     sync.Mutex
	slowdowns map[peridotpath.EndpointID]pace.Slowdown
	probes    map[peridotpath.EndpointID]int
}

func (fakeEngines *fakeEngines) probe(_ context.Context, endpoint *peridotpath.Endpoint) (pace.Slowdown, error) {
	fakeEngines.mutex.Lock()
	defer fakeEngines.mutex.Unlock()
	fakeEngines.probes[endpoint.ID]++
	slowdown, known := fakeEngines.slowdowns[endpoint.ID]
	if !known {
		return 0, errors.New("engine unreachable")
	}
	return slowdown, nil
}

func (fakeEngines *fakeEngines) set(id peridotpath.EndpointID, slowdown pace.Slowdown) {
	fakeEngines.mutex.Lock()
	defer fakeEngines.mutex.Unlock()
	fakeEngines.slowdowns[id] = slowdown
}

func (fakeEngines *fakeEngines) probeCount(id peridotpath.EndpointID) int {
	fakeEngines.mutex.Lock()
	defer fakeEngines.mutex.Unlock()
	return fakeEngines.probes[id]
}

func endpoint(number int) *peridotpath.Endpoint {
	return &peridotpath.Endpoint{ID: peridotpath.EndpointID(fmt.Sprintf("engine-%d", number)), Incarnation: 1}
}

// withProber runs a prober for the duration of scenario.
func withProber(t *testing.T, isOwner bool, scenario func(is *is.I, engines *fakeEngines, prober *pace.Prober)) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := &fakeEngines{slowdowns: map[peridotpath.EndpointID]pace.Slowdown{}, probes: map[peridotpath.EndpointID]int{}}
		all := map[peridotpath.EndpointKey]*peridotpath.Endpoint{}
		for i := range 3 {
			all[endpoint(i).Key()] = endpoint(i)
		}
		prober := &pace.Prober{
			Facts: &facts.Table{}, FetchSlowdown: engines.probe, Log: zerolog.Nop(),
			FindEndpoint: func(key peridotpath.EndpointKey) *peridotpath.Endpoint { return all[key] },
			OwnsEndpoint: func(peridotpath.EndpointKey) bool { return isOwner },
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- prober.Run(ctx) }()
		scenario(is, engines, prober)
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}

// Many requests are overdue at the same engines. Each engine must be probed once, and a
// slow one repeatedly until it has recovered. No engine may be probed while no request is
// overdue.
func TestOverdueEnginesAreProbed(t *testing.T) {
	withProber(t, true, func(is *is.I, engines *fakeEngines, prober *pace.Prober) {
		engines.set("engine-0", 1)
		engines.set("engine-1", 3.6)
		time.Sleep(3 * time.Second)
		is.Equal(engines.probeCount("engine-0"), 0)
		for range 20 {
			prober.ProbeOverdue(endpoint(0), endpoint(1), endpoint(2))
			time.Sleep(20 * time.Millisecond)
		}
		is.Equal(prober.SlowEngines(time.Now()), map[peridotpath.EndpointKey]pace.Slowdown{endpoint(1).Key(): 3.6})
		is.Equal(len(prober.Facts.ByKind(facts.KindSlowdown, time.Now())), 1) // an engine that is not slow is not gossiped
		for number := range 3 {                                               // engine-2 does not answer
			is.Equal(engines.probeCount(endpoint(number).ID), 1)
		}
		time.Sleep(5 * time.Second)
		is.True(engines.probeCount("engine-1") >= 4 && engines.probeCount("engine-1") <= 6)
		is.Equal(engines.probeCount("engine-0"), 1)
		engines.set("engine-1", 1)
		time.Sleep(2 * time.Second)
		is.Equal(len(prober.SlowEngines(time.Now())), 0)
		before := engines.probeCount("engine-1")
		time.Sleep(5 * time.Second)
		is.Equal(engines.probeCount("engine-1"), before)
	})
}

// The slowdown of an engine that another instance owns must expire when that instance stops
// reporting it.
func TestSlowdownExpiresWithoutReports(t *testing.T) {
	withProber(t, false, func(is *is.I, engines *fakeEngines, prober *pace.Prober) {
		engines.set("engine-1", 3.6)
		prober.ProbeOverdue(endpoint(1))
		time.Sleep(time.Second)
		is.Equal(len(prober.SlowEngines(time.Now())), 1)
		time.Sleep(3 * time.Second)
		is.Equal(len(prober.SlowEngines(time.Now())), 0)
		is.Equal(engines.probeCount("engine-1"), 1)
	})
}

// Overdue requests are reported faster than probes run. A report must not block the request
// that makes it.
func TestReportingOverdueEnginesNeverBlocks(t *testing.T) {
	is := is.New(t)
	prober := &pace.Prober{Facts: &facts.Table{}, Log: zerolog.Nop()}
	for range 1000 {
		prober.ProbeOverdue(endpoint(0))
	}
	is.Equal(len(prober.SlowEngines(time.Now())), 0)
}
