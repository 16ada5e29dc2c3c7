package placement

import (
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// suspicion is how long an endpoint that failed is avoided. It doubles with
	// each failure in a row, up to suspicionMax: long enough that one that is
	// gone costs few requests until the store says so, short enough that one
	// that came back is used within a few seconds.
	suspicion    = 500 * time.Millisecond
	suspicionMax = 4 * time.Second
	// suspicionForgotten is how long after its end a suspicion still makes the next
	// one longer.
	suspicionForgotten = time.Minute
	// fullFor is how long an endpoint that said it is full is avoided: about the
	// time in which some of its requests end.
	fullFor = 200 * time.Millisecond
)

// suspect is an endpoint that failed a moment ago.
type suspect struct {
	until    time.Time
	failures int
	// told says that peers are to know: an endpoint that is merely full says so
	// to each instance by itself.
	told bool
}

// Failed notes that an endpoint failed: no connection, no answer, or a wrong
// one. Peers learn of it, so that not each of them has to fail there as well.
func (book *Book) Failed(key peridotpath.EndpointKey, now time.Time) {
	book.mutex.Lock()
	entry := book.suspects[key]
	entry.until = now.Add(min(suspicion<<min(entry.failures, 10), suspicionMax))
	entry.failures++
	entry.told = true
	book.setSuspect(key, entry)
	book.mutex.Unlock()
	book.changed()
}

// Full notes that the endpoint turned a request away.
func (book *Book) Full(key peridotpath.EndpointKey, now time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	entry := book.suspects[key]
	if until := now.Add(fullFor); until.After(entry.until) {
		entry.until = until
	}
	book.setSuspect(key, entry)
}

// Works notes that the endpoint answered as it should.
func (book *Book) Works(key peridotpath.EndpointKey) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	if entry, known := book.suspects[key]; known && entry.failures > 0 {
		delete(book.suspects, key)
	}
}

func (book *Book) setSuspect(key peridotpath.EndpointKey, entry suspect) {
	for other, known := range book.suspects {
		// Long over: the endpoint works again or is gone.
		if entry.until.Sub(known.until) > suspicionForgotten {
			delete(book.suspects, other)
		}
	}
	if book.suspects == nil {
		book.suspects = map[peridotpath.EndpointKey]suspect{}
	}
	book.suspects[key] = entry
}

// Suspicion is an endpoint that an instance avoids for a while.
type Suspicion struct {
	Endpoint peridotpath.EndpointKey
	Until    time.Time
}

// OwnSuspicions returns what peers are to know of endpoints that failed here.
func (book *Book) OwnSuspicions(now time.Time) []Suspicion {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	var all []Suspicion
	for key, entry := range book.suspects {
		if entry.told && now.Before(entry.until) {
			all = append(all, Suspicion{Endpoint: key, Until: entry.until})
		}
	}
	return all
}

// Suspects returns the endpoints that this instance or a peer avoids now.
func (book *Book) Suspects(now time.Time) map[peridotpath.EndpointKey]bool {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	suspects := map[peridotpath.EndpointKey]bool{}
	for key, entry := range book.suspects {
		if now.Before(entry.until) {
			suspects[key] = true
		}
	}
	for _, peer := range book.livePeers(now) {
		for _, suspicion := range peer.suspicions {
			if now.Before(suspicion.Until) {
				suspects[suspicion.Endpoint] = true
			}
		}
	}
	return suspects
}
