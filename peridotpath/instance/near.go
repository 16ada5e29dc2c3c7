package instance

import (
	"time"

	"peridotpath.example/peridotpath/cell"
	"peridotpath.example/peridotpath/directory"
)

// narrowed is the endpoints of one cell, and what they were chosen from.
type narrowed struct {
	from *directory.Snapshot
	cell cell.Cell
	near *directory.Snapshot
}

// near returns the endpoints of the instance's cell. They are chosen once for
// each reading and not for each request: a fleet may have thousands.
func (instance *Instance) near() *directory.Snapshot {
	from, own := instance.directory.Current(), instance.gossip.Cell()
	if from == nil || own.Count() == 1 {
		return from
	}
	if last := instance.narrowed.Load(); last != nil && last.from == from && last.cell == own {
		return last.near
	}
	near := from.Narrow(own.HasEndpoint)
	instance.narrowed.Store(&narrowed{from: from, cell: own, near: near})
	return near
}

// count returns how many instances there are, as far as this one knows: it
// hears those of its cell, and cells are about as large as each other.
func (instance *Instance) count() int {
	return (1 + instance.book.Peers(time.Now())) * instance.gossip.Cell().Count()
}
