// Package shift decides which model engines serve prompts on their own and which
// pool their KV memory in a group that serves prompts too long for one engine. It
// sizes the groups by the demand of such prompts, averaged over the region, and
// forms and dissolves them in steps: members drain, reserve their memory, then the
// leader serves. Plan is a pure function and does no I/O; the holder of the lease
// of the data centre and service runs it and writes the new roles to the desired state of package order.
package shift

import (
	"strings"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/order"
)

// duty is the part of an engine's role before the slash.
type duty string

const (
	// dutyServe is the duty of an engine that accepts any prompt that fits its memory.
	// The empty role means the same.
	dutyServe = duty(engine.RoleServe)
	// dutyDrain is the duty of an engine that finishes its running requests and accepts
	// no new ones, before it joins the group of the leader in the role.
	dutyDrain = duty(engine.RoleDrain)
	// dutyMember is the duty of an engine whose memory is reserved for the group of the
	// leader in the role.
	dutyMember = duty(engine.RoleMember)
	// dutyLead is the duty of an engine that serves prompts with its own memory and
	// that of the members in the role.
	dutyLead = duty(engine.RoleLead)
	// dutyClose is the duty of a leader that finishes the group's running requests
	// and accepts no new ones, before the group is dissolved.
	dutyClose = duty(engine.RoleClose)
)

// role is a parsed role. Its text form, which orders hold, is "serve",
// "drain/LEADER", "member/LEADER", "lead/MEMBER,MEMBER" or "close/MEMBER,MEMBER".
type role struct {
	duty duty
	// engines holds the leader of a drain or member role, the members of the others.
	engines []peridotpath.EndpointID
}

func parseRole(text order.Role) role {
	name, ids := engine.Role(text).Split()
	if name == "" {
		return role{duty: dutyServe}
	}
	parsed := role{duty: duty(name)}
	for _, id := range ids {
		if id != "" {
			parsed.engines = append(parsed.engines, peridotpath.EndpointID(id))
		}
	}
	return parsed
}

func formatRole(duty duty, engines ...peridotpath.EndpointID) order.Role {
	if len(engines) == 0 {
		return order.Role(duty)
	}
	ids := make([]string, 0, len(engines))
	for _, id := range engines {
		ids = append(ids, string(id))
	}
	return order.Role(string(duty) + "/" + strings.Join(ids, ","))
}

// leader returns the leader in a drain or member role, or "".
func (role role) leader() peridotpath.EndpointID {
	if len(role.engines) == 1 && (role.duty == dutyDrain || role.duty == dutyMember) {
		return role.engines[0]
	}
	return ""
}
