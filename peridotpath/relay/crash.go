package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
)

// ErrGone says that nobody listens at an endpoint's address, or that another endpoint
// has it now.
var ErrGone = errs.Class("endpoint gone")

// departureTimeout bounds the question whether an endpoint is gone. A machine whose
// process has ended says so at once, and one that lives answers beside its work.
const departureTimeout = 200 * time.Millisecond

// departed reports whether an endpoint is gone that broke a connection off. A reset on
// the way, a lost answer or a failure of the endpoint's own look the same at first;
// what tells an end from these is that nobody listens there any more. Those that broke
// off together ask once.
func (relay *Relay) departed(ctx context.Context, endpoint *peridotpath.Endpoint) bool {
	key := endpoint.Key()
	gone, _, _ := relay.inquiries.Do(strconv.FormatUint(uint64(key), 36), func() (any, error) {
		ctx, stop := context.WithTimeout(context.WithoutCancel(ctx), departureTimeout)
		defer stop()
		err := relay.Check(ctx, endpoint)
		relay.Log.Info().Str("endpoint", string(endpoint.ID)).Bool("gone", ErrGone.Has(err)).AnErr("answer", err).Msg("broken_off")
		return ErrGone.Has(err), nil
	})
	return gone.(bool)
}
