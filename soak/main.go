// Command soak runs real instances of peridotd as separate processes on this
// machine, disturbs them from outside, and checks what callers and endpoints
// see against the promises made to them.
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

const usage = `soak -peridotd FILE [-seed N | -seeds N,N,...] [-runs N] [-for 20s] [-back] [-folder DIR]
  Each run has a seed, which decides what is disturbed and when; how the
  processes take turns is no part of it. With -back the store comes back from older
  copies, too. Prints each run's seed and what was
  broken; exits with 1 if anything was.
`

// discard takes the log of the stand-ins' servers: broken connections are the rule.
var discard = log.New(io.Discard, "", 0)

func main() {
	binary := flag.String("peridotd", "", "the program to run")
	seed := flag.Uint64("seed", 0, "the first seed; 0 draws one")
	seeds := flag.String("seeds", "", "seeds to run, separated by commas")
	runs := flag.Int("runs", 1, "how many runs")
	span := flag.Duration("for", 20*time.Second, "how long each run disturbs")
	back := flag.Bool("back", false, "lets the store come back from older copies")
	folder := flag.String("folder", "", "where logs go; else a new temporary folder")
	flag.Usage = func() { fmt.Fprint(os.Stderr, usage) }
	flag.Parse()
	if *binary == "" || flag.NArg() > 0 {
		flag.Usage()
		os.Exit(2)
	}
	list, err := seedList(*seed, *seeds, *runs)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(2)
	}
	// A run that is interrupted still ends the processes that it started.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failed := 0
	for _, seed := range list {
		broken, err := soak(ctx, options{binary: *binary, folder: *folder, seed: seed, span: *span, back: *back}, os.Stdout)
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
			os.Exit(1)
		}
		if len(broken) > 0 {
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
	// startTime bounds the start, recoverTime the time after the last fault
	// within which requests are served again.
	startTime   = 10 * time.Second
	recoverTime = 12 * time.Second
	// lateOrders is how long after the end an engine may still carry an order out
	// that the instances release then.
	lateOrders = 8 * time.Second
	// leastServed is the share of requests that is served once all is calm.
	leastServed = 0.5
)

// options are those of one run.
type options struct {
	binary, folder string
	seed           uint64
	span           time.Duration
	// back lets the store come back from copies.
	back bool
}

// soak makes one run and returns the promises that were broken.
func soak(ctx context.Context, options options, out io.Writer) ([]string, error) {
	folder, seed := options.folder, options.seed
	if folder == "" {
		made, err := os.MkdirTemp("", "soak")
		if err != nil {
			return nil, err
		}
		folder = made
	}
	interrupted := ctx
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	fleet, err := build(ctx, options.binary, folder)
	if err != nil {
		cancel()
		return nil, err
	}
	defer fleet.close(cancel)
	if !fleet.eventually(startTime, fleet.allReady) {
		return nil, fmt.Errorf("seed %d: not ready after %v, logs in %s", seed, startTime, folder)
	}
	random := rand.New(rand.NewPCG(seed, seed))
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for number := range clientCount {
		clientRandom := rand.New(rand.NewPCG(seed, uint64(number)+1))
		fleet.task(func() { fleet.client(load, number, clientRandom) })
	}
	var names []string
	trouble, calm := context.WithTimeout(interrupted, options.span)
	drawn := faults
	if options.back {
		fleet.task(func() { fleet.keepCopies(ctx) })
		drawn = append(slices.Clone(faults), backFault, backFault)
	}
	fleet.trouble(trouble, drawn, random, func(name string) { names = append(names, name) })
	calm()
	if interrupted.Err() != nil {
		return nil, interrupted.Err()
	}
	fleet.recover()
	fleet.registered()
	fleet.inForce(ctx)
	stopLoad()
	fleet.memory()
	if err := fleet.audit(folder); err != nil {
		return nil, err
	}
	broken, requests, served := fleet.checks.report()
	fmt.Fprintf(out, "seed %d: %d requests, %d served, %d promises broken; %s\n", seed, requests, served, len(broken), strings.Join(names, " "))
	for _, text := range broken[:min(len(broken), 10)] {
		fmt.Fprintln(out, "  ", text)
	}
	if len(broken) > 0 {
		fmt.Fprintln(out, "   logs in", folder)
	} else if err := os.RemoveAll(folder); err != nil {
		return nil, err
	}
	return broken, nil
}

// audit checks what the instances logged against what callers are promised.
func (fleet *fleet) audit(folder string) error {
	paths, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		return err
	}
	var logs audit.Audit
	if _, err := logline.ReadFiles(paths, logs.AddLine); err != nil {
		return err
	}
	fleet.checks.mutex.Lock()
	defer fleet.checks.mutex.Unlock()
	for _, finding := range logs.Findings() {
		fleet.checks.breaks("%s: %s by the logs", finding.Request, finding.Fault)
	}
	return nil
}

// recover checks that requests are served again once all is calm.
func (fleet *fleet) recover() {
	if !fleet.eventually(recoverTime, fleet.allReady) {
		fleet.checks.mutex.Lock()
		fleet.checks.breaks("not all are ready %v after the last fault", recoverTime)
		fleet.checks.mutex.Unlock()
	}
	time.Sleep(time.Second)
	_, requestsBefore, servedBefore := fleet.checks.report()
	time.Sleep(2 * time.Second)
	_, requests, served := fleet.checks.report()
	if share := float64(served-servedBefore) / float64(max(requests-requestsBefore, 1)); share < leastServed {
		fleet.checks.mutex.Lock()
		fleet.checks.breaks("%.2f of the requests are served after the last fault", share)
		fleet.checks.mutex.Unlock()
	}
}

// memory checks that no reservation stays, and that none was used twice.
func (fleet *fleet) memory() {
	free := func() bool {
		for _, endpoint := range fleet.endpoints {
			if len(endpoint.Reservations()) > 0 {
				return false
			}
		}
		return true
	}
	if !fleet.eventually(lateOrders, free) {
		fleet.checks.mutex.Lock()
		fleet.checks.breaks("memory is still reserved %v after the last request", lateOrders)
		fleet.checks.mutex.Unlock()
	}
}

func (fleet *fleet) allReady() bool {
	for _, instance := range fleet.instances {
		if !instance.alive() || !instance.ready() {
			return false
		}
	}
	return true
}

// eventually waits until a condition holds, at most for the span.
func (fleet *fleet) eventually(span time.Duration, condition func() bool) bool {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
