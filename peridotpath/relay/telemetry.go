package relay

import (
	"strings"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/telemetry"
)

// recordResult updates the metrics for a completed request.
func (exchange *exchange) recordResult(code peridotpath.Code) {
	class, took := exchange.lengthClass(), time.Since(exchange.request.ArrivedAt)
	telemetry.CountResult(code)
	exchange.recordServed(code)
	telemetry.RecordRequestTime(class, took)
	telemetry.RecordRelayTime(exchange.route.Kind(), class, took)
}

// lengthClass returns the length class that labels the request's metrics.
func (exchange *exchange) lengthClass() peridotpath.LengthClass {
	kvTokens := peridotpath.Tokens(0)
	if exchange.spec.Engine != nil {
		kvTokens = exchange.spec.Engine.KVTokens
	}
	return peridotpath.ClassOf(exchange.request.PromptTokens+exchange.request.MaxAnswerTokens, kvTokens)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// partsForLog returns the first shared parts of the prompt, with commas between.
func (exchange *exchange) partsForLog() string {
	parts := exchange.request.SharedParts
	var text strings.Builder
	for i, part := range parts[:min(len(parts), maxLoggedParts)] {
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(string(part))
	}
	return text.String()
}

// addLogFields adds the request's identity, placement and timing to a log event.
func (exchange *exchange) addLogFields(event *zerolog.Event, code peridotpath.Code) *zerolog.Event {
	event = event.Str("request", string(exchange.request.ID)).Str("route", string(exchange.route.Name)).
		Stringer("kind", exchange.route.Kind()).Stringer("length", exchange.lengthClass()).
		Str("service", string(exchange.service)).Str("customer", string(exchange.customer)).
		Int64("prompt", int64(exchange.request.PromptTokens)).Int("tries", exchange.attemptCount).Int("sent", exchange.sentCount).
		Dur("aim", exchange.route.TTFTTarget).Dur("took", time.Since(exchange.request.ArrivedAt)).Int64("routing_age", exchange.relay.Routing.AgeForLog()).
		Int("code", int(code)).Str("result", code.String())
	if exchange.hasFingerprint {
		event = event.Stringer("content", exchange.contentFingerprint)
	}
	if parts := exchange.partsForLog(); parts != "" {
		event = event.Str("parts", parts)
	}
	if code == peridotpath.CodeQuarantined {
		event = event.Stringer("barred", exchange.verdict.Suspect).Str("barred_part", string(exchange.verdict.Part)).
			Int("ends", exchange.verdict.Crashes).Int64("evidence_age", time.Since(exchange.verdict.LastCrash).Milliseconds())
	}
	if exchange.prefillTime > 0 {
		event = event.Dur("reading", exchange.prefillTime).Int("engines", exchange.engineCount)
	}
	if exchange.plan.Primary != nil {
		event = event.Str("endpoint", string(exchange.plan.Primary.ID)).Int("helpers", len(exchange.plan.Helpers)).
			Dur("predicted", exchange.plan.TimeToFirstEvent).Dur("waited", exchange.sentAt.Sub(exchange.request.ArrivedAt)).Float64("loss", exchange.plan.Cost)
	}
	if carrier := exchange.carrier(); carrier != "" {
		event = event.Str("carrier", carrier)
	}
	if exchange.timeToFirstEvent > 0 {
		event = event.Dur("first_event", exchange.timeToFirstEvent).Int("events", exchange.eventCount).
			Dur("longest_pause", exchange.longestPause).Dur("pause_aim", exchange.route.ITLTarget)
	}
	return event
}
