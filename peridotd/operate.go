package main

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/operator"
	pb "peridotpath.example/peridotpath/operator/operatorpb"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// queryTimeout bounds the query to one instance.
	queryTimeout = 2 * time.Second
	// maxConcurrentQueries bounds the concurrent queries of an operator's request.
	maxConcurrentQueries = 32
)

// operatorBackend serves the operators' API from the daemon's state.
type operatorBackend struct {
	daemon *daemon
}

func (backend *operatorBackend) server() *operator.Server {
	return &operator.Server{
		Config: backend.daemon.config, Log: backend.daemon.log,
		AppliedRevisions: backend.appliedRevisions, Endpoints: backend.endpoints, Instances: backend.instances,
		Status: backend.status, Explain: backend.explain,
	}
}

// listedInstances returns the instances on the membership list.
func (backend *operatorBackend) listedInstances() []peridotpath.Instance {
	if list := backend.daemon.fleet.follower.Current(); list != nil {
		return list.Instances
	}
	return nil
}

// appliedRevisions queries all live instances for their applied revision of a document. Leaving
// instances are omitted: one may already have stopped, and its query would time out.
func (backend *operatorBackend) appliedRevisions(ctx context.Context, document config.DocumentName) ([]*pb.InstanceRevision, error) {
	instances := slices.DeleteFunc(slices.Clone(backend.listedInstances()), func(instance peridotpath.Instance) bool {
		return instance.State != peridotpath.StateLive
	})
	return queryAll(instances, func(instance peridotpath.Instance) *pb.InstanceRevision {
		return queryRevision(ctx, instance, document)
	}), nil
}

// queryAll queries the instances with bounded concurrency and returns their answers in the
// order of the instances.
func queryAll[T any](instances []peridotpath.Instance, query func(peridotpath.Instance) T) []T {
	answers := make([]T, len(instances))
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i, instance := range instances {
		group.Go(func() error {
			answers[i] = query(instance)
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

// operatorClient returns a client of the instance's operator API.
func operatorClient(instance peridotpath.Instance) pb.Operator {
	return operator.Connect(instance.Peer)
}

func queryRevision(ctx context.Context, instance peridotpath.Instance, document config.DocumentName) *pb.InstanceRevision {
	answer := &pb.InstanceRevision{Instance: string(instance.ID), DataCentre: string(instance.DataCentre)}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := operatorClient(instance).Applied(ctx, &pb.AppliedRequest{Document: string(document), Local: true})
	switch {
	case err != nil:
		answer.Error = err.Error()
	case len(response.Instances) == 1:
		answer.Revision = response.Instances[0].Revision
	default:
		answer.Error = "no revision in the answer"
	}
	return answer
}

func (backend *operatorBackend) endpoints(context.Context) ([]*pb.Endpoint, error) {
	now := time.Now()
	var endpoints []*pb.Endpoint
	for _, state := range backend.daemon.scheduler.Endpoints(now) {
		age := int64(-1)
		if !state.Load.AsOf.IsZero() {
			age = now.Sub(state.Load.AsOf).Milliseconds()
		}
		endpoints = append(endpoints, &pb.Endpoint{
			Id: string(state.Endpoint.ID), Service: string(state.Endpoint.Service), Kind: string(state.Endpoint.Kind),
			DataCentre: string(state.Endpoint.DataCentre), Address: state.Endpoint.Address.String(),
			State: string(state.Endpoint.State), Ejected: state.Ejected,
			Running: int32(state.Load.Running), Waiting: int32(state.Load.Waiting),
			PrefillTokens: int64(state.Load.PrefillTokens), KvUsedTokens: int64(state.Load.KVUsed),
			KvTokens: int64(state.Load.KVTokens), ReportAgeMs: age,
		})
	}
	return endpoints, nil
}

func (backend *operatorBackend) instances(ctx context.Context) ([]*pb.Instance, error) {
	return queryAll(backend.listedInstances(), func(instance peridotpath.Instance) *pb.Instance {
		return backend.queryInstance(ctx, instance)
	}), nil
}

func (backend *operatorBackend) queryInstance(ctx context.Context, instance peridotpath.Instance) *pb.Instance {
	answer := &pb.Instance{
		Id: string(instance.ID), Incarnation: uint64(instance.Incarnation), DataCentre: string(instance.DataCentre),
		CallerAddress: instance.Caller.String(), PeerAddress: instance.Peer.String(), State: string(instance.State),
	}
	for _, reader := range backend.daemon.fleet.owners.Current().Readers() {
		answer.ConfigReader = answer.ConfigReader || reader.ID == instance.ID
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	status, err := operatorClient(instance).Status(ctx, &pb.StatusRequest{})
	if err != nil {
		answer.Error = err.Error()
		return answer
	}
	answer.Ready = status.Ready
	return answer
}

func (backend *operatorBackend) status(context.Context) (*pb.StatusResponse, error) {
	daemon := backend.daemon
	response := &pb.StatusResponse{
		Instance: string(daemon.settings.InstanceID), DataCentre: string(daemon.settings.DataCentre),
		Ready: daemon.callers.IsReady(), Stopping: daemon.callers.IsStopping(),
		ConfigAgeMs: time.Since(daemon.config.LastContact()).Milliseconds(),
		Running:     int32(daemon.callers.ActiveRequests()), Waiting: int32(daemon.scheduler.QueuedCount()),
	}
	for _, state := range daemon.scheduler.Endpoints(time.Now()) {
		switch {
		case daemon.isDrained(state.Endpoint.ID):
			response.EndpointsDrained++
		case state.Endpoint.State == peridotpath.StateLive:
			response.EndpointsLive++
		default:
			response.EndpointsLeaving++
		}
	}
	addTelemetry(response)
	return response, nil
}

func addTelemetry(response *pb.StatusResponse) {
	for _, times := range telemetry.TimeToFirstTokenQuantiles() {
		response.Classes = append(response.Classes, &pb.ClassTimes{
			Class: times.Class.String(), Count: times.Count,
			P50Ms: times.P50.Milliseconds(), P95Ms: times.P95.Milliseconds(), P99Ms: times.P99.Milliseconds(),
		})
	}
	for _, count := range telemetry.ResultCounts() {
		if count.Code != peridotpath.CodeOK {
			response.Refusals = append(response.Refusals, &pb.Count{Reason: count.Code.String(), Count: count.Count})
		}
	}
	for _, count := range telemetry.RetryCounts() {
		response.Retries = append(response.Retries, &pb.Count{Reason: count.Reason, Count: count.Count})
	}
}

func (backend *operatorBackend) explain(_ context.Context, request *pb.ExplainRequest) (*pb.ExplainResponse, error) {
	daemon := backend.daemon
	profile := daemon.currentConfig().Profile(request.Profile)
	now := time.Now()
	prompt := peridotpath.Tokens(request.PromptTokens)
	need := prompt + profile.MaxOutputTokens
	work := &decide.Work{
		ID: "explain", Customer: &peridotpath.Customer{ID: peridotpath.CustomerID(request.Customer), Weight: 1},
		Profile: profile, Class: peridotpath.ClassOf(need, daemon.fleet.largestEngineKV(profile.Service)),
		PromptTokens: prompt, MaxOutputTokens: profile.MaxOutputTokens, ArrivedAt: now, Deadline: now.Add(profile.DeadlineMS.Duration()),
	}
	explanation := daemon.scheduler.Explain(now, work)
	response := &pb.ExplainResponse{
		Profile: string(profile.Name), Service: string(profile.Service), Class: work.Class.String(),
		Verdict: explanation.Verdict.String(), Endpoint: string(explanation.Endpoint),
	}
	if result := explanation.Result; result != nil {
		response.Code, response.Name, response.Message = int32(result.Code), result.Code.String(), result.Code.Message()
		response.RetryAfterMs = result.RetryAfter.Milliseconds()
	}
	for _, candidate := range explanation.Candidates {
		response.Candidates = append(response.Candidates, &pb.Candidate{
			Endpoint: string(candidate.Endpoint), PredictedTtftMs: candidate.PredictedTTFT.Milliseconds(), Excluded: candidate.ExclusionReason,
		})
	}
	return response, nil
}
