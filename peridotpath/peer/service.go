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

// maxLongPoll bounds the wait time that a peer may request.
const maxLongPoll = 30 * time.Second

// maxReplyBytes bounds an instance's reply: all documents of the configuration, compressed, as the store
// would list them.
const maxReplyBytes = 64 << 20

// PathPrefix is the URL path prefix of the protocol's methods.
const PathPrefix = wire.PeerPathPrefix

// Service is the server side of the protocol between instances. Set the exported fields
// before the first call of a method.
type Service struct {
	Exchanger *Exchanger
	// WaitForUpdate returns the documents that are newer than have. If there is none, it waits
	// for one until wait has passed. It is usually the method of config.Store.
	WaitForUpdate func(ctx context.Context, have config.Revisions, wait time.Duration) (config.Update, error)

	revisions revisionCache
	documents documentDeflater
}

// Handler returns the HTTP handler of the protocol, to be mounted under PathPrefix.
func (service *Service) Handler() http.Handler {
	return wire.NewPeerServer(&twirpServer{service})
}

// twirpServer implements the generated wire.Peer interface, so that Service does not export
// its methods.
type twirpServer struct{ service *Service }

// Exchange implements wire.Peer.
func (twirpServer *twirpServer) Exchange(_ context.Context, received *wire.Digest) (*wire.Digest, error) {
	answer, err := twirpServer.service.Exchanger.HandleDigest(time.Now(), received)
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return answer, nil
}

// Changes implements wire.Peer.
func (twirpServer *twirpServer) Changes(ctx context.Context, request *wire.ChangesRequest) (*wire.ChangesReply, error) {
	reply, err := twirpServer.service.HandleChanges(ctx, request)
	switch {
	case err == nil:
		return reply, nil
	case ErrUnreadableVersion.Has(err):
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	default:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
}

// HandleChanges handles another instance's request for configuration documents. If the
// revisions with the hash of the request are not cached, the reply requests them.
func (service *Service) HandleChanges(ctx context.Context, request *wire.ChangesRequest) (*wire.ChangesReply, error) {
	if !digest.IsReadable(request.GetVersion()) {
		return nil, ErrUnreadableVersion.New("changes: protocol %d", request.GetVersion().GetProtocol())
	}
	have, found := service.revisions.resolve(request)
	if !found {
		return &wire.ChangesReply{Version: digest.Version(), SendRevisions: true}, nil
	}
	maxDelay := min(time.Duration(request.WaitMs)*time.Millisecond, maxLongPoll)
	update, err := service.WaitForUpdate(ctx, have, maxDelay)
	if err != nil {
		return nil, err
	}
	service.revisions.addUpdated(have, update)
	return service.documents.encodeUpdate(update)
}

// Client calls other instances.
type Client struct{}

func (client *Client) connect(address netip.AddrPort) wire.Peer {
	return wire.NewPeerProtobufClient("http://"+address.String(), outbound.Doer{MaxReply: maxReplyBytes})
}

// Exchange sends a digest to an instance and returns the digest in its reply.
func (client *Client) Exchange(ctx context.Context, peer peridotpath.Instance, digest *wire.Digest) (*wire.Digest, error) {
	answer, err := client.connect(peer.Peer).Exchange(ctx, digest)
	return answer, classifyError(err)
}

// FetchChanges requests the configuration documents that are newer than those of the request.
// If there are none, the instance waits for one for up to the request's WaitMs.
func (client *Client) FetchChanges(ctx context.Context, peer peridotpath.Instance, request *wire.ChangesRequest) (*wire.ChangesReply, error) {
	reply, err := client.connect(peer.Peer).Changes(ctx, request)
	return reply, classifyError(err)
}

// classifyError wraps a version mismatch in ErrUnreadableVersion and any other error in Error.
func classifyError(err error) error {
	if err == nil {
		return nil
	}
	if failure, ok := err.(twirp.Error); ok && failure.Code() == twirp.FailedPrecondition { //nolint:errorlint // twirp returns it unwrapped
		return ErrUnreadableVersion.Wrap(err)
	}
	return Error.Wrap(err)
}
