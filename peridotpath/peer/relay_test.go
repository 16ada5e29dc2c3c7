package peer_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/config"
	"peridotpath.example/peridotpath/digest"
	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/keyvalue/memory"
	"peridotpath.example/peridotpath/peer"
	"peridotpath.example/peridotpath/peer/wire"
)

// profiles returns the stored form of the profiles' document.
func profiles(t *testing.T, revision peridotpath.Revision, names ...string) []byte {
	t.Helper()
	items := []map[string]any{}
	for _, name := range names {
		items = append(items, map[string]any{"name": name, "revision": revision, "value": map[string]string{"name": name, "service": "claims-llm"}})
	}
	text, err := json.Marshal(map[string]any{"revision": revision, "items": items})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// follower is a Store that hears no platform, joined to a reader through relay.
func follower(relay *peer.Relay) *config.Store {
	down := func() error { return keyvalue.ErrUnavailable.New("cut off") }
	return &config.Store{
		KeyValue: &keyvalue.Store{
			List: func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) { return nil, 0, down() },
			Watch: func(context.Context, string, keyvalue.Version, time.Duration) ([]keyvalue.Entry, keyvalue.Version, error) {
				return nil, 0, down()
			},
		},
		IsReader:       func() bool { return false },
		FetchFromPeers: relay.Peers,
	}
}

// reader returns a Store with one profile and the version of its document.
func reader(t *testing.T, kv *keyvalue.Store) (*config.Store, keyvalue.Version) {
	t.Helper()
	version, err := kv.Swap(t.Context(), "config/profiles", 0, profiles(t, 1, "counter"), keyvalue.LeaseID{})
	if err != nil {
		t.Fatal(err)
	}
	store := &config.Store{KeyValue: kv}
	if _, err := store.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	return store, version
}

// An instance that starts while the platform is down takes its configuration
// from another one, over the real protocol.
func TestConfigurationOverTheWire(t *testing.T) {
	is := is.New(t)
	source, _ := reader(t, (&memory.Memory{}).Store())
	book := &digest.PublishedState{Epoch: 5}
	book.PutEndpoint("engine-1", peridotpath.Load{Running: 4, AsOf: time.Now()})
	service := &peer.Service{
		Changes:   source.WaitForUpdate,
		Exchanger: &peer.Exchanger{Self: "instance-1", Book: book},
	}
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	instance := peridotpath.Instance{ID: "instance-1", Peer: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	client := &peer.Client{}
	others := func() []peridotpath.Instance { return []peridotpath.Instance{instance} }
	fresh := follower(&peer.Relay{Readers: others, Others: others, Changes: client.Changes})
	snapshot, err := fresh.Load(t.Context())
	is.NoErr(err)
	is.Equal(snapshot.Config.Profile("counter").Service, peridotpath.Service("claims-llm"))

	answer, err := client.Exchange(t.Context(), instance, (&digest.PublishedState{Epoch: 6}).BuildDigest(time.Now(), 0, 0))
	is.NoErr(err)
	is.Equal(answer.Endpoints[0].Endpoint, "engine-1")
	_, err = client.Exchange(t.Context(), instance, &wire.Digest{Version: &wire.Version{Protocol: 9, ReadableBy: 9}})
	is.True(peer.ErrVersion.Has(err)) // told apart from a failure
	_, err = client.Changes(t.Context(), instance, &wire.ChangesRequest{})
	is.True(peer.ErrVersion.Has(err))
}

// askedCount counts the questions of a follower, and those with all revisions.
type askedCount struct{ questions, long int }

func relayTo(source *config.Store, asked *askedCount) *peer.Relay {
	service := &peer.Service{Changes: source.WaitForUpdate}
	others := func() []peridotpath.Instance { return []peridotpath.Instance{{ID: "instance-1"}} }
	return &peer.Relay{
		Readers: others, Others: others,
		Changes: func(ctx context.Context, _ peridotpath.Instance, request *wire.ChangesRequest) (*wire.ChangesReply, error) {
			asked.questions++
			if len(request.Revisions) > 0 {
				asked.long++
			}
			return service.Answer(ctx, request)
		},
	}
}

// A change is in force at a follower at once, and its questions stay short.
func TestFollowerHearsOfChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		kv := (&memory.Memory{}).Store()
		source, version := reader(t, kv)
		asked := &askedCount{}
		fresh := follower(relayTo(source, asked))
		_, err := fresh.Load(ctx)
		is.NoErr(err)
		ended := make(chan error, 2)
		go func() { ended <- source.Run(ctx) }()
		go func() { ended <- fresh.Run(ctx) }()
		for revision := range peridotpath.Revision(20) {
			version, err = kv.Swap(ctx, "config/profiles", version, profiles(t, revision+2, "counter"), keyvalue.LeaseID{})
			is.NoErr(err)
			time.Sleep(time.Second)
			is.Equal(fresh.ActiveRevisions()["profiles"], revision+2)
		}
		is.Equal(asked.long, 0) // the hash stood in for the revisions

		// The reader starts anew and knows no hash: it asks for the revisions
		// once, and does not send every document of 34,000 customers again.
		anew := &askedCount{}
		updates, err := relayTo(source, anew).Peers(ctx, fresh.ActiveRevisions(), time.Second)
		is.NoErr(err)
		is.Equal(len(updates[0].Documents), 0)
		is.Equal(anew.long, 1)
		cancel()
		for range cap(ended) {
			is.True(errors.Is(<-ended, context.Canceled))
		}
	})
}

// A newer version writes a profile that this one refuses. Follower and reader
// would hand the document back and forth as fast as the network lets them, and
// the follower would not be worse off for it in any way that callers see; the
// network and both instances' processors would.
func TestRefusedDocumentIsNotAskedForInAHurry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		source, _ := reader(t, (&memory.Memory{}).Store())
		asked := &askedCount{}
		relay := relayTo(source, asked)
		real := relay.Changes
		relay.Changes = func(ctx context.Context, peer peridotpath.Instance, request *wire.ChangesRequest) (*wire.ChangesReply, error) {
			time.Sleep(latency)
			reply, err := real(ctx, peer, request)
			for _, document := range reply.GetDocuments() {
				document.Name = "written-by-a-later-version"
			}
			return reply, err
		}
		fresh := follower(relay)
		_, _ = fresh.Load(ctx)
		for ctx.Err() == nil {
			_, _ = relay.Peers(ctx, fresh.ActiveRevisions(), config.DefaultMaxPollWait)
		}
		is.True(asked.questions <= 62)
	})
}
