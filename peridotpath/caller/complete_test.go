package caller_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/engine"
)

// A client sends messages as one text, or asks a plain service for a chat. It
// was told "may have run", or was answered as if all were well; both can be told
// beforehand, and how to do better.
func TestRequestsThatCannotWork(t *testing.T) {
	tests := []struct{ name, path, body, want string }{
		{"messages that are no list", engine.PathChatCompletions, `{"model":"line","messages":"leaf 12"}`, "messages is not a list"},
		{"messages beside a prompt", engine.PathCompletions, `{"model":"line","prompt":"a long enough prompt","messages":7}`, "messages is not a list"},
		{"a plain service's profile", engine.PathChatCompletions, `{"model":"acknowledge","messages":[{"role":"user","content":"x"}]}`, "ask under /services/acknowledge/"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				stack := newStack()
				defer stack.close(t)
				stack.pair(t)
				answer := stack.readAll(t.Context(), t, "http://"+here+test.path, apiKey, test.body, nil)
				is.Equal(answer.status, http.StatusBadRequest)
				is.Equal(codeOf(answer.text), "1001")
				is.True(strings.Contains(answer.text, test.want))
			})
		})
	}
}
