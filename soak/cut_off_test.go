package main

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
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
)

// Instances that reach no endpoint, but their peers, the store and the callers, refuse or hold
// nearly all requests until their links are back.
func TestInstancesCutOffFromAllEndpointsServe(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	fleet, err := buildFleet(ctx, buildPeridotd(t), t.TempDir(), dataCentres[:1])
	is.NoErr(err)
	defer fleet.close(cancel)
	is.True(fleet.eventually(startTimeout, fleet.allReady))
	load := &steadyLoad{}
	loadCtx, stopLoad := context.WithCancel(ctx)
	loadEnded := make(chan struct{})
	go func() { load.run(loadCtx, fleet); close(loadEnded) }()
	time.Sleep(healthySpan)

	type cut struct {
		name            string
		instances       []int
		begunAt, ended  time.Time
		recoveredBefore time.Time
	}
	var cuts []cut
	for _, count := range []int{1, 2} {
		for _, name := range []string{"hang", "reset", "new ones reset"} {
			instances := []int{0, 1, 2}[:count]
			cut := cut{name: fmt.Sprintf("%d of %d, %s", count, len(fleet.instances), name), instances: instances, begunAt: time.Now()}
			end := fleet.cutOff(cutOffLinks[name], instances...)
			time.Sleep(cutOffSpan)
			end()
			cut.ended = time.Now()
			time.Sleep(healthySpan)
			// What runs when the next cut begins is cut by it.
			cut.recoveredBefore = time.Now().Add(-inFlightTime)
			cuts = append(cuts, cut)
		}
	}
	stopLoad()
	<-loadEnded
	check := func(what string, from, to time.Time, isCounted func(int) bool, least float64) {
		sent, failed := load.between(from, to, isCounted)
		share := 1 - float64(len(failed))/float64(max(len(sent), 1))
		t.Logf("%s: %.3f of %d served", what, share, len(sent))
		for _, try := range failed {
			t.Logf("  %s at %d after %v: status %d", try.id, try.instance, try.sentAt.Sub(from), try.status)
		}
		if len(sent) == 0 || share < least {
			t.Errorf("%s: %.3f of %d first tries served, want %.2f", what, share, len(sent), least)
		}
	}
	for _, cut := range cuts {
		isCut := func(instance int) bool { return slices.Contains(cut.instances, instance) }
		// A later try that is held may still be served after the end of the cut.
		check(cut.name+", cut off", cut.begunAt.Add(cutOffNotice), cut.ended.Add(-steadyTimeout), isCut, minCutOffShare)
		check(cut.name+", others", cut.begunAt, cut.ended, func(instance int) bool { return !isCut(instance) }, minSoundShare)
		check(cut.name+", after", cut.ended.Add(cutOffNotice), cut.recoveredBefore, func(int) bool { return true }, minSoundShare)
	}
	violations, _, _ := fleet.checker.summary()
	for _, violation := range violations {
		t.Error(violation)
	}
}
