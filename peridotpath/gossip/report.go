package gossip

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/gossip/wire"
	"peridotpath.example/peridotpath/placement"
)

// decodeReport decodes the load that a peer reports in a digest received at the time now:
// its in-flight requests, queued prompts and ejected endpoints.
func decodeReport(digest *wire.Digest, now time.Time) placement.Report {
	report := placement.Report{
		Peer: peridotpath.InstanceID(digest.Instance), Incarnation: peridotpath.Incarnation(digest.Incarnation),
		Sequence: digest.Sequence,
	}
	for _, request := range digest.Flights {
		// Only an instance of another version sends a request without endpoints. It loads none.
		if len(request.Endpoints) > 0 {
			report.Flights = append(report.Flights, decodeInFlight(request, now))
		}
	}
	for _, queued := range digest.Waits {
		report.Waits = append(report.Waits, decodeQueuedPrompt(queued, now))
	}
	for _, ejection := range digest.Suspicions {
		report.Suspicions = append(report.Suspicions, placement.Suspicion{
			Endpoint: peridotpath.EndpointKey(ejection.Endpoint), Until: now.Add(clock.FromMicros(ejection.Left)),
		})
	}
	return report
}

// encodeQueuedPrompt encodes a queued prompt, with its due time relative to now.
func encodeQueuedPrompt(queued *placement.Wait, now time.Time) *wire.Wait {
	return &wire.Wait{
		Number: uint64(queued.Number), DueIn: queued.Due.Sub(now).Microseconds(), Reading: clock.Micros(queued.Reading),
		Late: queued.Late, Blocked: queued.Blocked,
	}
}

func decodeQueuedPrompt(encoded *wire.Wait, now time.Time) placement.Wait {
	return placement.Wait{
		Number: placement.WaitNumber(encoded.Number), Due: now.Add(time.Duration(encoded.DueIn) * time.Microsecond),
		Reading: clock.FromMicros(encoded.Reading), Late: encoded.Late, Blocked: encoded.Blocked,
	}
}

// encodeInFlight encodes an in-flight request, with its age at the time now.
func encodeInFlight(request *placement.Flight, now time.Time) *wire.Flight {
	encoded := &wire.Flight{
		Number: uint64(request.Number), Prompt: uint64(request.Prompt),
		PauseAimMs: uint64(request.PauseAim.Milliseconds()), Age: clock.Micros(now.Sub(request.Sent)), Writing: request.Writing,
	}
	for i, part := range request.Parts {
		if request.Writing && i > 0 && part.Memory == 0 {
			// The helpers have finished prefill; from here on only endpoints that hold KV cache
			// or decode matter.
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

func decodeInFlight(encoded *wire.Flight, now time.Time) placement.Flight {
	request := placement.Flight{
		Number: placement.FlightNumber(encoded.Number), Prompt: peridotpath.Tokens(encoded.Prompt),
		PauseAim: time.Duration(encoded.PauseAimMs) * time.Millisecond,
		Sent:     now.Add(-clock.FromMicros(encoded.Age)), Writing: encoded.Writing,
	}
	for i, endpoint := range encoded.Endpoints {
		part := placement.Part{Endpoint: peridotpath.EndpointKey(endpoint), Reading: clock.FromMicros(encoded.Reading)}
		if i < len(encoded.Memory) {
			part.Memory = peridotpath.Tokens(encoded.Memory[i])
		}
		request.Parts = append(request.Parts, part)
	}
	return request
}
