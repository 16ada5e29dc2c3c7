// Package shift moves model engines between duties: serving prompts by
// themselves, or pooling their memory in a group that serves prompts longer
// than one engine holds. Plan decides and does no input or output; Keeper
// carries its decisions out through package order while its process holds the
// lease.
package shift

import (
	"strings"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/order"
)

// duty is the first part of an engine's role.
type duty string

const (
	// serve: the engine takes any prompt that fits. The empty role means it too.
	serve = duty(engine.RoleServe)
	// drain: the engine finishes what it runs and takes nothing new, on its way
	// into the group of the leader named.
	drain = duty(engine.RoleDrain)
	// member: the engine keeps its memory for the group of the leader named.
	member = duty(engine.RoleMember)
	// lead: the engine serves prompts with the memory of the members named.
	lead = duty(engine.RoleLead)
	// closing: the leader finishes what its group runs and takes nothing new,
	// before the group is dissolved.
	closing = duty(engine.RoleClose)
)

// role is a role taken apart. Its text form, which engines are ordered by, is
// "serve", "drain/LEADER", "member/LEADER", "lead/MEMBER,MEMBER" or
// "close/MEMBER,MEMBER".
type role struct {
	duty duty
	// of names the leader, or the members.
	of []peridotpath.EndpointID
}

func parseRole(text order.Role) role {
	first, ids := engine.Role(text).Split()
	if first == "" {
		return role{duty: serve}
	}
	parsed := role{duty: duty(first)}
	for _, id := range ids {
		if id != "" {
			parsed.of = append(parsed.of, peridotpath.EndpointID(id))
		}
	}
	return parsed
}

func roleOf(duty duty, of ...peridotpath.EndpointID) order.Role {
	if len(of) == 0 {
		return order.Role(duty)
	}
	names := make([]string, 0, len(of))
	for _, id := range of {
		names = append(names, string(id))
	}
	return order.Role(string(duty) + "/" + strings.Join(names, ","))
}

// leader returns the engine that a drain or member role names.
func (role role) leader() peridotpath.EndpointID {
	if len(role.of) == 1 && (role.duty == drain || role.duty == member) {
		return role.of[0]
	}
	return ""
}
