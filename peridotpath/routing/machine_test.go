package routing_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/internal/soak"
	"peridotpath.example/peridotpath/routing"
)

// keysMachine is a state machine of a few instances that read one store and gossip with
// each other, while operators add and revoke keys. Replies are delayed and reordered; an
// instance that is not drawn for a while is in effect disconnected.
type keysMachine struct {
	now       time.Duration
	instances []*routing.State
	// versions holds every state of the store and the time when it was written.
	versions []storedRouting
	// revokedAt is the time of revocation of each revoked key.
	revokedAt map[peridotpath.APIKey]time.Duration
	// replies are the replies in transit.
	replies []replyInTransit
}

type storedRouting struct {
	routing   *peridotpath.Routing
	writtenAt time.Duration
}

type replyInTransit struct {
	to      int
	routing *peridotpath.Routing
	// hasRouting is set if the reply holds the routing, rather than a confirmation only.
	hasRouting bool
	sentAt     time.Duration
}

const (
	instanceCount = 3
	keyLifetime   = 4500 * time.Millisecond
)

func newKeysMachine() *keysMachine {
	machine := &keysMachine{now: time.Minute, revokedAt: map[peridotpath.APIKey]time.Duration{}}
	for range instanceCount {
		machine.instances = append(machine.instances, &routing.State{
			Now: func() time.Duration { return machine.now }, KeyLifetime: keyLifetime, Log: zerolog.Nop(),
		})
	}
	machine.store(map[peridotpath.APIKey]peridotpath.KeyHolder{"key-0": {Customer: "desk"}})
	return machine
}

func (machine *keysMachine) store(keys map[peridotpath.APIKey]peridotpath.KeyHolder) {
	version := peridotpath.RoutingVersion(len(machine.versions) + 1)
	machine.versions = append(machine.versions, storedRouting{&peridotpath.Routing{Version: version, Keys: keys}, machine.now})
}

func (machine *keysMachine) newest() *peridotpath.Routing {
	return machine.versions[len(machine.versions)-1].routing
}

// advanceClock advances the clock by up to more than a key's lifetime.
func (machine *keysMachine) advanceClock(random *rapid.T) {
	machine.now += time.Duration(rapid.IntRange(1, 6000).Draw(random, "wait_ms")) * time.Millisecond
}

// addKey adds a new key.
func (machine *keysMachine) addKey(*rapid.T) {
	keys := maps.Clone(machine.newest().Keys)
	keys[peridotpath.APIKey(fmt.Sprintf("key-%d", len(machine.versions)))] = peridotpath.KeyHolder{Customer: "desk"}
	machine.store(keys)
}

// revokeKeys revokes a random subset of the keys.
func (machine *keysMachine) revokeKeys(random *rapid.T) {
	keys := maps.Clone(machine.newest().Keys)
	for key := range keys {
		if rapid.Bool().Draw(random, "take "+string(key)) {
			delete(keys, key)
			machine.revokedAt[key] = machine.now
		}
	}
	machine.store(keys)
}

// read makes an instance read the store; the reply is in transit.
func (machine *keysMachine) read(random *rapid.T) {
	machine.replies = append(machine.replies, replyInTransit{
		to:      rapid.IntRange(0, instanceCount-1).Draw(random, "reader"),
		routing: machine.newest(), hasRouting: rapid.Bool().Draw(random, "has_routing"), sentAt: machine.now,
	})
}

// sendToPeer makes an instance send its routing and the routing's age to another.
func (machine *keysMachine) sendToPeer(random *rapid.T) {
	from := machine.instances[rapid.IntRange(0, instanceCount-1).Draw(random, "sender")]
	if table := from.Current(); table != nil {
		machine.replies = append(machine.replies, replyInTransit{
			to:      rapid.IntRange(0, instanceCount-1).Draw(random, "receiver"),
			routing: table.Routing, hasRouting: rapid.Bool().Draw(random, "has_routing"), sentAt: machine.now - from.Age(),
		})
	}
}

// readOld makes the store reply to an instance with an older routing than the instance
// has, as a lagging replica or one that lost acknowledged writes does.
func (machine *keysMachine) readOld(random *rapid.T) {
	to := rapid.IntRange(0, instanceCount-1).Draw(random, "reader")
	table := machine.instances[to].Current()
	if table == nil || table.Routing.Version < 2 {
		random.Skip("no older version")
	}
	old := rapid.IntRange(0, int(table.Routing.Version)-2).Draw(random, "version")
	machine.replies = append(machine.replies, replyInTransit{
		to: to, routing: machine.versions[old].routing, hasRouting: rapid.Bool().Draw(random, "has_routing"), sentAt: machine.now,
	})
}

// deliver delivers one of the replies in transit, in any order.
func (machine *keysMachine) deliver(random *rapid.T) {
	if len(machine.replies) == 0 {
		random.Skip("no reply in transit")
	}
	at := rapid.IntRange(0, len(machine.replies)-1).Draw(random, "reply")
	reply := machine.replies[at]
	machine.replies = append(machine.replies[:at], machine.replies[at+1:]...)
	state := machine.instances[reply.to]
	if reply.hasRouting {
		state.Apply(reply.routing, reply.sentAt)
	} else {
		state.Confirm(reply.routing.Version, reply.sentAt)
	}
}

// check verifies that no instance uses a key later than its lifetime after the revocation.
func (machine *keysMachine) check(random *rapid.T) {
	for number, state := range machine.instances {
		if !state.KeysUsable() {
			continue
		}
		for key, revokedAt := range machine.revokedAt {
			if _, ok := state.Current().KeyHolder(key); ok && machine.now-revokedAt >= keyLifetime {
				random.Fatalf("instance %d uses %s, revoked %s ago", number, key, machine.now-revokedAt)
			}
		}
	}
}

// A key is revoked, and some instance still accepts it: it was disconnected, its replies
// were delayed or reordered, or a peer confirmed an outdated routing. In each case the
// key's lifetime must bound its use.
func TestRandomRevokedKeysExpire(t *testing.T) {
	soak.Check(t, 5, func(random *rapid.T) {
		machine := newKeysMachine()
		random.Repeat(map[string]func(*rapid.T){
			"wait": machine.advanceClock, "give": machine.addKey, "take": machine.revokeKeys, "read": machine.read, "read_old": machine.readOld,
			"tell": machine.sendToPeer, "arrive": machine.deliver, "": machine.check,
		})
	})
}
