package main

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"peridotpath.example/platform/standin"
)

const (
	// Of the first tries at instances that are cut off from all endpoints, minCutOffShare must be
	// served from cutOffNotice after the cut on, and minSoundShare of those at the others, and at all
	// from cutOffNotice after the end of the cut on.
	minCutOffShare = 0.95
	minSoundShare  = 0.97
	cutOffNotice   = time.Second
	cutOffSpan     = 4500 * time.Millisecond
	healthySpan    = 2800 * time.Millisecond
	// inFlightTime is longer than any request runs at endpoints that are reached.
	inFlightTime = 300 * time.Millisecond
	// minShareBesideFrozenPeer is the share where one of two peers that carry freezes: what it
	// carries at that moment stands still.
	minShareBesideFrozenPeer = 2.0 / 3
)

// cutOffRun is a fleet under a steady load, in which instances are cut off.
type cutOffRun struct {
	fleet    *fleet
	load     *steadyLoad
	stopLoad func()
}

// startCutOffRun starts a fleet and its load, and waits until both have settled.
func startCutOffRun(t *testing.T) *cutOffRun {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	fleet, err := buildFleet(ctx, buildPeridotd(t), t.TempDir(), dataCentres[:1])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { fleet.close(cancel) })
	if !fleet.eventually(startTimeout, fleet.allReady) {
		t.Fatal("the instances are not ready")
	}
	run := &cutOffRun{fleet: fleet, load: &steadyLoad{}}
	loadCtx, stopLoad := context.WithCancel(ctx)
	loadEnded := make(chan struct{})
	go func() {
		run.load.run(loadCtx, fleet)
		close(loadEnded)
	}()
	run.stopLoad = func() {
		stopLoad()
		<-loadEnded
	}
	time.Sleep(healthySpan)
	return run
}

// cut is a time in which instances were cut off, and the time after it in which they were not.
type cut struct {
	name                              string
	isCut                             func(instance int) bool
	begunAt, endedAt, undisturbedTill time.Time
}

// play begins a cut, disturbs the fleet meanwhile, ends it and waits for the recovery.
func (run *cutOffRun) play(name string, instances []int, begin func() (end func()), disturb func()) cut {
	cut := cut{name: name, begunAt: time.Now(), isCut: func(instance int) bool { return slices.Contains(instances, instance) }}
	end := begin()
	disturb()
	time.Sleep(time.Until(cut.begunAt.Add(cutOffSpan)))
	end()
	cut.endedAt = time.Now()
	time.Sleep(healthySpan)
	// What runs when the next cut begins is cut by it.
	cut.undisturbedTill = time.Now().Add(-inFlightTime)
	return cut
}

// check checks the share of first tries in a span at some instances that were served.
func (run *cutOffRun) check(t *testing.T, what string, from, to time.Time, isCounted func(int) bool, least float64) {
	t.Helper()
	sent, failed := run.load.between(from, to, isCounted)
	share := 1 - float64(len(failed))/float64(max(len(sent), 1))
	t.Logf("%s: %.3f of %d served", what, share, len(sent))
	for _, try := range failed[:min(len(failed), 20)] {
		t.Logf("  %s at %d after %v: status %d", try.id, try.instance, try.sentAt.Sub(from), try.status)
	}
	if len(sent) == 0 || share < least {
		t.Errorf("%s: %.3f of %d first tries served, want %.2f", what, share, len(sent), least)
	}
}

// checkPromises checks what callers are promised of each request.
func (run *cutOffRun) checkPromises(t *testing.T) {
	t.Helper()
	violations, _, _ := run.fleet.checker.summary()
	for _, violation := range violations {
		t.Error(violation)
	}
}

// Instances that reach no endpoint, but their peers, the store and the callers, refuse or hold
// nearly all requests until their links are back.
func TestInstancesCutOffFromAllEndpointsServe(t *testing.T) {
	run := startCutOffRun(t)
	var cuts []cut
	for _, count := range []int{1, 2} {
		for _, name := range []string{"hang", "reset", "new ones reset"} {
			instances := []int{0, 1, 2}[:count]
			cuts = append(cuts, run.play(fmt.Sprintf("%d of %d, %s", count, len(run.fleet.instances), name), instances,
				func() func() { return run.fleet.cutOff(cutOffLinks[name], instances...) }, func() {}))
		}
	}
	run.stopLoad()
	for _, cut := range cuts {
		// A later try that is held may still be served after the end of the cut.
		run.check(t, cut.name+", cut off", cut.begunAt.Add(cutOffNotice), cut.endedAt.Add(-steadyTimeout), cut.isCut, minCutOffShare)
		run.check(t, cut.name+", others", cut.begunAt, cut.endedAt, func(instance int) bool { return !cut.isCut(instance) }, minSoundShare)
		run.check(t, cut.name+", after", cut.endedAt.Add(cutOffNotice), cut.undisturbedTill, func(int) bool { return true }, minSoundShare)
	}
	run.checkPromises(t)
}

// A peer that carries the requests of an instance that is cut off stops, dies or freezes, the store
// is silent, or only a part of the links is cut: each alone is survived, and both together are not.
func TestInstanceCutOffServesWhileMoreGoesWrong(t *testing.T) {
	run := startCutOffRun(t)
	fleet := run.fleet
	hang := func() func() { return fleet.cutOff(linkBlackhole, 0) }
	refuse := func() func() { return fleet.cutOff(linkReset, 0) }
	disturbPeer := func(signal syscall.Signal) func() {
		return func() {
			time.Sleep(cutOffNotice)
			fleet.instances[1].signal(signal)
		}
	}
	nothing := func() {}
	tests := []struct {
		name           string
		begin          func() (end func())
		disturb, after func()
		least          float64
	}{
		{"one service", func() func() { return fleet.cutOffFrom(linkReset, 0, fleet.endpoints[engineCount:]) }, nothing, nothing, minCutOffShare},
		{"all but one endpoint", func() func() { return fleet.cutOffFrom(linkReset, 0, fleet.endpoints[1:]) }, nothing, nothing, minCutOffShare},
		{"the store is silent", refuse, func() { fleet.store.SetFault(standin.StoreUnresponsive) }, func() { fleet.store.SetFault(standin.StoreHealthy) }, minCutOffShare},
		{"a peer stops", refuse, disturbPeer(syscall.SIGTERM), func() { fleet.restartInstance(1) }, minCutOffShare},
		{"a peer is killed", hang, disturbPeer(syscall.SIGKILL), func() { fleet.restartInstance(1) }, minCutOffShare},
		{"a peer freezes", hang, disturbPeer(syscall.SIGSTOP), func() { fleet.instances[1].signal(syscall.SIGCONT) }, minShareBesideFrozenPeer},
	}
	for _, test := range tests {
		cut := run.play(test.name, []int{0}, test.begin, test.disturb)
		test.after()
		if !fleet.eventually(startTimeout, fleet.allReady) {
			t.Fatalf("%s: not all are ready after it", test.name)
		}
		time.Sleep(healthySpan)
		run.check(t, cut.name+", cut off", cut.begunAt.Add(cutOffNotice), cut.endedAt.Add(-steadyTimeout), cut.isCut, test.least)
	}
	run.stopLoad()
	run.checkPromises(t)
}
