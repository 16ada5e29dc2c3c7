package directory

import (
	"time"

	"peridotpath.example/peridotpath"
)

// HasDrained reports whether live endpoints of a service are excluded because their data
// centre is drained.
func (snapshot *Snapshot) HasDrained(service peridotpath.Service) bool {
	return snapshot != nil && snapshot.drainedServices[service]
}

// DrainedCount returns the number of drained data centres.
func (snapshot *Snapshot) DrainedCount() int {
	if snapshot == nil {
		return 0
	}
	return len(snapshot.drained)
}

// drainedDataCentres returns the drained data centres after a read that lists some.
//
// An older copy of the store may lack a drain that was ordered since. Until
// restoredEntryTimeout after a restore, a data centre that was drained before it stays
// drained, or its endpoints would receive requests for as long as it takes to repeat the order.
func (directory *Directory) drainedDataCentres(before *Snapshot, listed []peridotpath.DataCentre, at time.Duration) map[peridotpath.DataCentre]bool {
	drained := map[peridotpath.DataCentre]bool{}
	for _, dataCentre := range listed {
		drained[dataCentre] = true
	}
	if before == nil || directory.storeRestoredAt == 0 || at-directory.storeRestoredAt > restoredEntryTimeout {
		return drained
	}
	for dataCentre := range before.drained {
		if !drained[dataCentre] {
			drained[dataCentre] = true
			directory.addException(directory.storeRestoredAt + restoredEntryTimeout)
		}
	}
	return drained
}

// logDrains logs the data centres whose drain began or ended.
func (directory *Directory) logDrains(before, after *Snapshot) {
	if before == nil {
		before = &Snapshot{}
	}
	for dataCentre := range after.drained {
		if !before.drained[dataCentre] {
			directory.Log.Info().Str("data_centre", string(dataCentre)).Msg("data_centre_drained")
		}
	}
	for dataCentre := range before.drained {
		if !after.drained[dataCentre] {
			directory.Log.Info().Str("data_centre", string(dataCentre)).Msg("data_centre_undrained")
		}
	}
}
