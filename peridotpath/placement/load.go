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
	// Backlog is the time until all prompts sent to the endpoint have been prefilled.
	Backlog time.Duration
	// LongestRead is the longest single part whose prefill is pending.
	LongestRead time.Duration
	// Writers is the number of decoding requests.
	Writers int
	// Context is the number of tokens in the context of decoding requests.
	Context peridotpath.Tokens
	// Waiting is the number of requests whose answer has not begun.
	Waiting int
	// Memory is the KV cache that requests hold or will hold.
	Memory peridotpath.Tokens
	// Slow is the ratio of actual to predicted prefill time; 1 or more.
	Slow float64
	// Pace is the endpoint's own report of how much slower it is than its published
	// rates; 1 where it reports none.
	Pace float64

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
	sent     time.Time
	duration time.Duration
	// isPrimary is set where the endpoint also decodes the answer.
	isPrimary bool
}

// slowed returns the time that the endpoint takes for what takes the given time at its
// published rates.
func (load *Load) slowed(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * load.Pace)
}

// Taken returns the number of requests at the endpoint.
func (load *Load) Taken() int { return load.Writers + load.Waiting }

// overduePrefillShare is the remaining share of a prefill that has exceeded its predicted
// time without a first event. How much longer it will take is unknown.
const overduePrefillShare = 0.125

// View is the load of every endpoint at one moment.
type View struct {
	loads map[peridotpath.EndpointKey]*Load
	// shortValuePerSecond is the value of the short prompts that all instances
	// dispatch in a second.
	shortValuePerSecond float64
	// unreported estimates the peers' requests that are in flight but not yet reported
	// here, from their rate and the lag of the reports.
	unreported float64
	// observedShare is the part of arrivalWindow during which this instance has
	// received reports, from 0 to 1.
	observedShare float64
}

const (
	// arrivalWindow is the time over which dispatched short prompts are counted. After
	// a start at least minArrivalWindow is assumed.
	arrivalWindow    = time.Second
	minArrivalWindow = 500 * time.Millisecond
)

// View returns the load of every endpoint that has any.
func (tracker *Book) View(now time.Time) View {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.startedAt.IsZero() {
		tracker.startedAt = now
	}
	snapshot := View{loads: map[peridotpath.EndpointKey]*Load{}}
	for _, request := range tracker.local {
		snapshot.add(request, now)
	}
	for _, peer := range tracker.unexpiredPeers(now) {
		for i := range peer.inFlight {
			snapshot.add(&peer.inFlight[i], now)
			if now.Sub(peer.inFlight[i].Sent) < arrivalWindow {
				snapshot.unreported++
			}
		}
	}
	for key, slowdown := range tracker.slowdowns {
		snapshot.load(key).Slow = slowdown
	}
	if tracker.Paces != nil {
		for key, slowdown := range tracker.Paces(now) {
			load := snapshot.load(key)
			load.Slow, load.Pace = slowdown, slowdown
		}
	}
	for _, load := range snapshot.loads {
		load.computeBacklog(now)
	}
	elapsed := now.Sub(tracker.startedAt)
	snapshot.observedShare = min(float64(elapsed)/float64(arrivalWindow), 1)
	window := min(max(elapsed, minArrivalWindow), arrivalWindow)
	snapshot.shortValuePerSecond /= window.Seconds()
	snapshot.unreported *= float64(tracker.reportLag) / float64(window)
	return snapshot
}

// Unheard returns the estimated number of peers' requests that are in flight but not
// yet reported here.
func (snapshot View) Unheard() float64 { return snapshot.unreported }

// All returns the endpoints that have any load.
func (snapshot View) All() iter.Seq2[peridotpath.EndpointKey, *Load] { return maps.All(snapshot.loads) }

// At returns the load of an endpoint, which is zero for an unknown one.
func (snapshot View) At(key peridotpath.EndpointKey) *Load {
	if load := snapshot.loads[key]; load != nil {
		return load
	}
	return &Load{Slow: 1, Pace: 1}
}

func (snapshot *View) load(key peridotpath.EndpointKey) *Load {
	load := snapshot.loads[key]
	if load == nil {
		load = &Load{Slow: 1, Pace: 1}
		snapshot.loads[key] = load
	}
	return load
}

func (snapshot *View) add(request *Flight, now time.Time) {
	if len(request.Parts) > 0 && request.Parts[0].Reading < minSplitPrefill && now.Sub(request.Sent) < arrivalWindow {
		snapshot.shortValuePerSecond += Value(request.Prompt)
	}
	for i, part := range request.Parts {
		load := snapshot.load(part.Endpoint)
		load.Memory += part.Memory
		if i == 0 {
			load.itlTargets = append(load.itlTargets, itlTarget{target: request.PauseAim, value: Value(request.Prompt)})
			if request.Writing {
				load.Writers++
				load.decodingAges = append(load.decodingAges, now.Sub(request.Sent))
				load.Context += part.Memory
			} else {
				load.Waiting++
				load.prefillingValue += Value(request.Prompt)
			}
		}
		// A helper that holds a part of the KV cache attends to it in each step.
		if i > 0 && request.Writing {
			load.Context += part.Memory
		}
		// The parts of a prompt finish at about the same time, so the first event
		// ends the prefill of all of them.
		if !request.Writing {
			load.pending = append(load.pending, pendingPrefill{sent: request.Sent, duration: part.Reading, isPrimary: i == 0})
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
		return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano())
	})
	var end time.Time
	for _, prefill := range load.pending {
		start := prefill.sent
		if end.After(start) {
			start = end
		}
		end = start.Add(prefill.duration)
		if earliest := now.Add(time.Duration(overduePrefillShare * float64(prefill.duration))); end.Before(earliest) {
			end = earliest
		}
		load.LongestRead = max(load.LongestRead, prefill.duration)
	}
	load.Backlog = max(0, end.Sub(now))
}
