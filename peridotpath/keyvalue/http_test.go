package keyvalue_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
)

var background = context.Background()

// connect serves the handler on loopback and returns a Store connected to it.
func connect(t *testing.T, handler http.Handler) (*keyvalue.Store, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return keyvalue.Connect(netip.MustParseAddrPort(server.Listener.Addr().String()), &keyvalue.EraTracker{}), server
}

func TestSessionOverHTTP(t *testing.T) {
	is := is.New(t)
	store, _ := connect(t, &memory.Memory{})
	entry, err := store.Get(background, "a")
	is.NoErr(err)
	is.Equal(entry.Version, keyvalue.Version(0)) // does not exist

	binary := []byte{0, 255, '"', '<'}
	first, err := store.Swap(background, "a", 0, binary, keyvalue.LeaseID{})
	is.NoErr(err)
	_, err = store.Swap(background, "a", 0, binary, keyvalue.LeaseID{})
	is.True(keyvalue.ErrConflict.Has(err))
	second, err := store.Swap(background, "a", first, []byte{}, keyvalue.LeaseID{}) // empty is not deleted
	is.NoErr(err)
	is.True(second > first)
	entry, err = store.Get(background, "a")
	is.NoErr(err)
	is.Equal(entry.Version, second)
	_, err = store.Swap(background, "a", second, bytes.Repeat([]byte{1}, keyvalue.MaxValueBytes+1), keyvalue.LeaseID{})
	is.True(keyvalue.ErrInvalid.Has(err))

	lease, err := store.Grant(background, time.Minute)
	is.NoErr(err)
	is.NoErr(store.Renew(background, lease))
	bound, err := store.Swap(background, "b", 0, binary, lease)
	is.NoErr(err)
	entries, version, err := store.List(background, "")
	is.NoErr(err)
	is.Equal(len(entries), 2)
	is.Equal(entries[1].Value, binary)
	is.Equal(version, bound)
	is.NoErr(store.Release(background, lease))
	is.True(keyvalue.ErrLeaseExpired.Has(store.Renew(background, lease)))
	entries, _, err = store.Watch(background, "b", bound, time.Minute)
	is.NoErr(err)
	is.True(entries[0].Deleted)

	deletion, err := store.Swap(background, "a", second, nil, keyvalue.LeaseID{})
	is.NoErr(err)
	is.True(deletion > second)
	entry, err = store.Get(background, "a")
	is.NoErr(err)
	is.Equal(entry.Version, keyvalue.Version(0))
}

// A write fails in transit. The error class decides what the caller may conclude: "not
// sent" and "conflict" mean that nothing was written, so a request may be refused as not
// run. If an applied write returned either class, a stored claim would count as free.
func TestErrorClassTellsWhetherWriteMayBeApplied(t *testing.T) {
	answer := func(status int, body string) http.HandlerFunc {
		return func(writer http.ResponseWriter, _ *http.Request) {
			writer.WriteHeader(status)
			_, _ = io.WriteString(writer, body)
		}
	}
	closeConnection := func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.ReadAll(request.Body)
		connection, _, err := http.NewResponseController(writer).Hijack()
		if err == nil {
			connection.Close()
		}
	}
	tests := map[string]struct {
		handler http.HandlerFunc
		want    *errs.Class
	}{
		"connection cut after the body was read": {closeConnection, &keyvalue.ErrUnavailable},
		"service error":                          {answer(503, `{"error":"down"}`), &keyvalue.ErrUnavailable},
		"malformed body":                         {answer(200, `<html>`), &keyvalue.ErrUnavailable},
		"conflict status with a malformed body":  {answer(409, `<html>`), &keyvalue.ErrUnavailable},
		"reply of another server":                {answer(200, `{}`), &keyvalue.ErrUnavailable},
		"truncated reply":                        {answer(200, `{"version": 7`), &keyvalue.ErrUnavailable},
		"redirected":                             {answer(307, `{}`), &keyvalue.ErrUnavailable},
		"conflict":                               {answer(409, `{"error":"other"}`), &keyvalue.ErrConflict},
		"lease expired":                          {answer(410, `{"error":"gone"}`), &keyvalue.ErrLeaseExpired},
		"refused as malformed":                   {answer(400, `{"error":"bad"}`), &keyvalue.ErrInvalid},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			store, _ := connect(t, test.handler)
			_, err := store.Swap(background, "a", 0, []byte("x"), keyvalue.LeaseID{})
			is.True(test.want.Has(err))
			_, err = store.Grant(background, time.Minute)
			is.True(test.want.Has(err))
		})
	}
}

func TestServiceUnreachable(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	is.NoErr(listener.Close())
	_, err = keyvalue.Connect(address, &keyvalue.EraTracker{}).Swap(background, "a", 0, []byte("x"), keyvalue.LeaseID{})
	is.True(keyvalue.ErrNotSent.Has(err))
}

// The service hangs after it received the write, and the caller cancels. The write may
// have been applied, so the error must be ErrUnavailable.
func TestCancelledCallIsUnavailable(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	store, _ := connect(t, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.ReadAll(request.Body)
		close(arrived)
		<-release
	}))
	ctx, cancel := context.WithCancel(background)
	go func() {
		<-arrived
		cancel()
	}()
	_, err := store.Swap(ctx, "a", 0, []byte("x"), keyvalue.LeaseID{})
	is.True(keyvalue.ErrUnavailable.Has(err))
}
