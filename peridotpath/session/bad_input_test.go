package session_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tidwall/gjson"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/faults"
)

// callResponse is the response that a caller received.
type callResponse struct {
	status int
	header http.Header
	body   string
	broken bool
}

// code returns the code number of a failure, from the body or from an error event.
func (callResponse *callResponse) code() peridotpath.Code {
	text := callResponse.body
	if _, event, found := strings.Cut(text, "event: error\ndata: "); found {
		text = event
	}
	return peridotpath.Code(gjson.Get(text, "error.number").Int())
}

// call makes one call at the fleet's first instance and reads its answer.
func (fleet *fleet) call(t *testing.T, method, path string, body io.Reader, header map[string]string) *callResponse {
	t.Helper()
	address := fleet.instances[fleet.deployment.instances[0]].address
	request, err := http.NewRequest(method, "http://"+address.String()+path, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer volunteers-key")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	ctx, cancel := context.WithTimeout(t.Context(), clientTimeout)
	defer cancel()
	response, err := fleet.network.Do(request.WithContext(ctx))
	if err != nil {
		return &callResponse{broken: true}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return &callResponse{status: response.StatusCode, header: response.Header, body: string(text), broken: err != nil}
}

// truncatedBody is a body that fails at its end, as if its sender had died.
type truncatedBody struct{ io.Reader }

func (truncatedBody truncatedBody) Read(piece []byte) (int, error) {
	n, err := truncatedBody.Reader.Read(piece)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Each kind of invalid request must get an error with its code and run nowhere, and
// the instance must serve the next caller.
func TestInvalidRequests(t *testing.T) {
	const path = engine.PathChatCompletions
	good := `{"model":"line","max_tokens":2,"messages":[{"role":"user","content":"patra"}]}`
	tests := []struct {
		name   string
		path   string
		body   io.Reader
		header map[string]string
		code   peridotpath.Code
	}{
		{"empty", path, strings.NewReader(""), nil, peridotpath.CodeBadRequest},
		{"not JSON", path, strings.NewReader("model=line"), nil, peridotpath.CodeBadRequest},
		{"an array", path, strings.NewReader("[" + good + "]"), nil, peridotpath.CodeBadRequest},
		{"bad UTF-8", path, strings.NewReader(strings.Replace(good, "patra", "\xff\xfe", 1)), nil, peridotpath.CodeBadRequest},
		{"truncated JSON", path, strings.NewReader(good[:40]), nil, peridotpath.CodeBadRequest},
		{"unclosed brackets", path, bytes.NewReader(bytes.Repeat([]byte("["), 15<<20)), nil, peridotpath.CodeBadRequest},
		{"no prompt", path, strings.NewReader(`{"model":"line"}`), nil, peridotpath.CodeBadRequest},
		{"sender dies", path, truncatedBody{strings.NewReader(good[:40])}, nil, peridotpath.CodeBodyIncomplete},
		{"too large", path, bytes.NewReader(make([]byte, 16<<20+1)), nil, peridotpath.CodeBodyTooLarge},
		{"too large without a length", path, io.LimitReader(endlessBody{}, 17<<20), nil, peridotpath.CodeBodyTooLarge},
		{"unknown model", path, strings.NewReader(strings.Replace(good, "line", "gpt", 1)), nil, peridotpath.CodeUnknownProfile},
		{"unknown profile", path, strings.NewReader(good), map[string]string{caller.HeaderProfile: "nobody's"}, peridotpath.CodeUnknownProfile},
		{"unknown key", path, strings.NewReader(good), map[string]string{"Authorization": "Bearer x"}, peridotpath.CodeUnauthorized},
		{"deadline not a number", path, strings.NewReader(good), map[string]string{caller.HeaderDeadlineMS: "soon"}, peridotpath.CodeBadDeadline},
		{"deadline in the past", path, strings.NewReader(good), map[string]string{caller.HeaderDeadlineMS: "-5"}, peridotpath.CodeBadDeadline},
		{"deadline overflows", path, strings.NewReader(good), map[string]string{caller.HeaderDeadlineMS: "99999999999999999999"}, peridotpath.CodeBadDeadline},
		{"forged cursor", path, strings.NewReader(good), map[string]string{caller.HeaderLastEventID: "AAAA.3"}, peridotpath.CodeBadCursor},
		{"long prompt, empty messages", path, strings.NewReader(`{"model":"line","prompt":"` + strings.Repeat("patra ", 8000) + `","messages":[]}`), nil, peridotpath.CodePromptTooLong},
		{"headers too large", path, strings.NewReader(good), map[string]string{"X-Note": strings.Repeat("n", 70<<10)}, peridotpath.CodeHeaderTooLarge},
		{"unknown path", "/v1/embeddings", strings.NewReader(good), nil, peridotpath.CodeNotFound},
		{"wrong method", "/v1/models", strings.NewReader(good), nil, peridotpath.CodeNotFound},
		{"unknown service", "/services/nobody/x", strings.NewReader("x"), nil, peridotpath.CodeUnknownProfile},
		{"empty key", "/services/correction/x", strings.NewReader("x"), map[string]string{caller.HeaderIdempotencyKey: ""}, peridotpath.CodeBadIdempotencyKey},
		{"key too long", "/services/correction/x", strings.NewReader("x"), map[string]string{caller.HeaderIdempotencyKey: strings.Repeat("k", 300)}, peridotpath.CodeBadIdempotencyKey},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := newFleet(t, portalDeployment())
				defer fleet.stop()
				response := fleet.call(t, http.MethodPost, test.path, test.body, test.header)
				is.Equal(response.code(), test.code)
				is.Equal(response.status, test.code.Status())
				is.Equal(response.header.Get(caller.HeaderCode), fmt.Sprint(int(test.code)))
				is.True(gjson.Get(response.body, "error.not_run").Bool())
				is.Equal(fleet.engine.Counts().Total.Runs+fleet.services[0].Counts().Total.Runs+fleet.services[1].Counts().Total.Runs, 0)
				next := fleet.call(t, http.MethodPost, path, strings.NewReader(good), nil)
				is.Equal(next.status, http.StatusOK) // the next caller
			})
		})
	}
}

// endlessBody is an infinite body.
type endlessBody struct{}

func (endlessBody) Read(piece []byte) (int, error) {
	for i := range piece {
		piece[i] = 'a'
	}
	return len(piece), nil
}

// An endpoint with an invalid answer must cause a failure with a code, never an answer
// that looks complete, and no KV cache may stay in use at the engine.
func TestInvalidEndpointAnswers(t *testing.T) {
	kinds := []faults.Kind{faults.Empty, faults.Garbage, faults.CutUnresumable, faults.CloseUnanswered, faults.Fail, faults.Hang}
	for _, kind := range kinds {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprint(kind, " stream ", stream), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fleet := newFleet(t, portalDeployment())
					defer fleet.stop()
					fleet.engine.Faults.Set(faults.Fault{Kind: kind})
					startedAt := time.Now()
					body := fmt.Sprintf(`{"model":"line","max_tokens":9,"stream":%t,"messages":[{"role":"user","content":"patra"}]}`, stream)
					response := fleet.call(t, http.MethodPost, engine.PathChatCompletions, strings.NewReader(body), nil)
					is.True(response.code() != 0) // a bad answer was delivered as a success
					is.True(!response.code().NotRun() || kind == faults.Fail)
					is.True(!strings.Contains(response.body, engine.EndMarker))
					is.True(time.Since(startedAt) <= 11*time.Second)
					time.Sleep(time.Minute)
					load := fleet.engine.Load()
					is.Equal(load.KVUsed, peridotpath.Tokens(0)) // KV cache was not freed
				})
			})
		}
	}
}

// If a plain service's answer is interrupted, the caller's connection must break, so
// that a partial page image does not look complete.
func TestInterruptedPlainAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet(t, portalDeployment())
		defer fleet.stop()
		for i := range fleet.services {
			fleet.services[i].Faults.Set(faults.Fault{Kind: faults.CutUnresumable})
		}
		response := fleet.call(t, http.MethodGet, "/services/page-image/12.png", strings.NewReader(""), nil)
		is.True(response.broken)
	})
}

// After a caller disconnects, the engine must hold no KV cache for it once the
// resume window has passed.
func TestCallerDisconnects(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := newFleet(t, portalDeployment())
				defer fleet.stop()
				ctx, disconnect := context.WithCancel(t.Context())
				time.AfterFunc(102*time.Millisecond, disconnect)
				request := chatRequest(fleet.deployment.instances[0], "gone", "volunteers-key", "line", "patra", 200, stream)
				response, err := fleet.network.Do(fleet.transcript.newRequest(&request).WithContext(ctx))
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
				time.Sleep(30 * time.Second)
				is.Equal(fleet.engine.Load().KVUsed, peridotpath.Tokens(0))
				want := engine.Count{Runs: 1, Cancelled: 1}
				if stream {
					// The request ran to its end within the resume window.
					want = engine.Count{Runs: 1, Finished: 1}
				}
				is.Equal(fleet.engine.Counts().Total, want)
			})
		})
	}
}
