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

// engines answer with their paces.
type engines struct {
	mutex sync.Mutex
	paces map[peridotpath.EndpointID]pace.Pace
	asked map[peridotpath.EndpointID]int
}

func (engines *engines) ask(_ context.Context, endpoint *peridotpath.Endpoint) (pace.Pace, error) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	engines.asked[endpoint.ID]++
	said, known := engines.paces[endpoint.ID]
	if !known {
		return 0, errors.New("away")
	}
	return said, nil
}

func (engines *engines) set(id peridotpath.EndpointID, said pace.Pace) {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	engines.paces[id] = said
}

func (engines *engines) count(id peridotpath.EndpointID) int {
	engines.mutex.Lock()
	defer engines.mutex.Unlock()
	return engines.asked[id]
}

func endpoint(number int) *peridotpath.Endpoint {
	return &peridotpath.Endpoint{ID: peridotpath.EndpointID(fmt.Sprintf("engine-%d", number)), Incarnation: 1}
}

// watched runs a watch for as long as work takes.
func watched(t *testing.T, mine bool, work func(is *is.I, engines *engines, watch *pace.Watch)) {
	virtual.Test(t, func(t *testing.T) {
		is := is.New(t)
		engines := &engines{paces: map[peridotpath.EndpointID]pace.Pace{}, asked: map[peridotpath.EndpointID]int{}}
		all := map[peridotpath.EndpointKey]*peridotpath.Endpoint{}
		for i := range 3 {
			all[endpoint(i).Key()] = endpoint(i)
		}
		watch := &pace.Watch{
			Facts: &facts.Table{}, Ask: engines.ask, Log: zerolog.Nop(),
			Find: func(key peridotpath.EndpointKey) *peridotpath.Endpoint { return all[key] },
			Mine: func(peridotpath.EndpointKey) bool { return mine },
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- watch.Run(ctx) }()
		work(is, engines, watch)
		cancel()
		is.True(errors.Is(<-ended, context.Canceled))
	})
}

// Many requests are overdue at the same engines. Each engine is asked once, those that are
// slow again until they are not, and nobody while nothing is overdue.
func TestOverdueEnginesAreAsked(t *testing.T) {
	watched(t, true, func(is *is.I, engines *engines, watch *pace.Watch) {
		engines.set("engine-0", 1)
		engines.set("engine-1", 3.6)
		time.Sleep(3 * time.Second)
		is.Equal(engines.count("engine-0"), 0)
		for range 20 {
			watch.Doubt(endpoint(0), endpoint(1), endpoint(2))
			time.Sleep(20 * time.Millisecond)
		}
		is.Equal(watch.Slow(time.Now()), map[peridotpath.EndpointKey]pace.Pace{endpoint(1).Key(): 3.6})
		is.Equal(len(watch.Facts.All(facts.KindPace, time.Now())), 1) // what is not slow is no news
		for number := range 3 {                                       // engine-2 answers nothing
			is.Equal(engines.count(endpoint(number).ID), 1)
		}
		time.Sleep(5 * time.Second)
		is.True(engines.count("engine-1") >= 4 && engines.count("engine-1") <= 6)
		is.Equal(engines.count("engine-0"), 1)
		engines.set("engine-1", 1)
		time.Sleep(2 * time.Second)
		is.Equal(len(watch.Slow(time.Now())), 0)
		before := engines.count("engine-1")
		time.Sleep(5 * time.Second)
		is.Equal(engines.count("engine-1"), before)
	})
}

// An engine that another instance looks after is forgotten when that one falls silent.
func TestPaceThatNobodyTellsAnyMore(t *testing.T) {
	watched(t, false, func(is *is.I, engines *engines, watch *pace.Watch) {
		engines.set("engine-1", 3.6)
		watch.Doubt(endpoint(1))
		time.Sleep(time.Second)
		is.Equal(len(watch.Slow(time.Now())), 1)
		time.Sleep(3 * time.Second)
		is.Equal(len(watch.Slow(time.Now())), 0)
		is.Equal(engines.count("engine-1"), 1)
	})
}

// Doubts come faster than engines answer; requests go on all the same.
func TestDoubtNeverWaits(t *testing.T) {
	is := is.New(t)
	watch := &pace.Watch{Facts: &facts.Table{}, Log: zerolog.Nop()}
	for range 1000 {
		watch.Doubt(endpoint(0))
	}
	is.Equal(len(watch.Slow(time.Now())), 0)
}
