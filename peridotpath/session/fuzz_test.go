package session_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/cursor"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
)

// FuzzRequestBody checks that every body leads either to a run whose estimate is
// within its bounds or to a numbered failure in JSON.
func FuzzRequestBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"line","prompt":"x"}`, `{"model":"lipi-line","messages":[],"stream":true,"max_tokens":1e400}`,
		`{"model":7,"prompt":[[1,2],[3]]}`, `{"prompt":"x","prompt":"y","model":"line","max_tokens":-3}`,
		`[]`, `{}`, "{\"model\":\"line\",\"prompt\":\"\xff\"}", `{"model":"folio","prompt":{"a":1},"deadline":0}`,
	} {
		f.Add([]byte(seed))
	}
	config := portalDeployment().config
	config.Defaults()
	config.Index()
	var ran *dispatch.Request
	server := &caller.Server{
		Log: zerolog.Nop(), ActiveConfig: func() *peridotpath.Config { return config }, Signer: &cursor.Signer{},
		LargestEngineKV: func(peridotpath.Service) peridotpath.Tokens { return 400_000 },
		BodyReader:      caller.NewBodyReader(1<<20, 8<<20, time.Second),
		Do: func(_ context.Context, request *dispatch.Request, sink *dispatch.Sink) *peridotpath.Result {
			ran = request
			sink.BeginAnswer(nil, "lipi-model-1", "")
			_ = sink.WriteWhole([]byte(`{}`))
			return nil
		},
	}
	serve := routesHandler(f, server)
	f.Fuzz(func(t *testing.T, body []byte) {
		ran = nil
		request := httptest.NewRequest(http.MethodPost, engine.PathCompletions, bytes.NewReader(body))
		request.Header.Set("Authorization", "Bearer volunteers-key")
		recorder := httptest.NewRecorder()
		serve.ServeHTTP(recorder, request)
		if !json.Valid(recorder.Body.Bytes()) {
			t.Fatalf("want JSON, have %q", recorder.Body)
		}
		if ran == nil {
			if recorder.Header().Get(caller.HeaderCode) == "" || recorder.Code < 400 {
				t.Fatalf("want a numbered failure, have status %d", recorder.Code)
			}
			return
		}
		work := ran.Work
		if work.PromptTokens < 1 || work.PromptTokens > work.Profile.MaxPromptTokens || work.MaxOutputTokens < 1 || work.MaxOutputTokens > work.Profile.MaxOutputTokens {
			t.Fatalf("want an estimate in bounds, have prompt %d and output %d", work.PromptTokens, work.MaxOutputTokens)
		}
	})
}
