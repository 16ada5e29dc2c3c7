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
	snapshot, own := instance.directory.Current(), instance.gossip.Cell()
	if snapshot == nil || own.Count() == 1 {
		return snapshot
	}
	if cached := instance.cachedCellEndpoints.Load(); cached != nil && cached.source == snapshot && cached.cell == own {
		return cached.endpoints
	}
	endpoints := snapshot.Filter(own.HasEndpoint)
	instance.cachedCellEndpoints.Store(&cellSnapshot{source: snapshot, cell: own, endpoints: endpoints})
	return endpoints
}

// estimateFleetSize returns the approximate number of instances: those in the own cell
// times the number of cells, which are of about the same size.
func (instance *Instance) estimateFleetSize() int {
	return (1 + instance.loads.LivePeerCount(time.Now())) * instance.gossip.Cell().Count()
}
