package gossip

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/gossip/wire"
	"peridotpath.example/peridotpath/placement"
)

func decodeReport(digest *wire.Digest, now time.Time) placement.Report {
	report := placement.Report{
		Peer: peridotpath.InstanceID(digest.Instance), Incarnation: peridotpath.Incarnation(digest.Incarnation),
		Sequence: digest.Sequence,
	}
	for _, flight := range digest.Flights {
		// A flight without a part is nowhere; it could only come from another version.
		if len(flight.Endpoints) > 0 {
			report.Flights = append(report.Flights, decodeFlight(flight, now))
		}
	}
	for _, wait := range digest.Waits {
		report.Waits = append(report.Waits, decodeWait(wait, now))
	}
	for _, suspicion := range digest.Suspicions {
		report.Suspicions = append(report.Suspicions, placement.Suspicion{
			Endpoint: peridotpath.EndpointKey(suspicion.Endpoint), Until: now.Add(clock.FromMicros(suspicion.Left)),
		})
	}
	return report
}

func encodeWait(wait *placement.Wait, now time.Time) *wire.Wait {
	return &wire.Wait{
		Number: uint64(wait.Number), DueIn: wait.Due.Sub(now).Microseconds(), Reading: clock.Micros(wait.Reading),
		Late: wait.Late, Blocked: wait.Blocked,
	}
}

func decodeWait(encoded *wire.Wait, now time.Time) placement.Wait {
	return placement.Wait{
		Number: placement.WaitNumber(encoded.Number), Due: now.Add(time.Duration(encoded.DueIn) * time.Microsecond),
		Reading: clock.FromMicros(encoded.Reading), Late: encoded.Late, Blocked: encoded.Blocked,
	}
}

func encodeFlight(flight *placement.Flight, now time.Time) *wire.Flight {
	encoded := &wire.Flight{
		Number: uint64(flight.Number), Prompt: uint64(flight.Prompt),
		PauseAimMs: uint64(flight.PauseAim.Milliseconds()), Age: clock.Micros(now.Sub(flight.Sent)), Writing: flight.Writing,
	}
	for i, part := range flight.Parts {
		if flight.Writing && i > 0 && part.Memory == 0 {
			// The helpers are done; only where something is held or written counts.
			break
		}
		encoded.Endpoints = append(encoded.Endpoints, uint64(part.Endpoint))
		encoded.Reading = clock.Micros(part.Reading)
		if part.Memory > 0 {
			encoded.Memory = append(encoded.Memory, uint64(part.Memory))
		}
	}
	return encoded
}

func decodeFlight(encoded *wire.Flight, now time.Time) placement.Flight {
	flight := placement.Flight{
		Number: placement.FlightNumber(encoded.Number), Prompt: peridotpath.Tokens(encoded.Prompt),
		PauseAim: time.Duration(encoded.PauseAimMs) * time.Millisecond,
		Sent:     now.Add(-clock.FromMicros(encoded.Age)), Writing: encoded.Writing,
	}
	for i, endpoint := range encoded.Endpoints {
		part := placement.Part{Endpoint: peridotpath.EndpointKey(endpoint), Reading: clock.FromMicros(encoded.Reading)}
		if i < len(encoded.Memory) {
			part.Memory = peridotpath.Tokens(encoded.Memory[i])
		}
		flight.Parts = append(flight.Parts, part)
	}
	return flight
}
