package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
	"peridotpath.example/peridotpath/logline"
	"peridotpath.example/peridotpath/operator"
	pb "peridotpath.example/peridotpath/operator/operatorpb"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// platformFaults injects faults into the key-value service.
type platformFaults struct {
	lostReplies int // number of swaps that will be applied but whose reply is lost
	down        bool
}

func (platformFaults *platformFaults) fault(_ context.Context, call, _ string, applied bool) error {
	if platformFaults.down && call != "list" {
		return keyvalue.ErrNotSent.New("no route")
	}
	if call == "swap" && applied && platformFaults.lostReplies > 0 {
		platformFaults.lostReplies--
		return keyvalue.ErrUnavailable.New("the answer was lost")
	}
	return nil
}

// serve returns the address of an instance that reports a fixed fleet and stores its
// configuration in a key-value service with the given faults. The second of the two
// reported instances lags by lag revisions.
func serve(t *testing.T, platformFaults *platformFaults, lag peridotpath.Revision) string {
	t.Helper()
	store := &config.Store{
		KeyValue: (&memory.Memory{Fault: platformFaults.fault}).Store(),
		Log:      zerolog.Nop(),
		Now:      func() time.Time { return time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC) },
	}
	if _, err := store.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	server := &operator.Server{
		Config: store, Log: zerolog.Nop(),
		Endpoints: func(context.Context) ([]*pb.Endpoint, error) { return cannedEndpoints(), nil },
		Instances: func(context.Context) ([]*pb.Instance, error) { return cannedInstances(), nil },
		Status:    func(context.Context) (*pb.StatusResponse, error) { return cannedStatus(), nil },
		Explain: func(_ context.Context, request *pb.ExplainRequest) (*pb.ExplainResponse, error) {
			return cannedExplanation(request), nil
		},
		AppliedRevisions: func(_ context.Context, document config.DocumentName) ([]*pb.InstanceRevision, error) {
			revision := store.ActiveRevisions()[document]
			return []*pb.InstanceRevision{
				{Instance: "colombo-a-1", DataCentre: "colombo-a", Revision: uint64(revision)},
				{Instance: "negombo-b-1", DataCentre: "negombo-b", Revision: uint64(revision - lag)},
			}, nil
		},
	}
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	return strings.TrimPrefix(listener.URL, "http://")
}

func cannedEndpoints() []*pb.Endpoint {
	return []*pb.Endpoint{
		{Id: "engine-1", Service: "claims-llm", Kind: "engine", DataCentre: "colombo-a", Address: "10.0.0.1:9000", State: "live", Running: 12, Waiting: 1, PrefillTokens: 40_000, KvUsedTokens: 300_000, KvTokens: 600_000, ReportAgeMs: 180},
		{Id: "engine-2", Service: "claims-llm", Kind: "engine", DataCentre: "negombo-b", Address: "10.0.1.1:9000", State: "leaving", ReportAgeMs: -1},
		{Id: "desk-1", Service: "desk-app", Kind: "plain", DataCentre: "colombo-a", Address: "10.0.0.7:9000", State: "live", Ejected: true, ReportAgeMs: 90},
	}
}

func cannedInstances() []*pb.Instance {
	return []*pb.Instance{
		{Id: "colombo-a-1", Incarnation: 3, DataCentre: "colombo-a", CallerAddress: "10.0.0.2:8080", PeerAddress: "10.0.0.2:8081", State: "live", Ready: true, ConfigReader: true},
		{Id: "negombo-b-1", Incarnation: 1, DataCentre: "negombo-b", CallerAddress: "10.0.1.2:8080", PeerAddress: "10.0.1.2:8081", State: "live", Error: "no answer"},
	}
}

func cannedStatus() *pb.StatusResponse {
	return &pb.StatusResponse{
		Instance: "colombo-a-1", DataCentre: "colombo-a", Ready: true, ConfigAgeMs: 1200,
		EndpointsLive: 2, EndpointsLeaving: 1, Running: 12, Waiting: 3,
		Classes:  []*pb.ClassTimes{{Class: "short", Count: 901, P50Ms: 40, P95Ms: 95, P99Ms: 140}},
		Refusals: []*pb.Count{{Reason: "queue_full", Count: 2}},
		Retries:  []*pb.Count{{Reason: "unreached", Count: 1}},
	}
}

func cannedExplanation(request *pb.ExplainRequest) *pb.ExplainResponse {
	explanation := &pb.ExplainResponse{
		Profile: request.Profile, Service: "claims-llm", Class: "short", Verdict: "place", Endpoint: "engine-1",
		Candidates: []*pb.Candidate{{Endpoint: "engine-1", PredictedTtftMs: 210}, {Endpoint: "engine-2", Excluded: "leaving"}},
	}
	if request.PromptTokens > 100_000 {
		explanation.Class, explanation.Verdict, explanation.Endpoint = "long", "refuse", ""
		explanation.Code, explanation.Name, explanation.Message = 2004, "cannot_finish", "no endpoint is predicted to finish in time"
		explanation.RetryAfterMs = 4_000
	}
	return explanation
}

// TestSessions runs operator sessions against one instance and compares the whole
// output and the exit codes with golden files.
func TestSessions(t *testing.T) {
	tests := []struct {
		name     string
		platform platformFaults
		lag      peridotpath.Revision
		lines    []string
	}{
		{name: "profiles", lines: []string{
			"profile list", "profile show counter", "profile diff testdata/counter.json",
			"profile apply testdata/counter.json --wait", "profile list", "profile show counter",
			"profile diff testdata/counter.json", "profile diff --json testdata/stale.json",
			"profile delete counter", "profile delete counter", "config history", "config history --limit 1 --json",
		}},
		{name: "customers", lines: []string{
			"customer apply testdata/customer.json", "customer list", "customer list --json",
			"customer show airline-1", "customer delete airline-1 --json",
		}},
		{name: "conflict", lines: []string{
			"profile apply testdata/counter.json --who nimal", "profile apply testdata/counter.json --who asha", "profile apply testdata/asha.json --who asha",
			"profile apply testdata/stale.json --who ruwan", "profile apply testdata/stale.json --who ruwan --json",
			"profile delete counter --base 1", "profile apply testdata/stale.json --who ruwan --force", "config history",
		}},
		{name: "faults", lines: []string{
			"profile apply testdata/faulty.json", "profile apply testdata/bounds.json --json",
			"profile apply testdata/counter.json", "profile apply testdata/alias.json",
			"check testdata/clash.json", "check testdata/clash.json --json", "check testdata/fleet.json",
			"check testdata/fleet.json --json", "check testdata/none.json", "profile apply testdata/none.json",
		}},
		{name: "fleet", lines: []string{
			"apply testdata/clash.json", "apply testdata/fleet.json --wait", "apply testdata/fleet.json --wait", "config history",
		}},
		{name: "wait_times_out", lag: 1, lines: []string{
			"profile apply testdata/counter.json --wait --wait-timeout 1s", "apply testdata/fleet.json --wait --wait-timeout 1s",
		}},
		{name: "lost_answer", platform: platformFaults{lostReplies: 1}, lines: []string{
			"profile apply testdata/counter.json", "config history",
		}},
		{name: "outage", platform: platformFaults{down: true}, lines: []string{
			"profile list", "profile apply testdata/counter.json",
		}},
		{name: "endpoints", lines: []string{
			"endpoint list", "endpoint drain engine-1 --reason fan", "endpoint drain engine-1 --reason fan", "endpoint list",
			"endpoint return engine-1", "endpoint list --json", "endpoint drain",
		}},
		{name: "views", lines: []string{
			"instance list", "instance list --json", "status", "status --json", "watch --count 2", "watch --count 1 --json",
			"watch --count -1", "explain --tokens 900 --profile counter",
		}},
		{name: "explain", lines: []string{
			"profile apply testdata/counter.json", "explain --profile claims-fast --tokens 900",
			"explain --profile counter --tokens 900000", "explain --profile counter --tokens 900 --json",
			"explain --profile counter", "explain --profile counter --tokens 9000000",
		}},
		{name: "logs", lines: []string{
			"trace --id r1 testdata/instances.log", "trace --id none testdata/instances.log", "trace testdata/instances.log",
			"why testdata/instances.log", "why --top 1 testdata/instances.log testdata/instances.log", "why", "why testdata/none.log",
			"losses testdata/losses.log", "losses --window 1s --top 1 testdata/losses.log", "losses testdata/instances.log", "losses", "losses --top 0 x",
			"calls testdata/calls.log", "calls", "audit testdata/losses.log", "audit --top 1 testdata/wrong.log", "audit", "audit testdata/none.log",
			"room testdata/room.log", "room --at 2026-01-25T04:03:41.5Z testdata/room.log", "room --at noon testdata/room.log", "room testdata/losses.log",
			"trace --id b1 testdata/broken_off.log", "trace --id b2 testdata/broken_off.log", "trace --id b3 testdata/broken_off.log", "why testdata/broken_off.log", "why --top 1 testdata/broken_off.log",
			"losses testdata/broken_off.log", "audit testdata/broken_off.log",
		}},
		{name: "help", lines: []string{
			"", "help", "help exit-codes", "help changes", "help outages", "help files", "help profile", "help endpoint drain",
			"help nothing", "profile", "profile show", "profile list --nope", "status --servers here",
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			address := serve(t, &test.platform, test.lag)
			session := &session{address: address}
			for _, line := range test.lines {
				session.execute(t.Context(), line)
			}
			compareGolden(t, filepath.Join("testdata", test.name+".golden"), session.transcript.Bytes())
		})
	}
}

// scriptedOperator is an instance whose changes return the given outcomes in order.
// OUTCOME_UNSPECIFIED stands for a lost response.
type scriptedOperator struct {
	pb.Operator
	outcomes []pb.Outcome
	ids      []string
}

func (scriptedOperator *scriptedOperator) Change(_ context.Context, request *pb.ChangeRequest) (*pb.ChangeResponse, error) {
	scriptedOperator.ids = append(scriptedOperator.ids, request.ChangeId)
	outcome := scriptedOperator.outcomes[min(len(scriptedOperator.ids), len(scriptedOperator.outcomes))-1]
	if outcome == pb.Outcome_OUTCOME_UNSPECIFIED {
		return nil, twirp.InternalError("the answer was lost")
	}
	return &pb.ChangeResponse{Outcome: outcome, Reason: "platform"}, nil
}

// A change may have taken effect although its response was lost. Then "nothing
// changed" would be false, even if a later attempt was refused. Every attempt must
// carry the same id, or the change could take effect twice.
func TestChangeOutcomeAfterRetries(t *testing.T) {
	const (
		lost     = pb.Outcome_OUTCOME_UNSPECIFIED
		accepted = pb.Outcome_OUTCOME_ACCEPTED
		refused  = pb.Outcome_OUTCOME_NOT_ACCEPTED
		unknown  = pb.Outcome_OUTCOME_UNKNOWN
	)
	tests := []struct {
		name     string
		outcomes []pb.Outcome
		attempts int
		code     int
	}{
		{"accepted at last", []pb.Outcome{lost, unknown, accepted}, 3, exitOK},
		{"lost, then refused", []pb.Outcome{lost, refused}, 3, exitUnknown},
		{"unknown", []pb.Outcome{unknown}, 3, exitUnknown},
		{"refused", []pb.Outcome{refused}, 3, exitFailure},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			operator := &scriptedOperator{outcomes: test.outcomes}
			listener := httptest.NewServer(pb.NewOperatorServer(operator))
			defer listener.Close()
			const unreachable = "127.0.0.1:1"
			session := &session{address: unreachable + "," + strings.TrimPrefix(listener.URL, "http://")}
			code := session.execute(t.Context(), "endpoint drain engine-1")
			is.Equal(code, test.code)
			is.Equal(len(operator.ids), test.attempts)
			for _, id := range operator.ids {
				is.Equal(id, "change-1")
			}
		})
	}
}

// session records the commands of an operator and their output.
type session struct {
	address    string
	changes    int
	transcript bytes.Buffer
}

func (session *session) execute(ctx context.Context, line string) int {
	fmt.Fprintf(&session.transcript, "$ peridotctl %s\n", line)
	console := &console{
		in: strings.NewReader(""), out: &session.transcript, err: &session.transcript,
		newID: func() string { session.changes++; return fmt.Sprintf("change-%d", session.changes) },
		sleep: func(context.Context, time.Duration) {}, who: "nimal", servers: session.address,
	}
	code := run(ctx, console, strings.Fields(line))
	fmt.Fprintf(&session.transcript, "exit %d\n\n", code)
	return code
}

// compareGolden compares a transcript with a golden file, or rewrites the file with
// -update.
func compareGolden(t *testing.T, path string, have []byte) {
	t.Helper()
	if *update {
		is.New(t).NoErr(os.WriteFile(path, have, 0o644))
		return
	}
	want, err := os.ReadFile(path)
	is.New(t).NoErr(err)
	if !bytes.Equal(want, have) {
		at := 0
		for at < min(len(want), len(have)) && want[at] == have[at] {
			at++
		}
		t.Errorf("%s differs from byte %d on; have:\n%s", path, at, have[at:min(len(have), at+500)])
	}
}

// FuzzParseLogLine guards against log lines that stop the reading of a file or are
// accepted without an event.
func FuzzParseLogLine(f *testing.F) {
	f.Add(`time=2026-12-03T10:00:00Z event=served error="a \"b\" c" took=1.5`)
	f.Add(`event="cut`)
	f.Add(`= event= a=`)
	f.Fuzz(func(t *testing.T, text string) {
		line, ok := logline.Parse(text)
		if ok && line.Pairs["event"] == "" {
			t.Error("want lines without an event rejected")
		}
		newTally().add(line)
	})
}

// The lines of an attempt and of the request's end are matched by instance and request, and
// attempts that reached no endpoint do not hide the one that the instance ended.
func TestCauseOfFailure(t *testing.T) {
	const (
		givenUp = "event=attempt_failed instance=a request=r outcome=failed given_up=overdue silent=1900"
		cut     = "event=failed instance=a request=r result=stream_cut aborted=true denied=budget"
	)
	tests := map[string]struct {
		lines              []string
		cause, explanation string
	}{
		"budget":                        {[]string{givenUp, cut}, "stream_cut given_up=overdue denied=budget", "broken off by a: overdue, silent for 1.9 s, budget denied another attempt"},
		"then unsent":                   {[]string{givenUp, "event=attempt_failed instance=a request=r outcome=unsent given_up=", cut}, "stream_cut given_up=overdue denied=budget", "broken off by a: overdue, silent for 1.9 s, budget denied another attempt"},
		"then broken":                   {[]string{givenUp, "event=attempt_failed instance=a request=r outcome=broken given_up=", cut}, "stream_cut denied=budget", ""},
		"another request":               {[]string{"event=attempt_failed instance=a request=q given_up=overdue", cut}, "stream_cut denied=budget", ""},
		"another instance":              {[]string{"event=attempt_failed instance=b request=r given_up=overdue", cut}, "stream_cut denied=budget", ""},
		"an earlier one":                {[]string{givenUp, "event=served instance=a request=r", cut}, "stream_cut denied=budget", ""},
		"placed nowhere":                {[]string{givenUp, "event=failed instance=a request=r result=endpoint_failed denied=unavailable"}, "endpoint_failed given_up=overdue denied=unavailable", "given up by a: overdue, silent for 1.9 s, placement denied another attempt: unavailable"},
		"attempts":                      {[]string{givenUp, "event=failed instance=a request=r result=endpoint_failed denied=attempts"}, "endpoint_failed given_up=overdue denied=attempts", "given up by a: overdue, silent for 1.9 s, no attempt was left"},
		"not repeatable":                {[]string{givenUp, "event=failed instance=a request=r result=endpoint_failed denied=not_repeatable"}, "endpoint_failed given_up=overdue denied=not_repeatable", "given up by a: overdue, silent for 1.9 s, it may not be repeated"},
		"deadline":                      {[]string{givenUp, "event=failed instance=a request=r result=deadline aborted=true"}, "deadline given_up=overdue", ""},
		"placed nowhere, by the result": {[]string{givenUp, "event=failed instance=a request=r result=endpoint_failed denied=endpoint_failed"}, "endpoint_failed given_up=overdue denied=endpoint_failed", "given up by a: overdue, silent for 1.9 s, placement denied another attempt"},
		"refused at once":               {[]string{"event=failed instance=a request=r result=cannot_finish denied=cannot_finish"}, "cannot_finish", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			attempts, last := lastAttempts{}, failure{}
			for _, text := range test.lines {
				line, _ := logline.Parse(text)
				last, _ = attempts.end(&line)
			}
			is.Equal(last.cause(), test.cause)
			is.Equal(last.explanation(), test.explanation)
		})
	}
}
