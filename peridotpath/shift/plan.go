package shift

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/order"
)

// Engine is one engine as a plan sees it.
type Engine struct {
	ID peridotpath.EndpointID
	// Wanted is the role that is in force; empty stands for serve.
	Wanted order.Role
	// Actual is what the engine says it is; its role is empty while it does not
	// answer.
	Actual order.State
	// Answered says that the engine answered just now, Alive that it is on the
	// membership list, not leaving, and answered of late.
	Answered, Alive bool
	// Held is the KV memory that its streams hold, of KVTokens.
	Held, KVTokens peridotpath.Tokens
	// PrefillPerS is its prompt rate.
	PrefillPerS peridotpath.Tokens
}

// Need says what prompts beyond one engine ask for.
type Need struct {
	// Longest is the most tokens that one prompt with its answer may take, by
	// the profiles of the service.
	Longest peridotpath.Tokens
	// PerS is their demand in tokens a second.
	PerS float64
	// Idle is how long none has come.
	Idle time.Duration
	// Sites are the data centres that have engines of the service, and Here is
	// the one that the plan is for.
	Sites []Site
	Here  peridotpath.DataCentre
}

// asks reports whether there is demand that a group could be formed for.
func (need *Need) asks(limits Limits) bool { return need.Idle < limits.Hold && need.PerS > 0 }

// Site is a data centre with its live engines of a service.
type Site struct {
	DataCentre peridotpath.DataCentre
	Engines    int
}

// Limits bound what a plan may do.
type Limits struct {
	// Hold is how long a group stays without demand. Forming one drains its
	// members, which costs their work for tens of seconds; a group that came
	// and went with every prompt would cost more than it serves.
	Hold time.Duration
}

// Move is one change of role, with its reason for the log and for operators.
type Move struct {
	Endpoint peridotpath.EndpointID
	Role     order.Role
	Reason   string
}

// Plan returns the next moves. It is a function of what is in force and what
// is seen, and keeps nothing: a new holder of the lease goes on where the last
// one was frozen or died, at whatever step.
//
// A group forms in steps, each after the last has shown: its members drain,
// they turn over their memory, the leader begins to serve. So a group is
// reserved whole before it serves, and two groups cannot hold half each. Only
// one group forms or dissolves at a time, which bounds the engines that are
// out of work.
func Plan(engines []Engine, need Need, limits Limits) []Move {
	plan := &plan{engines: map[peridotpath.EndpointID]*Engine{}, need: need, limits: limits}
	for i := range engines {
		plan.engines[engines[i].ID] = &engines[i]
		plan.order = append(plan.order, engines[i].ID)
	}
	slices.Sort(plan.order)
	if moves := plan.repair(); len(moves) > 0 {
		return moves
	}
	if moves, underWay := plan.goOn(); underWay {
		return moves
	}
	return plan.resize()
}

type plan struct {
	engines map[peridotpath.EndpointID]*Engine
	order   []peridotpath.EndpointID
	need    Need
	limits  Limits
}

// group is the engines that are wanted in one group, the leader first.
type group struct {
	leader  peridotpath.EndpointID
	engines []peridotpath.EndpointID
}

// groups returns the groups that are wanted, by leader.
func (plan *plan) groups() []group {
	byLeader := map[peridotpath.EndpointID][]peridotpath.EndpointID{}
	for _, id := range plan.order {
		wanted := parseRole(plan.engines[id].Wanted)
		switch wanted.duty {
		case lead, closing:
			byLeader[id] = append([]peridotpath.EndpointID{id}, byLeader[id]...)
		case drain, member:
			leader := wanted.leader()
			byLeader[leader] = append(byLeader[leader], id)
		}
	}
	var groups []group
	for leader, engines := range byLeader {
		slices.SortStableFunc(engines, func(a, b peridotpath.EndpointID) int {
			return cmp.Compare(boolInt(a != leader), boolInt(b != leader))
		})
		groups = append(groups, group{leader: leader, engines: engines})
	}
	slices.SortFunc(groups, func(a, b group) int { return cmp.Compare(a.leader, b.leader) })
	return groups
}

func boolInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// repair takes apart every group that has lost an engine: its pooled memory is
// not whole, and what it ran is lost. Its engines are of use again at once.
func (plan *plan) repair() []Move {
	var moves []Move
	for _, group := range plan.groups() {
		if lost := plan.lost(group); lost != "" {
			moves = append(moves, plan.all(group, serve, "lost "+string(lost))...)
		}
	}
	return moves
}

// lost names an engine of the group that is no longer there.
func (plan *plan) lost(group group) peridotpath.EndpointID {
	leader := plan.engines[group.leader]
	if leader == nil || !leader.Alive {
		return group.leader
	}
	for _, id := range group.engines {
		if !plan.engines[id].Alive {
			return id
		}
	}
	wanted := parseRole(leader.Wanted)
	for _, id := range wanted.of {
		if wanted.duty != drain && (plan.engines[id] == nil || parseRole(plan.engines[id].Wanted).leader() != group.leader) {
			return id
		}
	}
	return ""
}

// all gives the same duty to all live engines of a group.
func (plan *plan) all(group group, duty duty, reason string) []Move {
	var moves []Move
	for _, id := range group.engines {
		if plan.engines[id] != nil {
			moves = append(moves, Move{Endpoint: id, Role: roleOf(duty), Reason: reason})
		}
	}
	return moves
}

// goOn takes the next step of the group that is forming or dissolving. It
// reports whether there is one, even when nothing can be done yet.
func (plan *plan) goOn() ([]Move, bool) {
	for _, group := range plan.groups() {
		switch parseRole(plan.engines[group.leader].Wanted).duty {
		case drain:
			return plan.form(group), true
		case closing:
			return plan.dissolve(group), true
		case lead:
			if plan.engines[group.leader].Actual.Role != plan.engines[group.leader].Wanted {
				return nil, true
			}
		}
	}
	return nil, false
}

// form takes a forming group's next step.
func (plan *plan) form(group group) []Move {
	members := group.engines[1:]
	for _, id := range group.engines {
		engine := plan.engines[id]
		if engine.Actual.Role != engine.Wanted || engine.Held > 0 {
			return nil
		}
	}
	if allAre(plan, members, member) {
		return []Move{{Endpoint: group.leader, Role: roleOf(lead, members...), Reason: "its members are ready"}}
	}
	var moves []Move
	for _, id := range members {
		moves = append(moves, Move{Endpoint: id, Role: roleOf(member, group.leader), Reason: "it has finished its work"})
	}
	return moves
}

func allAre(plan *plan, ids []peridotpath.EndpointID, duty duty) bool {
	for _, id := range ids {
		if parseRole(plan.engines[id].Wanted).duty != duty {
			return false
		}
	}
	return true
}

// dissolve lets the members of a closing group go once it runs nothing more.
func (plan *plan) dissolve(group group) []Move {
	leader := plan.engines[group.leader]
	if leader.Actual.Role != leader.Wanted || leader.Held > 0 {
		return nil
	}
	return plan.all(group, serve, "its group has finished")
}

// resize begins to form a group when there are too few, or to dissolve one
// when there are too many.
func (plan *plan) resize() []Move {
	groups := plan.groups()
	wanted := plan.wantedGroups()
	switch {
	case len(groups) < wanted:
		return plan.begin(len(groups), wanted)
	case len(groups) > wanted:
		last := groups[len(groups)-1]
		reason := fmt.Sprintf("%d groups, %d wanted", len(groups), wanted)
		members := parseRole(plan.engines[last.leader].Wanted).of
		return []Move{{Endpoint: last.leader, Role: roleOf(closing, members...), Reason: reason}}
	default:
		return nil
	}
}

// begin has the engines drain that are soonest empty.
func (plan *plan) begin(existing, wanted int) []Move {
	var free []*Engine
	for _, id := range plan.order {
		engine := plan.engines[id]
		serving := parseRole(engine.Wanted).duty == serve && parseRole(engine.Actual.Role).duty == serve
		if engine.Alive && engine.Answered && serving {
			free = append(free, engine)
		}
	}
	size := plan.groupSize()
	if len(free) < size {
		return nil
	}
	slices.SortStableFunc(free, func(a, b *Engine) int { return cmp.Compare(a.Held, b.Held) })
	leader := free[0].ID
	reason := fmt.Sprintf("%d groups of %d engines, %d wanted", existing, size, wanted)
	var moves []Move
	for _, engine := range free[:size] {
		moves = append(moves, Move{Endpoint: engine.ID, Role: roleOf(drain, leader), Reason: reason})
	}
	return moves
}
