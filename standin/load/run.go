package load

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"
)

// Run sends the plan and returns the report. Progress, if not nil, gets a line
// when the arrivals begin and end.
func Run(ctx context.Context, plan *Plan, target *Target, progress io.Writer) (*Report, error) {
	balancer := newBalancer(target)
	if err := balancer.awaitReady(ctx, len(target.Instances)); err != nil {
		return nil, err
	}
	probing, stop := context.WithCancel(ctx)
	probed := make(chan struct{})
	go func() {
		defer close(probed)
		balancer.run(probing)
	}()
	endings := send(ctx, balancer, plan, progress)
	stop()
	<-probed
	counted, err := counts(ctx, target)
	if err != nil {
		return nil, err
	}
	return newReport(endings, auditOf(endings, counted)), nil
}

// send sends each request at its time and waits for all.
func send(ctx context.Context, balancer *balancer, plan *Plan, progress io.Writer) []*ending {
	all := requests(plan)
	began := time.Now()
	ended := make(chan *ending, len(all))
	var endings []*ending
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for ending := range ended {
			endings = append(endings, ending)
		}
	}()
	var group errgroup.Group
	note(progress, "event=sending requests=%d seconds=%.0f\n", len(all), all[len(all)-1].at.Seconds())
	for _, request := range all {
		if !pause(ctx, time.Until(began.Add(request.at))) {
			break
		}
		for range request.copies {
			group.Go(func() error {
				ended <- do(ctx, balancer, request, plan.RepeatKeyed)
				return nil
			})
		}
	}
	note(progress, "event=sent\n")
	_ = group.Wait()
	close(ended)
	<-collected
	return endings
}

func note(progress io.Writer, format string, args ...any) {
	if progress != nil {
		fmt.Fprintf(progress, format, args...)
	}
}
