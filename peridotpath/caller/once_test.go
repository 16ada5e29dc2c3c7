package caller_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/cursor"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
	"peridotpath.example/peridotpath/service"
)

const apiKey = "desk-key"

// newServer returns an instance's Server with the given platform, whose plain
// service is run, and a function that stops it.
func newServer(t *testing.T, name peridotpath.InstanceID, platform *memory.Memory, run func(ctx context.Context, writer http.ResponseWriter) *peridotpath.Result) (*caller.Server, func()) {
	t.Helper()
	config := &peridotpath.Config{
		Profiles:  []peridotpath.Profile{{Name: "acknowledge", Service: "desk-app"}},
		Customers: []peridotpath.Customer{{ID: "desk", KeySHA256: peridotpath.HashKey(apiKey)}},
	}
	config.Defaults()
	config.Index()
	ledger := &claim.Ledger{
		Store: platform.Store(), Instance: name, Incarnation: 1, Metrics: metrics.NewSet(),
		IsAlive: func(peridotpath.InstanceID, peridotpath.Incarnation) bool { return true },
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = ledger.Run(ctx)
	}()
	server := &caller.Server{
		ActiveConfig: func() *peridotpath.Config { return config },
		Claims:       ledger, Signer: &cursor.Signer{},
		BodyReader: caller.NewBodyReader(1<<20, 1<<20, time.Second),
		DoPlain: func(ctx context.Context, _ *decide.Work, _ *service.Request, maySend func() error, writer http.ResponseWriter) *peridotpath.Result {
			if err := maySend(); err != nil {
				var result *peridotpath.Result
				errors.As(err, &result)
				return result
			}
			return run(ctx, writer)
		},
	}
	return server, func() { cancel(); <-ended }
}

// callService makes a call with an idempotency key.
func callService(ctx context.Context, server *caller.Server, key, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/services/acknowledge/claims", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Idempotency-Key", key)
	recorder := httptest.NewRecorder()
	server.ServiceHandler().ServeHTTP(recorder, request)
	return recorder
}

// acknowledgeService returns a service that counts its runs, takes a second for each,
// and repeats the text of its answer once per run so far.
func acknowledgeService(runs *atomic.Int64) func(context.Context, http.ResponseWriter) *peridotpath.Result {
	return func(ctx context.Context, writer http.ResponseWriter) *peridotpath.Result {
		number := runs.Add(1)
		time.Sleep(time.Second)
		if ctx.Err() != nil {
			return &peridotpath.Result{Code: peridotpath.CodeCallerGone}
		}
		writer.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(writer, strings.Repeat("acknowledged ", int(number)))
		return nil
	}
}

// TestKeyRunsOnce sends a claim repeatedly with one key: at the same instance
// and at another while the first request runs, and again after the answer. Without
// the ledger the claim would be acknowledged twice.
func TestKeyRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := &memory.Memory{}
		var runs atomic.Int64
		here, stopHere := newServer(t, "i1", platform, acknowledgeService(&runs))
		defer stopHere()
		there, stopThere := newServer(t, "i2", platform, acknowledgeService(&runs))
		defer stopThere()

		first := make(chan *httptest.ResponseRecorder)
		go func() { first <- callService(context.Background(), here, "k1", "claim") }()
		time.Sleep(500 * time.Millisecond)
		elsewhere := callService(t.Context(), there, "k1", "claim")
		is.Equal(elsewhere.Code, http.StatusConflict)
		is.Equal(elsewhere.Header().Get(caller.HeaderCode), "4005")
		is.True(elsewhere.Header().Get("Retry-After") != "")
		attached := callService(t.Context(), here, "k1", "claim")
		answer := <-first
		is.Equal(answer.Code, http.StatusCreated)
		is.Equal(answer.Body.String(), "acknowledged ")
		time.Sleep(2 * time.Second)
		for _, repeat := range []*httptest.ResponseRecorder{attached, callService(t.Context(), here, "k1", "claim"), callService(t.Context(), there, "k1", "claim")} {
			is.Equal(repeat.Code, http.StatusCreated)
			is.Equal(repeat.Body.String(), "acknowledged ")
			is.Equal(repeat.Header().Get(caller.HeaderReplayed), "true")
		}
		other := callService(t.Context(), there, "k1", "another claim")
		is.Equal(other.Header().Get(caller.HeaderCode), "1011") // the key was used with another body
		is.Equal(runs.Load(), int64(1))
	})
}

// TestRetryAfterDisconnectGetsAnswer disconnects the caller while the call runs. A retry
// must get the answer, not an unknown outcome.
func TestRetryAfterDisconnectGetsAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var runs atomic.Int64
		server, stop := newServer(t, "i1", &memory.Memory{}, acknowledgeService(&runs))
		defer stop()
		ctx, disconnect := context.WithCancel(t.Context())
		time.AfterFunc(500*time.Millisecond, disconnect)
		callService(ctx, server, "k1", "claim")
		time.Sleep(2 * time.Second)
		is.Equal(callService(t.Context(), server, "k1", "claim").Body.String(), "acknowledged ")
		is.Equal(runs.Load(), int64(1))
	})
}

// TestKeyRunsAgainOnlyIfNotRun sends a request twice with one key. The second must run if
// the first certainly did not run, and must not run if the first may have run.
func TestKeyRunsAgainOnlyIfNotRun(t *testing.T) {
	cases := []struct {
		code peridotpath.Code
		// unsent is set if the failure occurs before anything was sent.
		unsent bool
		runs   int64
	}{
		{peridotpath.CodeNoEndpoint, false, 2},
		{peridotpath.CodeQueueTimeout, false, 2},
		{peridotpath.CodeOutcomeUnknown, false, 1},
		{peridotpath.CodeStreamCut, false, 1},
		{peridotpath.CodeInternal, true, 2},
	}
	for _, want := range cases {
		code := want.code
		t.Run(code.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var runs atomic.Int64
				server, stop := newServer(t, "i1", &memory.Memory{}, func(_ context.Context, writer http.ResponseWriter) *peridotpath.Result {
					if runs.Add(1) == 1 {
						return &peridotpath.Result{Code: code}
					}
					writer.WriteHeader(http.StatusOK)
					return nil
				})
				defer stop()
				if want.unsent {
					send := server.DoPlain
					server.DoPlain = func(ctx context.Context, work *decide.Work, call *service.Request, maySend func() error, writer http.ResponseWriter) *peridotpath.Result {
						if runs.Load() == 0 {
							runs.Add(1)
							return &peridotpath.Result{Code: code}
						}
						return send(ctx, work, call, maySend, writer)
					}
				}
				is.Equal(callService(t.Context(), server, "k1", "claim").Code, code.Status())
				time.Sleep(2 * time.Second)
				repeat := callService(t.Context(), server, "k1", "claim")
				is.Equal(runs.Load(), want.runs)
				if want.runs == 1 {
					is.Equal(repeat.Header().Get(caller.HeaderCode), "4002")
				}
			})
		})
	}
}

// TestPlatformOutageIsNotRun checks that nothing is sent without the ledger's record,
// and that the caller gets that result by its deadline.
func TestPlatformOutageIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := &memory.Memory{Fault: func(context.Context, string, string, bool) error {
			return keyvalue.ErrUnavailable.New("down")
		}}
		var runs atomic.Int64
		server, stop := newServer(t, "i1", platform, acknowledgeService(&runs))
		defer stop()
		answer := callService(t.Context(), server, "k1", "claim")
		is.Equal(answer.Code, http.StatusServiceUnavailable)
		is.True(strings.Contains(answer.Body.String(), `"not_run":true`))
		is.True(answer.Header().Get("Retry-After") != "")
		is.Equal(runs.Load(), int64(0))
	})
}
