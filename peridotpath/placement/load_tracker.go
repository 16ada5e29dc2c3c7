package placement

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath"
)

type (
	// InFlightNumber identifies an in-flight request within its instance.
	InFlightNumber uint64

	// PrefillPart is the share of a prompt that one endpoint prefills.
	PrefillPart struct {
		Endpoint peridotpath.EndpointKey
		// PrefillTime is the predicted prefill time of this share.
		PrefillTime time.Duration
		// ReservedKV is the KV cache that the request holds at the endpoint until it ends.
		ReservedKV peridotpath.Tokens
	}

	// InFlight is one request that was sent and has not ended. Its first part is at
	// the primary, the engine that decodes the answer.
	InFlight struct {
		Number       InFlightNumber
		Parts        []PrefillPart
		PromptTokens peridotpath.Tokens
		// ITLTarget is the inter-token latency target.
		ITLTarget time.Duration
		// SentAt is the time of dispatch on this instance's monotonic clock.
		SentAt time.Time
		// Decoding is set once the first event of the answer has arrived.
		Decoding bool
	}
)

// peerExpiry is the age after which a peer's report is dropped. A peer reports every 250
// ms. When an instance crashes, its connections close and its requests end, so its report
// no longer applies.
const peerExpiry = 2 * time.Second

// LoadTracker tracks the in-flight and queued requests of this instance and its peers.
type LoadTracker struct {
	// OnChange, when set, is called after each change of this instance's requests.
	OnChange func()
	// ReportedSlowdowns, when set, returns the slowdown factor of each engine known to be slow.
	ReportedSlowdowns func(now time.Time) map[peridotpath.EndpointKey]float64
	// OnPeerWaits, when set, is called after each report of a peer at which prompts wait.
	OnPeerWaits func(now time.Time)

	mutex sync.Mutex
	// startedAt is when this instance began to receive reports, or the time of its first load
	// snapshot where that is not known. startKnown reports that it is known.
	startedAt  time.Time
	startKnown bool
	lastNumber InFlightNumber
	local      map[InFlightNumber]*InFlight
	// queued are this instance's requests in the prefill queue, lastQueued is the number
	// of the one that was added last.
	lastQueued QueuedPromptNumber
	queued     map[QueuedPromptNumber]*QueuedPrompt
	peers      map[peridotpath.InstanceID]*peerLoad
	ejections  map[peridotpath.EndpointKey]ejectionState
	// slowdowns is the ratio of observed to predicted prefill time per endpoint.
	slowdowns map[peridotpath.EndpointKey]float64
	// localUsages and localShortWaits are what this instance reports besides its requests.
	localUsages     []CustomerUsage
	localShortWaits ShortWaits
	// capacity estimates the prefill rate of the engines, lastCapacity is the last estimate.
	capacity     prefillCapacity
	lastCapacity float64
	// reportLag is the moving average of a peer request's age when it is first reported.
	reportLag time.Duration
	// newsAge is the same average with a higher limit, for decisions while slots are scarce.
	newsAge time.Duration
}

type peerLoad struct {
	incarnation peridotpath.Incarnation
	sequence    uint64
	receivedAt  time.Time
	inFlight    []InFlight
	queued      []QueuedPrompt
	ejections   []Ejection
	usages      []CustomerUsage
	shortWaits  ShortWaits
	// lastNumber is the highest request number reported so far.
	lastNumber InFlightNumber
	// lastQueued is the highest number of a queued prompt reported so far.
	lastQueued QueuedPromptNumber
}

// AddInFlight adds a request that is about to be sent and returns its number.
func (tracker *LoadTracker) AddInFlight(request InFlight) InFlightNumber {
	tracker.mutex.Lock()
	if tracker.local == nil {
		tracker.local = map[InFlightNumber]*InFlight{}
	}
	tracker.lastNumber++
	request.Number = tracker.lastNumber
	tracker.local[request.Number] = &request
	tracker.capacity.addDispatched(request.prefillWork())
	tracker.mutex.Unlock()
	tracker.notifyChanged()
	return request.Number
}

// MarkDecoding records the first event of a request's answer.
func (tracker *LoadTracker) MarkDecoding(number InFlightNumber) {
	tracker.mutex.Lock()
	if request := tracker.local[number]; request != nil {
		request.Decoding = true
	}
	tracker.mutex.Unlock()
	tracker.notifyChanged()
}

// AwaitsFirstEvent reports whether one of this instance's requests has had no event yet.
func (tracker *LoadTracker) AwaitsFirstEvent(number InFlightNumber) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	request := tracker.local[number]
	return request != nil && !request.Decoding
}

// RemoveInFlight removes a request that has ended or was abandoned.
func (tracker *LoadTracker) RemoveInFlight(number InFlightNumber) {
	tracker.mutex.Lock()
	delete(tracker.local, number)
	tracker.mutex.Unlock()
	tracker.notifyChanged()
}

func (tracker *LoadTracker) notifyChanged() {
	if tracker.OnChange != nil {
		tracker.OnChange()
	}
}

// LocalInFlight returns this instance's in-flight requests, oldest first.
func (tracker *LoadTracker) LocalInFlight() []InFlight {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	requests := make([]InFlight, 0, len(tracker.local))
	for _, request := range tracker.local {
		requests = append(requests, *request)
	}
	slices.SortFunc(requests, func(a, b InFlight) int { return cmp.Compare(a.Number, b.Number) })
	return requests
}

// PeerReport is the full state that a peer sends about its requests.
type PeerReport struct {
	Peer peridotpath.InstanceID
	// Incarnation orders the runs of a peer; reports of an earlier run are dropped.
	Incarnation peridotpath.Incarnation
	// Sequence orders the reports of one run; reports out of order are dropped.
	Sequence  uint64
	InFlight  []InFlight
	Queued    []QueuedPrompt
	Ejections []Ejection
	// Usages is the engine time by customer; empty unless prompts wait at the peer.
	Usages     []CustomerUsage
	ShortWaits ShortWaits
}

// ApplyPeerReport replaces what is stored for a peer with a newer report.
func (tracker *LoadTracker) ApplyPeerReport(report PeerReport, now time.Time) {
	tracker.storePeerReport(&report, now)
	waits := func(usage CustomerUsage) bool { return usage.Waiting > 0 }
	if tracker.OnPeerWaits != nil && slices.ContainsFunc(report.Usages, waits) {
		tracker.OnPeerWaits(now)
	}
}

func (tracker *LoadTracker) storePeerReport(report *PeerReport, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.peers == nil {
		tracker.peers = map[peridotpath.InstanceID]*peerLoad{}
	}
	previous := tracker.peers[report.Peer]
	if previous != nil && (report.Incarnation < previous.incarnation || report.Incarnation == previous.incarnation && report.Sequence <= previous.sequence) {
		return
	}
	current := &peerLoad{
		incarnation: report.Incarnation, sequence: report.Sequence, receivedAt: now, inFlight: report.InFlight, queued: report.Queued,
		ejections: report.Ejections, usages: report.Usages, shortWaits: report.ShortWaits,
	}
	if previous != nil && previous.incarnation == report.Incarnation {
		current.lastNumber, current.lastQueued = previous.lastNumber, previous.lastQueued
		tracker.observePeerPrefill(previous, report, now)
		tracker.updateReportLag(previous.lastNumber, report.InFlight, now)
	} else {
		tracker.observePeerPrefill(nil, report, now)
	}
	for i := range report.InFlight {
		current.lastNumber = max(current.lastNumber, report.InFlight[i].Number)
	}
	for i := range report.Queued {
		current.lastQueued = max(current.lastQueued, report.Queued[i].Number)
	}
	tracker.peers[report.Peer] = current
}

const (
	// reportLagGain is the weight of a new sample in the moving average. A sample counts at
	// most maxReportLag, because the lag after a lost datagram is not the usual one.
	reportLagGain = 0.05
	maxReportLag  = 100 * time.Millisecond
	// maxNewsAge limits the samples of newsAge. It is less than arrivalWindow, over which the
	// requests of peers are counted.
	maxNewsAge = 800 * time.Millisecond
	// networkDelay is the part of the lag that a request's age does not include:
	// the delivery time of a datagram, which another instance may have forwarded.
	networkDelay = 4 * time.Millisecond
)

// updateReportLag adds the ages of newly reported requests to the moving average.
func (tracker *LoadTracker) updateReportLag(lastNumber InFlightNumber, requests []InFlight, now time.Time) {
	for i := range requests {
		if requests[i].Number <= lastNumber {
			continue
		}
		age := networkDelay + max(now.Sub(requests[i].SentAt), 0)
		tracker.reportLag += time.Duration(reportLagGain * float64(min(age, maxReportLag)-tracker.reportLag))
		tracker.newsAge += time.Duration(reportLagGain * float64(min(age, maxNewsAge)-tracker.newsAge))
	}
}

// ReportLag returns the moving average of the age at which peers' requests are first reported, at
// most maxReportLag.
func (tracker *LoadTracker) ReportLag() time.Duration {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return tracker.reportLag
}

// IsOwner reports whether this instance owns an endpoint, by rendezvous hashing over
// the live instances. After a membership change there may briefly be two owners or none.
func (tracker *LoadTracker) IsOwner(self peridotpath.InstanceID, endpoint peridotpath.EndpointKey) bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	ownScore := rendezvousScore(self, endpoint)
	for id := range tracker.peers {
		if rendezvousScore(id, endpoint) < ownScore {
			return false
		}
	}
	return true
}

func rendezvousScore(instance peridotpath.InstanceID, endpoint peridotpath.EndpointKey) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %d", instance, endpoint))
}

// MarkStarted records when this instance began to receive its peers' reports. Without it, that is
// when the first request is placed.
func (tracker *LoadTracker) MarkStarted(now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.startedAt, tracker.startKnown = now, true
}

// LivePeerCount returns the number of peers with an unexpired report.
func (tracker *LoadTracker) LivePeerCount(now time.Time) int {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	return len(tracker.unexpiredPeers(now))
}

// unexpiredPeers drops expired reports and returns the others.
func (tracker *LoadTracker) unexpiredPeers(now time.Time) map[peridotpath.InstanceID]*peerLoad {
	for id, peer := range tracker.peers {
		if now.Sub(peer.receivedAt) > peerExpiry {
			delete(tracker.peers, id)
		}
	}
	return tracker.peers
}

// Bounds and gain of the moving average of an endpoint's slowdown.
const (
	slowdownGain = 0.3
	maxSlowdown  = 20.0
	// minSlowdown is the factor below which an endpoint counts as not slow.
	minSlowdown = 1.05
	// predictionTolerance is the ratio of observed to predicted time below which
	// the difference is not attributed to the endpoint.
	predictionTolerance = 1.5
)

// ObserveFirstEvent compares the observed time to a first event with the predicted one and
// updates the endpoint's slowdown.
func (tracker *LoadTracker) ObserveFirstEvent(endpoint peridotpath.EndpointKey, predicted, observed time.Duration) {
	if predicted <= 0 {
		return
	}
	ratio := min(max(float64(observed)/float64(predicted), 1/maxSlowdown), maxSlowdown)
	if ratio < predictionTolerance {
		ratio = min(ratio, 1)
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if tracker.slowdowns == nil {
		tracker.slowdowns = map[peridotpath.EndpointKey]float64{}
	}
	previous := tracker.slowdowns[endpoint]
	if previous == 0 {
		previous = 1
	}
	slowdown := max(1, previous+slowdownGain*(ratio-previous))
	if slowdown < minSlowdown {
		// Only slow endpoints are stored, so that removed endpoints take no memory.
		delete(tracker.slowdowns, endpoint)
		return
	}
	tracker.slowdowns[endpoint] = slowdown
}
