package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/gossip"
	"peridotpath.example/peridotpath/internal/virtual"
	"peridotpath.example/peridotpath/keyvalue"
)

// All instances lost their power; their entries are still in the store. Each has to
// know the others before it reads anything else, or all of them read the same. It
// registered first, and everything else began meanwhile.
func TestOthersAreReadFirst(t *testing.T) {
	other := keyvalue.Entry{Key: gossip.RegistryPrefix + "other/1-1", Value: []byte(`{"address":"10.0.0.2:9","data_centre":"a"}`)}
	tests := map[string]struct {
		listed []keyvalue.Entry
		err    error
		want   string
	}{
		"others are there":  {[]keyvalue.Entry{other}, nil, "[list peers grant task swap list peers]"},
		"nobody is there":   {nil, nil, "[list peers grant swap list peers list task peers]"},
		"the store is away": {nil, keyvalue.ErrUnavailable.New("away"), "[list grant task]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			virtual.Test(t, func(t *testing.T) {
				is := is.New(t)
				var mutex sync.Mutex
				var calls []string
				note := func(name string) {
					mutex.Lock()
					defer mutex.Unlock()
					calls = append(calls, name)
				}
				call := func(name string) error {
					note(name)
					time.Sleep(4 * time.Millisecond)
					return test.err
				}
				registry := &gossip.Registry{
					Store: &keyvalue.Store{
						ListStale: func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) {
							return test.listed, 1, call("list")
						},
						Grant: func(context.Context, time.Duration) (keyvalue.LeaseID, error) { return 5, call("grant") },
						Renew: func(context.Context, keyvalue.LeaseID) error { return nil },
						Swap: func(context.Context, string, keyvalue.Version, []byte, keyvalue.LeaseID) (keyvalue.Version, error) {
							return 1, call("swap")
						},
					},
					Instance: "one", Incarnation: 1, Address: netip.MustParseAddrPort("10.0.0.1:9"), DataCentre: "a",
					SetPeers: func([]gossip.Peer) { note("peers") }, Log: zerolog.Nop(),
				}
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				task := registry.AfterFirst(func(context.Context) error {
					time.Sleep(time.Millisecond)
					note("task")
					return nil
				})
				ended := make(chan error, 2)
				go func() { ended <- registry.Run(ctx) }()
				go func() { ended <- task(ctx) }()
				is.NoErr(<-ended)
				is.True(errors.Is(<-ended, context.DeadlineExceeded))
				mutex.Lock()
				defer mutex.Unlock()
				is.Equal(fmt.Sprint(calls), test.want)
			})
		})
	}
}
