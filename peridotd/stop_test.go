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

// An instance is replaced while callers are being served. Closed before the
// balancer knows, it refuses a clerk whom another instance could have taken;
// with its claims closed before the last call has ended, the acknowledgement of
// that call stays "unknown" for good; with its peers' side closed first, others
// route by what it last said. A step that fails must not leave out the rest.
func TestStopOrder(t *testing.T) {
	errBusy := errors.New("busy")
	tests := []struct {
		name string
		fail error
		// runs is how long the last request still runs after the signal.
		runs time.Duration
		want []string
	}{
		{"idle", nil, 0, []string{"0s not ready", "3s callers", "3s claims", "3.5s peers"}},
		{"a request runs on", nil, 39_990 * time.Millisecond, []string{"0s not ready", "3s callers", "40s claims", "40.5s peers"}},
		{"closing the callers' side fails", errBusy, 9_990 * time.Millisecond, []string{"0s not ready", "3s callers", "10s claims", "10.5s peers"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var steps []string
				began := time.Now()
				step := func(name string) {
					steps = append(steps, fmt.Sprintf("%v %s", time.Since(began), name))
				}
				var active atomic.Int64
				active.Store(1)
				time.AfterFunc(test.runs, func() { active.Store(0) })
				synctest.Wait()
				stop := &plannedStop{
					Notice: 3 * time.Second, Handover: 500 * time.Millisecond,
					TurnNotReady: func() { step("not ready") }, Active: active.Load,
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
