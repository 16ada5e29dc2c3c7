package relay

// noteLimit notes what the attempt's endpoint says that it takes.
func (exchange *exchange) noteLimit(answer *Answer) {
	if answer.Limit == nil || answer.Elsewhere {
		return
	}
	exchange.relay.Log.Info().Str("request", string(exchange.request.ID)).Str("endpoint", string(exchange.plan.Writer.ID)).
		Float64("limit", float64(*answer.Limit)).Msg("limit_named")
}
