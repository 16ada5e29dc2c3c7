package peer_test

import (
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/outbound/endlesstest"
	"peridotpath.example/peridotpath/peer"
	"peridotpath.example/peridotpath/peer/wire"
)

// An instance in trouble answers without an end, and each peer keeps all that arrives.
func TestReplyOfPeerIsBounded(t *testing.T) {
	is := is.New(t)
	server, client := endlesstest.Start(t, false), &peer.Client{}
	other := peridotpath.Instance{Peer: server.Address}
	_, err := client.FetchChanges(t.Context(), other, &wire.ChangesRequest{})
	is.True(err != nil)
	fetched := server.Written()
	t.Logf("%d bytes were sent", fetched)
	is.True(fetched <= 64<<20+endlesstest.KernelBytes)
	_, err = client.Exchange(t.Context(), other, &wire.Digest{})
	is.True(err != nil)
	t.Logf("%d bytes were sent", server.Written()-fetched)
	is.True(server.Written()-fetched <= 64<<20+endlesstest.KernelBytes)
}
