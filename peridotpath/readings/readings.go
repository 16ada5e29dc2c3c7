// Package readings lets instances ask each other for what they have read of the
// platform's store, so that a change costs the store a call or two and not one
// for each instance.
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

// PathPrefix is where the service is found.
const PathPrefix = "/peer"

// askTimeout bounds one question to a peer; the store is asked after it.
const askTimeout = 400 * time.Millisecond

// maxRouting bounds a routing, in bytes: some times what the store takes.
const maxRouting = 8 << 20

// Server answers peers. LastRouting and LastEndpoints return false before the
// first reading, RoutingOf and EndpointsOf where the reading of that version or
// content is not kept.
type Server struct {
	LastRouting   func() (Routing, bool)
	RoutingOf     func(version keyvalue.Version) (Routing, bool)
	LastEndpoints func() (Endpoints, bool)
	EndpointsOf   func(content uint64) (Endpoints, bool)

	packed packedRoutings
}

// Handler returns the handler of the service's paths.
func (server *Server) Handler() http.Handler {
	return compressed(wire.NewReadingsServer(service{server}, twirp.WithServerPathPrefix(PathPrefix)))
}

// service is the server in the form of the generated interface.
type service struct{ server *Server }

// Routing answers a peer with what changed since the reading that it has, where
// that is kept here.
func (service service) Routing(_ context.Context, query *wire.RoutingQuery) (*wire.RoutingReading, error) {
	reading, ok := service.server.LastRouting()
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "nothing was read yet")
	}
	var base Routing
	if query.Have != 0 {
		base, _ = service.server.RoutingOf(keyvalue.Version(query.Have))
	}
	packed, err := service.server.packed.of(reading, base)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &wire.RoutingReading{
		StoreVersion: uint64(reading.Version), Packed: packed, Age: clock.Micros(reading.Age), Since: uint64(base.Version),
	}, nil
}

// Endpoints answers a peer.
func (service service) Endpoints(_ context.Context, query *wire.EndpointsQuery) (*wire.EndpointsReading, error) {
	reading, ok := service.server.LastEndpoints()
	if !ok {
		return nil, twirp.NewError(twirp.Unavailable, "nothing was read yet")
	}
	answer := &wire.EndpointsReading{
		Age: clock.Micros(reading.Age), Read: true, Content: reading.Content, StoreEra: uint64(reading.Era),
	}
	entries := reading.Entries
	if before, kept := service.server.EndpointsOf(query.Content); kept {
		answer.Since = query.Content
		entries, answer.Gone = changes(before.Entries, reading.Entries)
	}
	for _, entry := range entries {
		answer.Entries = append(answer.Entries, &wire.Entry{Key: entry.Key, Value: entry.Value})
	}
	return answer, nil
}

func client(peer netip.AddrPort) wire.Readings {
	return wire.NewReadingsProtobufClient("http://"+peer.String(), doer{}, twirp.WithClientPathPrefix(PathPrefix))
}

// AskRouting asks a peer for the routing; of a peer that knows what this instance
// has, only what changed comes.
func AskRouting(ctx context.Context, peer netip.AddrPort, have Routing) (Routing, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := client(peer).Routing(ctx, &wire.RoutingQuery{Have: uint64(have.Version)})
	if err != nil {
		return Routing{}, err
	}
	var base []byte
	if answer.Since != 0 {
		base = have.Value
	}
	value, err := delta.Unpack(answer.Packed, base, maxRouting)
	if err != nil {
		return Routing{}, err
	}
	return Routing{Version: keyvalue.Version(answer.StoreVersion), Value: value, Age: clock.FromMicros(answer.Age)}, nil
}

// AskEndpoints asks a peer for the endpoints; of a peer that knows what this
// instance has, only the changes come.
func AskEndpoints(ctx context.Context, peer netip.AddrPort, have Endpoints) (Endpoints, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := client(peer).Endpoints(ctx, &wire.EndpointsQuery{Content: have.Content})
	if err != nil {
		return Endpoints{}, err
	}
	reading := Endpoints{Age: clock.FromMicros(answer.Age), Content: answer.Content, Era: keyvalue.Era(answer.StoreEra)}
	for _, entry := range answer.Entries {
		reading.Entries = append(reading.Entries, keyvalue.Entry{Key: entry.Key, Value: entry.Value})
	}
	if answer.Since != 0 {
		reading.Entries = merge(have.Entries, reading.Entries, answer.Gone)
	}
	return reading, nil
}
