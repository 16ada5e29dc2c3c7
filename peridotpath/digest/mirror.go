package digest

import (
	"sync"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/peer/wire"
)

// Mirror is what this instance holds of another one's Book. The zero Mirror
// holds nothing.
type Mirror struct {
	mu        sync.Mutex
	epoch     uint64
	sequence  uint64
	endpoints map[uint32]*Report
	customers map[uint32]*demand
	heard     time.Time
}

// Report is an endpoint's report as its owner handed it on.
type Report struct {
	Endpoint peridotpath.EndpointID
	Load     peridotpath.Load
	// Unread says that the owner cannot read the endpoint at present.
	Unread bool
}

// demand is what one customer asks of another instance.
type demand struct {
	customer peridotpath.CustomerID
	// perSecond counts requests, refused ones included.
	perSecond float64
}

// Seen returns the epoch and sequence that the other instance may build on.
func (mirror *Mirror) Seen() (epoch, sequence uint64) {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return mirror.epoch, mirror.sequence
}

// Heard returns when the other instance was last heard; zero for never.
func (mirror *Mirror) Heard() time.Time {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	return mirror.heard
}

// Apply takes in a Digest that arrived at now, and returns every report that it
// confirms, changed or not. It returns none when the Digest is late or builds
// on something that is not held; the next one then brings what is missing,
// because Seen says what is.
//
// AsOf of the reports is reckoned from now and the ages in the Digest, so that
// the two instances' clocks may differ by any amount.
func (mirror *Mirror) Apply(now time.Time, digest *wire.Digest) []Report {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	if digest.Epoch != mirror.epoch {
		// The other instance was started anew. What it said before is void; a
		// late Digest of the earlier run is put right by the next exchange.
		mirror.epoch, mirror.sequence = digest.Epoch, 0
		mirror.endpoints, mirror.customers = map[uint32]*Report{}, map[uint32]*demand{}
	}
	if digest.Base > mirror.sequence || digest.Sequence < mirror.sequence {
		return nil
	}
	mirror.heard = now
	mirror.sequence = digest.Sequence
	confirmed := now.Add(-age(digest.AgeMs))
	for _, report := range mirror.endpoints {
		if !report.Unread && confirmed.After(report.Load.AsOf) {
			report.Load.AsOf = confirmed
		}
	}
	for _, written := range digest.Endpoints {
		mirror.applyEndpoint(now, written)
	}
	for _, written := range digest.Customers {
		mirror.applyCustomer(written)
	}
	reports := make([]Report, 0, len(mirror.endpoints))
	for _, report := range mirror.endpoints {
		reports = append(reports, *report)
	}
	return reports
}

func age(millis uint32) time.Duration { return time.Duration(millis) * time.Millisecond }

func (mirror *Mirror) applyEndpoint(now time.Time, written *wire.EndpointEntry) {
	if written.State == wire.State_STATE_DROPPED {
		delete(mirror.endpoints, written.Index)
		return
	}
	report := mirror.endpoints[written.Index]
	if report == nil {
		report = &Report{}
		mirror.endpoints[written.Index] = report
	}
	load := &report.Load
	if written.Endpoint != "" {
		report.Endpoint = peridotpath.EndpointID(written.Endpoint)
		load.KVTokens = peridotpath.Tokens(Figure(written.KvTokens))
		load.PrefillPerS = peridotpath.Tokens(Figure(written.PrefillPerS))
		load.DecodePerS = peridotpath.Tokens(Figure(written.DecodePerS))
	}
	load.Running, load.Waiting = int(Figure(written.Running)), int(Figure(written.Waiting))
	load.PrefillTokens = peridotpath.Tokens(Figure(written.PrefillTokens))
	load.KVUsed = peridotpath.Tokens(Figure(written.KvUsed))
	load.Revision = written.Revision
	load.AsOf = now.Add(-age(written.AgeMs))
	load.Leaving = written.State == wire.State_STATE_LEAVING
	report.Unread = written.State == wire.State_STATE_UNREAD
}

func (mirror *Mirror) applyCustomer(written *wire.CustomerEntry) {
	if written.State == wire.State_STATE_DROPPED {
		delete(mirror.customers, written.Index)
		return
	}
	found := mirror.customers[written.Index]
	if found == nil {
		found = &demand{}
		mirror.customers[written.Index] = found
	}
	if written.Customer != "" {
		found.customer = peridotpath.CustomerID(written.Customer)
	}
	found.perSecond = float64(Figure(written.Demand)) / demandScale
}

// Demand returns what each customer asks of the other instance, in requests per
// second, refused ones included.
func (mirror *Mirror) Demand() map[peridotpath.CustomerID]float64 {
	mirror.mu.Lock()
	defer mirror.mu.Unlock()
	byCustomer := make(map[peridotpath.CustomerID]float64, len(mirror.customers))
	for _, found := range mirror.customers {
		byCustomer[found.customer] = found.perSecond
	}
	return byCustomer
}
