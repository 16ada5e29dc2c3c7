package directory

import (
	"context"

	"peridotpath.example/peridotpath/readings"
)

// FetchFromPeer makes the follower fetch the snapshot of a peer that reported a newer one.
func FetchFromPeer(ctx context.Context, follower *Follower, peer readings.Peer) {
	follower.newerPeers.Set(peer)
	follower.readFromPeer(ctx)
}
