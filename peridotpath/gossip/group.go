package gossip

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"peridotpath.example/peridotpath/clock"
)

const (
	// maxGroupMembers bounds the instances that one registrar registers, and so the size of an
	// entry and the number of instances that look for another registrar when one ends.
	maxGroupMembers = 128
	// memberTimeout is the silence after which a member is removed from its group.
	memberTimeout = registrationTTL + renewalInterval
	// joinBatchDelay is how long a registrar waits for further members, so that a start of many
	// instances makes few writes.
	joinBatchDelay = 500 * time.Millisecond
	// joinTimeout bounds a call to a registrar: a batch delay, two calls to the store, and the
	// way there.
	joinTimeout = 1500 * time.Millisecond
)

// JoinRequest is the request of an instance to be registered, and to stay so.
type JoinRequest struct {
	Instance Peer
	// Content is the content hash of the list that the instance has; zero for none.
	Content uint64
}

// JoinReply is a registrar's answer.
type JoinReply struct {
	// Accepted reports whether the instance is registered, Full whether it is not because the
	// group has no room.
	Accepted, Full bool
	// List is the registrar's list of instances; its Peers are nil if the instance has it.
	List InstanceList
}

// group is what a registrar registers: the members that join it. Its zero value accepts none.
//
// It matters in a fleet of hundreds of instances: if each had an entry of its own, a start
// would cost four calls to the store, and each list would be hundreds of entries long. A
// registrar's entry holds its whole group, so that calls grow with the number of groups.
type group struct {
	mutex sync.Mutex
	// isOpen reports whether the registrar has a valid entry in the store.
	isOpen  bool
	members map[netip.AddrPort]*groupMember
	// list is the registrar's last list; it includes the members.
	list InstanceList
	// joined is raised when a member waits to be listed.
	joined clock.Signal
}

type groupMember struct {
	peer    Peer
	heardAt time.Time
	// isListed reports whether the entry in the store has the member; listed is closed when it
	// does and the list was read afterwards.
	isListed bool
	listed   chan struct{}
}

// join adds an instance to the group, or records that a member is alive, and returns when the
// instance is listed.
//
// The list in the answer was read after the instance was listed. Of two instances that join two
// registrars at the same moment, the later one therefore finds the other, and tells it of itself.
func (group *group) join(ctx context.Context, request JoinRequest, now time.Time) JoinReply {
	listed := group.add(request.Instance, now)
	if listed == nil {
		return JoinReply{Full: group.isFull()}
	}
	select {
	case <-listed:
	case <-ctx.Done():
		return JoinReply{}
	}
	group.mutex.Lock()
	defer group.mutex.Unlock()
	reply := JoinReply{Accepted: true, List: group.list}
	if request.Content == group.list.Content {
		reply.List.Peers = nil
	}
	return reply
}

// add adds an instance and returns the channel that is closed when it is listed; nil if the group
// does not take it.
func (group *group) add(peer Peer, now time.Time) <-chan struct{} {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if !group.isOpen {
		return nil
	}
	found := group.members[peer.Address]
	if found == nil {
		if len(group.members) >= maxGroupMembers {
			return nil
		}
		found = &groupMember{listed: make(chan struct{})}
		group.members[peer.Address] = found
	}
	found.peer, found.heardAt = peer, now
	if !found.isListed {
		group.joined.Raise()
	}
	return found.listed
}

func (group *group) isFull() bool {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	return group.isOpen && len(group.members) >= maxGroupMembers
}

// open makes the group accept members.
func (group *group) open() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.isOpen = true
	if group.members == nil {
		group.members = map[netip.AddrPort]*groupMember{}
	}
}

// close makes the group accept no more: its entry has expired. The members keep their places for
// when it opens again.
func (group *group) close() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.isOpen = false
	for _, member := range group.members {
		if member.isListed {
			member.isListed, member.listed = false, make(chan struct{})
		}
	}
}

// current returns the members, without those that have been silent for memberTimeout, and
// whether they differ from the entry in the store.
func (group *group) current(now time.Time) (members []Peer, changed bool) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for address, member := range group.members {
		if now.Sub(member.heardAt) > memberTimeout {
			delete(group.members, address)
			changed = true
			continue
		}
		changed = changed || !member.isListed
		members = append(members, member.peer)
	}
	return newInstanceList(members).Peers, changed
}

// markListed records that the entry in the store has the members, and the list that was read
// afterwards.
func (group *group) markListed(members []Peer) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	for _, peer := range members {
		if member := group.members[peer.Address]; member != nil && !member.isListed {
			member.isListed = true
			close(member.listed)
		}
	}
	for _, member := range group.members {
		if !member.isListed {
			// It joined while the others were written.
			group.joined.Raise()
		}
	}
}

// setList sets the list that members receive.
func (group *group) setList(list InstanceList) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	group.list = list
}
