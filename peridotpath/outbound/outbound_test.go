package outbound_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/outbound"
)

// A connection that was opened for a cancelled request is kept, and a later request that must have
// its own is sent on it: after a cut of the link that request is lost, and may have run.
func TestConnectionOfCancelledRequestIsNotUsed(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	opened := make(chan struct{})
	send := func(ctx context.Context, dial outbound.Dial) error {
		request, err := http.NewRequestWithContext(outbound.WithDial(ctx, dial), http.MethodGet, server.URL, nil)
		is.NoErr(err)
		request.Close = true
		response, err := outbound.Do(request)
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	ctx, cancel := context.WithCancel(t.Context())
	err := send(ctx, func(_ context.Context, network, address string) (net.Conn, error) {
		defer close(opened)
		cancel()
		// The dial ends after the request was given up.
		time.Sleep(20 * time.Millisecond)
		return net.Dial(network, address)
	})
	is.True(outbound.ErrNotSent.Has(err))
	<-opened
	time.Sleep(20 * time.Millisecond)
	dials := 0
	is.NoErr(send(t.Context(), func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return outbound.DialDirect(ctx, network, address)
	}))
	is.Equal(dials, 1)
}
