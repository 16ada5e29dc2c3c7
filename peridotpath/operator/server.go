// Package operator serves the administrative API of an instance.
//
// Operators read and change the configuration through it, with optimistic
// concurrency control by item revision, and inspect endpoints, instances, status
// and placement decisions. It is a Twirp service: the messages and the client,
// which peridotctl uses, are in operatorpb.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

// Server implements the administrative API. Set the exported fields before calling
// Handler.
type Server struct {
	Config *config.Store
	Log    zerolog.Logger
	// AppliedRevisions returns the revision of a document on each live instance, including an
	// entry for each instance that did not respond.
	AppliedRevisions func(ctx context.Context, document config.DocumentName) ([]*pb.InstanceRevision, error)
	// Endpoints returns the endpoints with their load. The server adds whether
	// operators have drained them.
	Endpoints func(ctx context.Context) ([]*pb.Endpoint, error)
	// Instances returns the instances on the membership list.
	Instances func(ctx context.Context) ([]*pb.Instance, error)
	// Status returns the state and load of this instance.
	Status func(ctx context.Context) (*pb.StatusResponse, error)
	// Explain returns the placement decision that a request would get now.
	Explain func(ctx context.Context, request *pb.ExplainRequest) (*pb.ExplainResponse, error)
}

const (
	// changeTimeout bounds one change. It allows several attempts at the platform
	// when each response takes 2 s.
	changeTimeout = 15 * time.Second
	// maxHistoryEvents bounds one response about history.
	maxHistoryEvents = 1_000
)

// Handler returns the HTTP handler to be served under PathPrefix.
func (server *Server) Handler() http.Handler {
	return pb.NewOperatorServer(service{server})
}

// PathPrefix is the URL path prefix under which Handler must be served.
const PathPrefix = pb.OperatorPathPrefix

// service implements the RPC methods, whose names collide with fields of Server.
type service struct{ server *Server }

// ListItems returns the items of one kind.
func (service service) ListItems(_ context.Context, request *pb.ListItemsRequest) (*pb.ListItemsResponse, error) {
	snapshot, err := service.snapshot()
	if err != nil {
		return nil, err
	}
	items, err := snapshot.Items(config.Kind(request.Kind))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	response := &pb.ListItemsResponse{}
	for _, item := range items {
		response.Items = append(response.Items, itemToProto(request.Kind, item))
	}
	return response, nil
}

// GetItem returns one item.
func (service service) GetItem(_ context.Context, request *pb.GetItemRequest) (*pb.Item, error) {
	snapshot, err := service.snapshot()
	if err != nil {
		return nil, err
	}
	item, err := snapshot.Item(config.Kind(request.Kind), request.Name)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	if item == nil {
		return nil, twirp.NotFoundError(request.Kind + " " + request.Name + " does not exist")
	}
	return itemToProto(request.Kind, *item), nil
}

// Change creates, replaces or deletes one item.
func (service service) Change(ctx context.Context, request *pb.ChangeRequest) (*pb.ChangeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	accepted, err := service.server.Config.Change(ctx, changeFromProto(request))
	response := responseOf(accepted, err)
	service.server.Log.Info().Str("event", "config_change").Str("change_id", request.ChangeId).
		Str("who", request.Who).Str("kind", request.Kind).Str("name", request.Name).
		Str("outcome", response.Outcome.String()).Uint64("revision", response.Revision).Err(err).Send()
	return response, nil
}

// History returns the last accepted changes.
func (service service) History(_ context.Context, request *pb.HistoryRequest) (*pb.HistoryResponse, error) {
	snapshot, err := service.snapshot()
	if err != nil {
		return nil, err
	}
	if request.Limit < 1 || request.Limit > maxHistoryEvents {
		return nil, twirp.InvalidArgumentError("limit", "must be from 1 to 1000")
	}
	events, err := snapshot.History(int(request.Limit))
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	response := &pb.HistoryResponse{}
	for i := range events {
		response.Events = append(response.Events, eventToProto(&events[i]))
	}
	return response, nil
}

// Applied returns one document's revision on each live instance.
func (service service) Applied(ctx context.Context, request *pb.AppliedRequest) (*pb.AppliedResponse, error) {
	document := config.DocumentName(request.Document)
	if request.Local {
		revision := service.server.Config.ActiveRevisions()[document]
		return &pb.AppliedResponse{Instances: []*pb.InstanceRevision{{Revision: uint64(revision)}}}, nil
	}
	instances, err := service.server.AppliedRevisions(ctx, document)
	return &pb.AppliedResponse{Instances: instances}, toTwirpError(err)
}

// ListEndpoints returns the endpoints with their load.
func (service service) ListEndpoints(ctx context.Context, _ *pb.ListEndpointsRequest) (*pb.ListEndpointsResponse, error) {
	snapshot, err := service.snapshot()
	if err != nil {
		return nil, err
	}
	endpoints, err := service.server.Endpoints(ctx)
	if err != nil {
		return nil, toTwirpError(err)
	}
	for _, endpoint := range endpoints {
		drain, drained := snapshot.Drains[peridotpath.EndpointID(endpoint.Id)]
		endpoint.Drained, endpoint.Reason = drained, drain.Reason
	}
	return &pb.ListEndpointsResponse{Endpoints: endpoints}, nil
}

// ListInstances returns the instances on the membership list.
func (service service) ListInstances(ctx context.Context, _ *pb.ListInstancesRequest) (*pb.ListInstancesResponse, error) {
	instances, err := service.server.Instances(ctx)
	return &pb.ListInstancesResponse{Instances: instances}, toTwirpError(err)
}

// Status returns the state and load of the instance.
func (service service) Status(ctx context.Context, _ *pb.StatusRequest) (*pb.StatusResponse, error) {
	status, err := service.server.Status(ctx)
	return status, toTwirpError(err)
}

// Explain returns the placement decision that a request would get now.
func (service service) Explain(ctx context.Context, request *pb.ExplainRequest) (*pb.ExplainResponse, error) {
	if request.PromptTokens < 1 || request.PromptTokens > int64(peridotpath.MaxPrompt) {
		return nil, twirp.InvalidArgumentError("prompt_tokens", "must be from 1 to 1100000")
	}
	snapshot, err := service.snapshot()
	if err != nil {
		return nil, err
	}
	if snapshot.Config.Profile(request.Profile) == nil {
		return nil, twirp.NotFoundError("profile " + request.Profile + " does not exist")
	}
	explanation, err := service.server.Explain(ctx, request)
	return explanation, toTwirpError(err)
}

func (service service) snapshot() (*config.Snapshot, error) {
	snapshot := service.server.Config.Current()
	if snapshot == nil {
		return nil, twirp.NewError(twirp.Unavailable, "the instance has no configuration yet")
	}
	return snapshot, nil
}

// toTwirpError returns err if it is a twirp error. It converts any other error to
// twirp.Unavailable, on which peridotctl calls another instance.
func toTwirpError(err error) error {
	if err == nil {
		return nil
	}
	var twirpErr twirp.Error
	if errors.As(err, &twirpErr) {
		return twirpErr
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}

func changeFromProto(request *pb.ChangeRequest) config.Change {
	change := config.Change{
		ID: config.ChangeID(request.ChangeId), Who: request.Who,
		Kind: config.Kind(request.Kind), Name: request.Name,
		Base: peridotpath.Revision(request.Base),
	}
	if request.Force {
		change.Base = config.AnyRevision
	}
	if !request.Delete {
		change.Value = json.RawMessage(request.Value)
	}
	return change
}

// responseOf converts the result of a change to a typed outcome.
func responseOf(accepted config.Accepted, err error) *pb.ChangeResponse {
	var faults peridotpath.Faults
	var conflict *config.Conflict
	switch {
	case err == nil:
		return &pb.ChangeResponse{
			Outcome:  pb.Outcome_OUTCOME_ACCEPTED,
			Document: string(accepted.Document), Revision: uint64(accepted.Revision),
		}
	case errors.As(err, &faults):
		return &pb.ChangeResponse{Outcome: pb.Outcome_OUTCOME_FAULTS, Faults: faultsToProto(faults)}
	case errors.As(err, &conflict):
		return &pb.ChangeResponse{Outcome: pb.Outcome_OUTCOME_CONFLICT, Conflict: conflictToProto(conflict)}
	case config.ErrNotAccepted.Has(err):
		return &pb.ChangeResponse{Outcome: pb.Outcome_OUTCOME_NOT_ACCEPTED, Reason: err.Error()}
	default:
		return &pb.ChangeResponse{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Reason: err.Error()}
	}
}

func faultsToProto(faults peridotpath.Faults) []*pb.Fault {
	converted := make([]*pb.Fault, 0, len(faults))
	for _, fault := range faults {
		converted = append(converted, &pb.Fault{Path: fault.Path, Message: fault.Message})
	}
	return converted
}

func conflictToProto(conflict *config.Conflict) *pb.Conflict {
	return &pb.Conflict{
		Base: uint64(conflict.Base), Current: uint64(conflict.Current),
		Yours: string(conflict.Yours), Theirs: string(conflict.Theirs), Last: eventToProto(conflict.Last),
	}
}

func eventToProto(event *config.Event) *pb.Event {
	if event == nil {
		return nil
	}
	return &pb.Event{
		Revision: uint64(event.Revision), ChangeId: string(event.ID), Who: event.Who,
		WhenMs: event.When.UnixMilli(), Kind: string(event.Kind), Name: event.Name, Deleted: event.Deleted,
	}
}

func itemToProto(kind string, item config.Item) *pb.Item {
	return &pb.Item{Kind: kind, Name: item.Name, Revision: uint64(item.Revision), Value: string(item.Value)}
}
