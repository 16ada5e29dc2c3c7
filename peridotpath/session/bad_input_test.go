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

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	broken bool
}

// code is the numbered code of a failure, wherever it stands.
func (reply *reply) code() peridotpath.Code {
	text := reply.body
	if _, event, found := strings.Cut(text, "event: error\ndata: "); found {
		text = event
	}
	return peridotpath.Code(gjson.Get(text, "error.number").Int())
}

// call makes one call at the fleet's first instance and reads the answer.
func (fleet *fleet) call(t *testing.T, method, path string, body io.Reader, header map[string]string) *reply {
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
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	response, err := fleet.network.Do(request.WithContext(ctx))
	if err != nil {
		return &reply{broken: true}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return &reply{status: response.StatusCode, header: response.Header, body: string(text), broken: err != nil}
}

// truncated ends before its length is reached, as when a sender dies.
type truncated struct{ io.Reader }

func (truncated truncated) Read(piece []byte) (int, error) {
	n, err := truncated.Reader.Read(piece)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Whatever a caller sends, it reads a clear error with its code, nothing runs,
// and the instance serves the next caller.
func TestBadRequests(t *testing.T) {
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
		{"cut JSON", path, strings.NewReader(good[:40]), nil, peridotpath.CodeBadRequest},
		{"brackets without end", path, bytes.NewReader(bytes.Repeat([]byte("["), 15<<20)), nil, peridotpath.CodeBadRequest},
		{"no prompt", path, strings.NewReader(`{"model":"line"}`), nil, peridotpath.CodeBadRequest},
		{"sender dies", path, truncated{strings.NewReader(good[:40])}, nil, peridotpath.CodeBodyIncomplete},
		{"too large", path, bytes.NewReader(make([]byte, 16<<20+1)), nil, peridotpath.CodeBodyTooLarge},
		{"too large without a length", path, io.LimitReader(endless{}, 17<<20), nil, peridotpath.CodeBodyTooLarge},
		{"unknown model", path, strings.NewReader(strings.Replace(good, "line", "gpt", 1)), nil, peridotpath.CodeUnknownProfile},
		{"unknown profile", path, strings.NewReader(good), map[string]string{caller.HeaderProfile: "nobody's"}, peridotpath.CodeUnknownProfile},
		{"unknown key", path, strings.NewReader(good), map[string]string{"Authorization": "Bearer x"}, peridotpath.CodeUnauthorized},
		{"deadline in words", path, strings.NewReader(good), map[string]string{caller.HeaderDeadlineMS: "soon"}, peridotpath.CodeBadDeadline},
		{"deadline in the past", path, strings.NewReader(good), map[string]string{caller.HeaderDeadlineMS: "-5"}, peridotpath.CodeBadDeadline},
		{"deadline beyond numbers", path, strings.NewReader(good), map[string]string{caller.HeaderDeadlineMS: "99999999999999999999"}, peridotpath.CodeBadDeadline},
		{"cursor of nobody", path, strings.NewReader(good), map[string]string{caller.HeaderLastEventID: "AAAA.3"}, peridotpath.CodeBadCursor},
		{"long text behind a short one", path, strings.NewReader(`{"model":"line","prompt":"` + strings.Repeat("patra ", 8000) + `","messages":[]}`), nil, peridotpath.CodePromptTooLong},
		{"headers too large", path, strings.NewReader(good), map[string]string{"X-Note": strings.Repeat("n", 70<<10)}, peridotpath.CodeHeaderTooLarge},
		{"unknown path", "/v1/embeddings", strings.NewReader(good), nil, peridotpath.CodeNotFound},
		{"wrong method", "/v1/models", strings.NewReader(good), nil, peridotpath.CodeNotFound},
		{"unknown service", "/services/nobody/x", strings.NewReader("x"), nil, peridotpath.CodeUnknownProfile},
		{"empty key", "/services/correction/x", strings.NewReader("x"), map[string]string{caller.HeaderIdempotencyKey: ""}, peridotpath.CodeBadIdempotencyKey},
		{"endless key", "/services/correction/x", strings.NewReader("x"), map[string]string{caller.HeaderIdempotencyKey: strings.Repeat("k", 300)}, peridotpath.CodeBadIdempotencyKey},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := newFleet(t, portal())
				defer fleet.close()
				bad := fleet.call(t, http.MethodPost, test.path, test.body, test.header)
				is.Equal(bad.code(), test.code)
				is.Equal(bad.status, test.code.Status())
				is.Equal(bad.header.Get(caller.HeaderCode), fmt.Sprint(int(test.code)))
				is.True(gjson.Get(bad.body, "error.not_run").Bool())
				is.Equal(fleet.engine.Counts().Total.Runs+fleet.services[0].Counts().Total.Runs+fleet.services[1].Counts().Total.Runs, 0)
				next := fleet.call(t, http.MethodPost, path, strings.NewReader(good), nil)
				is.Equal(next.status, http.StatusOK) // the next caller
			})
		})
	}
}

// endless is a body without an end.
type endless struct{}

func (endless) Read(piece []byte) (int, error) {
	for i := range piece {
		piece[i] = 'a'
	}
	return len(piece), nil
}

// An endpoint that answers badly makes a failure with its code, never an answer
// that looks whole; the one good attempt after it, where it is allowed, is whole.
func TestBadAnswers(t *testing.T) {
	kinds := []faults.Kind{faults.Empty, faults.Garbage, faults.CutUnresumable, faults.CloseUnanswered, faults.Fail, faults.Hang}
	for _, kind := range kinds {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprint(kind, " stream ", stream), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					fleet := newFleet(t, portal())
					defer fleet.close()
					fleet.engine.Faults.Set(faults.Fault{Kind: kind})
					began := time.Now()
					body := fmt.Sprintf(`{"model":"line","max_tokens":9,"stream":%t,"messages":[{"role":"user","content":"patra"}]}`, stream)
					bad := fleet.call(t, http.MethodPost, engine.PathChatCompletions, strings.NewReader(body), nil)
					is.True(bad.code() != 0) // a bad answer passed for a good one
					is.True(!bad.code().NotRun() || kind == faults.Fail)
					is.True(!strings.Contains(bad.body, engine.EndMark))
					is.True(time.Since(began) <= 11*time.Second)
					time.Sleep(time.Minute)
					load := fleet.engine.Load()
					is.Equal(load.KVUsed, peridotpath.Tokens(0)) // memory was left behind
				})
			})
		}
	}
}

// A plain service that breaks off in the middle breaks the caller's connection:
// half a page image must not look like a whole one.
func TestHalfOfAPlainAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := newFleet(t, portal())
		defer fleet.close()
		for i := range fleet.services {
			fleet.services[i].Faults.Set(faults.Fault{Kind: faults.CutUnresumable})
		}
		half := fleet.call(t, http.MethodGet, "/services/page-image/12.png", strings.NewReader(""), nil)
		is.True(half.broken)
	})
}

// A caller that vanishes leaves nothing behind on the engine once the time to
// come back is over.
func TestCallerVanishes(t *testing.T) {
	for _, stream := range []bool{true, false} {
		t.Run(fmt.Sprint("stream ", stream), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := newFleet(t, portal())
				defer fleet.close()
				ctx, vanish := context.WithCancel(t.Context())
				time.AfterFunc(102*time.Millisecond, vanish)
				asked := chat(fleet.deployment.instances[0], "gone", "volunteers-key", "line", "patra", 200, stream)
				response, err := fleet.network.Do(fleet.transcript.request(&asked).WithContext(ctx))
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
				time.Sleep(30 * time.Second)
				is.Equal(fleet.engine.Load().KVUsed, peridotpath.Tokens(0))
				want := engine.Count{Runs: 1, Cancelled: 1}
				if stream {
					// It ran to its end while its caller could still come back.
					want = engine.Count{Runs: 1, Finished: 1}
				}
				is.Equal(fleet.engine.Counts().Total, want)
			})
		})
	}
}
