package relay

import (
	"sync"
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
	// fullFor is how long an endpoint that said it is full is avoided: about the
	// time in which some of its requests end.
	fullFor = 200 * time.Millisecond
)

// suspects remembers endpoints that failed a moment ago.
type suspects struct {
	mutex sync.Mutex
	known map[peridotpath.EndpointKey]suspect
}

type suspect struct {
	until    time.Time
	failures int
}

// failed notes a failure: no connection, no answer, or a wrong one.
func (suspects *suspects) failed(key peridotpath.EndpointKey, now time.Time) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	if suspects.known == nil {
		suspects.known = map[peridotpath.EndpointKey]suspect{}
	}
	entry := suspects.known[key]
	entry.until = now.Add(min(suspicion<<min(entry.failures, 10), suspicionMax))
	entry.failures++
	suspects.known[key] = entry
}

// full notes that the endpoint turned a request away.
func (suspects *suspects) full(key peridotpath.EndpointKey, now time.Time) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	if suspects.known == nil {
		suspects.known = map[peridotpath.EndpointKey]suspect{}
	}
	entry := suspects.known[key]
	if until := now.Add(fullFor); until.After(entry.until) {
		entry.until = until
	}
	suspects.known[key] = entry
}

// answered notes that the endpoint works.
func (suspects *suspects) answered(key peridotpath.EndpointKey) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	if entry, known := suspects.known[key]; known && entry.failures > 0 {
		delete(suspects.known, key)
	}
}

func (suspects *suspects) has(key peridotpath.EndpointKey, now time.Time) bool {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	return now.Before(suspects.known[key].until)
}
