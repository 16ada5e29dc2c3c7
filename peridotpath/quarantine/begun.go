package quarantine

import (
	"sync"
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// maxBegunParts bounds the parts in each of the two maps of begunParts.
	maxBegunParts = 2048
	// maxBegunAge is how long a part that was answered counts as a known one. It equals the
	// time for which crashes are evidence.
	maxBegunAge = 10 * time.Minute
	// minBegunTime is how long an instance must have seen answers begin to tell new parts.
	minBegunTime = 10 * time.Second
)

// begunParts remembers which parts endpoints have lately begun to answer at this instance. The
// zero value is ready to use. Memory is bounded: when recent is full it replaces older, so
// that parts which are answered often stay.
type begunParts struct {
	mutex         sync.Mutex
	recent, older map[peridotpath.Fingerprint]time.Time
	// since is when the first part was added; zero before that.
	since time.Time
}

func (begun *begunParts) add(part peridotpath.Fingerprint, now time.Time) {
	begun.mutex.Lock()
	defer begun.mutex.Unlock()
	if _, found := begun.recent[part]; !found && (begun.recent == nil || len(begun.recent) >= maxBegunParts) {
		begun.recent, begun.older = map[peridotpath.Fingerprint]time.Time{}, begun.recent
	}
	begun.recent[part] = now
	if begun.since.IsZero() {
		begun.since = now
	}
}

// isMeaningful reports whether parts have been added for long enough that one which is not
// there is a new one.
func (begun *begunParts) isMeaningful(now time.Time) bool {
	begun.mutex.Lock()
	defer begun.mutex.Unlock()
	return !begun.since.IsZero() && now.Sub(begun.since) >= minBegunTime
}

// lastBegun returns when an endpoint last began to answer a part; false if that is not known
// of the last maxBegunAge.
func (begun *begunParts) lastBegun(part peridotpath.Fingerprint, now time.Time) (time.Time, bool) {
	begun.mutex.Lock()
	defer begun.mutex.Unlock()
	at, found := begun.recent[part]
	if !found {
		at, found = begun.older[part]
	}
	return at, found && now.Sub(at) <= maxBegunAge
}
