package caller_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/engine/enginetest"
)

// silence is how long an endpoint is silent in these tests, before it goes on.
const silence = 2500 * time.Millisecond

// silentHandler makes an endpoint silent before one of its writes; the first one is its head.
func silentHandler(handler http.Handler, before int) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		handler.ServeHTTP(&silentWriter{ResponseWriter: writer, left: before}, request)
	})
}

type silentWriter struct {
	http.ResponseWriter
	left int
}

func (writer *silentWriter) pause() {
	if writer.left == 0 {
		time.Sleep(silence)
	}
	writer.left--
}

func (writer *silentWriter) WriteHeader(status int) {
	writer.pause()
	writer.ResponseWriter.WriteHeader(status)
}

func (writer *silentWriter) Write(data []byte) (int, error) {
	writer.pause()
	return writer.ResponseWriter.Write(data)
}

func (writer *silentWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

// An endpoint is silent for 2.5 s, at any point of its answer, and goes on. While it is, a version
// comes into force that has neither the request's profile nor its customer. Every request gets its
// whole answer, by one run: a request that is ended on the suspicion that its endpoint is gone, or
// judged anew by a later version, would end without an answer, although one comes.
func TestSilentEndpointIsAwaited(t *testing.T) {
	const tokens = 40
	streamed, whole := completionBody("leaf 12", tokens, true), completionBody("leaf 12", tokens, false)
	for name, test := range map[string]struct {
		path, body string
		key        string
	}{
		"stream":           {engine.PathCompletions, streamed, ""},
		"whole answer":     {engine.PathCompletions, whole, ""},
		"plain call":       {caller.ServicePrefix + "acknowledge/claims", "{}", ""},
		"keyed plain call": {caller.ServicePrefix + "acknowledge/claims", "{}", "k1"},
	} {
		for _, before := range []int{0, 1, 2, 20} {
			for _, version := range []bool{false, true} {
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						is := is.New(t)
						stack := newTestStack()
						defer stack.stop(t)
						stack.startPair(t)
						stack.network.Serve(engineAddress, silentHandler(stack.engine.Handler(), before))
						stack.network.Serve(serviceAddress, silentHandler(stack.service.Handler(), before))
						header := map[string]string{}
						if test.key != "" {
							header[caller.HeaderIdempotencyKey] = test.key
						}
						if version {
							time.AfterFunc(time.Second, func() {
								stack.config = &peridotpath.Config{Customers: []peridotpath.Customer{{ID: "other", KeySHA256: peridotpath.HashKey("other")}}}
								stack.config.Defaults()
								stack.config.Index()
							})
						}
						startedAt := time.Now()
						answer := stack.requestAll(t.Context(), t, "http://"+firstAddress+test.path, apiKey, test.body, header)
						is.True(before > 0 || time.Since(startedAt) >= silence)
						is.Equal(answer.status, http.StatusOK)
						is.True(!answer.broken)
						is.Equal(failureCode(answer.text), "")
						if test.body == streamed {
							stream := readStream(strings.NewReader(answer.text), 0)
							is.True(stream.done)
							is.Equal(stream.text, enginetest.Answer(enginetest.AnswerSeed([]byte(streamed)), tokens))
						}
						is.Equal(stack.engine.Counts().Total.Runs+stack.service.Counts().Total.Runs, 1)
					})
				})
			}
		}
	}
}
