package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/disconnect"
)

// ErrEndpointGone is the class of errors that prove that an endpoint's process has ended:
// its address refuses connections, or belongs to another endpoint now.
var ErrEndpointGone = errs.Class("endpoint gone")

// crashProbeTimeout bounds the probe of an endpoint that broke a connection. A machine
// whose process has ended refuses the connection at once, and a running endpoint
// answers probes also while it runs requests.
const crashProbeTimeout = 200 * time.Millisecond

// hasCrashed probes an endpoint whose connection failed and reports whether its process
// has ended. A reset on the network, a lost answer and an error of the endpoint look the
// same as a crash at first; only after a crash does its address refuse connections.
// Concurrent calls for one endpoint share a probe, which goes on when ctx ends; the answer is no then.
func (relay *Relay) hasCrashed(ctx context.Context, endpoint *peridotpath.Endpoint) bool {
	key := endpoint.Key()
	probe := relay.crashProbes.DoChan(strconv.FormatUint(uint64(key), 36), func() (any, error) {
		ctx, stop := context.WithTimeout(disconnect.Detach(ctx), crashProbeTimeout)
		defer stop()
		err := relay.Check(ctx, endpoint)
		relay.Log.Info().Str("endpoint", string(endpoint.ID)).Bool("gone", ErrEndpointGone.Has(err)).AnErr("answer", err).Msg("broken_off")
		return ErrEndpointGone.Has(err), nil
	})
	select {
	case result := <-probe:
		return result.Val.(bool)
	case <-ctx.Done():
		return false
	}
}
