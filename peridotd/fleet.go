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

// membershipInterval is how often the membership list is fetched. It delays only the
// detection of new members, since drains and refusals arrive faster by other channels.
// Fetching the list each second would take more than half of the budget for control traffic.
const membershipInterval = 3 * time.Second

// fleetTracker tracks the endpoints and the other instances: by the membership list, by the
// load reports of engines and by digests that peers exchange.
type fleetTracker struct {
	settings    *settings.Settings
	incarnation peridotpath.Incarnation
	scheduler   *decide.Scheduler

	follower       *membership.Follower
	owners         *ownership.Owners
	view           *fleet.View
	poller         *fleet.Poller
	digests        *digest.PublishedState
	exchanger      *peer.Exchanger
	configFollower *peer.ConfigFollower
	service        *peer.Service
	limiter        *share.Limiter
	sweeper        *sweep.Sweeper
	largestKV      atomic.Pointer[map[peridotpath.Service]peridotpath.Tokens]
}

// newFleetTracker creates the fleet tracking and connects it to the daemon's other components.
func newFleetTracker(daemon *daemon) *fleetTracker {
	tracker := &fleetTracker{settings: daemon.settings, incarnation: daemon.incarnation, scheduler: daemon.scheduler}
	tracker.initMembership(daemon)
	tracker.initLoadReports(daemon)
	tracker.initPeerExchange(daemon)
	return tracker
}

func (tracker *fleetTracker) initMembership(daemon *daemon) {
	tracker.owners = &ownership.Owners{Scope: ownership.Scope{
		Self: daemon.settings.InstanceID, DataCentre: daemon.settings.DataCentre,
		ReaderCount: daemon.settings.ConfigReaders,
	}}
	tracker.follower = &membership.Follower{
		Fetch: func(ctx context.Context) (*membership.List, error) {
			return membership.Fetch(ctx, daemon.settings.MembershipAddress)
		},
		Interval: membershipInterval, Log: daemon.log, OnChange: tracker.onMembersChanged,
	}
	tracker.view = &fleet.View{
		Log: daemon.log, OnChange: daemon.scheduler.SetEndpoints, OnLoad: daemon.scheduler.ApplyReport,
		IsDrained: daemon.isDrained,
	}
}

func (tracker *fleetTracker) initLoadReports(daemon *daemon) {
	tracker.digests = &digest.PublishedState{Epoch: uint64(daemon.incarnation)}
	tracker.poller = &fleet.Poller{View: tracker.view, Published: tracker.digests, FetchLoad: daemon.engines.FetchLoad, IsOwner: tracker.ownsEndpoint}
	tracker.sweeper = &sweep.Sweeper{
		Log: daemon.log, Engines: tracker.view.ListedEngines, IsOwner: tracker.ownsEndpoint,
		ListStreams: daemon.engines.ListStreams, CancelStream: daemon.engines.Cancel, ResumeWindow: resumeWindow,
	}
}

func (tracker *fleetTracker) initPeerExchange(daemon *daemon) {
	client := &peer.Client{}
	tracker.exchanger = &peer.Exchanger{
		Self: daemon.settings.InstanceID, Published: tracker.digests, Log: daemon.log,
		Peers: tracker.peers, SendDigest: client.Exchange, OnReport: tracker.view.ApplyReport,
	}
	tracker.configFollower = &peer.ConfigFollower{ConfigReaders: tracker.readers, OtherInstances: tracker.peers, FetchChanges: client.FetchChanges}
	tracker.service = &peer.Service{Exchanger: tracker.exchanger, WaitForUpdate: daemon.config.WaitForUpdate}
	daemon.config.FetchFromPeers = tracker.configFollower.FetchFromPeers
	daemon.config.IsReader = tracker.isReader
	daemon.config.OnSnapshot = func(*config.Snapshot) { tracker.view.Republish(time.Now()) }
	tracker.limiter = &share.Limiter{
		Peers: tracker.exchanger.PeerDemands, Publish: tracker.digests.PutCustomer, RetainPublished: tracker.digests.RetainCustomers,
	}
	daemon.scheduler.Allow = tracker.limiter.Allow
}

func (tracker *fleetTracker) onMembersChanged(list *membership.List) {
	tracker.owners.Update(list.Instances, list.Endpoints)
	tracker.scheduler.SetInstances(tracker.owners.Current().LiveCount())
	largest := largestKVByService(list.Endpoints)
	tracker.largestKV.Store(&largest)
	tracker.view.SetMembers(time.Now(), list.Endpoints)
}

func (tracker *fleetTracker) ownsEndpoint(id peridotpath.EndpointID) bool {
	return tracker.owners.Current().OwnsEndpoint(id)
}

// isReader reports whether this instance reads the configuration from the platform, as
// opposed to following a peer. Without a list of live instances there is no peer to
// follow.
func (tracker *fleetTracker) isReader() bool {
	table := tracker.owners.Current()
	return table.LiveCount() == 0 || table.IsReader()
}

// peers returns the other live instances in this instance's gossip domain: all data
// centres if there are few instances, else its own data centre.
func (tracker *fleetTracker) peers() []peridotpath.Instance {
	return tracker.owners.Current().OtherInstances()
}

func (tracker *fleetTracker) readers() []peridotpath.Instance {
	return tracker.owners.Current().OtherReaders()
}

// mayBeAlive reports whether the given incarnation of the instance may still be executing
// requests.
func (tracker *fleetTracker) mayBeAlive(id peridotpath.InstanceID, incarnation peridotpath.Incarnation) bool {
	if id == tracker.settings.InstanceID {
		return incarnation == tracker.incarnation
	}
	list := tracker.follower.Current()
	if list == nil {
		return true
	}
	for _, instance := range list.Instances {
		if instance.ID == id {
			return mayStillRun(incarnation, instance.Incarnation, peridotpath.Incarnation(tracker.exchanger.PeerEpoch(id)))
		}
	}
	return false
}

// mayStillRun reports whether the incarnation that holds a claim may still be executing
// requests, given the instance's incarnation on the membership list and the latest one
// received by gossip. Zero means unknown.
//
// An instance that was killed is often replaced under its old id, and the list may not
// distinguish the incarnations: a caller that retries an idempotency key of the killed
// instance would get "running" for a day. A later incarnation received by gossip proves that
// the earlier one has ended; the claim ledger waits for messages of the earlier incarnation
// that may still be in transit.
func mayStillRun(claimed, listed, gossiped peridotpath.Incarnation) bool {
	return claimed >= gossiped && (listed == 0 || claimed >= listed)
}

// largestEngineKV returns the KV memory of the service's largest engine. It takes no lock,
// since it is called for each prompt.
func (tracker *fleetTracker) largestEngineKV(service peridotpath.Service) peridotpath.Tokens {
	largest := tracker.largestKV.Load()
	if largest == nil {
		return 0
	}
	return (*largest)[service]
}

// hasOnlyPlainEndpoints reports whether the service has endpoints and none of them is an engine.
func (tracker *fleetTracker) hasOnlyPlainEndpoints(service peridotpath.Service) bool {
	largest := tracker.largestKV.Load()
	if largest == nil {
		return false
	}
	kvTokens, hasEndpoints := (*largest)[service]
	return hasEndpoints && kvTokens == 0
}

// largestKVByService returns the KV memory of each service's largest engine.
func largestKVByService(endpoints []peridotpath.Endpoint) map[peridotpath.Service]peridotpath.Tokens {
	largest := map[peridotpath.Service]peridotpath.Tokens{}
	for _, endpoint := range endpoints {
		largest[endpoint.Service] = max(largest[endpoint.Service], endpoint.KVTokens)
	}
	return largest
}
