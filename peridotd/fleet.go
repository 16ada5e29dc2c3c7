package main

import (
	"context"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/digest"
	"peridotpath.example/peridotpath/fleet"
	"peridotpath.example/peridotpath/membership"
	"peridotpath.example/peridotpath/ownership"
	"peridotpath.example/peridotpath/peer"
	"peridotpath.example/peridotpath/settings"
	"peridotpath.example/peridotpath/share"
	"peridotpath.example/peridotpath/sweep"
)

// membershipInterval is how often the membership list is read. Drains and
// refusals reach an instance faster by other ways; the list names new members,
// and reading it each second would cost more than half of what control may.
const membershipInterval = 3 * time.Second

// fleetSide is what this instance knows of endpoints and of other instances,
// and how it learns it.
type fleetSide struct {
	settings    *settings.Settings
	incarnation peridotpath.Incarnation
	scheduler   *decide.Scheduler

	follower  *membership.Follower
	owners    *ownership.Owners
	view      *fleet.View
	poller    *fleet.Poller
	book      *digest.Book
	exchanger *peer.Exchanger
	relay     *peer.Relay
	service   *peer.Service
	limiter   *share.Limiter
	sweeper   *sweep.Sweeper
	largest   atomic.Pointer[map[peridotpath.Service]peridotpath.Tokens]
}

// joinFleet joins the parts that know the fleet to the daemon's other parts.
func joinFleet(daemon *daemon) *fleetSide {
	side := &fleetSide{settings: daemon.settings, incarnation: daemon.incarnation, scheduler: daemon.scheduler}
	side.joinMembers(daemon)
	side.joinReports(daemon)
	side.joinInstances(daemon)
	return side
}

func (side *fleetSide) joinMembers(daemon *daemon) {
	side.owners = &ownership.Owners{Scope: ownership.Scope{
		Self: daemon.settings.InstanceID, DataCentre: daemon.settings.DataCentre,
		Readers: daemon.settings.ConfigReaders,
	}}
	side.follower = &membership.Follower{
		Fetch: func(ctx context.Context) (*membership.List, error) {
			return membership.Fetch(ctx, daemon.settings.MembershipAddress)
		},
		Interval: membershipInterval, Log: daemon.log, Changed: side.membersChanged,
	}
	side.view = &fleet.View{
		Log: daemon.log, Publish: daemon.scheduler.SetEndpoints, Load: daemon.scheduler.Report,
		Drained: daemon.drained,
	}
}

func (side *fleetSide) joinReports(daemon *daemon) {
	side.book = &digest.Book{Epoch: uint64(daemon.incarnation)}
	side.poller = &fleet.Poller{View: side.view, Book: side.book, Load: daemon.engines.Load, Owns: side.owns}
	side.sweeper = &sweep.Sweeper{
		Log: daemon.log, Engines: side.view.Engines, Owns: side.owns,
		Streams: daemon.engines.Streams, Cancel: daemon.engines.Cancel, ResumeWindow: resumeWindow,
	}
}

func (side *fleetSide) joinInstances(daemon *daemon) {
	client := &peer.Client{}
	side.exchanger = &peer.Exchanger{
		Self: daemon.settings.InstanceID, Book: side.book, Log: daemon.log,
		Peers: side.peers, Call: client.Exchange, Report: side.view.Report,
	}
	side.relay = &peer.Relay{Readers: side.readers, Others: side.peers, Changes: client.Changes}
	side.service = &peer.Service{Exchanger: side.exchanger, Changes: daemon.config.Changes}
	daemon.config.Peers = side.relay.Peers
	daemon.config.IsReader = side.isReader
	daemon.config.Publish = func(*config.Snapshot) { side.view.Refresh(time.Now()) }
	side.limiter = &share.Limiter{
		Peers: side.exchanger.Remotes, Publish: side.book.PutCustomer, Keep: side.book.KeepCustomers,
	}
	daemon.scheduler.Allow = side.limiter.Allow
}

func (side *fleetSide) membersChanged(list *membership.List) {
	side.owners.Set(list.Instances, list.Endpoints)
	side.scheduler.SetInstances(side.owners.Current().Live())
	largest := largestEngines(list.Endpoints)
	side.largest.Store(&largest)
	side.view.SetMembers(time.Now(), list.Endpoints)
}

func (side *fleetSide) owns(id peridotpath.EndpointID) bool { return side.owners.Current().Owns(id) }

// isReader reports whether this instance watches the platform. One that is on
// no list, or has read none yet, watches: there is nobody to follow.
func (side *fleetSide) isReader() bool {
	table := side.owners.Current()
	return table.Live() == 0 || table.IsReader()
}

// peers returns the other live instances of this one's domain: all data centres
// while the instances are few, its own beyond that.
func (side *fleetSide) peers() []peridotpath.Instance { return side.owners.Current().Others() }

func (side *fleetSide) readers() []peridotpath.Instance { return side.owners.Current().OtherReaders() }

// alive reports whether that run of that instance may still be at work.
func (side *fleetSide) alive(id peridotpath.InstanceID, incarnation peridotpath.Incarnation) bool {
	if id == side.settings.InstanceID {
		return incarnation == side.incarnation
	}
	list := side.follower.Current()
	if list == nil {
		return true
	}
	for _, instance := range list.Instances {
		if instance.ID == id {
			return mayRun(incarnation, instance.Incarnation, peridotpath.Incarnation(side.exchanger.Epoch(id)))
		}
	}
	return false
}

// mayRun reports whether a run of a listed instance may still be at work, given
// the run that the list names and the one that was heard last, zero where
// unknown.
//
// An instance that was killed is often replaced under its old id, and the list
// may not tell runs apart. A caller who repeats a key of the killed run would be
// told "running" for a day. A later run that is heard proves the earlier one
// dead; the claim ledger waits out what may still be on its way.
func mayRun(claimed, listed, heard peridotpath.Incarnation) bool {
	return claimed >= heard && (listed == 0 || claimed >= listed)
}

// engineHolds returns the KV memory of the service's largest engine. It is on
// the path of each prompt and takes no lock.
func (side *fleetSide) engineHolds(service peridotpath.Service) peridotpath.Tokens {
	largest := side.largest.Load()
	if largest == nil {
		return 0
	}
	return (*largest)[service]
}

// isPlain reports whether the service has endpoints and none is an engine.
func (side *fleetSide) isPlain(service peridotpath.Service) bool {
	largest := side.largest.Load()
	if largest == nil {
		return false
	}
	holds, known := (*largest)[service]
	return known && holds == 0
}

// largestEngines returns the KV memory of each service's largest engine.
func largestEngines(endpoints []peridotpath.Endpoint) map[peridotpath.Service]peridotpath.Tokens {
	largest := map[peridotpath.Service]peridotpath.Tokens{}
	for _, endpoint := range endpoints {
		largest[endpoint.Service] = max(largest[endpoint.Service], endpoint.KVTokens)
	}
	return largest
}
