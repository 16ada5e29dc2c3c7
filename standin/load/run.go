package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
)

// Run sends the requests of the plan and returns the report. It writes a line to progress,
// unless nil, when the arrivals begin and end.
func Run(ctx context.Context, plan *Plan, target *Target, progress io.Writer) (*Report, error) {
	balancer := newBalancer(target)
	if err := balancer.awaitReady(ctx, len(target.Instances)); err != nil {
		return nil, err
	}
	probing, stop := context.WithCancel(ctx)
	probingEnded := make(chan struct{})
	go func() {
		defer close(probingEnded)
		balancer.run(probing)
	}()
	results := sendAll(ctx, balancer, plan, progress)
	stop()
	<-probingEnded
	counts, err := fetchCounts(ctx, target)
	if err != nil {
		return nil, err
	}
	return newReport(results, newAudit(results, counts)), nil
}

// sendAll sends each request at its arrival time and waits for all results.
func sendAll(ctx context.Context, balancer *balancer, plan *Plan, progress io.Writer) []*result {
	requests := generateRequests(plan)
	began := time.Now()
	finished := make(chan *result, len(requests))
	var results []*result
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for result := range finished {
			results = append(results, result)
		}
	}()
	var group errgroup.Group
	printProgress(progress, "event=sending requests=%d seconds=%.0f\n", len(requests), requests[len(requests)-1].arrivesAt.Seconds())
	for _, request := range requests {
		if !sleep(ctx, time.Until(began.Add(request.arrivesAt))) {
			break
		}
		for range request.copies {
			group.Go(func() error {
				finished <- runRequest(ctx, balancer, request, plan.RetriesKeyed)
				return nil
			})
		}
	}
	printProgress(progress, "event=sent\n")
	_ = group.Wait()
	close(finished)
	<-collected
	return results
}

func printProgress(progress io.Writer, format string, args ...any) {
	if progress != nil {
		fmt.Fprintf(progress, format, args...)
	}
}
