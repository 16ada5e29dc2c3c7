package placement

import (
	"time"

	"peridotpath.example/peridotpath"
)

type (
	// WaitNumber names one waiting request of an instance.
	WaitNumber uint64

	// Wait is a long prompt that has not been sent yet. All instances know all
	// that wait anywhere, and send them one after the other.
	Wait struct {
		Number WaitNumber
		// Due orders those that wait: the arrival, and later the longer it is.
		Due time.Time
		// Reading is how long one engine alone would read the prompt.
		Reading time.Duration
		// Late says that it cannot be on time any more; it yields to those that can.
		Late bool
		// Blocked says that it waits for something that others do not need.
		Blocked bool
	}
)

// dueShare is how much later a prompt is due for its length, as a share of its
// reading time. Short ones first makes the most on time when many come at once;
// the share is what a long one can be made to wait, so that it is not starved.
const dueShare = 0.3

// NewWait returns what a request is as one that waits.
func NewWait(arrived time.Time, reading time.Duration) Wait {
	return Wait{Due: arrived.Add(time.Duration(dueShare * float64(reading))), Reading: reading}
}

// Join lets a request wait and numbers it.
func (book *Book) Join(wait Wait) WaitNumber {
	book.mutex.Lock()
	if book.waits == nil {
		book.waits = map[WaitNumber]*Wait{}
	}
	book.lastWait++
	wait.Number = book.lastWait
	book.waits[wait.Number] = &wait
	book.mutex.Unlock()
	book.changed()
	return wait.Number
}

// Leave ends a request's wait.
func (book *Book) Leave(number WaitNumber) {
	book.mutex.Lock()
	delete(book.waits, number)
	book.mutex.Unlock()
	book.changed()
}

// Mark notes whether a waiting request is late or blocked.
func (book *Book) Mark(number WaitNumber, late, blocked bool) {
	book.mutex.Lock()
	wait := book.waits[number]
	changed := wait != nil && (wait.Late != late || wait.Blocked != blocked)
	if changed {
		wait.Late, wait.Blocked = late, blocked
	}
	book.mutex.Unlock()
	if changed {
		book.changed()
	}
}

// OwnWaits returns this instance's waiting requests.
func (book *Book) OwnWaits() []Wait {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	waits := make([]Wait, 0, len(book.waits))
	for _, wait := range book.waits {
		waits = append(waits, *wait)
	}
	return waits
}

// Ahead returns how many requests go before one of this instance's, and how long
// one engine would read them all.
func (book *Book) Ahead(number WaitNumber, instance peridotpath.InstanceID, now time.Time) (count int, reading time.Duration) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	own := book.waits[number]
	if own == nil {
		return 0, 0
	}
	note := func(other *Wait, before bool) {
		if before && !other.Blocked {
			count++
			reading += other.Reading
		}
	}
	for _, other := range book.waits {
		note(other, other.Number != number && other.before(own, other.Number < number))
	}
	for id, peer := range book.livePeers(now) {
		for i := range peer.waits {
			note(&peer.waits[i], peer.waits[i].before(own, id < instance))
		}
	}
	return count, reading
}

// before reports whether wait goes before other; tie decides between equals.
func (wait *Wait) before(other *Wait, tie bool) bool {
	if wait.Late != other.Late {
		return other.Late
	}
	// Times told by peers are off by a datagram's way, so that what is closer
	// than that is equal.
	if gap := wait.Due.Sub(other.Due); gap < -dueNoise || gap > dueNoise {
		return gap < 0
	}
	return tie
}

// dueNoise is the difference of two times that may be that of their way here.
const dueNoise = 3 * time.Millisecond
