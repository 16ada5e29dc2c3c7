package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/relay"
)

// A crash of an endpoint and a connection reset break the connection alike. The log must
// tell them apart, so that the request that crashed the endpoint can be found.
func TestLogDistinguishesCrashFromReset(t *testing.T) {
	for _, test := range []struct {
		answer error
		gone   bool
	}{
		{nil, false},
		{errReset, false},
		{relay.ErrEndpointGone.Wrap(errReset), true},
	} {
		is := is.New(t)
		script := &script{steps: []step{lostAnswer(), answer(200, "ok", nil)}}
		fixture := newFixture(script.send, nil, testEndpoint(0), testEndpoint(1))
		var log bytes.Buffer
		fixture.relay.Log = zerolog.New(&log)
		fixture.relay.Check = func(context.Context, *peridotpath.Endpoint) error { return test.answer }
		outcome := fixture.send(t.Context(), "look", func(request *relay.Request) { request.Body = []byte("body") })
		is.Equal(outcome.status, 200)
		want := fmt.Sprintf(`"content":"%s","endpoint":"%s","try":1,"endpoint_gone":%v`,
			peridotpath.FingerprintOf("desk", "host", "POST", "/look/x", []byte("body")), script.calls[0].Endpoint.ID, test.gone)
		if !strings.Contains(log.String(), want) {
			t.Errorf("log %s, want %s", log.String(), want)
		}
	}
}
