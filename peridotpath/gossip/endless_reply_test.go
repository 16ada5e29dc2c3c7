package gossip_test

import (
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/gossip"
	"peridotpath.example/peridotpath/outbound/endlesstest"
)

// A registrar in trouble answers without an end, and an instance that starts keeps all that arrives.
func TestReplyOfRegistrarIsBounded(t *testing.T) {
	is := is.New(t)
	server := endlesstest.Start(t, false)
	registrar := gossip.Peer{Address: server.Address, SnapshotPort: server.Address.Port()}
	_, err := gossip.JoinThrough(t.Context(), registrar, gossip.JoinRequest{Instance: registrar})
	is.True(err != nil)
	t.Logf("%d bytes were sent", server.Written())
	is.True(server.Written() <= 4<<20+endlesstest.KernelBytes)
}
