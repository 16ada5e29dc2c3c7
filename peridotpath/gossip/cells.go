package gossip

import (
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath/cell"
)

// cellSettleTime bounds the time until all instances have applied a change of the number of
// cells: one instance reads the new number in the registry, and the peers that receive it
// in a digest read the registry within seconds.
const cellSettleTime = 8 * time.Second

// cellMembership holds the cell of an instance while the number of cells changes.
//
// It matters while instances join and leave. They receive a new number of cells seconds
// apart. If an instance gossiped to the new cell only, those still in the old one would
// lack its load and place prompts on engines that are busy with its requests. For
// cellSettleTime after a change, an instance therefore gossips to the larger of the old and
// the new cell and sends requests to the endpoints of the smaller one.
type cellMembership struct {
	// endpointCell is the cell whose endpoints are used. It is read for each request.
	endpointCell atomic.Pointer[cell.Cell]
	// gossipCell is the cell to which digests are sent.
	gossipCell cell.Cell
	// latestCell is the cell according to the latest list of instances, latestSince when it
	// last changed, and firstListAt the time of the first list.
	latestCell               cell.Cell
	latestSince, firstListAt time.Time
}

// EndpointCell returns the cell whose endpoints are used.
func (membership *cellMembership) EndpointCell() cell.Cell {
	if active := membership.endpointCell.Load(); active != nil {
		return *active
	}
	return cell.Cell{}
}

// latestCount returns the number of cells according to the latest list; zero before the
// first list.
func (membership *cellMembership) latestCount() int {
	if membership.firstListAt.IsZero() {
		return 0
	}
	return membership.latestCell.Count()
}

// update applies the cell that follows from a new list of instances, and reports whether it
// differs from the previous one.
func (membership *cellMembership) update(listed cell.Cell, now time.Time) bool {
	if membership.firstListAt.IsZero() {
		membership.firstListAt = now
	}
	changed := listed != membership.latestCell
	if changed {
		membership.latestCell, membership.latestSince = listed, now
	}
	endpointCell := listed
	// An instance that has just started has no in-flight requests in the views of its peers,
	// so it uses the new cell at once.
	if now.Sub(membership.latestSince) < cellSettleTime && now.Sub(membership.firstListAt) >= cellSettleTime {
		if before := membership.EndpointCell(); before.Count() > listed.Count() {
			endpointCell = before
		}
		if membership.gossipCell.Count() > listed.Count() {
			membership.gossipCell = listed
		}
	} else {
		membership.gossipCell = listed
	}
	if endpointCell != membership.EndpointCell() {
		membership.endpointCell.Store(&endpointCell)
	}
	return changed
}
