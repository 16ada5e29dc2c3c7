package main

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// The order of the steps prevents three failures when an instance is replaced under load.
// If the instance stopped accepting before the load balancer has detected the stop, it would
// refuse callers that another instance could serve. If claims were closed before the last
// call has ended, the outcome of that call would stay "unknown" for good. If the peer
// listener closed first, peers would route by outdated state. After a step that fails, the
// remaining steps must still run.
func TestStopOrder(t *testing.T) {
	errBusy := errors.New("busy")
	tests := []struct {
		name string
		fail error
		// remaining is how long the last request runs after the signal.
		remaining time.Duration
		want      []string
	}{
		{"idle", nil, 0, []string{"0s not ready", "3s callers", "3s claims", "3.5s peers"}},
		{"a request in flight", nil, 39_990 * time.Millisecond, []string{"0s not ready", "3s callers", "40s claims", "40.5s peers"}},
		{"closing the caller listener fails", errBusy, 9_990 * time.Millisecond, []string{"0s not ready", "3s callers", "10s claims", "10.5s peers"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var steps []string
				start := time.Now()
				step := func(name string) {
					steps = append(steps, fmt.Sprintf("%v %s", time.Since(start), name))
				}
				var active atomic.Int64
				active.Store(1)
				time.AfterFunc(test.remaining, func() { active.Store(0) })
				synctest.Wait()
				stop := &gracefulStop{
					BalancerNotice: 3 * time.Second, PeerHandover: 500 * time.Millisecond,
					SetNotReady: func() { step("not ready") }, ActiveRequests: active.Load,
					CloseCallers: func(context.Context) error { step("callers"); return test.fail },
					CloseClaims:  func() error { step("claims"); return nil },
					ClosePeers:   func(context.Context) error { step("peers"); return nil },
				}
				if err := stop.run(t.Context()); !errors.Is(err, test.fail) {
					t.Errorf("want %v, have %v", test.fail, err)
				}
				if want, have := fmt.Sprint(test.want), fmt.Sprint(steps); want != have {
					t.Errorf("want %s, have %s", want, have)
				}
			})
		})
	}
}
