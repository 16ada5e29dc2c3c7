package gossip_test

import (
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"peridotpath.example/peridotpath/gossip"
	"peridotpath.example/peridotpath/gossip/wire"
)

// An instance that is cut off asks peers that are cut off too, that run a version which carries
// nothing, or that are far away though one beside it could help.
func TestCarriersAreNearAndReachEndpoints(t *testing.T) {
	is := is.New(t)
	node := startNode(t, "one", "a", gossip.Freshness{})
	conn, err := net.Dial("udp4", node.gossip.Address.String())
	is.NoErr(err)
	defer conn.Close()
	digest := func(id, dataCentre string, number byte, carries bool) *wire.Digest {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, number}), 9)
		return &wire.Digest{Instance: id, Incarnation: 1, Address: address.String(), DataCentre: dataCentre, ReadingsPort: 99, Carries: carries}
	}
	send := func(digests ...*wire.Digest) {
		for _, digest := range digests {
			digest.Sequence++
			datagram, err := proto.Marshal(digest)
			is.NoErr(err)
			// An error means that the node does not listen yet.
			_, _ = conn.Write(datagram)
		}
	}
	near, atEndpoint, far := digest("near", "a", 1, true), digest("at", "b", 2, true), digest("far", "c", 3, true)
	cutOff := digest("cut", "a", 4, false)
	carriers := func() (numbers []byte) {
		for _, carrier := range node.gossip.Carriers("b", time.Now()) {
			is.Equal(carrier.Port(), uint16(99))
			numbers = append(numbers, carrier.Addr().As4()[3])
		}
		return numbers
	}
	eventually(t, "those that carry are known, the nearest first", func() bool {
		send(near, atEndpoint, far, cutOff)
		return slices.Equal(carriers(), []byte{1, 2, 3})
	})
	is.True(node.gossip.HasCarrier(time.Now()))
	near.Carries = false
	eventually(t, "one that was cut off is left out", func() bool {
		send(near, atEndpoint, far)
		return slices.Equal(carriers(), []byte{2, 3})
	})
	eventually(t, "those that fall silent are left out", func() bool { return len(carriers()) == 0 })
	is.True(!node.gossip.HasCarrier(time.Now()))
}
