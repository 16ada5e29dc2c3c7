package fairshare

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/directory"
	"peridotpath.example/peridotpath/fairness"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/routing"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// shareInterval is the time between two computations of the shares. Shares change within
	// fairness.TimeConstant.
	shareInterval = 50 * time.Millisecond
	// scarcityHold is how long capacity counts as scarce after a prompt had to wait. It bridges the
	// random gaps between waits near the capacity.
	scarcityHold = 500 * time.Millisecond
	// maxReportedUsages bounds the customers in a digest; those with the most engine time are
	// reported.
	maxReportedUsages = 64
)

// Divider divides scarce engine time between customers. Its verdicts apply while prompts wait here
// or at a peer and the routing has two customers or more. Otherwise a request only adds to the
// ledger. Set the exported fields before use. It is safe for concurrent use. To a nil Divider, no
// customer is above its share.
type Divider struct {
	Log zerolog.Logger
	// Sampler samples the log lines.
	Sampler     *telemetry.LogSampler
	LoadTracker *placement.LoadTracker
	Routing     *routing.State
	// Endpoints returns the endpoints that this instance sends requests to.
	Endpoints func() *directory.Snapshot

	mutex  sync.Mutex
	ledger fairness.Ledger
	// inFlight counts this instance's requests in flight by customer.
	inFlight map[placement.CustomerHash]int
	// served counts requests by route and size class.
	served map[peridotpath.RouteName]*fairness.ClassCounts[int]
	// answerRatio is the average ratio of the length of an answer to the expected one; zero before
	// the first.
	answerRatio float64

	// waitedAt is when a prompt last had to wait at this instance, slotsTakenAt when a short one
	// last found all slots taken.
	waitedAt, slotsTakenAt time.Time
	// takenSlots is the state of the engines when reports last showed all slots taken, at crowdedAt.
	takenSlots Slots
	crowdedAt  time.Time

	// updateTimer computes the shares again when no request does, so that the reported usages end
	// with the load.
	updateTimer *time.Timer

	peers peerCounter

	customers  customerWeights
	computedAt time.Time
	// isInForce reports that the shares apply, by the last computation. The fields below are valid
	// while it is set.
	isInForce  bool
	verdicts   map[placement.CustomerHash]fairness.Verdict
	totalShare time.Duration
	// partHere is the part of a customer's demand that arrives at this instance.
	partHere map[placement.CustomerHash]float64
}

// RecordWait records that a prompt has to wait at this instance.
func (divider *Divider) RecordWait(now time.Time) {
	divider.mutex.Lock()
	defer divider.mutex.Unlock()
	divider.recordWait(now)
}

// Update computes the shares if that is due. It is called when a peer reports that prompts wait
// there: without the usages of an instance that has no requests itself, the peer would assume there
// what it sees at itself, and leave engines idle.
func (divider *Divider) Update(now time.Time) {
	divider.mutex.Lock()
	defer divider.mutex.Unlock()
	divider.update(now)
}

// recordWait is RecordWait for a caller that holds the mutex.
func (divider *Divider) recordWait(now time.Time) {
	if divider.waitedAt.IsZero() || now.Sub(divider.waitedAt) >= scarcityHold {
		divider.computedAt = time.Time{}
	}
	divider.waitedAt = now
}

// waits reports whether a prompt had to wait at this instance. The caller holds the mutex.
func (divider *Divider) waits(now time.Time) bool {
	return !divider.waitedAt.IsZero() && now.Sub(divider.waitedAt) < scarcityHold
}

// update computes the shares if that is due, and reports whether they apply. The caller holds the
// mutex.
func (divider *Divider) update(now time.Time) bool {
	if since := now.Sub(divider.computedAt); since >= 0 && since < shareInterval {
		return divider.isInForce
	}
	divider.computedAt = now
	divider.peers.update(divider.LoadTracker.LivePeerCount(now), now)
	reported := divider.LoadTracker.PeerUsages(now)
	peersWait := false
	for _, usage := range reported {
		peersWait = peersWait || usage.Waiting > 0
	}
	waits := divider.waits(now)
	if !waits && !peersWait || !divider.customers.load(divider.Routing) {
		if divider.isInForce {
			divider.LoadTracker.SetUsages(nil)
		}
		divider.isInForce, divider.verdicts, divider.partHere = false, nil, nil
		return false
	}
	divider.isInForce = true
	local := divider.ledger.Usages(divider.queuedByCustomer(), now)
	divider.report(local, waits)
	divider.judge(local, reported, now)
	return true
}

// queuedByCustomer returns the prefill time of this instance's queued prompts by customer.
func (divider *Divider) queuedByCustomer() map[placement.CustomerHash]time.Duration {
	queued := map[placement.CustomerHash]time.Duration{}
	for _, prompt := range divider.LoadTracker.LocalQueued() {
		if prompt.Customer != 0 {
			queued[prompt.Customer] += prompt.PrefillTime
		}
	}
	return queued
}

// report sets the usages that the peers receive. An instance where no prompt waits reports only
// because a peer does, and reports no waiting time: otherwise the instances would keep each other
// reporting for good. Without usages it reports one without a customer, which tells the peers
// that it is not silent.
func (divider *Divider) report(local []placement.CustomerUsage, waits bool) {
	usages := slices.Clone(local)
	slices.SortFunc(usages, func(a, b placement.CustomerUsage) int {
		return cmp.Or(cmp.Compare(b.Used+b.Waiting, a.Used+a.Waiting), cmp.Compare(a.Customer, b.Customer))
	})
	usages = usages[:min(len(usages), maxReportedUsages)]
	if !waits {
		for i := range usages {
			usages[i].Waiting = 0
		}
	}
	if len(usages) == 0 {
		usages = []placement.CustomerUsage{{}}
	}
	divider.LoadTracker.SetUsages(usages)
	if divider.updateTimer == nil {
		divider.updateTimer = time.AfterFunc(scarcityHold, func() {
			divider.mutex.Lock()
			defer divider.mutex.Unlock()
			divider.update(time.Now())
		})
		return
	}
	divider.updateTimer.Reset(scarcityHold)
}

// judge computes the verdicts from the local and the reported usages. Live peers that have not
// reported yet are assumed to have the same usages as this instance: when a flood begins, each
// instance sees its own part first.
func (divider *Divider) judge(local []placement.CustomerUsage, reported map[placement.CustomerHash]placement.CustomerUsage, now time.Time) {
	silent := divider.peers.count - divider.LoadTracker.UsageReporters(now)
	divider.partHere = make(map[placement.CustomerHash]float64, len(local))
	totals := make(map[placement.CustomerHash]placement.CustomerUsage, len(local)+len(reported))
	for customer, usage := range reported {
		if customer != 0 {
			totals[customer] = usage
		}
	}
	for _, usage := range local {
		total := totals[usage.Customer]
		total.Customer = usage.Customer
		total.Used += usage.Used * time.Duration(1+silent)
		total.Waiting += usage.Waiting * time.Duration(1+silent)
		totals[usage.Customer] = total
		divider.partHere[usage.Customer] = float64(usage.Used+usage.Waiting) / float64(max(total.Used+total.Waiting, 1))
	}
	usages := make([]fairness.Usage, 0, len(totals))
	for customer, total := range totals {
		usages = append(usages, fairness.Usage{CustomerUsage: total, Weight: divider.customers.weight(customer), Tolerance: divider.ledger.Tolerance(customer, now)})
	}
	divider.setVerdicts(fairness.Judge(divider.capacity(usages, now), usages))
}

// usableEngineShare is the share of the engines' time that requests can use at least: parts of a
// split prefill do not end at the same time, and some engines wait for others.
const usableEngineShare = 0.6

// capacity returns the engine time that the engines have within fairness.TimeConstant: the time
// of all of them at most, and less where more requests are in flight than they run, or where
// prompts wait although less is used.
func (divider *Divider) capacity(usages []fairness.Usage, now time.Time) time.Duration {
	var used, demand time.Duration
	for _, usage := range usages {
		used += usage.Used
		demand += usage.Used + usage.Waiting
	}
	nominal := fairness.TimeConstant * time.Duration(divider.engineCount())
	capacity := min(nominal, max(used, time.Duration(usableEngineShare*float64(nominal))))
	if slots := divider.takenSlots; !divider.crowdedAt.IsZero() && now.Sub(divider.crowdedAt) < scarcityHold && slots.Occupied > slots.Room {
		capacity = min(capacity, time.Duration(float64(slots.Room)/float64(slots.Occupied)*float64(demand)))
	}
	return capacity
}

// engineCount returns the number of engines of all services.
func (divider *Divider) engineCount() int {
	count, snapshot := 0, divider.Endpoints()
	if table := divider.Routing.Current(); table != nil && snapshot != nil {
		for name, spec := range table.Routing.Services {
			if spec.Engine != nil {
				count += len(snapshot.ForService(name))
			}
		}
	}
	return count
}

// setVerdicts replaces the verdicts and logs those that changed.
func (divider *Divider) setVerdicts(verdicts map[placement.CustomerHash]fairness.Verdict) {
	divider.totalShare = 0
	for customer, verdict := range verdicts {
		divider.totalShare += verdict.Share
		if verdict.AboveShare != divider.verdicts[customer].AboveShare {
			divider.log(customer, verdict, "changed")
		}
	}
	divider.verdicts = verdicts
}

// log writes a line about a verdict, limited by the sampler.
func (divider *Divider) log(customer placement.CustomerHash, verdict fairness.Verdict, action string) {
	if divider.Sampler == nil || !divider.Sampler.Allow(divider.computedAt) {
		return
	}
	divider.Log.Info().Str("customer", string(divider.customers.ids[customer])).Dur("share", verdict.Share).Dur("used", verdict.Used).
		Dur("waiting", verdict.Demand-verdict.Used).Bool("above_share", verdict.AboveShare).Str("action", action).Msg("fair_share")
}
