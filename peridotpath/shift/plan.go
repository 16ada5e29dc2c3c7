package shift

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/order"
)

// Engine is the state of one engine as input of a plan.
type Engine struct {
	ID peridotpath.EndpointID
	// DesiredRole is the desired role; empty means serve.
	DesiredRole order.Role
	// ActualState is the state that the engine reports; its role is empty while the
	// engine does not respond.
	ActualState order.State
	// Responded reports whether the engine responded to the last read, Alive
	// whether it is live on the membership list and responded to a recent read.
	Responded, Alive bool
	// UsedKV is the KV memory that the engine's streams use, of KVTokens.
	UsedKV, KVTokens peridotpath.Tokens
	// PrefillPerS is the prefill rate in tokens a second.
	PrefillPerS peridotpath.Tokens
}

// Demand is the demand of prompts that are too long for one engine.
type Demand struct {
	// MaxPromptTokens is the maximum size of a prompt with its answer, by the profiles of
	// the service.
	MaxPromptTokens peridotpath.Tokens
	// TokensPerSecond is the demand in tokens a second.
	TokensPerSecond float64
	// IdleTime is the time since the last such prompt.
	IdleTime time.Duration
	// Sites are the data centres that have engines of the service.
	Sites []Site
	// DataCentre is the data centre that the plan is for.
	DataCentre peridotpath.DataCentre
}

// mayRequireGroup reports whether there is demand that may require a group.
func (demand *Demand) mayRequireGroup(limits Limits) bool {
	return demand.IdleTime < limits.GroupIdleTimeout && demand.TokensPerSecond > 0
}

// Site is a data centre with its number of live engines of a service.
type Site struct {
	DataCentre peridotpath.DataCentre
	Engines    int
}

// Limits are the limits of a plan.
type Limits struct {
	// GroupIdleTimeout is the time without demand after which a group is dissolved. Forming
	// one drains its members, which takes them out of service for tens of seconds;
	// a group for each single prompt would cost more capacity than it provides.
	GroupIdleTimeout time.Duration
}

// RoleChange is a change of one engine's role, with its reason for the log.
type RoleChange struct {
	Endpoint peridotpath.EndpointID
	Role     order.Role
	Reason   string
}

// Plan returns the next role changes. Its result depends only on its arguments, the
// desired and actual states among them, so a new lease holder continues at whatever
// step the last holder froze or died.
//
// A group forms in steps, each after the engines report that the previous one is
// complete: the members drain, they reserve their memory, the leader begins to
// serve. All memory of a group is therefore reserved before it serves, and two
// groups cannot deadlock, each holding half of the memory that it needs. Only one group forms or dissolves
// at a time, which bounds the number of engines out of service.
func Plan(engines []Engine, demand Demand, limits Limits) []RoleChange {
	planner := &planner{engines: map[peridotpath.EndpointID]*Engine{}, demand: demand, limits: limits}
	for i := range engines {
		planner.engines[engines[i].ID] = &engines[i]
		planner.ids = append(planner.ids, engines[i].ID)
	}
	slices.Sort(planner.ids)
	if moves := planner.dissolveBroken(); len(moves) > 0 {
		return moves
	}
	if moves, inTransition := planner.advance(); inTransition {
		return moves
	}
	return planner.resize()
}

type planner struct {
	engines map[peridotpath.EndpointID]*Engine
	ids     []peridotpath.EndpointID
	demand  Demand
	limits  Limits
}

// group holds the engines that are in one group by their desired roles, the
// leader first.
type group struct {
	leader  peridotpath.EndpointID
	engines []peridotpath.EndpointID
}

// groups returns the groups that the desired roles define, ordered by leader.
func (planner *planner) groups() []group {
	byLeader := map[peridotpath.EndpointID][]peridotpath.EndpointID{}
	for _, id := range planner.ids {
		desired := parseRole(planner.engines[id].DesiredRole)
		switch desired.duty {
		case dutyLead, dutyClose:
			byLeader[id] = append([]peridotpath.EndpointID{id}, byLeader[id]...)
		case dutyDrain, dutyMember:
			leader := desired.leader()
			byLeader[leader] = append(byLeader[leader], id)
		}
	}
	var groups []group
	for leader, engines := range byLeader {
		slices.SortStableFunc(engines, func(a, b peridotpath.EndpointID) int {
			return cmp.Compare(boolToInt(a != leader), boolToInt(b != leader))
		})
		groups = append(groups, group{leader: leader, engines: engines})
	}
	slices.SortFunc(groups, func(a, b group) int { return cmp.Compare(a.leader, b.leader) })
	return groups
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// dissolveBroken dissolves every group that has lost an engine: its pooled memory is
// incomplete and its requests are lost. The remaining engines serve again at once.
func (planner *planner) dissolveBroken() []RoleChange {
	var moves []RoleChange
	for _, group := range planner.groups() {
		if lost := planner.lostEngine(group); lost != "" {
			moves = append(moves, planner.assignDuty(group, dutyServe, "lost engine "+string(lost))...)
		}
	}
	return moves
}

// lostEngine returns an engine of the group that is removed, not alive or has another
// desired role, or "".
func (planner *planner) lostEngine(group group) peridotpath.EndpointID {
	leader := planner.engines[group.leader]
	if leader == nil || !leader.Alive {
		return group.leader
	}
	for _, id := range group.engines {
		if !planner.engines[id].Alive {
			return id
		}
	}
	desired := parseRole(leader.DesiredRole)
	for _, id := range desired.engines {
		if desired.duty != dutyDrain && (planner.engines[id] == nil || parseRole(planner.engines[id].DesiredRole).leader() != group.leader) {
			return id
		}
	}
	return ""
}

// assignDuty returns moves that give the same duty to all engines of a group.
func (planner *planner) assignDuty(group group, duty duty, reason string) []RoleChange {
	var moves []RoleChange
	for _, id := range group.engines {
		if planner.engines[id] != nil {
			moves = append(moves, RoleChange{Endpoint: id, Role: formatRole(duty), Reason: reason})
		}
	}
	return moves
}

// advance returns the next step of the group that is forming or dissolving, and
// whether there is such a group, even if its next step is not due yet.
func (planner *planner) advance() ([]RoleChange, bool) {
	for _, group := range planner.groups() {
		switch parseRole(planner.engines[group.leader].DesiredRole).duty {
		case dutyDrain:
			return planner.advanceForming(group), true
		case dutyClose:
			return planner.advanceClosing(group), true
		case dutyLead:
			if planner.engines[group.leader].ActualState.Role != planner.engines[group.leader].DesiredRole {
				return nil, true
			}
		}
	}
	return nil, false
}

// advanceForming returns the next step of a group that is forming.
func (planner *planner) advanceForming(group group) []RoleChange {
	members := group.engines[1:]
	for _, id := range group.engines {
		engine := planner.engines[id]
		if engine.ActualState.Role != engine.DesiredRole || engine.UsedKV > 0 {
			return nil
		}
	}
	if allHaveDuty(planner, members, dutyMember) {
		return []RoleChange{{Endpoint: group.leader, Role: formatRole(dutyLead, members...), Reason: "members are ready"}}
	}
	var moves []RoleChange
	for _, id := range members {
		moves = append(moves, RoleChange{Endpoint: id, Role: formatRole(dutyMember, group.leader), Reason: "engine is drained"})
	}
	return moves
}

func allHaveDuty(planner *planner, ids []peridotpath.EndpointID, duty duty) bool {
	for _, id := range ids {
		if parseRole(planner.engines[id].DesiredRole).duty != duty {
			return false
		}
	}
	return true
}

// advanceClosing returns the engines of a closing group to service once no request runs
// in it.
func (planner *planner) advanceClosing(group group) []RoleChange {
	leader := planner.engines[group.leader]
	if leader.ActualState.Role != leader.DesiredRole || leader.UsedKV > 0 {
		return nil
	}
	return planner.assignDuty(group, dutyServe, "group is drained")
}

// resize starts to form a group when there are too few, or to dissolve one when
// there are too many.
func (planner *planner) resize() []RoleChange {
	groups := planner.groups()
	needed := planner.desiredGroupCount()
	switch {
	case len(groups) < needed:
		return planner.startForming(len(groups), needed)
	case len(groups) > needed:
		surplus := groups[len(groups)-1]
		reason := fmt.Sprintf("%d groups, %d needed", len(groups), needed)
		members := parseRole(planner.engines[surplus.leader].DesiredRole).engines
		return []RoleChange{{Endpoint: surplus.leader, Role: formatRole(dutyClose, members...), Reason: reason}}
	default:
		return nil
	}
}

// startForming starts to form a group of the engines with the least memory in use, which
// drain soonest.
func (planner *planner) startForming(existing, needed int) []RoleChange {
	var candidates []*Engine
	for _, id := range planner.ids {
		engine := planner.engines[id]
		serving := parseRole(engine.DesiredRole).duty == dutyServe && parseRole(engine.ActualState.Role).duty == dutyServe
		if engine.Alive && engine.Responded && serving {
			candidates = append(candidates, engine)
		}
	}
	size := planner.groupSize()
	if len(candidates) < size {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b *Engine) int { return cmp.Compare(a.UsedKV, b.UsedKV) })
	leader := candidates[0].ID
	reason := fmt.Sprintf("%d groups of %d engines, %d needed", existing, size, needed)
	var moves []RoleChange
	for _, engine := range candidates[:size] {
		moves = append(moves, RoleChange{Endpoint: engine.ID, Role: formatRole(dutyDrain, leader), Reason: reason})
	}
	return moves
}
