package main

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/lease"
	"peridotpath.example/peridotpath/membership"
	"peridotpath.example/peridotpath/order"
	"peridotpath.example/peridotpath/ownership"
	"peridotpath.example/peridotpath/shift"
)

const (
	// demandInterval is the time between two writes to the platform of the counts of prompts
	// that are too long for one engine.
	demandInterval = 2 * time.Second
	// shiftInterval is the time between two plans of engine groups.
	shiftInterval = 2 * time.Second
	// groupIdleTime is how long a group of engines is kept without demand.
	groupIdleTime = 10 * time.Minute
	// candidacyInterval is how often an instance checks for which leases it is a
	// candidate.
	candidacyInterval = time.Second
	// candidatesPerLease is the number of candidates per lease: the holder and a standby.
	candidatesPerLease = 2

	// These times bound the failover after a lease holder crashes, during which the engines
	// of a data centre get no decisions: the lease must expire, and if engines ignore
	// fencing tokens, the longest order must end as well.
	leaseTTLMS    = 15_000
	leaseMarginMS = 2_000
	maxOrderMS    = 6_000
)

// groupController controls the engine groups of the sites for whose leases this instance is
// a candidate. The holder of a site's lease sends orders to the site's engines.
type groupController struct {
	daemon    *daemon
	counter   *shift.DemandCounter
	siteTasks map[site]*siteTask
}

// site is the engines of one service in one data centre.
type site struct {
	dataCentre peridotpath.DataCentre
	service    peridotpath.Service
}

// siteTask is the background task that controls one site while this instance is a
// candidate for its lease.
type siteTask struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

func newGroupController(daemon *daemon) *groupController {
	return &groupController{
		daemon:    daemon,
		counter:   &shift.DemandCounter{Store: daemon.keyValue, Interval: demandInterval},
		siteTasks: map[site]*siteTask{},
	}
}

// run makes this instance a candidate for the leases of its sites. A site has few
// candidates, because the watch of each candidate loads the platform. Instances may disagree
// on which of them are candidates: only the holder of the lease has control.
func (controller *groupController) run(ctx context.Context) error {
	ticker := time.NewTicker(candidacyInterval)
	defer ticker.Stop()
	for {
		controller.updateSites(ctx)
		select {
		case <-ctx.Done():
			controller.stopExcept(nil)
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (controller *groupController) updateSites(ctx context.Context) {
	var wanted []site
	if list := controller.daemon.fleet.follower.Current(); list != nil {
		wanted = candidateSites(list, controller.daemon.settings.InstanceID)
	}
	controller.stopExcept(wanted)
	for _, site := range wanted {
		if controller.siteTasks[site] == nil {
			controller.siteTasks[site] = controller.startSite(ctx, site)
		}
	}
}

// stopExcept stops the tasks of all sites except the wanted ones.
func (controller *groupController) stopExcept(wanted []site) {
	for site, task := range controller.siteTasks {
		if !slices.Contains(wanted, site) {
			task.cancel()
			<-task.ended
			delete(controller.siteTasks, site)
		}
	}
}

// candidateSites returns the sites for whose leases the instance is a candidate.
func candidateSites(list *membership.List, self peridotpath.InstanceID) []site {
	var seen, sites []site
	for _, endpoint := range list.Endpoints {
		next := site{endpoint.DataCentre, endpoint.Service}
		if endpoint.Kind != peridotpath.KindEngine || slices.Contains(seen, next) {
			continue
		}
		seen = append(seen, next)
		candidates := ownership.LeaseCandidates(list.Instances, next.dataCentre, string(next.service), candidatesPerLease)
		if slices.ContainsFunc(candidates, func(instance peridotpath.Instance) bool { return instance.ID == self }) {
			sites = append(sites, next)
		}
	}
	return sites
}

// enginesOf returns the listed engines of a site.
func (controller *groupController) enginesOf(site site) []peridotpath.Endpoint {
	return controller.listedEngines(func(endpoint peridotpath.Endpoint) bool {
		return endpoint.DataCentre == site.dataCentre && endpoint.Service == site.service
	})
}

// listedEngines returns the engines on the membership list that match.
func (controller *groupController) listedEngines(matches func(peridotpath.Endpoint) bool) []peridotpath.Endpoint {
	list := controller.daemon.fleet.follower.Current()
	if list == nil {
		return nil
	}
	var engines []peridotpath.Endpoint
	for _, endpoint := range list.Endpoints {
		if endpoint.Kind == peridotpath.KindEngine && matches(endpoint) {
			engines = append(engines, endpoint)
		}
	}
	return engines
}

// startSite starts the lease holder, the order reconciler and the group planner of one site.
func (controller *groupController) startSite(ctx context.Context, site site) *siteTask {
	daemon := controller.daemon
	dataCentre, service := site.dataCentre, site.service
	ctx, cancel := context.WithCancel(ctx)
	desiredStore := &order.DesiredStore{Store: daemon.keyValue, Key: order.Key(dataCentre, service)}
	holder := &lease.Holder{
		Store: daemon.keyValue, Key: lease.Key(dataCentre, service),
		Instance: daemon.settings.InstanceID, Incarnation: daemon.incarnation,
		Settings:         lease.Settings{TTLMS: leaseTTLMS, MarginMS: leaseMarginMS, LongestOrderMS: maxOrderMS},
		WaitForOldOrders: controller.anyIgnoresFencing(site), Logger: daemon.log,
		NeverUsed: func(ctx context.Context) (bool, error) {
			// Each order is recorded in the desired state before it is sent.
			desired, err := desiredStore.Get(ctx)
			return desired.Revision == 0, err
		},
	}
	engines := &shift.EngineClient{
		Client: daemon.engines, Endpoints: func() []peridotpath.Endpoint { return controller.enginesOf(site) },
	}
	reconciler := &order.Reconciler{
		Desired: desiredStore.Get, Held: holder.Held, Logger: daemon.log,
		Endpoints: engines.Endpoints,
		ReadState: engines.ReadState, SendOrder: engines.SendOrder,
		Settings: order.Settings{LongestOrderMS: maxOrderMS},
	}
	planner := &shift.Controller{
		Log: daemon.log, Store: daemon.keyValue, DataCentre: dataCentre, Service: service,
		DesiredStore: desiredStore, Held: holder.Held, Interval: shiftInterval, Limits: shift.Limits{GroupIdleTimeout: groupIdleTime},
		ReadEngines:     engines.ReadEngines,
		Sites:           func() []shift.Site { return controller.countEngines(service) },
		MaxPromptTokens: func() peridotpath.Tokens { return controller.maxRequestTokens(service) },
	}
	task := &siteTask{cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(task.ended)
		runSite(ctx, holder, reconciler, planner)
	}()
	return task
}

// runSite controls one site until ctx ends. The lease is released only after
// the last order has ended.
func runSite(ctx context.Context, holder *lease.Holder, reconciler *order.Reconciler, planner *shift.Controller) {
	var leaseGroup, orderGroup errgroup.Group
	leaseGroup.Go(func() error { return holder.Run(context.WithoutCancel(ctx)) })
	orderGroup.Go(func() error { return reconciler.Run(ctx) })
	orderGroup.Go(func() error { return planner.Run(ctx) })
	_ = orderGroup.Wait()
	_ = holder.Close()
	_ = leaseGroup.Wait()
}

// countEngines counts the live engines of a service by data centre.
func (controller *groupController) countEngines(service peridotpath.Service) []shift.Site {
	live := controller.listedEngines(func(endpoint peridotpath.Endpoint) bool {
		return endpoint.Service == service && endpoint.State == peridotpath.StateLive
	})
	counts := map[peridotpath.DataCentre]int{}
	for _, endpoint := range live {
		counts[endpoint.DataCentre]++
	}
	var sites []shift.Site
	for dataCentre, engines := range counts {
		sites = append(sites, shift.Site{DataCentre: dataCentre, Engines: engines})
	}
	return sites
}

func (controller *groupController) anyIgnoresFencing(site site) bool {
	return slices.ContainsFunc(controller.enginesOf(site), func(engine peridotpath.Endpoint) bool { return !engine.ChecksFencing })
}

// maxRequestTokens returns the greatest total of prompt and answer tokens of a request to the
// service, by the profiles; zero without a configuration.
func (controller *groupController) maxRequestTokens(service peridotpath.Service) peridotpath.Tokens {
	var longest peridotpath.Tokens
	config := controller.daemon.currentConfig()
	if config == nil {
		return 0
	}
	for i := range config.Profiles {
		if profile := &config.Profiles[i]; profile.Service == service {
			longest = max(longest, profile.MaxPromptTokens+profile.MaxOutputTokens)
		}
	}
	return longest
}
