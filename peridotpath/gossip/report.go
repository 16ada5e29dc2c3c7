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
func decodeReport(digest *wire.Digest, now time.Time) placement.PeerReport {
	report := placement.PeerReport{
		Peer: peridotpath.InstanceID(digest.Instance), Incarnation: peridotpath.Incarnation(digest.Incarnation),
		Sequence: digest.Sequence,
	}
	for _, request := range digest.Flights {
		// Only an instance of another version sends a request without endpoints. Such a
		// request adds no load.
		if len(request.Endpoints) > 0 {
			report.InFlight = append(report.InFlight, decodeInFlight(request, now))
		}
	}
	for _, queued := range digest.Waits {
		report.Queued = append(report.Queued, decodeQueuedPrompt(queued, now))
	}
	for _, ejection := range digest.Suspicions {
		report.Ejections = append(report.Ejections, placement.Ejection{
			Endpoint: peridotpath.EndpointKey(ejection.Endpoint), Until: now.Add(clock.FromMicros(ejection.Left)),
		})
	}
	for _, usage := range digest.Usages {
		report.Usages = append(report.Usages, decodeUsage(usage))
	}
	report.ShortWaits = placement.ShortWaits{OnTime: int(digest.ShortWaits.GetOnTime()), Late: int(digest.ShortWaits.GetLate())}
	return report
}

// encodeShortWaits encodes how many short prompts wait; nil where none does.
func encodeShortWaits(waits placement.ShortWaits) *wire.ShortWaits {
	if waits == (placement.ShortWaits{}) {
		return nil
	}
	return &wire.ShortWaits{OnTime: uint32(waits.OnTime), Late: uint32(waits.Late)}
}

func encodeUsage(usage placement.CustomerUsage) *wire.Usage {
	return &wire.Usage{
		Customer: uint32(usage.Customer), EngineMs: uint32(usage.Used.Milliseconds()), WaitingMs: uint32(usage.Waiting.Milliseconds()),
	}
}

func decodeUsage(encoded *wire.Usage) placement.CustomerUsage {
	return placement.CustomerUsage{
		Customer: placement.CustomerHash(encoded.Customer),
		Used:     time.Duration(encoded.EngineMs) * time.Millisecond, Waiting: time.Duration(encoded.WaitingMs) * time.Millisecond,
	}
}

// encodeQueuedPrompt encodes a queued prompt, with its due time relative to now.
func encodeQueuedPrompt(queued *placement.QueuedPrompt, now time.Time) *wire.Wait {
	encoded := &wire.Wait{
		Number: uint64(queued.Number), DueIn: queued.Due.Sub(now).Microseconds(), Reading: clock.Micros(queued.PrefillTime),
		Late: queued.MissesTarget, Blocked: queued.Blocked,
		Customer: uint32(queued.Customer), OverShare: queued.OverShare, Booked: queued.Booked,
	}
	if !queued.Target.IsZero() {
		encoded.TargetIn = queued.Target.Sub(now).Microseconds()
	}
	return encoded
}

func decodeQueuedPrompt(encoded *wire.Wait, now time.Time) placement.QueuedPrompt {
	queued := placement.QueuedPrompt{
		Number: placement.QueuedPromptNumber(encoded.Number), Due: now.Add(time.Duration(encoded.DueIn) * time.Microsecond),
		PrefillTime: clock.FromMicros(encoded.Reading), MissesTarget: encoded.Late, Blocked: encoded.Blocked,
		Customer: placement.CustomerHash(encoded.Customer), OverShare: encoded.OverShare, Booked: encoded.Booked,
	}
	if encoded.TargetIn != 0 {
		queued.Target = now.Add(time.Duration(encoded.TargetIn) * time.Microsecond)
	}
	return queued
}

// encodeInFlight encodes an in-flight request, with its age at the time now.
func encodeInFlight(request *placement.InFlight, now time.Time) *wire.Flight {
	encoded := &wire.Flight{
		Number: uint64(request.Number), Prompt: uint64(request.PromptTokens),
		PauseAimMs: uint64(request.ITLTarget.Milliseconds()), Age: clock.Micros(now.Sub(request.SentAt)), Writing: request.Decoding,
	}
	for i, part := range request.Parts {
		if request.Decoding && i > 0 && part.ReservedKV == 0 {
			// The helpers have finished prefill. The endpoints from here on hold no KV
			// cache of this request and carry no load of it.
			break
		}
		encoded.Endpoints = append(encoded.Endpoints, uint64(part.Endpoint))
		encoded.Reading = clock.Micros(part.PrefillTime)
		if part.ReservedKV > 0 {
			encoded.Memory = append(encoded.Memory, uint64(part.ReservedKV))
		}
	}
	return encoded
}

func decodeInFlight(encoded *wire.Flight, now time.Time) placement.InFlight {
	request := placement.InFlight{
		Number: placement.InFlightNumber(encoded.Number), PromptTokens: peridotpath.Tokens(encoded.Prompt),
		ITLTarget: time.Duration(encoded.PauseAimMs) * time.Millisecond,
		SentAt:    now.Add(-clock.FromMicros(encoded.Age)), Decoding: encoded.Writing,
	}
	for i, endpoint := range encoded.Endpoints {
		part := placement.PrefillPart{Endpoint: peridotpath.EndpointKey(endpoint), PrefillTime: clock.FromMicros(encoded.Reading)}
		if i < len(encoded.Memory) {
			part.ReservedKV = peridotpath.Tokens(encoded.Memory[i])
		}
		request.Parts = append(request.Parts, part)
	}
	return request
}
