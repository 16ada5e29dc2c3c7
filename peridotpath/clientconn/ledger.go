package clientconn

import (
	"container/list"

	"peridotpath.example/peridotpath"
)

// phase is what a connection carries now.
type phase uint8

const (
	// phaseWaiting: no request.
	phaseWaiting phase = iota
	// phaseHead: a part of a head.
	phaseHead
	// phaseBody: a whole head and a part of its body.
	phaseBody
	// phaseServing: a whole request that is being served, or another protocol.
	phaseServing
	// phaseLeaving: a body whose connection has been chosen to end.
	phaseLeaving
	phases
)

const (
	// maxLeavingShare is the share of the connections that may be ending beside the others.
	maxLeavingShare = 1.0 / 8
	// maxUnreadChecks bounds the connections that are asked for unread bytes in one decision.
	maxUnreadChecks = 8
)

// member is one connection in a ledger.
type member struct {
	// conn is nil in tests of the ledger.
	conn    *Conn
	phase   phase
	memory  peridotpath.Bytes
	element *list.Element
	// isEnding is set from the decision that the member ends until its connection is closed, and
	// endingMemory is what its head takes until then.
	isEnding     bool
	endingMemory peridotpath.Bytes
}

// isListed reports whether the member is in a ledger: it has neither been ended nor closed.
func (member *member) isListed() bool { return member.element != nil }

// victim is a member that was chosen to end, and the phase that it was in.
type victim struct {
	*member
	was phase
}

// ledger decides which connections are admitted and which end. It does no input or output, and is
// not safe for concurrent use.
type ledger struct {
	limits Limits
	// hasUnread reports whether bytes have arrived on a connection that nobody has read.
	hasUnread func(*member) bool

	// queues hold the members of each phase, in the order in which they entered it.
	queues [phases]list.List
	count  int
	memory peridotpath.Bytes
	// endingCount and endingMemory are of the members that end: their goroutines may run later, while
	// the process is busy. Each is bounded like what is listed.
	endingCount  int
	endingMemory peridotpath.Bytes
}

// add admits a new connection, in place of others if the limit is reached. It reports false if all
// connections carry requests that have been received, or too many still end.
func (ledger *ledger) add(newcomer *member) (victims []victim, admitted bool) {
	for ledger.count-ledger.queues[phaseLeaving].Len() >= ledger.limits.Connections {
		chosen := ledger.chooseForConnection()
		if chosen == nil || chosen.phase != phaseBody && !ledger.mayEnd(chosen) {
			return victims, false
		}
		victims = append(victims, victim{chosen, chosen.phase})
		if chosen.phase == phaseBody {
			ledger.move(chosen, phaseLeaving)
		} else {
			ledger.end(chosen)
		}
	}
	ledger.count++
	newcomer.phase = phaseWaiting
	newcomer.element = ledger.queues[phaseWaiting].PushBack(newcomer)
	return victims, true
}

// chooseForConnection returns the connection whose end costs its client least: the one that has
// waited for longest, else the one whose head, or else whose body, has been arriving for longest. It
// returns nil if there is none.
func (ledger *ledger) chooseForConnection() *member {
	for range maxUnreadChecks {
		oldest := first(&ledger.queues[phaseWaiting])
		if oldest == nil {
			break
		}
		if !ledger.hasUnread(oldest) {
			return oldest
		}
		// Its head has begun to arrive, and the process has not come to reading it.
		ledger.move(oldest, phaseHead)
	}
	if oldest := first(&ledger.queues[phaseHead]); oldest != nil {
		return oldest
	}
	if float64(ledger.queues[phaseLeaving].Len()) > maxLeavingShare*float64(ledger.limits.Connections) {
		return nil
	}
	return first(&ledger.queues[phaseBody])
}

// receive records that the part of a member's head that has arrived takes so much memory, and whether
// the head is whole. Other heads that have been arriving for longer end if there is no room. It
// reports false if the member itself must end.
func (ledger *ledger) receive(receiver *member, memory peridotpath.Bytes, isWhole bool) (victims []victim, admitted bool) {
	if !receiver.isListed() {
		return nil, false
	}
	if !isWhole && receiver.phase != phaseHead {
		ledger.move(receiver, phaseHead)
	}
	for ledger.memory-receiver.memory+memory > ledger.limits.HeadMemory {
		oldest := first(&ledger.queues[phaseHead])
		if oldest == nil || oldest == receiver || !ledger.mayEnd(oldest) {
			return victims, false
		}
		victims = append(victims, victim{oldest, oldest.phase})
		ledger.end(oldest)
	}
	ledger.setMemory(receiver, memory)
	if isWhole {
		ledger.move(receiver, phaseBody)
	}
	return victims, true
}

// setMemory sets the memory of a member's head.
func (ledger *ledger) setMemory(member *member, memory peridotpath.Bytes) {
	ledger.memory += memory - member.memory
	member.memory = memory
}

// move moves a member to the end of the queue of a phase.
func (ledger *ledger) move(member *member, to phase) {
	if !member.isListed() {
		return
	}
	ledger.queues[member.phase].Remove(member.element)
	member.phase = to
	member.element = ledger.queues[to].PushBack(member)
}

// mayEnd reports whether what still ends leaves room for another member.
func (ledger *ledger) mayEnd(member *member) bool {
	return ledger.endingCount < ledger.limits.Connections && ledger.endingMemory+member.memory <= ledger.limits.HeadMemory
}

// end takes a member off the list, and keeps account of what it holds until it is closed.
func (ledger *ledger) end(member *member) {
	member.isEnding, member.endingMemory = true, member.memory
	ledger.endingCount++
	ledger.endingMemory += member.memory
	ledger.remove(member)
}

// close takes a member off the ledger with all that it holds. It may be called again.
func (ledger *ledger) close(member *member) {
	ledger.remove(member)
	if member.isEnding {
		ledger.endingCount--
		ledger.endingMemory -= member.endingMemory
		member.isEnding, member.endingMemory = false, 0
	}
}

// remove takes a member off the list.
func (ledger *ledger) remove(member *member) {
	if !member.isListed() {
		return
	}
	ledger.queues[member.phase].Remove(member.element)
	member.element = nil
	ledger.setMemory(member, 0)
	ledger.count--
}

// first returns the first member of a queue, nil if it is empty.
func first(queue *list.List) *member {
	front := queue.Front()
	if front == nil {
		return nil
	}
	return front.Value.(*member)
}
