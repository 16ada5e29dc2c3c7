package relay

import (
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/telemetry"
)

// count counts the request's end.
func (exchange *exchange) count(code peridotpath.Code) {
	class, span := exchange.lengthClass(), time.Since(exchange.request.Arrived)
	telemetry.Result(code)
	telemetry.Total(class, span)
	telemetry.Relayed(exchange.route.Kind(), class, span)
}

// lengthClass is the class under which the request is measured.
func (exchange *exchange) lengthClass() peridotpath.LengthClass {
	holds := peridotpath.Tokens(0)
	if exchange.spec.Engine != nil {
		holds = exchange.spec.Engine.KVTokens
	}
	return peridotpath.ClassOf(exchange.request.Prompt+exchange.request.Answer, holds)
}

// log adds what decided the request.
func (exchange *exchange) log(event *zerolog.Event, code peridotpath.Code) *zerolog.Event {
	event = event.Str("request", string(exchange.request.ID)).Str("route", string(exchange.route.Name)).
		Stringer("kind", exchange.route.Kind()).Stringer("length", exchange.lengthClass()).
		Str("service", string(exchange.service)).Str("customer", string(exchange.customer)).
		Int64("prompt", int64(exchange.request.Prompt)).Int("tries", exchange.tries).Int("sent", exchange.sent).
		Dur("aim", exchange.route.AnswerAim).Dur("took", time.Since(exchange.request.Arrived)).Int64("routing_age", exchange.relay.Routing.LoggedAge()).
		Int("code", int(code)).Str("result", code.String())
	if exchange.hasContent {
		event = event.Stringer("content", exchange.content)
	}
	if exchange.reading > 0 {
		event = event.Dur("reading", exchange.reading).Int("engines", exchange.engines)
	}
	if exchange.plan.Writer != nil {
		event = event.Str("endpoint", string(exchange.plan.Writer.ID)).Int("helpers", len(exchange.plan.Helpers)).
			Dur("predicted", exchange.plan.FirstEvent).Dur("waited", exchange.sentAt.Sub(exchange.request.Arrived)).Float64("loss", exchange.plan.Loss)
	}
	if exchange.firstEvent > 0 {
		event = event.Dur("first_event", exchange.firstEvent).Int("events", exchange.events).
			Dur("longest_pause", exchange.longestPause).Dur("pause_aim", exchange.route.PauseAim)
	}
	return event
}
