package digest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/digest"
	"peridotpath.example/peridotpath/internal/soak"
	"peridotpath.example/peridotpath/peer/wire"
)

// seedCount is the number of seeds with which CI runs each property, 100 cases
// each.
const seedCount = 2

func TestQuantisationErrorIsAtMostASixteenth(t *testing.T) {
	soak.Check(t, seedCount, func(t *rapid.T) {
		figure := rapid.Int64Range(0, 1<<50).Draw(t, "figure")
		code := digest.Quantise(figure)
		decoded := digest.Dequantise(code)
		if difference := max(decoded-figure, figure-decoded); difference*16 > figure {
			t.Fatalf("%d is decoded as %d", figure, decoded)
		}
		if digest.Quantise(decoded) != code || digest.Quantise(figure+1) < code {
			t.Fatalf("code %d of %d is not stable", code, figure)
		}
	})
}

// A Mirror must converge to the published state when messages are lost, repeated
// and delayed and either side restarts. A receiver that keeps a withdrawn
// entry, or lacks one, would route by a wrong load until the entry changes
// again.
func TestMirrorConvergesToPublishedState(t *testing.T) {
	soak.Check(t, seedCount, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		epoch := uint64(1)
		published, mirror := &digest.PublishedState{Epoch: epoch}, &digest.Mirror{}
		want := map[peridotpath.EndpointID]int{}
		var delayed []*wire.Digest
		send := func() *wire.Digest { return published.BuildDigest(now, seenEpoch(mirror), seenSequence(mirror)) }
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				id := peridotpath.EndpointID(fmt.Sprint("engine-", rapid.IntRange(0, 5).Draw(t, "id")))
				want[id] = rapid.IntRange(0, 15).Draw(t, "running")
				published.PutEndpoint(id, peridotpath.Load{Running: want[id], AsOf: now})
			},
			"withdraw": func(t *rapid.T) {
				withdrawn := peridotpath.EndpointID(fmt.Sprint("engine-", rapid.IntRange(0, 5).Draw(t, "id")))
				published.RetainEndpoints(func(id peridotpath.EndpointID) bool { return id != withdrawn })
				delete(want, withdrawn)
			},
			"deliver": func(*rapid.T) { mirror.Apply(now, send()) },
			"delay":   func(*rapid.T) { delayed = append(delayed, send()) },
			"deliver delayed": func(t *rapid.T) {
				if len(delayed) > 0 {
					mirror.Apply(now, rapid.SampledFrom(delayed).Draw(t, "which"))
				}
			},
			"sender starts anew": func(*rapid.T) {
				epoch++
				published, want = &digest.PublishedState{Epoch: epoch}, map[peridotpath.EndpointID]int{}
			},
			"receiver starts anew": func(*rapid.T) { mirror = &digest.Mirror{} },
			"settle": func(t *rapid.T) {
				// The first exchange may only establish the position to send
				// from.
				mirror.Apply(now, send())
				have := map[peridotpath.EndpointID]int{}
				for _, report := range mirror.Apply(now, send()) {
					have[report.Endpoint] = report.Load.Running
				}
				if fmt.Sprint(have) != fmt.Sprint(want) {
					t.Fatalf("have %v, want %v", have, want)
				}
			},
		})
	})
}

// A Digest that arrives after a newer one must be dropped. Otherwise a loaded
// endpoint would be reported as idle, with a current AsOf.
func TestLateDigestIsDropped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	published, mirror := &digest.PublishedState{Epoch: 1}, &digest.Mirror{}
	published.PutEndpoint("engine-1", peridotpath.Load{Running: 1, AsOf: now})
	late := published.BuildDigest(now, 0, 0)
	published.PutEndpoint("engine-1", peridotpath.Load{Running: 9, AsOf: now})
	exchange(now, published, mirror, now)
	is.Equal(len(mirror.Apply(now, late)), 0)
	_, reports := exchange(now, published, mirror, now)
	is.Equal(reports[0].Load.Running, 9)
}

// A Digest that is based on the state of the receiver before its restart must
// be dropped. Otherwise the receiver would acknowledge endpoints that it does
// not hold: those that have not changed since the restart.
func TestDigestForAnEarlierRunIsDropped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	published, mirror := &digest.PublishedState{Epoch: 1}, &digest.Mirror{}
	published.PutEndpoint("engine-1", peridotpath.Load{Running: 1, AsOf: now})
	exchange(now, published, mirror, now)
	published.PutEndpoint("engine-2", peridotpath.Load{Running: 2, AsOf: now})
	inTransit := published.BuildDigest(now, seenEpoch(mirror), seenSequence(mirror))
	mirror = &digest.Mirror{}
	is.Equal(len(mirror.Apply(now, inTransit)), 0)
	_, reports := exchange(now, published, mirror, now)
	is.Equal(len(reports), 2)

	// After a restart of the sender, one Digest transfers its whole new state.
	published = &digest.PublishedState{Epoch: 2}
	for i := range 5 {
		published.PutEndpoint(peridotpath.EndpointID(fmt.Sprint("engine-", i)), peridotpath.Load{AsOf: now})
	}
	_, reports = exchange(now, published, mirror, now)
	is.Equal(len(reports), 5)
}

func seenEpoch(mirror *digest.Mirror) uint64    { epoch, _ := mirror.Position(); return epoch }
func seenSequence(mirror *digest.Mirror) uint64 { _, sequence := mirror.Position(); return sequence }

func exchange(now time.Time, published *digest.PublishedState, mirror *digest.Mirror, at time.Time) (*wire.Digest, []digest.Report) {
	sent := published.BuildDigest(now, seenEpoch(mirror), seenSequence(mirror))
	return sent, mirror.Apply(at, sent)
}

// The age of a report must be independent of the clock difference between
// instances. With the sender's timestamps, a clock that differs by a minute
// would make a report stale, or place it in the future where it supersedes all
// later reports.
func TestReportAgeIsIndependentOfClocks(t *testing.T) {
	is := is.New(t)
	sender := time.Unix(1_000_000, 0)
	receiver := sender.Add(-time.Minute)
	published, mirror := &digest.PublishedState{Epoch: 1}, &digest.Mirror{}
	published.PutEndpoint("engine-1", peridotpath.Load{Running: 3, AsOf: sender.Add(-200 * time.Millisecond)})
	_, reports := exchange(sender, published, mirror, receiver)
	is.Equal(receiver.Sub(reports[0].Load.AsOf), 200*time.Millisecond)

	// A report that was read again without a change is confirmed.
	later := sender.Add(time.Second)
	published.PutEndpoint("engine-1", peridotpath.Load{Running: 3, AsOf: later.Add(-50 * time.Millisecond)})
	sent, reports := exchange(later, published, mirror, receiver.Add(time.Second))
	is.Equal(len(sent.Endpoints), 0)
	is.Equal(receiver.Add(time.Second).Sub(reports[0].Load.AsOf), 50*time.Millisecond)

	// A report that could not be read is not confirmed, and ages.
	published.MarkUnreadable("engine-1")
	exchange(later, published, mirror, receiver.Add(2*time.Second))
	_, reports = exchange(later.Add(time.Minute), published, mirror, receiver.Add(time.Minute))
	is.True(reports[0].IsUnreadable)
	is.Equal(receiver.Add(2*time.Second).Sub(reports[0].Load.AsOf), 50*time.Millisecond)
}

// A digest must not exceed 10,000 bytes for any number of endpoints. Entries
// that do not fit must follow in the next digests.
func TestDigestIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	published, mirror := &digest.PublishedState{Epoch: 1}, &digest.Mirror{}
	for i := range 1000 {
		id := peridotpath.EndpointID(fmt.Sprintf("endpoint-with-a-long-name-%04d", i))
		published.PutEndpoint(id, peridotpath.Load{Running: 900, PrefillTokens: 1e9, KVUsed: 1e9, KVTokens: 1e9, AsOf: now, Revision: 1 << 40})
	}
	var reports []digest.Report
	for messageCount := 0; len(reports) < 1000; messageCount++ {
		is.True(messageCount < 8) // at most eight messages for a thousand entries
		var sent *wire.Digest
		sent, reports = exchange(now, published, mirror, now)
		is.True(proto.Size(sent) <= 10_000)
	}
}

// During a rolling upgrade, a message with unknown fields is still read, and
// only a message whose version declares that it is unreadable is rejected.
func TestVersionCompatibility(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	published, mirror := &digest.PublishedState{Epoch: 1}, &digest.Mirror{}
	published.PutEndpoint("engine-1", peridotpath.Load{Running: 3, AsOf: now, Leaving: true})
	text, err := proto.Marshal(published.BuildDigest(now, 0, 0))
	is.NoErr(err)
	text = protowire.AppendTag(text, 900, protowire.BytesType)
	text = protowire.AppendString(text, "from a later version")
	got := &wire.Digest{}
	is.NoErr(proto.Unmarshal(text, got))
	reports := mirror.Apply(now, got)
	is.Equal(len(reports), 1)
	is.True(reports[0].Load.Leaving)
	cases := []struct {
		name    string
		version *wire.Version
		want    bool
	}{
		{"ours", digest.Version(), true},
		{"newer, readable", &wire.Version{Protocol: 9, ReadableBy: 1}, true},
		{"newer, not readable", &wire.Version{Protocol: 9, ReadableBy: 9}, false},
		{"none", nil, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) { is.New(t).Equal(digest.IsReadable(test.version), test.want) })
	}
}
