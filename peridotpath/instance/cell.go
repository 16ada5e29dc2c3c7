package instance

import (
	"time"

	"peridotpath.example/peridotpath/cell"
	"peridotpath.example/peridotpath/directory"
)

// cellSnapshot holds the endpoints of one cell and the snapshot they were filtered from.
type cellSnapshot struct {
	source    *directory.Snapshot
	cell      cell.Cell
	endpoints *directory.Snapshot
}

// cellEndpoints returns the endpoints of the instance's cell. They are filtered once per
// snapshot and not per request, since a fleet may have thousands.
func (instance *Instance) cellEndpoints() *directory.Snapshot {
	snapshot, currentCell := instance.directory.Current(), instance.gossip.Cell()
	if snapshot == nil || currentCell.Count() == 1 {
		return snapshot
	}
	if cached := instance.cachedCellEndpoints.Load(); cached != nil && cached.source == snapshot && cached.cell == currentCell {
		return cached.endpoints
	}
	endpoints := snapshot.Filter(currentCell.HasEndpoint)
	instance.cachedCellEndpoints.Store(&cellSnapshot{source: snapshot, cell: currentCell, endpoints: endpoints})
	return endpoints
}

// estimateFleetSize returns the approximate number of instances: those in this cell
// times the number of cells, which are of about the same size.
func (instance *Instance) estimateFleetSize() int {
	return (1 + instance.loads.LivePeerCount(time.Now())) * instance.gossip.Cell().Count()
}
