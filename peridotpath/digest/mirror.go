package digest

import (
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/peer/wire"
)

// Mirror is the copy of another instance's published state. The zero Mirror is
// empty.
type Mirror struct {
	mu            sync.Mutex
	epoch         uint64
	sequence      uint64
	endpoints     map[uint32]*Report
	customers     map[uint32]*customerDemand
	lastAppliedAt time.Time
}

// Report is an endpoint's load report as forwarded by the owner of the endpoint.
type Report struct {
	Endpoint peridotpath.EndpointID
	Load     peridotpath.Load
	// IsUnreadable is set while the owner cannot read the endpoint's report.
	IsUnreadable bool
}

// customerDemand is the demand of one customer at another instance.
type customerDemand struct {
	customer peridotpath.CustomerID
	// perSecond is the number of requests per second, including refused ones.
	perSecond float64
}

// Position returns the epoch and sequence that this Mirror holds, for the other
// instance to base its next Digest on.
func (mirror *Mirror) Position() (epoch, sequence uint64) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return mirror.epoch, mirror.sequence
}

// LastAppliedAt returns when the last Digest of the other instance was applied;
// zero for never.
func (mirror *Mirror) LastAppliedAt() time.Time {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return mirror.lastAppliedAt
}

// Apply applies a Digest that was received at now, and returns all reports held,
// changed or not. It returns none if the Digest is older than the state held or
// based on a later sequence; the next Digest then starts from the position that
// Mirror.Position returns.
//
// AsOf of the reports is computed from now and the ages in the Digest, which
// makes it independent of the clock difference between the instances.
func (mirror *Mirror) Apply(now time.Time, digest *wire.Digest) []Report {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	if digest.Epoch != mirror.epoch {
		// The other instance was restarted, which invalidates its earlier
		// state. A late Digest of the earlier run is corrected by the next
		// exchange.
		mirror.epoch, mirror.sequence = digest.Epoch, 0
		mirror.endpoints, mirror.customers = map[uint32]*Report{}, map[uint32]*customerDemand{}
	}
	if digest.Base > mirror.sequence || digest.Sequence < mirror.sequence {
		return nil
	}
	mirror.lastAppliedAt = now
	mirror.sequence = digest.Sequence
	confirmedAt := now.Add(-fromMillis(digest.AgeMs))
	for _, report := range mirror.endpoints {
		if !report.IsUnreadable && confirmedAt.After(report.Load.AsOf) {
			report.Load.AsOf = confirmedAt
		}
	}
	for _, encoded := range digest.Endpoints {
		mirror.applyEndpoint(now, encoded)
	}
	for _, encoded := range digest.Customers {
		mirror.applyCustomer(encoded)
	}
	reports := make([]Report, 0, len(mirror.endpoints))
	for _, report := range mirror.endpoints {
		reports = append(reports, *report)
	}
	return reports
}

func fromMillis(millis uint32) time.Duration { return time.Duration(millis) * time.Millisecond }

func (mirror *Mirror) applyEndpoint(now time.Time, encoded *wire.EndpointEntry) {
	if encoded.State == wire.State_STATE_DROPPED {
		delete(mirror.endpoints, encoded.Index)
		return
	}
	report := mirror.endpoints[encoded.Index]
	if report == nil {
		report = &Report{}
		mirror.endpoints[encoded.Index] = report
	}
	load := &report.Load
	if encoded.Endpoint != "" {
		report.Endpoint = peridotpath.EndpointID(encoded.Endpoint)
		load.KVTokens = peridotpath.Tokens(Dequantise(encoded.KvTokens))
		load.PrefillPerS = peridotpath.Tokens(Dequantise(encoded.PrefillPerS))
		load.DecodePerS = peridotpath.Tokens(Dequantise(encoded.DecodePerS))
	}
	load.Running, load.Waiting = int(Dequantise(encoded.Running)), int(Dequantise(encoded.Waiting))
	load.PrefillTokens = peridotpath.Tokens(Dequantise(encoded.PrefillTokens))
	load.KVUsed = peridotpath.Tokens(Dequantise(encoded.KvUsed))
	load.Revision = encoded.Revision
	load.AsOf = now.Add(-fromMillis(encoded.AgeMs))
	load.Leaving = encoded.State == wire.State_STATE_LEAVING
	report.IsUnreadable = encoded.State == wire.State_STATE_UNREAD
}

func (mirror *Mirror) applyCustomer(encoded *wire.CustomerEntry) {
	if encoded.State == wire.State_STATE_DROPPED {
		delete(mirror.customers, encoded.Index)
		return
	}
	found := mirror.customers[encoded.Index]
	if found == nil {
		found = &customerDemand{}
		mirror.customers[encoded.Index] = found
	}
	if encoded.Customer != "" {
		found.customer = peridotpath.CustomerID(encoded.Customer)
	}
	found.perSecond = float64(Dequantise(encoded.Demand)) / demandScale
}

// DemandByCustomer returns each customer's demand at the other instance, in
// requests per second, including refused ones.
func (mirror *Mirror) DemandByCustomer() map[peridotpath.CustomerID]float64 {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	byCustomer := make(map[peridotpath.CustomerID]float64, len(mirror.customers))
	for _, found := range mirror.customers {
		byCustomer[found.customer] = found.perSecond
	}
	return byCustomer
}
