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

// newServer returns an instance's callers' side before the given platform,
// whose plain service is run, and what stops it.
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
		Config: func() *peridotpath.Config { return config },
		Claims: ledger, Signer: &cursor.Signer{},
		Bodies: caller.NewBodies(1<<20, 1<<20, time.Second),
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

// call makes a call with an idempotency key.
func call(ctx context.Context, server *caller.Server, key, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/services/acknowledge/claims", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("Idempotency-Key", key)
	recorder := httptest.NewRecorder()
	server.Services().ServeHTTP(recorder, request)
	return recorder
}

// acknowledge returns a service that counts its runs, takes a second for each,
// and answers with their number.
func acknowledge(runs *atomic.Int64) func(context.Context, http.ResponseWriter) *peridotpath.Result {
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

// TestAcknowledgedOnce has a couple's claim sent twice with one key: at the
// same instance while the first runs, at another, and again after the answer.
// Without the ledger they got two acknowledgements and believed their suitcase
// lost twice.
func TestAcknowledgedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := &memory.Memory{}
		var runs atomic.Int64
		here, stopHere := newServer(t, "i1", platform, acknowledge(&runs))
		defer stopHere()
		there, stopThere := newServer(t, "i2", platform, acknowledge(&runs))
		defer stopThere()

		first := make(chan *httptest.ResponseRecorder)
		go func() { first <- call(context.Background(), here, "k1", "claim") }()
		time.Sleep(500 * time.Millisecond)
		elsewhere := call(t.Context(), there, "k1", "claim")
		is.Equal(elsewhere.Code, http.StatusConflict)
		is.Equal(elsewhere.Header().Get(caller.HeaderCode), "4005")
		is.True(elsewhere.Header().Get("Retry-After") != "")
		attached := call(t.Context(), here, "k1", "claim")
		answer := <-first
		is.Equal(answer.Code, http.StatusCreated)
		is.Equal(answer.Body.String(), "acknowledged ")
		time.Sleep(2 * time.Second)
		for _, repeat := range []*httptest.ResponseRecorder{attached, call(t.Context(), here, "k1", "claim"), call(t.Context(), there, "k1", "claim")} {
			is.Equal(repeat.Code, http.StatusCreated)
			is.Equal(repeat.Body.String(), "acknowledged ")
			is.Equal(repeat.Header().Get(caller.HeaderReplayed), "true")
		}
		other := call(t.Context(), there, "k1", "another claim")
		is.Equal(other.Header().Get(caller.HeaderCode), "1011") // the key came with another body
		is.Equal(runs.Load(), int64(1))
	})
}

// TestCallerWhoLeftGetsTheAnswer has the counter's connection break while the
// call runs. The clerk's repeat must get the answer, not "unknown".
func TestCallerWhoLeftGetsTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var runs atomic.Int64
		server, stop := newServer(t, "i1", &memory.Memory{}, acknowledge(&runs))
		defer stop()
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(500*time.Millisecond, leave)
		call(ctx, server, "k1", "claim")
		time.Sleep(2 * time.Second)
		is.Equal(call(t.Context(), server, "k1", "claim").Body.String(), "acknowledged ")
		is.Equal(runs.Load(), int64(1))
	})
}

// TestFailuresDecideWhetherAKeyRunsAgain: what certainly did not run may be
// sent again with the same key, what may have run never.
func TestFailuresDecideWhetherAKeyRunsAgain(t *testing.T) {
	cases := []struct {
		code peridotpath.Code
		// unsent says that the failure came before anything was sent.
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
				is.Equal(call(t.Context(), server, "k1", "claim").Code, code.Status())
				time.Sleep(2 * time.Second)
				repeat := call(t.Context(), server, "k1", "claim")
				is.Equal(runs.Load(), want.runs)
				if want.runs == 1 {
					is.Equal(repeat.Header().Get(caller.HeaderCode), "4002")
				}
			})
		})
	}
}

// TestPlatformDownIsNotRun: without the ledger's record nothing may be sent,
// and the caller is told so within its time.
func TestPlatformDownIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		platform := &memory.Memory{Fault: func(context.Context, string, string, bool) error {
			return keyvalue.ErrUnavailable.New("down")
		}}
		var runs atomic.Int64
		server, stop := newServer(t, "i1", platform, acknowledge(&runs))
		defer stop()
		answer := call(t.Context(), server, "k1", "claim")
		is.Equal(answer.Code, http.StatusServiceUnavailable)
		is.True(strings.Contains(answer.Body.String(), `"not_run":true`))
		is.True(answer.Header().Get("Retry-After") != "")
		is.Equal(runs.Load(), int64(0))
	})
}
