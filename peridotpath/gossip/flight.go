package gossip

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/gossip/wire"
	"peridotpath.example/peridotpath/placement"
)

func encodeFlight(flight *placement.Flight, now time.Time) *wire.Flight {
	encoded := &wire.Flight{
		Number: uint64(flight.Number), Prompt: uint64(flight.Prompt), Memory: uint64(flight.Memory),
		PauseAimMs: uint64(flight.PauseAim.Milliseconds()), Age: micros(now.Sub(flight.Sent)), Writing: flight.Writing,
	}
	parts := flight.Parts
	if flight.Writing {
		// The helpers are done; only where the answer is written counts.
		parts = parts[:1]
	}
	for _, part := range parts {
		encoded.Endpoints = append(encoded.Endpoints, uint64(part.Endpoint))
		encoded.Reading = micros(part.Reading)
	}
	return encoded
}

func decodeFlight(encoded *wire.Flight, now time.Time) placement.Flight {
	flight := placement.Flight{
		Number: placement.FlightNumber(encoded.Number), Prompt: peridotpath.Tokens(encoded.Prompt),
		Memory: peridotpath.Tokens(encoded.Memory), PauseAim: time.Duration(encoded.PauseAimMs) * time.Millisecond,
		Sent: now.Add(-span(encoded.Age)), Writing: encoded.Writing,
	}
	for _, endpoint := range encoded.Endpoints {
		flight.Parts = append(flight.Parts, placement.Part{Endpoint: peridotpath.EndpointKey(endpoint), Reading: span(encoded.Reading)})
	}
	return flight
}

func micros(span time.Duration) uint64 { return uint64(max(span, 0).Microseconds()) }

func span(micros uint64) time.Duration { return time.Duration(micros) * time.Microsecond }
