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

// profilesDocument returns the stored form of the profiles document.
func profilesDocument(t *testing.T, revision peridotpath.Revision, names ...string) []byte {
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

// newFollowerStore returns a Store that cannot reach the platform and fetches its documents
// through configFollower.
func newFollowerStore(configFollower *peer.ConfigFollower) *config.Store {
	fail := func() error { return keyvalue.ErrUnavailable.New("platform unreachable") }
	return &config.Store{
		KeyValue: &keyvalue.Store{
			List: func(context.Context, string) ([]keyvalue.Entry, keyvalue.Version, error) { return nil, 0, fail() },
			Watch: func(context.Context, string, keyvalue.Version, time.Duration) ([]keyvalue.Entry, keyvalue.Version, error) {
				return nil, 0, fail()
			},
		},
		IsReader:       func() bool { return false },
		FetchFromPeers: configFollower.FetchFromPeers,
	}
}

// newReaderStore returns a Store with one profile and the version of its document.
func newReaderStore(t *testing.T, kv *keyvalue.Store) (*config.Store, keyvalue.Version) {
	t.Helper()
	version, err := kv.Swap(t.Context(), "config/profiles", 0, profilesDocument(t, 1, "counter"), keyvalue.LeaseID{})
	if err != nil {
		t.Fatal(err)
	}
	store := &config.Store{KeyValue: kv}
	if _, err := store.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	return store, version
}

// An instance that starts while the platform is down loads its configuration from a peer over
// the HTTP protocol.
func TestStartFromPeerWhilePlatformIsDown(t *testing.T) {
	is := is.New(t)
	source, _ := newReaderStore(t, (&memory.Memory{}).Store())
	published := &digest.PublishedState{Epoch: 5}
	published.PutEndpoint("engine-1", peridotpath.Load{Running: 4, AsOf: time.Now()})
	service := &peer.Service{
		WaitForUpdate: source.WaitForUpdate,
		Exchanger:     &peer.Exchanger{Self: "instance-1", Published: published},
	}
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	instance := peridotpath.Instance{ID: "instance-1", Peer: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))}
	client := &peer.Client{}
	others := func() []peridotpath.Instance { return []peridotpath.Instance{instance} }
	follower := newFollowerStore(&peer.ConfigFollower{ConfigReaders: others, OtherInstances: others, FetchChanges: client.FetchChanges})
	snapshot, err := follower.Load(t.Context())
	is.NoErr(err)
	is.Equal(snapshot.Config.Profile("counter").Service, peridotpath.Service("claims-llm"))

	answer, err := client.Exchange(t.Context(), instance, (&digest.PublishedState{Epoch: 6}).BuildDigest(time.Now(), 0, 0))
	is.NoErr(err)
	is.Equal(answer.Endpoints[0].Endpoint, "engine-1")
	_, err = client.Exchange(t.Context(), instance, &wire.Digest{Version: &wire.Version{Protocol: 9, ReadableBy: 9}})
	is.True(peer.ErrUnreadableVersion.Has(err)) // distinct from a failed call
	_, err = client.FetchChanges(t.Context(), instance, &wire.ChangesRequest{})
	is.True(peer.ErrUnreadableVersion.Has(err))
}

// requestCounter counts the requests of a follower, and those with all revisions.
type requestCounter struct{ total, withRevisions int }

func newConfigFollower(source *config.Store, requests *requestCounter) *peer.ConfigFollower {
	service := &peer.Service{WaitForUpdate: source.WaitForUpdate}
	others := func() []peridotpath.Instance { return []peridotpath.Instance{{ID: "instance-1"}} }
	return &peer.ConfigFollower{
		ConfigReaders: others, OtherInstances: others,
		FetchChanges: func(ctx context.Context, _ peridotpath.Instance, request *wire.ChangesRequest) (*wire.ChangesReply, error) {
			requests.total++
			if len(request.Revisions) > 0 {
				requests.withRevisions++
			}
			return service.HandleChanges(ctx, request)
		},
	}
}

// A follower applies each change within a second, and its requests contain only the hash of
// the revisions.
func TestFollowerReceivesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		kv := (&memory.Memory{}).Store()
		source, version := newReaderStore(t, kv)
		requests := &requestCounter{}
		follower := newFollowerStore(newConfigFollower(source, requests))
		_, err := follower.Load(ctx)
		is.NoErr(err)
		ended := make(chan error, 2)
		go func() { ended <- source.Run(ctx) }()
		go func() { ended <- follower.Run(ctx) }()
		for revision := range peridotpath.Revision(20) {
			version, err = kv.Swap(ctx, "config/profiles", version, profilesDocument(t, revision+2, "counter"), keyvalue.LeaseID{})
			is.NoErr(err)
			time.Sleep(time.Second)
			is.Equal(follower.ActiveRevisions()["profiles"], revision+2)
		}
		is.Equal(requests.withRevisions, 0) // the hash replaced the revisions

		// A restarted reader has an empty cache. It requests the revisions once, and does
		// not send the documents of 34,000 customers again.
		afterRestart := &requestCounter{}
		updates, err := newConfigFollower(source, afterRestart).FetchFromPeers(ctx, follower.ActiveRevisions(), time.Second)
		is.NoErr(err)
		is.Equal(len(updates[0].Documents), 0)
		is.Equal(afterRestart.withRevisions, 1)
		cancel()
		for range cap(ended) {
			is.True(errors.Is(<-ended, context.Canceled))
		}
	})
}

// A newer version wrote a document that the follower rejects, and the reader sends it in reply to
// each request. The follower must limit the rate of its requests: a loop would not affect callers,
// but would load the network and the processors of both instances.
func TestRejectedDocumentIsRequestedAtLimitedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		source, _ := newReaderStore(t, (&memory.Memory{}).Store())
		requests := &requestCounter{}
		configFollower := newConfigFollower(source, requests)
		original := configFollower.FetchChanges
		configFollower.FetchChanges = func(ctx context.Context, peer peridotpath.Instance, request *wire.ChangesRequest) (*wire.ChangesReply, error) {
			time.Sleep(latency)
			reply, err := original(ctx, peer, request)
			for _, document := range reply.GetDocuments() {
				document.Name = "written-by-a-later-version"
			}
			return reply, err
		}
		follower := newFollowerStore(configFollower)
		_, _ = follower.Load(ctx)
		for ctx.Err() == nil {
			_, _ = configFollower.FetchFromPeers(ctx, follower.ActiveRevisions(), config.DefaultMaxPollWait)
		}
		is.True(requests.total <= 62)
	})
}
