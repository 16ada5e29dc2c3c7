package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
)

// A machine that loses its power closes no connection: whoever waits for a first
// event there waits for as long as a long prompt may take, and the memory that
// was reserved at the helpers is renewed for it all the while. So an engine that
// has been silent for a while is asked whether it is there at all.
const (
	// checkEvery is the time without an event after which the engine is asked, and
	// asked again. Only long prompts wait that long: the check costs a connection
	// and some milliseconds of the engine's, which short ones are not worth.
	checkEvery = time.Second
	// checkTimeout bounds one check. Engines answer it beside their work, within
	// milliseconds.
	checkTimeout = 400 * time.Millisecond
	// checksFailed is how many checks in a row must fail: a single one may be lost
	// on the way. Two checks and their time limits are over before engines must have
	// back the memory that was reserved for a request which they no longer run.
	checksFailed = 2
)

var errSilent = errors.New("endpoint does not answer at all")

// liveness asks a silent engine whether it is there.
type liveness struct {
	heard atomic.Bool
	ended chan struct{}
	stop  context.CancelFunc
}

// watchLiveness cancels the attempt once the engine does not answer any more. An
// engine that merely takes long answers its checks and is left to its work.
func (exchange *exchange) watchLiveness(ctx context.Context, cancel context.CancelCauseFunc) *liveness {
	ctx, stop := context.WithCancel(ctx)
	liveness := &liveness{ended: make(chan struct{}), stop: stop}
	go func() {
		defer close(liveness.ended)
		liveness.run(ctx, exchange.relay.Check, exchange.plan.Writer, cancel)
	}()
	return liveness
}

func (liveness *liveness) run(ctx context.Context, check Checker, endpoint *peridotpath.Endpoint, cancel context.CancelCauseFunc) {
	failed := 0
	for clock.Pause(ctx, checkEvery) {
		if liveness.heard.Swap(false) {
			failed = 0
			continue
		}
		asked, stop := context.WithTimeout(ctx, checkTimeout)
		err := check(asked, endpoint)
		stop()
		if err == nil {
			failed = 0
			continue
		}
		if failed++; failed >= checksFailed {
			cancel(errors.Join(errSilent, err))
			return
		}
	}
}

// event notes a sign of life.
func (liveness *liveness) event() { liveness.heard.Store(true) }

// Close ends the checks and waits until none is under way.
func (liveness *liveness) Close() {
	liveness.stop()
	<-liveness.ended
}
