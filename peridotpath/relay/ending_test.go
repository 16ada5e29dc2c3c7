package relay

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
)

// A request that was read whole ends without an answer, a refusal or an aborted stream.
func TestEveryRequestIsEnded(t *testing.T) {
	newCaller := func(got *[]string) *Caller {
		return &Caller{
			Refuse: func(result peridotpath.Result) { *got = append(*got, "refuse "+result.Code.String()) },
			Answer: func(int, http.Header, []byte) { *got = append(*got, "answer") },
			Begin:  func(int, http.Header) {}, Event: func([]byte) error { return nil },
			End: func() { *got = append(*got, "end") }, Abort: func() { *got = append(*got, "abort") },
		}
	}
	for name, test := range map[string]struct {
		serve func(caller *Caller)
		want  string
	}{
		"nothing":      {func(*Caller) {}, "refuse internal"},
		"begun":        {func(caller *Caller) { caller.Begin(200, nil) }, "abort"},
		"panic":        {func(*Caller) { panic("fault") }, "refuse internal"},
		"answered":     {func(caller *Caller) { caller.Answer(200, nil, nil) }, "answer"},
		"refused":      {func(caller *Caller) { caller.Refuse(peridotpath.Result{Code: peridotpath.CodeStopping}) }, "refuse stopping"},
		"whole stream": {func(caller *Caller) { caller.Begin(200, nil); caller.End() }, "end"},
		"cut stream":   {func(caller *Caller) { caller.Begin(200, nil); caller.Abort() }, "abort"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			caller, ending := newCaller(&got), &ending{}
			func() {
				defer func() { _ = recover() }()
				defer ending.finish(&Relay{Log: zerolog.Nop()}, &Request{}, caller)
				test.serve(ending.track(caller))
			}()
			is.Equal(got, []string{test.want})
		})
	}
}
