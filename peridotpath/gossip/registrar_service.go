package gossip

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/twitchtv/twirp"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/gossip/wire"
	"peridotpath.example/peridotpath/outbound"
)

// RegistrarPathPrefix is the URL path prefix under which RegistrarHandler is served.
const RegistrarPathPrefix = "/registrar"

// maxReplyBytes bounds a registrar's reply, which lists the instances of a fleet with some 20 bytes each.
const maxReplyBytes = 4 << 20

// RegistrarHandler returns the HTTP handler through which instances join a registrar.
func RegistrarHandler(registry *Registry) http.Handler {
	return wire.NewRegistrarServer(registrarService{registry}, twirp.WithServerPathPrefix(RegistrarPathPrefix))
}

// registrarService implements the generated interface.
type registrarService struct{ registry *Registry }

// Join registers the caller.
func (service registrarService) Join(ctx context.Context, request *wire.JoinRequest) (*wire.JoinReply, error) {
	instance, ok := decodeInstance(request.Instance, peridotpath.DataCentre(request.DataCentre))
	if !ok {
		return nil, twirp.InvalidArgumentError("instance", "is no IP number and port")
	}
	reply := service.registry.HandleJoin(ctx, JoinRequest{Instance: instance, Content: request.Content})
	return encodeReply(reply), nil
}

// JoinThrough asks a registrar to register an instance, and to keep it registered.
func JoinThrough(ctx context.Context, registrar Peer, request JoinRequest) (JoinReply, error) {
	address := netip.AddrPortFrom(registrar.Address.Addr(), registrar.SnapshotPort)
	client := wire.NewRegistrarProtobufClient("http://"+address.String(), outbound.Doer{MaxReply: maxReplyBytes}, twirp.WithClientPathPrefix(RegistrarPathPrefix))
	reply, err := client.Join(ctx, &wire.JoinRequest{
		Instance: encodeInstance(request.Instance), DataCentre: string(request.Instance.DataCentre), Content: request.Content,
	})
	if err != nil {
		return JoinReply{}, Error.New("join %s: %v", address, err)
	}
	return decodeReply(reply), nil
}

func encodeReply(reply JoinReply) *wire.JoinReply {
	encoded := &wire.JoinReply{Accepted: reply.Accepted, Full: reply.Full, Content: reply.List.Content}
	byName := map[peridotpath.DataCentre]*wire.DataCentre{}
	for _, peer := range reply.List.Peers {
		dataCentre := byName[peer.DataCentre]
		if dataCentre == nil {
			dataCentre = &wire.DataCentre{Name: string(peer.DataCentre)}
			byName[peer.DataCentre] = dataCentre
			encoded.DataCentres = append(encoded.DataCentres, dataCentre)
		}
		dataCentre.Instances = append(dataCentre.Instances, encodeInstance(peer))
	}
	return encoded
}

// decodeReply decodes a reply. It skips instances without a valid address, which only an
// instance of another version sends.
func decodeReply(encoded *wire.JoinReply) JoinReply {
	reply := JoinReply{Accepted: encoded.Accepted, Full: encoded.Full, List: InstanceList{Content: encoded.Content}}
	for _, dataCentre := range encoded.DataCentres {
		for _, instance := range dataCentre.Instances {
			if peer, ok := decodeInstance(instance, peridotpath.DataCentre(dataCentre.Name)); ok {
				reply.List.Peers = append(reply.List.Peers, peer)
			}
		}
	}
	if reply.List.Peers != nil {
		reply.List = newInstanceList(reply.List.Peers)
	}
	return reply
}

func encodeInstance(peer Peer) *wire.Instance {
	// An address that was parsed can be marshalled.
	address, _ := peer.Address.MarshalBinary()
	return &wire.Instance{Address: address, SnapshotPort: uint32(peer.SnapshotPort), Registrar: peer.IsRegistrar}
}

// decodeInstance decodes an instance; false if it has no valid address.
func decodeInstance(encoded *wire.Instance, dataCentre peridotpath.DataCentre) (Peer, bool) {
	peer := Peer{DataCentre: dataCentre, SnapshotPort: uint16(encoded.GetSnapshotPort()), IsRegistrar: encoded.GetRegistrar()}
	err := peer.Address.UnmarshalBinary(encoded.GetAddress())
	return peer, err == nil && peer.Address.IsValid()
}
