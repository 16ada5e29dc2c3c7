package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const (
	// silenceSpan is how long all endpoints answer nothing, and silencePause the time until they do
	// so again.
	silenceSpan, silencePause = 1200 * time.Millisecond, 2500 * time.Millisecond
	silenceCount              = 4
)

// countLogLines returns how many lines of the instances' logs hold all of the texts.
func (fleet *fleet) countLogLines(t *testing.T, texts ...string) int {
	t.Helper()
	count := 0
	for _, instance := range fleet.instances {
		log, err := os.ReadFile(filepath.Join(instance.Folder, string(instance.ID)+".log"))
		if err != nil {
			t.Fatal(err)
		}
	lines:
		for line := range strings.Lines(string(log)) {
			for _, text := range texts {
				if !strings.Contains(line, text) {
					continue lines
				}
			}
			count++
		}
	}
	return count
}

// All endpoints fall silent for a second, to all instances alike, and go on. Every instance takes its
// own links for lost, ends its requests, leaves rotation or refuses its callers.
func TestInstancesThatReachSilentEndpointsStay(t *testing.T) {
	run := startCutOffRun(t)
	begunAt := time.Now()
	for range silenceCount {
		for _, endpoint := range run.fleet.endpoints {
			endpoint.proxy.setLink(linkBlackhole)
		}
		time.Sleep(silenceSpan)
		for _, endpoint := range run.fleet.endpoints {
			endpoint.proxy.setLink(linkHealthy)
		}
		time.Sleep(silencePause)
	}
	run.stopLoad()
	sent, failed := run.load.between(begunAt, time.Now(), func(int) bool { return true })
	byStatus := map[int]int{}
	for _, try := range failed {
		byStatus[try.status]++
	}
	t.Logf("%d sent, %d not served, by status: %v", len(sent), len(failed), byStatus)
	for _, texts := range [][]string{{"links_lost"}, {"readiness_changed", "reason=cut_off"}, {"code=3010"}} {
		if count := run.fleet.countLogLines(t, texts...); count > 0 {
			t.Errorf("%d lines with %v, want none", count, texts)
		}
	}
	silent := run.fleet.countLogLines(t, "endpoints_silent")
	t.Logf("%d times all probes met nothing at all", silent)
	run.checkPromises(t)
}
