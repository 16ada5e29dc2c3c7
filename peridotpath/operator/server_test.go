package operator_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
	"peridotpath.example/peridotpath/operator"
	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

// serve starts a server on loopback over an in-memory key-value service with the given
// fault, and returns a client.
func serve(t *testing.T, fault func(context.Context, string, string, bool) error) pb.Operator {
	t.Helper()
	store := &config.Store{KeyValue: (&memory.Memory{Fault: fault}).Store(), Log: zerolog.Nop()}
	if _, err := store.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	server := &operator.Server{
		Config: store,
		Log:    zerolog.Nop(),
		Endpoints: func(context.Context) ([]*pb.Endpoint, error) {
			return []*pb.Endpoint{{Id: "e1"}, {Id: "e2"}}, nil
		},
		Status: func(context.Context) (*pb.StatusResponse, error) {
			return nil, keyvalue.ErrUnavailable.New("no answer")
		},
	}
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	return pb.NewOperatorProtobufClient(listener.URL, http.DefaultClient)
}

func TestChangeOutcomes(t *testing.T) {
	const good = `{"name": "p", "service": "s"}`
	tests := []struct {
		name    string
		request *pb.ChangeRequest
		want    pb.Outcome
	}{
		{"accepted", &pb.ChangeRequest{ChangeId: "1", Value: good}, pb.Outcome_OUTCOME_ACCEPTED},
		{"repeated with the same id", &pb.ChangeRequest{ChangeId: "1", Value: good}, pb.Outcome_OUTCOME_ACCEPTED},
		{"based on no item, but one exists", &pb.ChangeRequest{ChangeId: "2", Value: good}, pb.Outcome_OUTCOME_CONFLICT},
		{"forced", &pb.ChangeRequest{ChangeId: "3", Value: good, Force: true}, pb.Outcome_OUTCOME_ACCEPTED},
		{"faults", &pb.ChangeRequest{ChangeId: "4", Value: `{"name": "p"}`, Base: 2}, pb.Outcome_OUTCOME_FAULTS},
		{"no JSON", &pb.ChangeRequest{ChangeId: "5", Value: ``, Base: 2}, pb.Outcome_OUTCOME_FAULTS},
		{"deleted", &pb.ChangeRequest{ChangeId: "6", Delete: true, Base: 2}, pb.Outcome_OUTCOME_ACCEPTED},
	}
	client := serve(t, nil)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			test.request.Who, test.request.Kind, test.request.Name = "nimal", "profile", "p"
			response, err := client.Change(t.Context(), test.request)
			is.NoErr(err)
			is.Equal(response.Outcome, test.want)
			if test.want == pb.Outcome_OUTCOME_CONFLICT {
				is.Equal(response.Conflict.Current, uint64(1))
				is.Equal(response.Conflict.Last.ChangeId, "1")
			}
		})
	}
	is := is.New(t)
	history, err := client.History(t.Context(), &pb.HistoryRequest{Limit: 2})
	is.NoErr(err)
	is.Equal(history.Events[0].ChangeId, "6")
	is.True(history.Events[0].Deleted)
}

// While the platform is down, a change must return NOT_ACCEPTED: the operator then
// knows that nothing changed.
func TestChangeDuringOutage(t *testing.T) {
	is := is.New(t)
	client := serve(t, func(_ context.Context, call, _ string, _ bool) error {
		if call == "list" {
			return nil
		}
		return keyvalue.ErrNotSent.New("no route")
	})
	response, err := client.Change(t.Context(), &pb.ChangeRequest{ChangeId: "1", Who: "nimal", Kind: "drain", Name: "e1", Delete: true})
	is.NoErr(err)
	is.Equal(response.Outcome, pb.Outcome_OUTCOME_NOT_ACCEPTED)
}

func TestListEndpointsMarksDrained(t *testing.T) {
	is := is.New(t)
	client := serve(t, nil)
	_, err := client.Change(t.Context(), &pb.ChangeRequest{
		ChangeId: "1", Who: "nimal", Kind: "drain", Name: "e2", Value: `{"endpoint": "e2", "reason": "fan"}`,
	})
	is.NoErr(err)
	list, err := client.ListEndpoints(t.Context(), &pb.ListEndpointsRequest{})
	is.NoErr(err)
	is.True(!list.Endpoints[0].Drained)
	is.True(list.Endpoints[1].Drained)
	is.Equal(list.Endpoints[1].Reason, "fan")
}

func TestErrorCodes(t *testing.T) {
	is := is.New(t)
	client := serve(t, nil)
	_, err := client.GetItem(t.Context(), &pb.GetItemRequest{Kind: "profile", Name: "none"})
	is.Equal(codeOf(err), twirp.NotFound)
	_, err = client.History(t.Context(), &pb.HistoryRequest{})
	is.Equal(codeOf(err), twirp.InvalidArgument)
	_, err = client.Status(t.Context(), &pb.StatusRequest{})
	is.Equal(codeOf(err), twirp.Unavailable)
	_, err = client.Explain(t.Context(), &pb.ExplainRequest{Profile: "none", PromptTokens: 1})
	is.Equal(codeOf(err), twirp.NotFound)
}

func codeOf(err error) twirp.ErrorCode {
	var failure twirp.Error
	if !errors.As(err, &failure) {
		return twirp.NoError
	}
	return failure.Code()
}
