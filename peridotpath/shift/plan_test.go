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
	kvTokensPerEngine = 400_000
	prefillPerS       = 100_000
	maxPromptTokens   = 1_100_000
	planInterval      = 2 * time.Second
	idleTimeout       = 10 * time.Minute
)

// fleet is a set of engines that take their desired roles one step later.
type fleet struct {
	engines   []Engine
	demand    Demand
	moveCount int
	// groupsBegun counts the groups that started to form.
	groupsBegun int
}

func newFleet(count int) *fleet {
	fleet := &fleet{demand: Demand{
		MaxPromptTokens: maxPromptTokens, DataCentre: "colombo-a",
		Sites: []Site{{DataCentre: "colombo-a", Engines: count}},
	}}
	for i := range count {
		fleet.engines = append(fleet.engines, Engine{
			ID: peridotpath.EndpointID(fmt.Sprintf("e%d", i)), ActualState: order.State{Role: "serve"},
			Responded: true, Alive: true, KVTokens: kvTokensPerEngine, PrefillPerS: prefillPerS,
		})
	}
	return fleet
}

// step lets the engines take their desired roles, then applies the next plan.
func (fleet *fleet) step() []RoleChange {
	for i := range fleet.engines {
		engine := &fleet.engines[i]
		if engine.DesiredRole != "" && engine.Responded {
			engine.ActualState.Role = engine.DesiredRole
		}
		if duty := parseRole(engine.ActualState.Role).duty; duty != dutyServe && duty != dutyLead {
			engine.UsedKV = max(engine.UsedKV-kvTokensPerEngine/10, 0)
		}
	}
	moves := Plan(fleet.engines, fleet.demand, Limits{GroupIdleTimeout: idleTimeout})
	for _, move := range moves {
		fleet.engine(move.Endpoint).DesiredRole = move.Role
		if parseRole(move.Role).duty == dutyDrain && parseRole(move.Role).leader() == move.Endpoint {
			fleet.groupsBegun++
		}
	}
	fleet.moveCount += len(moves)
	return moves
}

func (fleet *fleet) run(span time.Duration) {
	for range span / planInterval {
		fleet.step()
		fleet.demand.IdleTime += planInterval
	}
}

func (fleet *fleet) engine(id peridotpath.EndpointID) *Engine {
	i := slices.IndexFunc(fleet.engines, func(engine Engine) bool { return engine.ID == id })
	return &fleet.engines[i]
}

func (fleet *fleet) countDuty(duty duty) int {
	count := 0
	for _, engine := range fleet.engines {
		if parseRole(engine.DesiredRole).duty == duty {
			count++
		}
	}
	return count
}

// setDemand sets the demand in tokens a second.
func (fleet *fleet) setDemand(perS float64) {
	fleet.demand.TokensPerSecond, fleet.demand.IdleTime = perS, 0
}

// TestGroupFormsAfterMembersDrain checks the forming of a group while all
// engines are busy: its engines must finish their running requests first, and the
// leader must not serve before all members have reserved their memory.
func TestGroupFormsAfterMembersDrain(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(5)
	for i := range fleet.engines {
		fleet.engines[i].UsedKV = peridotpath.Tokens(kvTokensPerEngine * (i + 1) / 6)
	}
	fleet.setDemand(1000)
	fleet.step()
	is.Equal(fleet.countDuty(dutyDrain), 3)
	is.Equal(parseRole(fleet.engine("e0").DesiredRole).duty, dutyDrain) // the emptiest
	is.Equal(parseRole(fleet.engine("e4").DesiredRole).duty, dutyServe) // the fullest
	for range 100 {
		for _, move := range fleet.step() {
			if parseRole(move.Role).duty != dutyLead {
				is.Equal(fleet.engine(move.Endpoint).UsedKV, peridotpath.Tokens(0))
				continue
			}
			is.Equal(move.Role, order.Role("lead/e1,e2"))
			for _, id := range []peridotpath.EndpointID{"e1", "e2"} {
				is.Equal(fleet.engine(id).ActualState.Role, order.Role("member/e0"))
			}
		}
	}
	is.Equal(fleet.countDuty(dutyLead), 1)
	is.Equal(fleet.countDuty(dutyServe), 2)
}

// TestGroupCountHasHysteresis checks the hysteresis: demand oscillates about the
// boundary between one group and two for an hour, then ends. If groups followed each
// swing, their engines would drain for tens of seconds each time, without serving
// short prompts.
func TestGroupCountHasHysteresis(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(10)
	boundary := targetUtilisation * 3 * prefillPerS
	for i := range 60 {
		fleet.setDemand(boundary * (0.95 + 0.1*float64(i%2)))
		fleet.run(time.Minute)
	}
	is.Equal(fleet.groupsBegun, 2)
	is.Equal(fleet.countDuty(dutyLead), 2)
	fleet.demand.TokensPerSecond = 0
	fleet.run(idleTimeout - time.Minute)
	is.Equal(fleet.countDuty(dutyLead), 2)
	fleet.run(5 * time.Minute)
	is.Equal(fleet.countDuty(dutyServe), 10)
	moves := fleet.moveCount
	fleet.run(time.Hour)
	is.Equal(fleet.moveCount, moves)
}

// TestClosingGroupDrainsFirst checks that a group whose demand has ended is not
// dissolved while its last prompt still runs.
func TestClosingGroupDrainsFirst(t *testing.T) {
	is := is.New(t)
	fleet := newFleet(4)
	fleet.setDemand(1000)
	for range 6 {
		fleet.step()
	}
	is.Equal(fleet.countDuty(dutyLead), 1)
	leader := fleet.engine("e0")
	leader.UsedKV = 3 * kvTokensPerEngine
	fleet.demand.TokensPerSecond, fleet.demand.IdleTime = 0, idleTimeout
	for fleet.step(); leader.UsedKV > 0; fleet.step() {
		is.Equal(fleet.countDuty(dutyMember), 2)
	}
	is.Equal(fleet.countDuty(dutyServe), 4)
}

// TestLostEngineDissolvesGroup lets one engine of a group die at each step of its
// forming and dissolving. The others must return to service instead of keeping
// their memory reserved.
func TestLostEngineDissolvesGroup(t *testing.T) {
	for steps := 1; steps < 8; steps++ {
		for _, dies := range []peridotpath.EndpointID{"e0", "e1", "e2"} {
			t.Run(fmt.Sprintf("%s after %d steps", dies, steps), func(t *testing.T) {
				is := is.New(t)
				fleet := newFleet(4)
				fleet.setDemand(1000)
				for range steps {
					fleet.step()
				}
				fleet.demand.TokensPerSecond, fleet.demand.IdleTime = 0, idleTimeout
				lost := fleet.engine(dies)
				lost.Alive, lost.Responded = false, false
				for range 4 {
					fleet.step()
				}
				is.Equal(fleet.countDuty(dutyServe), 4)
			})
		}
	}
}

// TestMinServingEngines checks that at any demand a quarter of the engines, and at
// least one, serve short prompts, and that a fleet that is too small forms no group.
func TestMinServingEngines(t *testing.T) {
	for count, want := range map[int]int{1: 1, 2: 2, 3: 3, 4: 1, 7: 4, 14: 5, 20: 5} {
		is := is.New(t)
		fleet := newFleet(count)
		fleet.setDemand(100 * prefillPerS)
		for range 200 {
			fleet.step()
		}
		is.Equal(fleet.countDuty(dutyServe), want)
	}
}

// TestAllotmentIsDeterministic checks that the allotment of groups to data centres does not
// depend on the order of the list, so that all compute the same one.
func TestAllotmentIsDeterministic(t *testing.T) {
	is := is.New(t)
	sites := []Site{{"kelaniya-c", 4}, {"colombo-a", 5}, {"negombo-b", 5}}
	is.Equal(allotGroups(1, 3, sites), map[peridotpath.DataCentre]int{"colombo-a": 1})
	slices.Reverse(sites)
	is.Equal(allotGroups(2, 3, sites), map[peridotpath.DataCentre]int{"colombo-a": 1, "negombo-b": 1})
	is.Equal(allotGroups(9, 3, sites), map[peridotpath.DataCentre]int{"colombo-a": 1, "negombo-b": 1, "kelaniya-c": 1})
	is.Equal(len(allotGroups(9, 1, sites)), 0)
}

// TestPlansUnderRandomEvents makes plans after random events: engines die, return,
// stop responding and run requests, and demand starts and ends, as also happens when the
// lease changes its holder. No engine may be in two groups or lead without its
// members' memory, and without further events the moves must stop.
func TestPlansUnderRandomEvents(t *testing.T) {
	const seeds = 5
	soak.Check(t, seeds, func(t *rapid.T) {
		fleet := newFleet(rapid.IntRange(1, 9).Draw(t, "engines"))
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			engine := &fleet.engines[rapid.IntRange(0, len(fleet.engines)-1).Draw(t, "engine")]
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				engine.Alive, engine.Responded = false, false
				engine.ActualState.Role, engine.UsedKV = "serve", 0
			case 1:
				engine.Alive, engine.Responded = true, true
			case 2:
				engine.Responded = !engine.Responded && engine.Alive
			case 3:
				fleet.setDemand(float64(rapid.IntRange(0, 3).Draw(t, "groups")) * prefillPerS)
			case 4:
				fleet.demand.TokensPerSecond, fleet.demand.IdleTime = 0, idleTimeout
			case 5:
				if duty := parseRole(engine.ActualState.Role).duty; duty == dutyServe || duty == dutyLead {
					engine.UsedKV = kvTokensPerEngine
				}
			}
			checkMoves(t, fleet, fleet.step())
		}
		checkSettles(t, fleet)
	})
}

func checkMoves(t *rapid.T, fleet *fleet, moves []RoleChange) {
	for _, move := range moves {
		if role := parseRole(move.Role); role.duty == dutyLead {
			for _, id := range role.engines {
				if got := parseRole(fleet.engine(id).ActualState.Role); got.duty != dutyMember || got.leader() != move.Endpoint {
					t.Fatalf("%s leads while %s is %s", move.Endpoint, id, fleet.engine(id).ActualState.Role)
				}
			}
		}
	}
	in := map[peridotpath.EndpointID]peridotpath.EndpointID{}
	for _, engine := range fleet.engines {
		if desired := parseRole(engine.DesiredRole); desired.duty == dutyLead || desired.duty == dutyClose {
			for _, id := range desired.engines {
				if other, taken := in[id]; taken {
					t.Fatalf("%s is in the groups of %s and %s", id, other, engine.ID)
				}
				in[id] = engine.ID
			}
		}
	}
}

// checkSettles makes all engines live and idle, ends the demand, and checks that the
// moves stop with all engines serving.
func checkSettles(t *rapid.T, fleet *fleet) {
	for i := range fleet.engines {
		fleet.engines[i].Alive, fleet.engines[i].Responded, fleet.engines[i].UsedKV = true, true, 0
	}
	fleet.demand.TokensPerSecond, fleet.demand.IdleTime = 0, idleTimeout
	for range 30 {
		fleet.step()
	}
	if fleet.countDuty(dutyServe) != len(fleet.engines) || len(fleet.step()) > 0 {
		t.Fatalf("not settled: %v", fleet.engines)
	}
}
