// Command soak is a fault-injection (chaos) test. It runs real peridotd processes under
// load on this machine, injects faults from outside - signals, network faults, store
// outages and restores, crashing, rate-limited and silent endpoints - in an order that a seed
// decides, and checks the replies to clients and the requests at endpoints against the
// guarantees: no lost, duplicated or altered answers, and bounded propagation of changes.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"peridotpath.example/peridotpath/audit"
	"peridotpath.example/peridotpath/logline"
)

const usage = `soak -peridotd FILE [-seed N | -seeds N,N,...] [-runs N] [-for 20s] [-back] [-announce=false] [-drain=false] [-cut=false] [-parts=false] [-scarce=false] [-silent=false] [-folder DIR]
  Each run has a seed, which decides what is disturbed and when; how the
  processes take turns is no part of it. With -back the store comes back from older
  copies, too. Prints each run's seed and what was
  broken; exits with 1 if anything was.
`

// discard drops the log of the stand-ins' servers, where broken connections are normal.
var discard = log.New(io.Discard, "", 0)

func main() {
	program := flag.String("peridotd", "", "the program to run")
	seed := flag.Uint64("seed", 0, "the first seed; 0 draws one")
	seeds := flag.String("seeds", "", "seeds to run, separated by commas")
	runs := flag.Int("runs", 1, "how many runs")
	span := flag.Duration("for", 20*time.Second, "how long each run disturbs")
	announce := flag.Bool("announce", true, "lets endpoints say that they leave or want rest; false plays older seeds as they were")
	drain := flag.Bool("drain", true, "drains data centres and makes endpoints cold; false plays older seeds as they were")
	cut := flag.Bool("cut", true, "cuts instances off from all endpoints; false plays older seeds as they were")
	parts := flag.Bool("parts", true, "sends prompts with a part that crashes endpoints; false plays older seeds as they were")
	scarce := flag.Bool("scarce", true, "lets one customer flood an instance and engines become slow; false plays older seeds as they were")
	silent := flag.Bool("silent", true, "lets endpoints be silent for a while and go on; false plays older seeds as they were")
	leave := flag.Bool("leave", true, "lets callers leave early and links drop packets; false plays older seeds as they were")
	back := flag.Bool("back", false, "lets the store come back from older copies")
	folder := flag.String("folder", "", "where logs go; else a new temporary folder")
	flag.Usage = func() { fmt.Fprint(os.Stderr, usage) }
	flag.Parse()
	if *program == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	list, err := seedList(*seed, *seeds, *runs)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	// An interrupted run still stops the processes that it started.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := 0
	for _, seed := range list {
		violations, err := soak(ctx, options{binary: *program, folder: *folder, seed: seed, faultTime: *span, restoresStore: *back, announces: *announce, drains: *drain, cutsOff: *cut, fatalParts: *parts, isScarce: *scarce, silences: *silent, departs: *leave}, os.Stdout)
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(1)
		}
		if len(violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d runs, %d with a promise broken\n", len(list), failed)
	if failed > 0 {
		os.Exit(1)
	}
}

func seedList(first uint64, list string, runs int) ([]uint64, error) {
	var seeds []uint64
	if list != "" {
		for text := range strings.SplitSeq(list, ",") {
			seed, err := strconv.ParseUint(strings.TrimSpace(text), 10, 64)
			if err != nil {
				return nil, err
			}
			seeds = append(seeds, seed)
		}
		return seeds, nil
	}
	if first == 0 {
		first = rand.Uint64N(1 << 40)
	}
	for i := range uint64(runs) {
		seeds = append(seeds, first+i)
	}
	return seeds, nil
}

const (
	// startTimeout bounds the start of the instances, and recoveryTimeout the time from
	// the last fault until all are ready again.
	startTimeout    = 10 * time.Second
	recoveryTimeout = 12 * time.Second
	// maxOrderDelay is the longest time after the last request for which an engine may
	// still apply a delayed reservation, which the instances then release.
	maxOrderDelay = 8 * time.Second
	// minServedShare is the smallest share of requests that must be served after recovery.
	minServedShare = 0.5
)

// options are those of one run.
type options struct {
	binary, folder string
	seed           uint64
	faultTime      time.Duration
	// restoresStore adds restores of the store from older copies to the faults.
	restoresStore bool
	// announces adds endpoints that say that they leave or want rest to the faults.
	announces bool
	// drains spreads the endpoints over several data centres, and adds drained data centres and
	// cold endpoints to the faults.
	drains bool
	// cutsOff adds instances that are cut off from all endpoints to the faults.
	cutsOff bool
	// fatalParts adds prompts with a part that crashes endpoints to the faults.
	fatalParts bool
	// isScarce adds floods of one customer and slow engines to the faults.
	isScarce bool
	// silences adds endpoints that are silent for a while and go on to the faults.
	silences bool
	// departs lets many callers leave early, and adds links that drop packets to the faults.
	departs bool
}

// soak makes one run and returns the violations that it found.
func soak(ctx context.Context, options options, out io.Writer) ([]string, error) {
	folder, seed := options.folder, options.seed
	if folder == "" {
		created, err := os.MkdirTemp("", "soak")
		if err != nil {
			return nil, err
		}
		folder = created
	}
	signalCtx := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	endpointDataCentres := dataCentres[:1]
	if options.drains {
		endpointDataCentres = dataCentres
	}
	fleet, err := buildFleet(ctx, options.binary, folder, endpointDataCentres)
	if err != nil {
		cancel()
		return nil, err
	}
	defer fleet.close(cancel)
	fleet.callersLeave = options.departs
	if !fleet.eventually(startTimeout, fleet.allReady) {
		return nil, fmt.Errorf("seed %d: not ready after %v, logs in %s", seed, startTimeout, folder)
	}
	random := rand.New(rand.NewPCG(seed, seed))
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for number := range clientCount {
		clientRandom := rand.New(rand.NewPCG(seed, uint64(number)+1))
		fleet.runInBackground(func() { fleet.runClient(loadCtx, number, clientRandom) })
	}
	var faultNames []string
	faultCtx, stopFaults := context.WithTimeout(signalCtx, options.faultTime)
	faultKinds := faults
	if options.restoresStore {
		fleet.runInBackground(func() { fleet.keepSnapshots(ctx) })
		faultKinds = append(slices.Clone(faultKinds), restoreFault, restoreFault)
	}
	if options.announces {
		faultKinds = append(slices.Clone(faultKinds), announcementFaults...)
	}
	if options.drains {
		faultKinds = append(slices.Clone(faultKinds), drainFaults...)
	}
	if options.fatalParts {
		faultKinds = append(slices.Clone(faultKinds), partFaults...)
	}
	if options.cutsOff {
		faultKinds = append(slices.Clone(faultKinds), cutOffFaults...)
	}
	if options.isScarce {
		faultKinds = append(slices.Clone(faultKinds), scarcityFaults...)
	}
	if options.silences {
		faultKinds = append(slices.Clone(faultKinds), silenceFaults...)
	}
	if options.departs {
		faultKinds = append(slices.Clone(faultKinds), departureFaults...)
	}
	fleet.injectFaults(faultCtx, faultKinds, random, func(name string) { faultNames = append(faultNames, name) })
	stopFaults()
	if signalCtx.Err() != nil {
		return nil, signalCtx.Err()
	}
	fleet.checkRecovery()
	fleet.checkRegistered()
	fleet.checkChangePropagates(ctx)
	stopLoad()
	fleet.checkMemoryReleased()
	if err := fleet.auditLogs(folder); err != nil {
		return nil, err
	}
	violations, requests, served := fleet.checker.summary()
	fmt.Fprintf(out, "seed %d: %d requests, %d served, %d promises broken; %s\n", seed, requests, served, len(violations), strings.Join(faultNames, " "))
	for _, violation := range violations[:min(len(violations), 10)] {
		fmt.Fprintln(out, "  ", violation)
	}
	if len(violations) > 0 {
		fmt.Fprintln(out, "   logs in", folder)
	} else if err := os.RemoveAll(folder); err != nil {
		return nil, err
	}
	return violations, nil
}

// auditLogs checks the instances' logs for violations.
func (fleet *fleet) auditLogs(folder string) error {
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return err
	}
	var logs audit.Audit
	if _, err := logline.ReadFiles(paths, logs.AddLine); err != nil {
		return err
	}
	fleet.checker.mutex.Lock()
	defer fleet.checker.mutex.Unlock()
	for _, finding := range logs.Findings() {
		fleet.checker.addViolation("%s: %s by the logs", finding.Request, finding.Fault)
	}
	return nil
}

// checkRecovery checks that requests are served again after the last fault.
func (fleet *fleet) checkRecovery() {
	if !fleet.eventually(recoveryTimeout, fleet.allReady) {
		fleet.checker.mutex.Lock()
		fleet.checker.addViolation("not all are ready %v after the last fault", recoveryTimeout)
		fleet.checker.mutex.Unlock()
	}
	time.Sleep(time.Second)
	_, requestsBefore, servedBefore := fleet.checker.summary()
	time.Sleep(2 * time.Second)
	_, requests, served := fleet.checker.summary()
	if share := float64(served-servedBefore) / float64(max(requests-requestsBefore, 1)); share < minServedShare {
		fleet.checker.mutex.Lock()
		fleet.checker.addViolation("%.2f of the requests are served after the last fault", share)
		fleet.checker.mutex.Unlock()
	}
}

// checkMemoryReleased checks that no memory reservation is left on an endpoint.
func (fleet *fleet) checkMemoryReleased() {
	allReleased := func() bool {
		for _, endpoint := range fleet.endpoints {
			if len(endpoint.Reservations()) > 0 {
				return false
			}
		}
		return true
	}
	if !fleet.eventually(maxOrderDelay, allReleased) {
		fleet.checker.mutex.Lock()
		fleet.checker.addViolation("memory is still reserved %v after the last request", maxOrderDelay)
		fleet.checker.mutex.Unlock()
	}
}

func (fleet *fleet) allReady() bool {
	for _, instance := range fleet.instances {
		if !instance.isAlive() || !instance.isReady() {
			return false
		}
	}
	return true
}

// eventually polls until a condition holds, at most for the span, and reports whether it
// holds.
func (fleet *fleet) eventually(span time.Duration, condition func() bool) bool {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
