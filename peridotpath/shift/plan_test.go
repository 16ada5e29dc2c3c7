package shift

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/soak"
	"peridotpath.example/peridotpath/order"
)

const (
	memory  = 400_000
	rate    = 100_000
	longest = 1_100_000
	step    = 2 * time.Second
	hold    = 10 * time.Minute
)

// fleet is engines that follow the roles wanted of them, one step late.
type fleet struct {
	engines []Engine
	need    Need
	moves   int
	// begun counts the groups that began to form.
	begun int
}

func newFleet(count int) *fleet {
	fleet := &fleet{need: Need{
		Longest: longest, Here: "colombo-a",
		Sites: []Site{{DataCentre: "colombo-a", Engines: count}},
	}}
	for i := range count {
		fleet.engines = append(fleet.engines, Engine{
			ID: peridotpath.EndpointID(fmt.Sprintf("e%d", i)), Actual: order.State{Role: "serve"},
			Answered: true, Alive: true, KVTokens: memory, PrefillPerS: rate,
		})
	}
	return fleet
}

// step has the engines follow, and puts the next plan in force.
func (fleet *fleet) step() []Move {
	for i := range fleet.engines {
		engine := &fleet.engines[i]
		if engine.Wanted != "" && engine.Answered {
			engine.Actual.Role = engine.Wanted
		}
		if duty := parseRole(engine.Actual.Role).duty; duty != serve && duty != lead {
			engine.Held = max(engine.Held-memory/10, 0)
		}
	}
	moves := Plan(fleet.engines, fleet.need, Limits{Hold: hold})
	for _, move := range moves {
		fleet.of(move.Endpoint).Wanted = move.Role
		if parseRole(move.Role).duty == drain && parseRole(move.Role).leader() == move.Endpoint {
			fleet.begun++
		}
	}
	fleet.moves += len(moves)
	return moves
}

func (fleet *fleet) run(span time.Duration) {
	for range span / step {
		fleet.step()
		fleet.need.Idle += step
	}
}

func (fleet *fleet) of(id peridotpath.EndpointID) *Engine {
	i := slices.IndexFunc(fleet.engines, func(engine Engine) bool { return engine.ID == id })
	return &fleet.engines[i]
}

func (fleet *fleet) count(duty duty) int {
	count := 0
	for _, engine := range fleet.engines {
		if parseRole(engine.Wanted).duty == duty {
			count++
		}
	}
	return count
}

// demand makes prompts of a million tokens come at the rate.
func (fleet *fleet) demand(perS float64) { fleet.need.PerS, fleet.need.Idle = perS, 0 }

// TestGroupFormsOnceItsMembersHaveFinished: a volume is sent while all engines
// run folios. The engines drawn into the group must finish those first, and
// the leader must not serve before all memory is there.
func TestGroupFormsOnceItsMembersHaveFinished(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(5)
	for i := range fleet.engines {
		fleet.engines[i].Held = peridotpath.Tokens(memory * (i + 1) / 6)
	}
	fleet.demand(1000)
	fleet.step()
	is.Equal(fleet.count(drain), 3)
	is.Equal(parseRole(fleet.of("e0").Wanted).duty, drain) // the emptiest
	is.Equal(parseRole(fleet.of("e4").Wanted).duty, serve) // the fullest
	for range 100 {
		for _, move := range fleet.step() {
			if parseRole(move.Role).duty != lead {
				is.Equal(fleet.of(move.Endpoint).Held, peridotpath.Tokens(0))
				continue
			}
			is.Equal(move.Role, order.Role("lead/e1,e2"))
			for _, id := range []peridotpath.EndpointID{"e1", "e2"} {
				is.Equal(fleet.of(id).Actual.Role, order.Role("member/e0"))
			}
		}
	}
	is.Equal(fleet.count(lead), 1)
	is.Equal(fleet.count(serve), 2)
}

// TestGroupGoesWithItsDemandOnly has demand swing about the boundary between
// one group and two for an hour, then end. Engines that are drawn in and let go
// with each swing drain for tens of seconds each time, and short work pays.
func TestGroupGoesWithItsDemandOnly(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(10)
	boundary := groupLoad * 3 * rate
	for i := range 60 {
		fleet.demand(boundary * (0.95 + 0.1*float64(i%2)))
		fleet.run(time.Minute)
	}
	is.Equal(fleet.begun, 2)
	is.Equal(fleet.count(lead), 2)
	fleet.need.PerS = 0
	fleet.run(hold - time.Minute)
	is.Equal(fleet.count(lead), 2)
	fleet.run(5 * time.Minute)
	is.Equal(fleet.count(serve), 10)
	moves := fleet.moves
	fleet.run(time.Hour)
	is.Equal(fleet.moves, moves)
}

// TestDissolvedGroupFinishesFirst: demand has ended, but the last volume is
// still being read. Its group must not be taken apart under it.
func TestDissolvedGroupFinishesFirst(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(4)
	fleet.demand(1000)
	for range 6 {
		fleet.step()
	}
	is.Equal(fleet.count(lead), 1)
	leader := fleet.of("e0")
	leader.Held = 3 * memory
	fleet.need.PerS, fleet.need.Idle = 0, hold
	for fleet.step(); leader.Held > 0; fleet.step() {
		is.Equal(fleet.count(member), 2)
	}
	is.Equal(fleet.count(serve), 4)
}

// TestLostEngineFreesTheOthers: one engine of a group dies at each step of the
// group's life. The others must not stay behind with their memory set aside.
func TestLostEngineFreesTheOthers(t *testing.T) {
	for steps := 1; steps < 8; steps++ {
		for _, dies := range []peridotpath.EndpointID{"e0", "e1", "e2"} {
			t.Run(fmt.Sprintf("%s after %d steps", dies, steps), func(t *testing.T) {
				is := is.New(t)
				fleet := newFleet(4)
				fleet.demand(1000)
				for range steps {
					fleet.step()
				}
				fleet.need.PerS, fleet.need.Idle = 0, hold
				lost := fleet.of(dies)
				lost.Alive, lost.Answered = false, false
				for range 4 {
					fleet.step()
				}
				is.Equal(fleet.count(serve), 4)
			})
		}
	}
}

// TestServiceKeepsEngines: whatever the demand, a quarter of the engines, and
// one at least, go on serving short work; a fleet too small forms no group.
func TestServiceKeepsEngines(t *testing.T) {
	for count, want := range map[int]int{1: 1, 2: 2, 3: 3, 4: 1, 7: 4, 14: 5, 20: 5} {
		is := is.New(t)
		fleet := newFleet(count)
		fleet.demand(100 * rate)
		for range 200 {
			fleet.step()
		}
		is.Equal(fleet.count(serve), want)
	}
}

// TestDataCentresAgree: every data centre computes the same division of the
// groups without a word from the others.
func TestDataCentresAgree(t *testing.T) {
	is := is.New(t)
	sites := []Site{{"kelaniya-c", 4}, {"colombo-a", 5}, {"negombo-b", 5}}
	is.Equal(allot(1, 3, sites), map[peridotpath.DataCentre]int{"colombo-a": 1})
	slices.Reverse(sites)
	is.Equal(allot(2, 3, sites), map[peridotpath.DataCentre]int{"colombo-a": 1, "negombo-b": 1})
	is.Equal(allot(9, 3, sites), map[peridotpath.DataCentre]int{"colombo-a": 1, "negombo-b": 1, "kelaniya-c": 1})
	is.Equal(len(allot(9, 1, sites)), 0)
}

// TestPlansInAnyOrderOfEvents has engines die, return, answer late and run
// work, demand come and go, and plans made at any of these moments, as when
// the lease changes hands. No engine may be in two groups, none may lead
// without its members' memory, and once all is quiet nothing may move.
func TestPlansInAnyOrderOfEvents(t *testing.T) {
	const seeds = 5
	soak.Check(t, seeds, func(t *rapid.T) {
		fleet := newFleet(rapid.IntRange(1, 9).Draw(t, "engines"))
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			engine := &fleet.engines[rapid.IntRange(0, len(fleet.engines)-1).Draw(t, "engine")]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				engine.Alive, engine.Answered = false, false
				engine.Actual.Role, engine.Held = "serve", 0
			case 1:
				engine.Alive, engine.Answered = true, true
			case 2:
				engine.Answered = !engine.Answered && engine.Alive
			case 3:
				fleet.demand(float64(rapid.IntRange(0, 3).Draw(t, "groups")) * rate)
			case 4:
				fleet.need.PerS, fleet.need.Idle = 0, hold
			case 5:
				if duty := parseRole(engine.Actual.Role).duty; duty == serve || duty == lead {
					engine.Held = memory
				}
			}
			check(t, fleet, fleet.step())
		}
		settle(t, fleet)
	})
}

func check(t *rapid.T, fleet *fleet, moves []Move) {
	for _, move := range moves {
		if role := parseRole(move.Role); role.duty == lead {
			for _, id := range role.of {
				if got := parseRole(fleet.of(id).Actual.Role); got.duty != member || got.leader() != move.Endpoint {
					t.Fatalf("%s leads while %s is %s", move.Endpoint, id, fleet.of(id).Actual.Role)
				}
			}
		}
	}
	in := map[peridotpath.EndpointID]peridotpath.EndpointID{}
	for _, engine := range fleet.engines {
		if wanted := parseRole(engine.Wanted); wanted.duty == lead || wanted.duty == closing {
			for _, id := range wanted.of {
				if other, taken := in[id]; taken {
					t.Fatalf("%s is in the groups of %s and %s", id, other, engine.ID)
				}
				in[id] = engine.ID
			}
		}
	}
}

// settle lets everything come back and be quiet.
func settle(t *rapid.T, fleet *fleet) {
	for i := range fleet.engines {
		fleet.engines[i].Alive, fleet.engines[i].Answered, fleet.engines[i].Held = true, true, 0
	}
	fleet.need.PerS, fleet.need.Idle = 0, hold
	for range 30 {
		fleet.step()
	}
	if fleet.count(serve) != len(fleet.engines) || len(fleet.step()) > 0 {
		t.Fatalf("not settled: %v", fleet.engines)
	}
}
