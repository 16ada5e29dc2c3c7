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
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// askTimeout bounds the question to one other instance.
	askTimeout = 2 * time.Second
	// asksAtOnce bounds the instances that are asked at a time.
	asksAtOnce = 32
)

// operatorSide answers operators with what the daemon knows.
type operatorSide struct {
	daemon *daemon
}

func (side *operatorSide) server() *operator.Server {
	return &operator.Server{
		Config: side.daemon.config, Log: side.daemon.log,
		Applied: side.applied, Endpoints: side.endpoints, Instances: side.instances,
		Status: side.status, Explain: side.explain,
	}
}

// listed returns the instances on the membership list that are to answer.
func (side *operatorSide) listed() []peridotpath.Instance {
	if list := side.daemon.fleet.follower.Current(); list != nil {
		return list.Instances
	}
	return nil
}

// applied asks every live instance for its revision of a document. A leaving one
// may be gone while the list still has it; an operator would wait for it in vain.
func (side *operatorSide) applied(ctx context.Context, document config.DocumentName) ([]*pb.InstanceRevision, error) {
	instances := slices.DeleteFunc(slices.Clone(side.listed()), func(instance peridotpath.Instance) bool {
		return instance.State != peridotpath.StateLive
	})
	return askAll(instances, func(instance peridotpath.Instance) *pb.InstanceRevision {
		return askApplied(ctx, instance, document)
	}), nil
}

// askAll asks the instances, some at a time, and returns their answers in the
// order of the instances.
func askAll[T any](instances []peridotpath.Instance, ask func(peridotpath.Instance) T) []T {
	answers := make([]T, len(instances))
	var group errgroup.Group
	group.SetLimit(asksAtOnce)
	for i, instance := range instances {
		group.Go(func() error {
			answers[i] = ask(instance)
			return nil
		})
	}
	_ = group.Wait()
	return answers
}

// operatorClient speaks to another instance as an operator does.
func operatorClient(instance peridotpath.Instance) pb.Operator {
	return pb.NewOperatorProtobufClient("http://"+instance.Peer.String(), outbound.Doer{})
}

func askApplied(ctx context.Context, instance peridotpath.Instance, document config.DocumentName) *pb.InstanceRevision {
	answer := &pb.InstanceRevision{Instance: string(instance.ID), DataCentre: string(instance.DataCentre)}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

func (side *operatorSide) endpoints(context.Context) ([]*pb.Endpoint, error) {
	now := time.Now()
	var endpoints []*pb.Endpoint
	for _, state := range side.daemon.scheduler.Endpoints(now) {
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

func (side *operatorSide) instances(ctx context.Context) ([]*pb.Instance, error) {
	return askAll(side.listed(), func(instance peridotpath.Instance) *pb.Instance {
		return side.askInstance(ctx, instance)
	}), nil
}

func (side *operatorSide) askInstance(ctx context.Context, instance peridotpath.Instance) *pb.Instance {
	answer := &pb.Instance{
		Id: string(instance.ID), Incarnation: uint64(instance.Incarnation), DataCentre: string(instance.DataCentre),
		CallerAddress: instance.Caller.String(), PeerAddress: instance.Peer.String(), State: string(instance.State),
	}
	for _, reader := range side.daemon.fleet.owners.Current().Readers() {
		answer.ConfigReader = answer.ConfigReader || reader.ID == instance.ID
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	status, err := operatorClient(instance).Status(ctx, &pb.StatusRequest{})
	if err != nil {
		answer.Error = err.Error()
		return answer
	}
	answer.Ready = status.Ready
	return answer
}

func (side *operatorSide) status(context.Context) (*pb.StatusResponse, error) {
	daemon := side.daemon
	response := &pb.StatusResponse{
		Instance: string(daemon.settings.InstanceID), DataCentre: string(daemon.settings.DataCentre),
		Ready: daemon.callers.IsReady(), Stopping: daemon.callers.Stopping(),
		ConfigAgeMs: time.Since(daemon.config.Contact()).Milliseconds(),
		Running:     int32(daemon.callers.Active()), Waiting: int32(daemon.scheduler.Waiting()),
	}
	for _, state := range daemon.scheduler.Endpoints(time.Now()) {
		switch {
		case daemon.drained(state.Endpoint.ID):
			response.EndpointsDrained++
		case state.Endpoint.State == peridotpath.StateLive:
			response.EndpointsLive++
		default:
			response.EndpointsLeaving++
		}
	}
	addFigures(response)
	return response, nil
}

func addFigures(response *pb.StatusResponse) {
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

func (side *operatorSide) explain(_ context.Context, request *pb.ExplainRequest) (*pb.ExplainResponse, error) {
	daemon := side.daemon
	profile := daemon.currentConfig().Profile(request.Profile)
	now := time.Now()
	prompt := peridotpath.Tokens(request.PromptTokens)
	need := prompt + profile.MaxOutputTokens
	work := &decide.Work{
		ID: "explain", Customer: &peridotpath.Customer{ID: peridotpath.CustomerID(request.Customer), Weight: 1},
		Profile: profile, Class: peridotpath.ClassOf(need, daemon.fleet.engineHolds(profile.Service)),
		Prompt: prompt, Output: profile.MaxOutputTokens, Arrived: now, Deadline: now.Add(profile.DeadlineMS.Duration()),
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
			Endpoint: string(candidate.Endpoint), PredictedTtftMs: candidate.FirstToken.Milliseconds(), Excluded: candidate.Excluded,
		})
	}
	return response, nil
}
