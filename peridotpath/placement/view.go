package placement

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"peridotpath.example/peridotpath"
)

// Load is what one endpoint has ahead of it, as far as this instance knows.
type Load struct {
	// Backlog is the time until the prompts sent there have been read.
	Backlog time.Duration
	// LongestRead is the longest single part still to be read.
	LongestRead time.Duration
	// Writers counts answers being written, Context their tokens.
	Writers int
	Context peridotpath.Tokens
	// Waiting counts requests sent there whose answer has not begun.
	Waiting int
	// Memory is what requests hold or will hold there.
	Memory peridotpath.Tokens
	// Slow is by how much its readings are longer than predicted; 1 or more. Pace is how
	// much slower than published the endpoint says that it is; 1 where it does not.
	Slow, Pace float64

	// ages is how long ago each of those was sent that are being written.
	ages   []time.Duration
	pauses []pause
	// unreadValue is the worth of those who wait for their first event.
	unreadValue float64
	reads       []read
}

// pause is what one writer allows between two of its events.
type pause struct {
	aim   time.Duration
	value float64
}

// read is a part of a prompt that is still to be read.
type read struct {
	sent time.Time
	span time.Duration
	// own says that the prompt is answered here as well.
	own bool
}

// slowed returns how long the endpoint takes for what others do in that span.
func (load *Load) slowed(span time.Duration) time.Duration {
	return time.Duration(float64(span) * load.Pace)
}

// Taken counts the requests that are at the endpoint.
func (load *Load) Taken() int { return load.Writers + load.Waiting }

// overdueShare is what is left of a reading that should be over though its
// first event has not come: the prediction was too short, by how much is unknown.
const overdueShare = 0.125

// View is the load of every endpoint at one moment.
type View struct {
	loads map[peridotpath.EndpointKey]*Load
	// arrivals is how much short prompts are worth that are sent in a second, by
	// all instances.
	arrivals float64
	// unheard is how many requests peers have sent, or send at this moment, of which
	// nothing is known here yet, as far as their rate and their digests' lag tell.
	unheard float64
	// heard is the part of arrivalsSpan for which this instance has heard what peers
	// send, from 0 to 1.
	heard float64
}

const (
	// arrivalsSpan is the time over which the short prompts sent are counted, and
	// arrivalsLeast what counts at least for the time since this instance began.
	arrivalsSpan  = time.Second
	arrivalsLeast = 500 * time.Millisecond
)

// View returns the load of every endpoint that has any.
func (book *Book) View(now time.Time) View {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if book.began.IsZero() {
		book.began = now
	}
	view := View{loads: map[peridotpath.EndpointKey]*Load{}}
	for _, flight := range book.own {
		view.add(flight, now)
	}
	for _, peer := range book.livePeers(now) {
		for i := range peer.flights {
			view.add(&peer.flights[i], now)
			if now.Sub(peer.flights[i].Sent) < arrivalsSpan {
				view.unheard++
			}
		}
	}
	for key, slow := range book.slow {
		view.load(key).Slow = slow
	}
	if book.Paces != nil {
		for key, pace := range book.Paces(now) {
			load := view.load(key)
			load.Slow, load.Pace = pace, pace
		}
	}
	for _, load := range view.loads {
		load.queue(now)
	}
	since := now.Sub(book.began)
	view.heard = min(float64(since)/float64(arrivalsSpan), 1)
	span := min(max(since, arrivalsLeast), arrivalsSpan)
	view.arrivals /= span.Seconds()
	view.unheard *= float64(book.lag) / float64(span)
	return view
}

// Unheard returns how many requests peers send at this moment of which nothing is known
// here.
func (view View) Unheard() float64 { return view.unheard }

// All returns the endpoints that have any load.
func (view View) All() iter.Seq2[peridotpath.EndpointKey, *Load] { return maps.All(view.loads) }

// At returns the load of an endpoint, also of one that has none.
func (view View) At(key peridotpath.EndpointKey) *Load {
	if load := view.loads[key]; load != nil {
		return load
	}
	return &Load{Slow: 1, Pace: 1}
}

func (view *View) load(key peridotpath.EndpointKey) *Load {
	load := view.loads[key]
	if load == nil {
		load = &Load{Slow: 1, Pace: 1}
		view.loads[key] = load
	}
	return load
}

func (view *View) add(flight *Flight, now time.Time) {
	if len(flight.Parts) > 0 && flight.Parts[0].Reading < spreadLeast && now.Sub(flight.Sent) < arrivalsSpan {
		view.arrivals += Value(flight.Prompt)
	}
	for i, part := range flight.Parts {
		load := view.load(part.Endpoint)
		load.Memory += part.Memory
		if i == 0 {
			load.pauses = append(load.pauses, pause{aim: flight.PauseAim, value: Value(flight.Prompt)})
			if flight.Writing {
				load.Writers++
				load.ages = append(load.ages, now.Sub(flight.Sent))
				load.Context += part.Memory
			} else {
				load.Waiting++
				load.unreadValue += Value(flight.Prompt)
			}
		}
		// An engine that holds a part goes through it with each step.
		if i > 0 && flight.Writing {
			load.Context += part.Memory
		}
		// The parts of a prompt end together, more or less: its first event says
		// that all of them have been read.
		if !flight.Writing {
			load.reads = append(load.reads, read{sent: flight.Sent, span: part.Reading, own: i == 0})
		}
	}
}

// queue works the readings off: parts of prompts that are answered elsewhere
// first, then in the order in which they were sent.
func (load *Load) queue(now time.Time) {
	slices.SortFunc(load.reads, func(a, b read) int {
		if a.own != b.own {
			if b.own {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano())
	})
	var free time.Time
	for _, read := range load.reads {
		begin := read.sent
		if free.After(begin) {
			begin = free
		}
		free = begin.Add(read.span)
		if least := now.Add(time.Duration(overdueShare * float64(read.span))); free.Before(least) {
			free = least
		}
		load.LongestRead = max(load.LongestRead, read.span)
	}
	load.Backlog = max(0, free.Sub(now))
}
