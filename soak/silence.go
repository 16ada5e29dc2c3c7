package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"peridotpath.example/platform/standin"
)

const (
	// A silence lasts minSilence to maxSilence, and the pause after it minSilencePause to
	// maxSilencePause.
	minSilence, maxSilence           = 200 * time.Millisecond, 2500 * time.Millisecond
	minSilencePause, maxSilencePause = 100 * time.Millisecond, 1500 * time.Millisecond
	// versionInterval is the time between two versions of the routing beside silences,
	// changeDuration how long a change of the routing stays, and reloadInterval the time
	// between two SIGHUPs.
	versionInterval = 500 * time.Millisecond
	changeDuration  = 400 * time.Millisecond
	reloadInterval  = 300 * time.Millisecond
)

// silenceFaults are added to faults by options.silences, which leaves the draws of older seeds as
// they were.
var silenceFaults = []fault{
	{"silence", func(fleet *fleet, random *rand.Rand) func() { return fleet.repeatSilence(random, nil) }},
	{"silence", func(fleet *fleet, random *rand.Rand) func() { return fleet.repeatSilence(random, nil) }},
	{"silence_beside_versions", func(fleet *fleet, random *rand.Rand) func() {
		return fleet.repeatSilence(random, fleet.repeatVersions)
	}},
	{"silence_beside_reloads", func(fleet *fleet, random *rand.Rand) func() {
		return fleet.repeatSilence(random, fleet.repeatReloads)
	}},
	{"silence_beside_changes", func(fleet *fleet, random *rand.Rand) func() {
		return fleet.repeatSilence(random, fleet.repeatRoutingChanges)
	}},
}

// repeatSilence silences a random group of endpoints after the other, beside something else that
// repeats, until end is called.
func (fleet *fleet) repeatSilence(random *rand.Rand, beside func(ctx context.Context)) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	seriesRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil {
			fleet.silenceFor(ctx, fleet.randomGroup(seriesRandom), randomBetween(seriesRandom, minSilence, maxSilence))
			sleep(ctx, randomBetween(seriesRandom, minSilencePause, maxSilencePause))
		}
	})
	if beside != nil {
		running.Go(func() { beside(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func randomBetween(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// randomGroup returns one endpoint, a third, half, those of one data centre, or all.
func (fleet *fleet) randomGroup(random *rand.Rand) []*endpoint {
	shuffled := make([]*endpoint, 0, len(fleet.endpoints))
	for _, index := range random.Perm(len(fleet.endpoints)) {
		shuffled = append(shuffled, fleet.endpoints[index])
	}
	switch random.IntN(5) {
	case 0:
		return shuffled[:1]
	case 1:
		return shuffled[:len(shuffled)/3]
	case 2:
		return shuffled[:len(shuffled)/2]
	case 3:
		return neighboursOf(shuffled[0], shuffled)
	}
	return shuffled
}

// neighboursOf returns the endpoints in the data centre of one of them.
func neighboursOf(one *endpoint, endpoints []*endpoint) []*endpoint {
	var neighbours []*endpoint
	for _, other := range endpoints {
		if other.DataCentre == one.DataCentre {
			neighbours = append(neighbours, other)
		}
	}
	return neighbours
}

// silenceFor makes endpoints answer nothing for a duration, or until ctx ends, and then go on.
func (fleet *fleet) silenceFor(ctx context.Context, endpoints []*endpoint, duration time.Duration) {
	for _, endpoint := range endpoints {
		endpoint.SetSilent(true)
	}
	sleep(ctx, duration)
	for _, endpoint := range endpoints {
		endpoint.SetSilent(false)
	}
}

// repeatVersions writes the routing under a new version every versionInterval until ctx ends.
func (fleet *fleet) repeatVersions(ctx context.Context) {
	for ctx.Err() == nil {
		fleet.changeRouting()
		sleep(ctx, versionInterval)
	}
}

// repeatRoutingChanges makes one change of each kind after the other, each for changeDuration in
// every versionInterval, until ctx ends.
func (fleet *fleet) repeatRoutingChanges(ctx context.Context) {
	changes := standin.RoutingChanges()
	for number := 0; ctx.Err() == nil; number++ {
		fleet.changeRoutingBriefly(changes[number%len(changes)], changeDuration)
		sleep(ctx, versionInterval-changeDuration)
	}
}

// repeatReloads sends SIGHUP to all instances every reloadInterval until ctx ends. It passes over
// those that were disturbed lately: SIGHUP ends a process that has just started.
func (fleet *fleet) repeatReloads(ctx context.Context) {
	for ctx.Err() == nil {
		for _, instance := range fleet.instances {
			if instance.hasSettled(time.Now()) {
				instance.signal(syscall.SIGHUP)
			}
		}
		sleep(ctx, reloadInterval)
	}
}
