package gossip

import (
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath/cell"
)

// settleTime is how long after a change of the cells all instances know of it: one
// reads it, and those that hear of it read the list of instances within seconds.
const settleTime = 8 * time.Second

// cells is the part of the fleet that an instance belongs to, while the fleet is
// divided anew.
//
// The load that this is made for is a day of joins and leaves. Instances learn of a
// change of the cells seconds apart; those that had learnt of it heard nothing of
// the others' requests and placed prompts on engines that looked free. Until all
// know of it, an instance tells the wider of the old and the new cell, and uses the
// endpoints of the narrower.
type cells struct {
	// used is read for each request.
	used atomic.Pointer[cell.Cell]
	told cell.Cell
	// due is the cell by the last list, since when it has been, and began when there
	// was a first list.
	due          cell.Cell
	since, began time.Time
}

// Used returns the cell whose endpoints are used.
func (cells *cells) Used() cell.Cell {
	if used := cells.used.Load(); used != nil {
		return *used
	}
	return cell.Cell{}
}

// known returns how many cells there are by the last list, zero before the first.
func (cells *cells) known() int {
	if cells.began.IsZero() {
		return 0
	}
	return cells.due.Count()
}

// divide takes the cell by a new list of instances, and reports whether it is
// another one.
func (cells *cells) divide(own cell.Cell, now time.Time) bool {
	if cells.began.IsZero() {
		cells.began = now
	}
	changed := own != cells.due
	if changed {
		cells.due, cells.since = own, now
	}
	used := own
	// An instance that has just started has nothing under way that others know of.
	if now.Sub(cells.since) < settleTime && now.Sub(cells.began) >= settleTime {
		if before := cells.Used(); before.Count() > own.Count() {
			used = before
		}
		if cells.told.Count() > own.Count() {
			cells.told = own
		}
	} else {
		cells.told = own
	}
	if used != cells.Used() {
		cells.used.Store(&used)
	}
	return changed
}
