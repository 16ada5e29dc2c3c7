package placement

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
)

// Load is the load of one endpoint, as far as this instance knows it.
type Load struct {
	// PrefillBacklog is the time until all prompts sent to the endpoint have been prefilled.
	PrefillBacklog time.Duration
	// LongestPrefill is the longest single part whose prefill is pending.
	LongestPrefill time.Duration
	// Decoding is the number of decoding requests.
	Decoding int
	// Context is the number of tokens in the context of decoding requests.
	Context peridotpath.Tokens
	// Prefilling is the number of requests whose answer has not begun.
	Prefilling int
	// ReservedKV is the KV cache that requests hold or will hold.
	ReservedKV peridotpath.Tokens
	// PrefillSlowdown is the ratio of actual to predicted prefill time; 1 or more.
	PrefillSlowdown float64
	// ReportedSlowdown is the endpoint's own report of how much slower it is than its published
	// rates; 1 where it reports none.
	ReportedSlowdown float64

	// decodingAges are the times since dispatch of the decoding requests.
	decodingAges []time.Duration
	itlTargets   []itlTarget
	// prefillingValue is the value of the requests that have had no event yet.
	prefillingValue float64
	pending         []pendingPrefill
}

// itlTarget is the inter-token latency target of one request and its value.
type itlTarget struct {
	target time.Duration
	value  float64
}

// pendingPrefill is a part of a prompt whose prefill has not finished.
type pendingPrefill struct {
	sentAt   time.Time
	duration time.Duration
	// isPrimary is set where the endpoint also decodes the answer.
	isPrimary bool
}

// slowed converts a duration at the endpoint's published rates to one at its reported
// slowdown.
func (load *Load) slowed(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * load.ReportedSlowdown)
}

// RequestCount returns the number of requests at the endpoint.
func (load *Load) RequestCount() int { return load.Decoding + load.Prefilling }

// overduePrefillShare is the assumed remaining time of a prefill that has exceeded its
// predicted time, as a share of the predicted time. The actual remaining time is unknown.
const overduePrefillShare = 0.125

// LoadSnapshot is the load of every endpoint at one moment.
type LoadSnapshot struct {
	loads map[peridotpath.EndpointKey]*Load
	// shortValuePerSecond is the value of the short prompts that all instances
	// dispatch in a second.
	shortValuePerSecond float64
	// unreported is the estimated number of peers' requests that are in flight but not yet
	// reported to this instance. It is the rate of the peers' requests times the lag of
	// their reports.
	unreported float64
	// unseen estimates the same number without a limit to the age of reports, and newsAge is that
	// age: the time until peers know of a request of this instance, and this instance of theirs.
	unseen  float64
	newsAge time.Duration
	// observedShare is the part of arrivalWindow during which this instance has
	// received reports, from 0 to 1.
	observedShare float64
	// queuedPrefill is the prefill time of the prompts that wait at all instances, on one
	// engine.
	queuedPrefill time.Duration
}

const (
	// arrivalWindow is the time over which dispatched short prompts are counted. After
	// a start at least minArrivalWindow is assumed.
	arrivalWindow    = time.Second
	minArrivalWindow = 500 * time.Millisecond
)

// Snapshot returns the load of every endpoint that has a request or is slow.
func (tracker *LoadTracker) Snapshot(now time.Time) LoadSnapshot {
	return tracker.SnapshotWithout(now, nil)
}

// SnapshotWithout returns the load without that of some requests of this instance.
func (tracker *LoadTracker) SnapshotWithout(now time.Time, without []InFlightNumber) LoadSnapshot {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.startedAt.IsZero() {
		tracker.startedAt = now
	}
	snapshot := LoadSnapshot{loads: map[peridotpath.EndpointKey]*Load{}, queuedPrefill: tracker.queuedPrefill(now)}
	for number, request := range tracker.local {
		if !slices.Contains(without, number) {
			snapshot.add(request, now)
		}
	}
	for _, peer := range tracker.unexpiredPeers(now) {
		for i := range peer.inFlight {
			snapshot.add(&peer.inFlight[i], now)
			if now.Sub(peer.inFlight[i].SentAt) < arrivalWindow {
				snapshot.unreported++
			}
		}
	}
	tracker.finish(&snapshot, now)
	return snapshot
}

// LocalSnapshot returns the load of every endpoint that has a request of this instance or is slow.
// It is for requests that end before the peers' reports of them arrive.
func (tracker *LoadTracker) LocalSnapshot(now time.Time) LoadSnapshot {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.startedAt.IsZero() {
		tracker.startedAt = now
	}
	snapshot := LoadSnapshot{loads: map[peridotpath.EndpointKey]*Load{}}
	for _, request := range tracker.local {
		snapshot.add(request, now)
	}
	tracker.finish(&snapshot, now)
	return snapshot
}

// finish adds to a snapshot what follows from its requests, and the slowdowns. The caller holds
// the mutex.
func (tracker *LoadTracker) finish(snapshot *LoadSnapshot, now time.Time) {
	for key, slowdown := range tracker.slowdowns {
		snapshot.load(key).PrefillSlowdown = slowdown
	}
	if tracker.ReportedSlowdowns != nil {
		for key, slowdown := range tracker.ReportedSlowdowns(now) {
			load := snapshot.load(key)
			load.PrefillSlowdown, load.ReportedSlowdown = slowdown, slowdown
		}
	}
	for _, load := range snapshot.loads {
		load.computeBacklog(now)
	}
	elapsed := now.Sub(tracker.startedAt)
	snapshot.observedShare = min(float64(elapsed)/float64(arrivalWindow), 1)
	window := min(max(elapsed, minArrivalWindow), arrivalWindow)
	snapshot.shortValuePerSecond /= window.Seconds()
	snapshot.newsAge = tracker.newsAge
	snapshot.unseen = snapshot.unreported * float64(tracker.newsAge) / float64(max(window-tracker.newsAge, arrivalWindow-maxNewsAge))
	snapshot.unreported *= float64(tracker.reportLag) / float64(window)
}

// settleTime is how long after its start an instance does not know its peers' load: their reports
// and the requests of the callers that return at once arrive in this time.
const settleTime = 400 * time.Millisecond

// TimeToSettle returns how long the load of peers is not known yet; zero once it is, or where the
// start of this instance is not known.
func (tracker *LoadTracker) TimeToSettle(now time.Time) time.Duration {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if !tracker.startKnown {
		return 0
	}
	return max(settleTime-now.Sub(tracker.startedAt), 0)
}

// UnreportedRequests returns the estimated number of peers' requests that are in flight but
// not yet reported to this instance.
func (snapshot LoadSnapshot) UnreportedRequests() float64 { return snapshot.unreported }

// All returns the endpoints that have a request or are slow, with their load.
func (snapshot LoadSnapshot) All() iter.Seq2[peridotpath.EndpointKey, *Load] {
	return maps.All(snapshot.loads)
}

// At returns the load of an endpoint; one that is not in the snapshot has no load and no
// slowdown.
func (snapshot LoadSnapshot) At(key peridotpath.EndpointKey) *Load {
	if load := snapshot.loads[key]; load != nil {
		return load
	}
	return &Load{PrefillSlowdown: 1, ReportedSlowdown: 1}
}

func (snapshot *LoadSnapshot) load(key peridotpath.EndpointKey) *Load {
	load := snapshot.loads[key]
	if load == nil {
		load = &Load{PrefillSlowdown: 1, ReportedSlowdown: 1}
		snapshot.loads[key] = load
	}
	return load
}

func (snapshot *LoadSnapshot) add(request *InFlight, now time.Time) {
	if len(request.Parts) > 0 && request.Parts[0].PrefillTime < minSplitPrefill && now.Sub(request.SentAt) < arrivalWindow {
		snapshot.shortValuePerSecond += PromptValue(request.PromptTokens)
	}
	for i, part := range request.Parts {
		load := snapshot.load(part.Endpoint)
		load.ReservedKV += part.ReservedKV
		if i == 0 {
			load.itlTargets = append(load.itlTargets, itlTarget{target: request.ITLTarget, value: PromptValue(request.PromptTokens)})
			if request.Decoding {
				load.Decoding++
				load.decodingAges = append(load.decodingAges, now.Sub(request.SentAt))
				load.Context += part.ReservedKV
			} else {
				load.Prefilling++
				load.prefillingValue += PromptValue(request.PromptTokens)
			}
		}
		// A helper that holds a part of the KV cache attends to it in each step.
		if i > 0 && request.Decoding {
			load.Context += part.ReservedKV
		}
		// The parts of a prompt finish at about the same time, so the first event
		// ends the prefill of all of them.
		if !request.Decoding {
			load.pending = append(load.pending, pendingPrefill{sentAt: request.SentAt, duration: part.PrefillTime, isPrimary: i == 0})
		}
	}
}

// computeBacklog simulates the pending prefill: helper parts of prompts that are decoded
// elsewhere first, then the others, each in order of dispatch.
func (load *Load) computeBacklog(now time.Time) {
	slices.SortFunc(load.pending, func(a, b pendingPrefill) int {
		if a.isPrimary != b.isPrimary {
			if b.isPrimary {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.sentAt.UnixNano(), b.sentAt.UnixNano())
	})
	var end time.Time
	for _, prefill := range load.pending {
		start := prefill.sentAt
		if end.After(start) {
			start = end
		}
		end = start.Add(prefill.duration)
		if earliest := now.Add(time.Duration(overduePrefillShare * float64(prefill.duration))); end.Before(earliest) {
			end = earliest
		}
		load.LongestPrefill = max(load.LongestPrefill, prefill.duration)
	}
	load.PrefillBacklog = max(0, end.Sub(now))
}
