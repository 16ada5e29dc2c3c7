package peer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/twitchtv/twirp"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/digest"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/peer/wire"
)

// maxWait bounds how long a peer may have its question wait.
const maxWait = 30 * time.Second

// PathPrefix is where Handler serves.
const PathPrefix = wire.PeerPathPrefix

// Service answers other instances. Set the exported fields before Handler.
type Service struct {
	Exchanger *Exchanger
	// Changes returns documents above have, waiting for one: Store.WaitForUpdate.
	Changes func(ctx context.Context, have config.Revisions, wait time.Duration) (config.Update, error)

	known  knownRevisions
	packer packer
}

// Handler serves the protocol under PathPrefix.
func (service *Service) Handler() http.Handler {
	return wire.NewPeerServer(&endpoints{service})
}

// endpoints keeps twirp's methods off Service.
type endpoints struct{ service *Service }

// Exchange is part of the protocol.
func (endpoints *endpoints) Exchange(_ context.Context, got *wire.Digest) (*wire.Digest, error) {
	answer, err := endpoints.service.Exchanger.Answer(time.Now(), got)
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return answer, nil
}

// Changes is part of the protocol.
func (endpoints *endpoints) Changes(ctx context.Context, request *wire.ChangesRequest) (*wire.ChangesReply, error) {
	reply, err := endpoints.service.Answer(ctx, request)
	switch {
	case err == nil:
		return reply, nil
	case ErrVersion.Has(err):
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	default:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
}

// Answer answers another instance's question for documents.
func (service *Service) Answer(ctx context.Context, request *wire.ChangesRequest) (*wire.ChangesReply, error) {
	if !digest.IsReadable(request.GetVersion()) {
		return nil, ErrVersion.New("changes: protocol %d", request.GetVersion().GetProtocol())
	}
	have, known := service.known.resolve(request)
	if !known {
		return &wire.ChangesReply{Version: digest.Version(), SendRevisions: true}, nil
	}
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxWait)
	update, err := service.Changes(ctx, have, wait)
	if err != nil {
		return nil, err
	}
	service.known.remember(have, update)
	return service.packer.pack(update)
}

// Client speaks to other instances.
type Client struct{}

func (client *Client) to(address netip.AddrPort) wire.Peer {
	return wire.NewPeerProtobufClient("http://"+address.String(), outbound.Doer{})
}

// Exchange hands a digest to an instance and returns its answer.
func (client *Client) Exchange(ctx context.Context, peer peridotpath.Instance, digest *wire.Digest) (*wire.Digest, error) {
	answer, err := client.to(peer.Peer).Exchange(ctx, digest)
	return answer, classify(err)
}

// Changes asks an instance for documents.
func (client *Client) Changes(ctx context.Context, peer peridotpath.Instance, request *wire.ChangesRequest) (*wire.ChangesReply, error) {
	reply, err := client.to(peer.Peer).Changes(ctx, request)
	return reply, classify(err)
}

func classify(err error) error {
	if err == nil {
		return nil
	}
	if failure, ok := err.(twirp.Error); ok && failure.Code() == twirp.FailedPrecondition { //nolint:errorlint // twirp returns it bare
		return ErrVersion.Wrap(err)
	}
	return Error.Wrap(err)
}
