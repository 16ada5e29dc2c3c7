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
	// FlightNumber names one request of an instance, while it runs.
	FlightNumber uint64

	// Part is a share of a prompt that one endpoint reads.
	Part struct {
		Endpoint peridotpath.EndpointKey
		// Reading is how long the endpoint takes for it.
		Reading time.Duration
		// Memory is what the request holds there until it ends.
		Memory peridotpath.Tokens
	}

	// Flight is one request that was sent and has not ended. Its first part lies
	// where the answer is written.
	Flight struct {
		Number FlightNumber
		Parts  []Part
		Prompt peridotpath.Tokens
		// PauseAim is the longest pause between events that leaves it in time.
		PauseAim time.Duration
		// Sent is when it was sent, on this instance's monotonic clock.
		Sent time.Time
		// Writing says that its first event has come.
		Writing bool
	}
)

// peerExpiry is how long what a peer has said of its requests counts. A peer
// says it again every quarter of a second; one that died takes its requests
// with it, since endpoints drop them with their connections.
const peerExpiry = 2 * time.Second

// Book holds the requests under way of this instance and of its peers.
type Book struct {
	// Changed, when set, is called after each change of this instance's requests.
	Changed func()
	// Paces, when set, returns the engines that are known to be slow, and how much.
	Paces func(now time.Time) map[peridotpath.EndpointKey]float64

	mutex sync.Mutex
	// began is when this instance first looked at its load.
	began time.Time
	last  FlightNumber
	own   map[FlightNumber]*Flight
	// waits are this instance's requests that wait for their turn.
	lastWait WaitNumber
	waits    map[WaitNumber]*Wait
	peers    map[peridotpath.InstanceID]*peerFlights
	suspects map[peridotpath.EndpointKey]suspect
	// slow is how much longer than predicted an endpoint's readings take.
	slow map[peridotpath.EndpointKey]float64
	// lag is how old a peer's request usually is when it is first heard of.
	lag time.Duration
}

type peerFlights struct {
	incarnation peridotpath.Incarnation
	sequence    uint64
	heard       time.Time
	flights     []Flight
	waits       []Wait
	suspicions  []Suspicion
	// last is the newest request that it has told of.
	last FlightNumber
}

// Begin notes a request that is about to be sent and numbers it.
func (book *Book) Begin(flight Flight) FlightNumber {
	book.mutex.Lock()
	if book.own == nil {
		book.own = map[FlightNumber]*Flight{}
	}
	book.last++
	flight.Number = book.last
	book.own[flight.Number] = &flight
	book.mutex.Unlock()
	book.changed()
	return flight.Number
}

// Writing notes a request's first event.
func (book *Book) Writing(number FlightNumber) {
	book.mutex.Lock()
	if flight := book.own[number]; flight != nil {
		flight.Writing = true
	}
	book.mutex.Unlock()
	book.changed()
}

// Waits reports whether one of this instance's requests still waits for its first event.
func (book *Book) Waits(number FlightNumber) bool {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	flight := book.own[number]
	return flight != nil && !flight.Writing
}

// End notes that a request has ended or was given up.
func (book *Book) End(number FlightNumber) {
	book.mutex.Lock()
	delete(book.own, number)
	book.mutex.Unlock()
	book.changed()
}

func (book *Book) changed() {
	if book.Changed != nil {
		book.Changed()
	}
}

// Own returns this instance's requests, oldest first.
func (book *Book) Own() []Flight {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	flights := make([]Flight, 0, len(book.own))
	for _, flight := range book.own {
		flights = append(flights, *flight)
	}
	slices.SortFunc(flights, func(a, b Flight) int { return cmp.Compare(a.Number, b.Number) })
	return flights
}

// Report is all that a peer says of its requests.
type Report struct {
	Peer peridotpath.InstanceID
	// Incarnation and Sequence order what a peer says; what arrives late is dropped.
	Incarnation peridotpath.Incarnation
	Sequence    uint64
	Flights     []Flight
	Waits       []Wait
	Suspicions  []Suspicion
}

// HearPeer takes a peer's requests in place of those it named before.
func (book *Book) HearPeer(report Report, now time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if book.peers == nil {
		book.peers = map[peridotpath.InstanceID]*peerFlights{}
	}
	known := book.peers[report.Peer]
	if known != nil && (report.Incarnation < known.incarnation || report.Incarnation == known.incarnation && report.Sequence <= known.sequence) {
		return
	}
	heard := &peerFlights{
		incarnation: report.Incarnation, sequence: report.Sequence, heard: now, flights: report.Flights, waits: report.Waits,
		suspicions: report.Suspicions,
	}
	if known != nil && known.incarnation == report.Incarnation {
		heard.last = known.last
		book.noteLag(known.last, report.Flights, now)
	}
	for i := range report.Flights {
		heard.last = max(heard.last, report.Flights[i].Number)
	}
	book.peers[report.Peer] = heard
}

const (
	// lagGain is how fast the lag follows what is seen, lagMost what one request
	// counts at most: a datagram that was lost says nothing of the usual one.
	lagGain = 0.05
	lagMost = 100 * time.Millisecond
	// wayHere is the part of the lag that a request's age does not show: the time
	// that a datagram is on its way, in part by way of another instance.
	wayHere = 4 * time.Millisecond
)

// noteLag notes how old a peer's requests are that are new here.
func (book *Book) noteLag(last FlightNumber, flights []Flight, now time.Time) {
	for i := range flights {
		if flights[i].Number <= last {
			continue
		}
		seen := min(wayHere+max(now.Sub(flights[i].Sent), 0), lagMost)
		book.lag += time.Duration(lagGain * float64(seen-book.lag))
	}
}

// Chosen reports whether this instance is the one among those that live which looks after
// an endpoint. For a moment after a change of who lives there may be two, or none.
func (book *Book) Chosen(self peridotpath.InstanceID, endpoint peridotpath.EndpointKey) bool {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	own := drawOf(self, endpoint)
	for id := range book.peers {
		if drawOf(id, endpoint) < own {
			return false
		}
	}
	return true
}

func drawOf(instance peridotpath.InstanceID, endpoint peridotpath.EndpointKey) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %d", instance, endpoint))
}

// Peers returns how many peers have been heard lately.
func (book *Book) Peers(now time.Time) int {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return len(book.livePeers(now))
}

func (book *Book) livePeers(now time.Time) map[peridotpath.InstanceID]*peerFlights {
	for id, peer := range book.peers {
		if now.Sub(peer.heard) > peerExpiry {
			delete(book.peers, id)
		}
	}
	return book.peers
}

// The bounds of an endpoint's slowness, and how fast it follows what is seen.
const (
	slownessGain = 0.3
	slownessMax  = 20.0
	// slownessLeast is what counts as slow at all.
	slownessLeast = 1.05
	// slownessNoise is how much longer than predicted a first event may be
	// before that counts as the endpoint's own slowness.
	slownessNoise = 1.5
)

// Observe notes how long a first event took against what was predicted.
func (book *Book) Observe(endpoint peridotpath.EndpointKey, predicted, seen time.Duration) {
	if predicted <= 0 {
		return
	}
	ratio := min(max(float64(seen)/float64(predicted), 1/slownessMax), slownessMax)
	if ratio < slownessNoise {
		ratio = min(ratio, 1)
	}
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if book.slow == nil {
		book.slow = map[peridotpath.EndpointKey]float64{}
	}
	before := book.slow[endpoint]
	if before == 0 {
		before = 1
	}
	slow := max(1, before+slownessGain*(ratio-before))
	if slow < slownessLeast {
		// Only slow ones are kept, so that endpoints that are gone take no memory.
		delete(book.slow, endpoint)
		return
	}
	book.slow[endpoint] = slow
}
