package main

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// partTime is how long requests with a fatal part come, and partNotice the time after the
	// first in which the verdict is due and the endpoints are back.
	partTime, partNotice = 14 * time.Second, 7 * time.Second
	// maxPartCrashes is the number of endpoints that may crash: five, and three later.
	maxPartCrashes = crashesToQuarantinePart + maxQuarantinedRuns
)

// checkPartCrashes checks how many endpoints crashed under a part.
func (run *cutOffRun) checkPartCrashes(t *testing.T, part string) {
	t.Helper()
	run.fleet.checker.mutex.Lock()
	crashes := len(run.fleet.checker.crashes[fatalPartPrefix+part])
	run.fleet.checker.mutex.Unlock()
	t.Logf("%d endpoints crashed", crashes)
	if crashes == 0 || crashes > maxPartCrashes {
		t.Errorf("%d endpoints crashed, want some, and %d at most", crashes, maxPartCrashes)
		run.logLines(t, part)
	}
}

// logLines writes the log lines of the bar of a part, and of the crashes under it.
func (run *cutOffRun) logLines(t *testing.T, part string) {
	t.Helper()
	for _, instance := range run.fleet.instances {
		log, err := os.ReadFile(filepath.Join(instance.Folder, string(instance.ID)+".log"))
		if err != nil {
			t.Fatal(err)
		}
		for line := range strings.Lines(string(log)) {
			isCrash := strings.Contains(line, "endpoint_gone=true") && strings.Contains(line, part)
			if isCrash || strings.Contains(line, "event=request_barred") {
				t.Log(strings.TrimSpace(line))
			}
		}
	}
}

// A part of prompts crashes each engine that begins to answer it, under requests that are no two
// alike: instances must stop sending them after a few, and serve all others.
func TestFatalPartCrashesFewEngines(t *testing.T) {
	run := startCutOffRun(t)
	began := time.Now()
	end := run.fleet.repeatFatalPart(rand.New(rand.NewPCG(49, 1)), "fa7a1")
	time.Sleep(partTime)
	end()
	ended := time.Now()
	run.stopLoad()
	run.checkPartCrashes(t, "fa7a1")
	run.check(t, "sound requests", began.Add(partNotice), ended, func(int) bool { return true }, minSoundShare)
	run.checkPromises(t)
}

// Half of the instances are killed while a part is barred, and are back: the others must tell them.
func TestFatalPartStaysBarredWhenInstancesAreReplaced(t *testing.T) {
	run := startCutOffRun(t)
	end := run.fleet.repeatFatalPart(rand.New(rand.NewPCG(49, 2)), "fa7a2")
	time.Sleep(partNotice)
	for _, number := range []int{0, 1} {
		run.fleet.instances[number].signal(syscall.SIGKILL)
		run.fleet.restartInstance(number)
	}
	time.Sleep(partTime - partNotice)
	end()
	run.stopLoad()
	run.checkPartCrashes(t, "fa7a2")
}

// All instances are killed while a part is barred, and with them what is known: it may crash as
// many endpoints again, and must then be barred anew.
func TestFatalPartIsBarredAnewWhenAllInstancesAreReplaced(t *testing.T) {
	run := startCutOffRun(t)
	end := run.fleet.repeatFatalPart(rand.New(rand.NewPCG(49, 3)), "fa7a3")
	time.Sleep(partNotice)
	for number := range run.fleet.instances {
		run.fleet.instances[number].signal(syscall.SIGKILL)
		run.fleet.restartInstance(number)
	}
	restarted := time.Now()
	if !run.fleet.eventually(startTimeout, run.fleet.allReady) {
		t.Fatal("the instances are not ready")
	}
	time.Sleep(partTime - partNotice)
	end()
	ended := time.Now()
	run.stopLoad()
	run.check(t, "sound requests", restarted.Add(partNotice), ended, func(int) bool { return true }, minSoundShare)
	run.fleet.checker.mutex.Lock()
	defer run.fleet.checker.mutex.Unlock()
	late := 0
	crashes := run.fleet.checker.crashes[fatalPartPrefix+"fa7a3"]
	for _, at := range crashes {
		if at.After(restarted.Add(settleTime)) {
			late++
		}
	}
	t.Logf("%d endpoints crashed, %d of them later than %v after the instances started", len(crashes), late, settleTime)
	if late > maxQuarantinedRuns {
		t.Errorf("%d endpoints crashed later than %v after the instances started, want %d at most", late, settleTime, maxQuarantinedRuns)
	}
}
