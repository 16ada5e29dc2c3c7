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
	// demandInterval bounds the platform calls that count long prompts.
	demandInterval = 2 * time.Second
	shiftInterval  = 2 * time.Second
	// groupHold is how long a group of engines stays without demand.
	groupHold = 10 * time.Minute
	// candidacyInterval is how often an instance looks whether it should be a
	// candidate for the leases.
	candidacyInterval = time.Second
	// candidatesAtOnce is how many instances try for one lease: the holder and
	// one that takes over.
	candidatesAtOnce = 2

	// The lease's times bound how long the engines of a data centre go without
	// decisions when the holder dies: its lease runs out, and where engines
	// ignore fencing numbers the longest order is waited out as well.
	leaseTTLMS     = 15_000
	leaseMarginMS  = 2_000
	longestOrderMS = 6_000
)

// shiftSide gives the orders to the data centre's engines when it is this
// instance's turn.
type shiftSide struct {
	daemon  *daemon
	counter *shift.Counter
	running map[site]*keeping
}

// site is the engines of one service in one data centre.
type site struct {
	dataCentre peridotpath.DataCentre
	service    peridotpath.Service
}

// keeping is the work for one site, while this instance is a candidate.
type keeping struct {
	cancel context.CancelFunc
	ended  chan struct{}
}

func joinShifts(daemon *daemon) *shiftSide {
	return &shiftSide{
		daemon:  daemon,
		counter: &shift.Counter{Store: daemon.keyValue, Interval: demandInterval},
		running: map[site]*keeping{},
	}
}

// run keeps this instance a candidate for the leases of the sites that it is to
// try for. Every candidate's watch costs the platform, so a site has a few only;
// which ones is a hint, the lease decides.
func (side *shiftSide) run(ctx context.Context) error {
	ticker := time.NewTicker(candidacyInterval)
	defer ticker.Stop()
	for {
		side.look(ctx)
		select {
		case <-ctx.Done():
			side.stop(nil)
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (side *shiftSide) look(ctx context.Context) {
	var wanted []site
	if list := side.daemon.fleet.follower.Current(); list != nil {
		wanted = sitesToKeep(list, side.daemon.settings.InstanceID)
	}
	side.stop(wanted)
	for _, site := range wanted {
		if side.running[site] == nil {
			side.running[site] = side.start(ctx, site)
		}
	}
}

// stop ends the work for all sites that are not wanted.
func (side *shiftSide) stop(wanted []site) {
	for site, keeping := range side.running {
		if !slices.Contains(wanted, site) {
			keeping.cancel()
			<-keeping.ended
			delete(side.running, site)
		}
	}
}

// sitesToKeep returns the sites whose leases the instance is to try for.
func sitesToKeep(list *membership.List, self peridotpath.InstanceID) []site {
	var seen, kept []site
	for _, endpoint := range list.Endpoints {
		next := site{endpoint.DataCentre, endpoint.Service}
		if endpoint.Kind != peridotpath.KindEngine || slices.Contains(seen, next) {
			continue
		}
		seen = append(seen, next)
		candidates := ownership.Candidates(list.Instances, next.dataCentre, string(next.service), candidatesAtOnce)
		if slices.ContainsFunc(candidates, func(instance peridotpath.Instance) bool { return instance.ID == self }) {
			kept = append(kept, next)
		}
	}
	return kept
}

// engines returns the listed engines of a site.
func (side *shiftSide) engines(site site) []peridotpath.Endpoint {
	return side.listed(func(endpoint peridotpath.Endpoint) bool {
		return endpoint.DataCentre == site.dataCentre && endpoint.Service == site.service
	})
}

// listed returns the engines on the membership list for which keep says yes.
func (side *shiftSide) listed(keep func(peridotpath.Endpoint) bool) []peridotpath.Endpoint {
	list := side.daemon.fleet.follower.Current()
	if list == nil {
		return nil
	}
	var engines []peridotpath.Endpoint
	for _, endpoint := range list.Endpoints {
		if endpoint.Kind == peridotpath.KindEngine && keep(endpoint) {
			engines = append(engines, endpoint)
		}
	}
	return engines
}

// start runs the candidacy, the orders and the shifts of one site.
func (side *shiftSide) start(ctx context.Context, site site) *keeping {
	daemon := side.daemon
	dataCentre, service := site.dataCentre, site.service
	ctx, cancel := context.WithCancel(ctx)
	book := &order.Book{Store: daemon.keyValue, Key: order.Key(dataCentre, service)}
	holder := &lease.Holder{
		Store: daemon.keyValue, Key: lease.Key(dataCentre, service),
		Instance: daemon.settings.InstanceID, Incarnation: daemon.incarnation,
		Settings:         lease.Settings{TTLMS: leaseTTLMS, MarginMS: leaseMarginMS, LongestOrderMS: longestOrderMS},
		WaitForOldOrders: side.someIgnoreFencing(site), Logger: daemon.log,
		NeverUsed: func(ctx context.Context) (bool, error) {
			// Every order stands in the book before it is sent.
			desired, err := book.Get(ctx)
			return desired.Revision == 0, err
		},
	}
	engines := &shift.Engines{
		Client: daemon.engines, Endpoints: func() []peridotpath.Endpoint { return side.engines(site) },
	}
	reconciler := &order.Reconciler{
		Desired: book.Get, Held: holder.Held, Logger: daemon.log,
		Endpoints: engines.Endpoints,
		Read:      engines.State, Send: engines.Order,
		Settings: order.Settings{LongestOrderMS: longestOrderMS},
	}
	keeper := &shift.Keeper{
		Log: daemon.log, Store: daemon.keyValue, DataCentre: dataCentre, Service: service,
		Book: book, Held: holder.Held, Interval: shiftInterval, Limits: shift.Limits{Hold: groupHold},
		Engines: engines.Look,
		Sites:   func() []shift.Site { return side.sites(service) },
		Longest: func() peridotpath.Tokens { return side.longest(service) },
	}
	keeping := &keeping{cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(keeping.ended)
		runSite(ctx, holder, reconciler, keeper)
	}()
	return keeping
}

// runSite runs the parts of one site until ctx ends. The lease goes back only
// once no order is under way.
func runSite(ctx context.Context, holder *lease.Holder, reconciler *order.Reconciler, keeper *shift.Keeper) {
	var holding, ordering errgroup.Group
	holding.Go(func() error { return holder.Run(context.WithoutCancel(ctx)) })
	ordering.Go(func() error { return reconciler.Run(ctx) })
	ordering.Go(func() error { return keeper.Run(ctx) })
	_ = ordering.Wait()
	_ = holder.Close()
	_ = holding.Wait()
}

// sites counts the live engines of a service by data centre.
func (side *shiftSide) sites(service peridotpath.Service) []shift.Site {
	live := side.listed(func(endpoint peridotpath.Endpoint) bool {
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

func (side *shiftSide) someIgnoreFencing(site site) bool {
	return slices.ContainsFunc(side.engines(site), func(engine peridotpath.Endpoint) bool { return !engine.ChecksFencing })
}

// longest returns the most tokens that a prompt with its answer may take.
func (side *shiftSide) longest(service peridotpath.Service) peridotpath.Tokens {
	var longest peridotpath.Tokens
	config := side.daemon.currentConfig()
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
