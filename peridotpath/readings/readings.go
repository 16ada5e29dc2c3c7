// Package readings distributes snapshots of the platform's store between instances: the
// routing and the list of endpoints. An instance that lacks the newest snapshot fetches it
// from a peer and reads the store only if that fails.
//
// It matters for a change that a large fleet needs at once: one or two instances read it
// from the store and the others fetch it from them, instead of one store call for each
// instance. Peers send only the difference to a snapshot that the caller has, compressed.
package readings

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/delta"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/readings/wire"
)

// PathPrefix is the URL path prefix of the service.
const PathPrefix = "/peer"

// fetchTimeout bounds one call to a peer, in time that this process runs; after it, the store is read.
const fetchTimeout = 400 * time.Millisecond

// RemoteFetchDelay is about the time to fetch a change from a peer in another data centre and to
// gossip it within this one.
const RemoteFetchDelay = 80 * time.Millisecond

// OtherCellTimeout bounds a call to a peer of another cell, of which it is not known whether it
// lives.
const OtherCellTimeout = 150 * time.Millisecond

// maxRoutingBytes bounds an unpacked routing. It is a multiple of what the store accepts.
const maxRoutingBytes = 8 << 20

// maxReplyBytes bounds a reply of a peer: a routing, or the entries of all endpoints.
const maxReplyBytes = 2 * maxRoutingBytes

// Server serves snapshots to peers. NewestRouting and NewestEndpoints return false before the
// first read of the store; RoutingByVersion and EndpointsByHash return false for a snapshot
// that is not kept.
type Server struct {
	NewestRouting    func() (RoutingSnapshot, bool)
	RoutingByVersion func(version keyvalue.Version) (RoutingSnapshot, bool)
	NewestEndpoints  func() (EndpointsSnapshot, bool)
	EndpointsByHash  func(content uint64) (EndpointsSnapshot, bool)

	packed packedRoutings
}

// Handler returns the HTTP handler of the service.
func (server *Server) Handler() http.Handler {
	return compressed(wire.NewReadingsServer(service{server}, twirp.WithServerPathPrefix(PathPrefix)))
}

// service implements the generated interface.
type service struct{ server *Server }

// Routing sends the newest routing, as a difference to the caller's snapshot if that is kept
// here.
func (service service) Routing(_ context.Context, query *wire.RoutingQuery) (*wire.RoutingReading, error) {
	snapshot, ok := service.server.NewestRouting()
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "nothing was read yet")
	}
	var base RoutingSnapshot
	if query.Have != 0 {
		base, _ = service.server.RoutingByVersion(keyvalue.Version(query.Have))
	}
	packed, err := service.server.packed.pack(snapshot, base)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &wire.RoutingReading{
		StoreVersion: uint64(snapshot.Version), Packed: packed, Age: clock.Micros(snapshot.Age), Since: uint64(base.Version),
	}, nil
}

// Endpoints sends the newest list of endpoints, as changes to the caller's snapshot if
// that is kept here.
func (service service) Endpoints(_ context.Context, query *wire.EndpointsQuery) (*wire.EndpointsReading, error) {
	snapshot, ok := service.server.NewestEndpoints()
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "nothing was read yet")
	}
	response := &wire.EndpointsReading{
		Age: clock.Micros(snapshot.Age), Read: true, Content: snapshot.ContentHash, StoreEra: uint64(snapshot.Era),
	}
	if query.Content == snapshot.ContentHash {
		response.Since = query.Content
		return response, nil
	}
	entries := snapshot.Entries
	if base, isKept := service.server.EndpointsByHash(query.Content); isKept {
		response.Since = query.Content
		entries, response.Gone = diff(base.Entries, snapshot.Entries)
	}
	for _, entry := range entries {
		response.Entries = append(response.Entries, &wire.Entry{Key: entry.Key, Value: entry.Value})
	}
	return response, nil
}

func client(peer netip.AddrPort) wire.Readings {
	return wire.NewReadingsProtobufClient("http://"+peer.String(), httpClient, twirp.WithClientPathPrefix(PathPrefix))
}

// FetchRouting fetches the routing from a peer. If the peer keeps the snapshot that this
// instance has, only the difference is transferred.
func FetchRouting(ctx context.Context, peer netip.AddrPort, have RoutingSnapshot) (RoutingSnapshot, error) {
	ctx, cancel := clock.WithRunningTimeout(ctx, fetchTimeout)
	defer cancel()
	response, err := client(peer).Routing(ctx, &wire.RoutingQuery{Have: uint64(have.Version)})
	if err != nil {
		return RoutingSnapshot{}, err
	}
	var base []byte
	if response.Since != 0 {
		base = have.Value
	}
	value, err := delta.Apply(response.Packed, base, maxRoutingBytes)
	if err != nil {
		return RoutingSnapshot{}, err
	}
	return RoutingSnapshot{Version: keyvalue.Version(response.StoreVersion), Value: value, Age: clock.FromMicros(response.Age)}, nil
}

// FetchEndpoints fetches the list of endpoints from a peer. If the peer keeps the snapshot
// that this instance has, only the changes are transferred.
func FetchEndpoints(ctx context.Context, peer netip.AddrPort, have EndpointsSnapshot) (EndpointsSnapshot, error) {
	ctx, cancel := clock.WithRunningTimeout(ctx, fetchTimeout)
	defer cancel()
	response, err := client(peer).Endpoints(ctx, &wire.EndpointsQuery{Content: have.ContentHash})
	if err != nil {
		return EndpointsSnapshot{}, err
	}
	snapshot := EndpointsSnapshot{Age: clock.FromMicros(response.Age), ContentHash: response.Content, Era: keyvalue.Era(response.StoreEra)}
	for _, entry := range response.Entries {
		snapshot.Entries = append(snapshot.Entries, keyvalue.Entry{Key: entry.Key, Value: entry.Value})
	}
	if response.Since != 0 {
		snapshot.Entries = applyDiff(have.Entries, snapshot.Entries, response.Gone)
	}
	return snapshot, nil
}
