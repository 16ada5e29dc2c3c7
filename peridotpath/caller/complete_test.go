package caller_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/engine"
)

// A client sends messages as one string, or a chat request for a plain service's
// profile. Without a check before dispatch, such a request failed as one that may
// have run, or succeeded although it was wrong. It must be refused with a message
// that says how to correct it.
func TestInvalidCompletionRequests(t *testing.T) {
	tests := []struct{ name, path, body, want string }{
		{"messages that are no list", engine.PathChatCompletions, `{"model":"line","messages":"leaf 12"}`, "messages is not a list"},
		{"messages beside a prompt", engine.PathCompletions, `{"model":"line","prompt":"a long enough prompt","messages":7}`, "messages is not a list"},
		{"a plain service's profile", engine.PathChatCompletions, `{"model":"acknowledge","messages":[{"role":"user","content":"x"}]}`, "ask under /services/acknowledge/"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stack := newTestStack()
				defer stack.stop(t)
				stack.startPair(t)
				answer := stack.requestAll(t.Context(), t, "http://"+firstAddress+test.path, apiKey, test.body, nil)
				is.Equal(answer.status, http.StatusBadRequest)
				is.Equal(failureCode(answer.text), "1001")
				is.True(strings.Contains(answer.text, test.want))
			})
		})
	}
}
