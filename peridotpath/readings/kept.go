package readings

import "sync"

// kept holds the last readings of something, newest last, so that peers can be told
// only what changed since the one that they have.
type kept[Reading any] struct {
	mutex    sync.Mutex
	readings []Reading
}

// add notes a reading as the newest and forgets the oldest beyond most. Settled is
// called with the newest so far; where it returns true nothing is added.
func (kept *kept[Reading]) add(reading Reading, most int, settled func(last *Reading) bool) {
	kept.mutex.Lock()
	defer kept.mutex.Unlock()
	if count := len(kept.readings); count > 0 && settled(&kept.readings[count-1]) {
		return
	}
	kept.readings = append(kept.readings, reading)
	if len(kept.readings) > most {
		kept.readings = append([]Reading(nil), kept.readings[1:]...)
	}
}

// last returns the newest reading; false before the first.
func (kept *kept[Reading]) last() (Reading, bool) {
	kept.mutex.Lock()
	defer kept.mutex.Unlock()
	var none Reading
	if len(kept.readings) == 0 {
		return none, false
	}
	return kept.readings[len(kept.readings)-1], true
}

// find returns the oldest reading for which is holds; false where none is kept.
func (kept *kept[Reading]) find(is func(*Reading) bool) (Reading, bool) {
	kept.mutex.Lock()
	defer kept.mutex.Unlock()
	for i := range kept.readings {
		if is(&kept.readings[i]) {
			return kept.readings[i], true
		}
	}
	var none Reading
	return none, false
}
