package relay

import (
	"net/http"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/telemetry"
)

// ending tracks whether a request that was read whole has ended with an answer, a refusal or an
// aborted stream. One that ends with none of them is a fault of this system: its caller would get
// an empty answer, or a closed connection that nothing explains.
type ending struct {
	begun, ended bool
}

// track returns a caller that forwards to the given one and records how the request ends.
func (ending *ending) track(caller *Caller) *Caller {
	return &Caller{
		Refuse: func(result peridotpath.Result) {
			ending.ended = true
			caller.Refuse(result)
		},
		Answer: func(status int, header http.Header, body []byte) {
			ending.ended = true
			caller.Answer(status, header, body)
		},
		Begin: func(status int, header http.Header) {
			caller.Begin(status, header)
			ending.begun = true
		},
		Event: caller.Event,
		End: func() {
			ending.ended = true
			caller.End()
		},
		Abort: func() {
			ending.ended = true
			caller.Abort()
		},
	}
}

// finish ends a request that nothing has ended, also while a panic unwinds, and reports it.
func (ending *ending) finish(relay *Relay, request *Request, caller *Caller) {
	if ending.ended {
		return
	}
	telemetry.CountUnanswered()
	relay.Log.Error().Str("request", string(request.ID)).Str("path", request.Path).Bool("begun", ending.begun).Msg("unanswered")
	if ending.begun {
		caller.Abort()
		return
	}
	caller.Refuse(peridotpath.Result{Code: peridotpath.CodeInternal})
}
