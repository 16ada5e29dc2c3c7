package dispatch_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/service"
)

// An engine refuses work and asks for a time without any. Its work must go to the other one until
// then, and to both afterwards.
func TestEngineThatWantsNoWorkGetsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fixture := newFixture()
		fixture.OnEndpointBackoff = fixture.Scheduler.BackOff
		refusing := testEndpoint(1).Address
		began := time.Now()
		fixture.send = func(call int, _ context.Context) (*engine.Answer, error) {
			if fixture.sends[call] == refusing && time.Since(began) < 3*time.Second {
				return nil, &outbound.BackoffError{Delay: 3 * time.Second, Refusal: engine.ErrRefused.New("full")}
			}
			return scriptedAnswer(events(0, 2, true), nil), nil
		}
		defer fixture.start(t)()
		countRefusing := func() int {
			count := 0
			for _, address := range fixture.sends {
				if address == refusing {
					count++
				}
			}
			return count
		}
		for range 100 {
			is.Equal(fixture.Do(t.Context(), request(true), (&received{}).sink()), nil)
			time.Sleep(25 * time.Millisecond)
		}
		is.Equal(countRefusing(), 1)
		time.Sleep(time.Second)
		for range 100 {
			is.Equal(fixture.Do(t.Context(), request(true), (&received{}).sink()), nil)
		}
		is.True(countRefusing() > 1)
	})
}

// A refusal by an engine or a plain service must carry the time without work that it asks for,
// and stay a refusal.
func TestRefusalsCarryTheBackoff(t *testing.T) {
	clients := map[string]func(context.Context, netip.AddrPort) error{
		"engine": func(ctx context.Context, address netip.AddrPort) error {
			_, err := (&engine.Client{}).Send(ctx, address, &engine.Request{Deadline: time.Now().Add(time.Second)})
			return err
		},
		"service": func(ctx context.Context, address netip.AddrPort) error {
			response, err := (&service.Client{}).Send(ctx, address, &service.Request{Method: http.MethodGet, Target: "/", Header: http.Header{}})
			if err == nil {
				response.Body.Close()
			}
			return err
		},
	}
	for name, send := range clients {
		for text, want := range map[string]time.Duration{"2.5": 2500 * time.Millisecond, "": 0, "-1": 0, "soon": 0, "Inf": 0, "1e300": 24 * time.Hour} {
			t.Run(name+" "+text, func(t *testing.T) {
				is := is.New(t)
				server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
					writer.Header().Set(engine.HeaderNotRun, "true")
					writer.Header().Set("Retry-After", text)
					writer.WriteHeader(http.StatusServiceUnavailable)
				}))
				defer server.Close()
				err := send(t.Context(), netip.MustParseAddrPort(server.Listener.Addr().String()))
				is.True(engine.ErrRefused.Has(err) || service.ErrRefused.Has(err))
				have := time.Duration(0)
				var backoff *outbound.BackoffError
				if errors.As(err, &backoff) {
					have = backoff.Delay
				}
				is.Equal(have, want)
			})
		}
	}
}
