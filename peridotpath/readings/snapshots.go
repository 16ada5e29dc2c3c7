package readings

import "sync"

// snapshots holds the last snapshots of a value, newest last, so that peers can be sent
// only the changes since the one that they have.
type snapshots[Snapshot any] struct {
	mutex sync.Mutex
	kept  []Snapshot
}

// add appends a snapshot and drops the oldest if there are more than maxKept. If there is a
// newest snapshot, skip is called with it; nothing is added if it returns true.
func (snapshots *snapshots[Snapshot]) add(snapshot Snapshot, maxKept int, skip func(newest *Snapshot) bool) {
	snapshots.mutex.Lock()
	defer snapshots.mutex.Unlock()
	if count := len(snapshots.kept); count > 0 && skip(&snapshots.kept[count-1]) {
		return
	}
	snapshots.kept = append(snapshots.kept, snapshot)
	if len(snapshots.kept) > maxKept {
		snapshots.kept = append([]Snapshot(nil), snapshots.kept[1:]...)
	}
}

// newest returns the newest snapshot; false if there is none.
func (snapshots *snapshots[Snapshot]) newest() (Snapshot, bool) {
	snapshots.mutex.Lock()
	defer snapshots.mutex.Unlock()
	var none Snapshot
	if len(snapshots.kept) == 0 {
		return none, false
	}
	return snapshots.kept[len(snapshots.kept)-1], true
}

// find returns the oldest snapshot that matches; false if none does.
func (snapshots *snapshots[Snapshot]) find(matches func(*Snapshot) bool) (Snapshot, bool) {
	snapshots.mutex.Lock()
	defer snapshots.mutex.Unlock()
	for i := range snapshots.kept {
		if matches(&snapshots.kept[i]) {
			return snapshots.kept[i], true
		}
	}
	var none Snapshot
	return none, false
}
