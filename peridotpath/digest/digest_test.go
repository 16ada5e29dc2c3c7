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

// seeds that CI tries each random property with, 100 cases each.
const seeds = 2

func TestQuantiseKeepsWithinASixteenth(t *testing.T) {
	soak.Check(t, seeds, func(t *rapid.T) {
		figure := rapid.Int64Range(0, 1<<50).Draw(t, "figure")
		code := digest.Quantise(figure)
		back := digest.Figure(code)
		if off := max(back-figure, figure-back); off*16 > figure {
			t.Fatalf("%d came back as %d", figure, back)
		}
		if digest.Quantise(back) != code || digest.Quantise(figure+1) < code {
			t.Fatalf("code %d of %d is not stable", code, figure)
		}
	})
}

// Two instances lose, repeat and delay messages, and each may start anew. If
// the receiver then holds an entry that the sender withdrew, or lacks one, it
// routes by a load that nobody reported, for as long as nothing changes there.
func TestMirrorComesToHoldTheBook(t *testing.T) {
	soak.Check(t, seeds, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		epoch := uint64(1)
		book, mirror := &digest.Book{Epoch: epoch}, &digest.Mirror{}
		want := map[peridotpath.EndpointID]int{}
		var delayed []*wire.Digest
		send := func() *wire.Digest { return book.Digest(now, seen1(mirror), seen2(mirror)) }
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				id := peridotpath.EndpointID(fmt.Sprint("engine-", rapid.IntRange(0, 5).Draw(t, "id")))
				want[id] = rapid.IntRange(0, 15).Draw(t, "running")
				book.PutEndpoint(id, peridotpath.Load{Running: want[id], AsOf: now})
			},
			"withdraw": func(t *rapid.T) {
				gone := peridotpath.EndpointID(fmt.Sprint("engine-", rapid.IntRange(0, 5).Draw(t, "id")))
				book.KeepEndpoints(func(id peridotpath.EndpointID) bool { return id != gone })
				delete(want, gone)
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
				book, want = &digest.Book{Epoch: epoch}, map[peridotpath.EndpointID]int{}
			},
			"receiver starts anew": func(*rapid.T) { mirror = &digest.Mirror{} },
			"settle": func(t *rapid.T) {
				// One exchange may be spent on finding out what is missing.
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

// A message of a second ago arrives after a newer one. Taken in, it would show an
// endpoint that fills up as idle, and as read just now.
func TestLateDigestIsDropped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	book, mirror := &digest.Book{Epoch: 1}, &digest.Mirror{}
	book.PutEndpoint("engine-1", peridotpath.Load{Running: 1, AsOf: now})
	late := book.Digest(now, 0, 0)
	book.PutEndpoint("engine-1", peridotpath.Load{Running: 9, AsOf: now})
	exchange(now, book, mirror, now)
	is.Equal(len(mirror.Apply(now, late)), 0)
	_, reports := exchange(now, book, mirror, now)
	is.Equal(reports[0].Load.Running, 9)
}

// A receiver starts anew while a message that builds on its earlier run is under
// way. Taken in, it would leave the receiver without every endpoint that did
// not change since, and saying that it holds them.
func TestDigestForAnEarlierRunIsDropped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	book, mirror := &digest.Book{Epoch: 1}, &digest.Mirror{}
	book.PutEndpoint("engine-1", peridotpath.Load{Running: 1, AsOf: now})
	exchange(now, book, mirror, now)
	book.PutEndpoint("engine-2", peridotpath.Load{Running: 2, AsOf: now})
	underWay := book.Digest(now, seen1(mirror), seen2(mirror))
	mirror = &digest.Mirror{}
	is.Equal(len(mirror.Apply(now, underWay)), 0)
	_, reports := exchange(now, book, mirror, now)
	is.Equal(len(reports), 2)

	// The sender starts anew: one message is enough to hold its new table.
	book = &digest.Book{Epoch: 2}
	for i := range 5 {
		book.PutEndpoint(peridotpath.EndpointID(fmt.Sprint("engine-", i)), peridotpath.Load{AsOf: now})
	}
	_, reports = exchange(now, book, mirror, now)
	is.Equal(len(reports), 5)
}

func seen1(mirror *digest.Mirror) uint64 { epoch, _ := mirror.Seen(); return epoch }
func seen2(mirror *digest.Mirror) uint64 { _, sequence := mirror.Seen(); return sequence }

func exchange(now time.Time, book *digest.Book, mirror *digest.Mirror, at time.Time) (*wire.Digest, []digest.Report) {
	sent := book.Digest(now, seen1(mirror), seen2(mirror))
	return sent, mirror.Apply(at, sent)
}

// The clocks of two instances differ by a minute. Were reports stamped with
// the sender's time, the receiver would take a load for a minute old, or for one
// of the future that outlasts every later report.
func TestAgesNotTimes(t *testing.T) {
	is := is.New(t)
	sender := time.Unix(1_000_000, 0)
	receiver := sender.Add(-time.Minute)
	book, mirror := &digest.Book{Epoch: 1}, &digest.Mirror{}
	book.PutEndpoint("engine-1", peridotpath.Load{Running: 3, AsOf: sender.Add(-200 * time.Millisecond)})
	_, reports := exchange(sender, book, mirror, receiver)
	is.Equal(receiver.Sub(reports[0].Load.AsOf), 200*time.Millisecond)

	// Nothing changed, and the endpoint was read again: the report is confirmed.
	later := sender.Add(time.Second)
	book.PutEndpoint("engine-1", peridotpath.Load{Running: 3, AsOf: later.Add(-50 * time.Millisecond)})
	sent, reports := exchange(later, book, mirror, receiver.Add(time.Second))
	is.Equal(len(sent.Endpoints), 0)
	is.Equal(receiver.Add(time.Second).Sub(reports[0].Load.AsOf), 50*time.Millisecond)

	// It could not be read: what the others hold ages, and is not confirmed.
	book.Unread("engine-1")
	exchange(later, book, mirror, receiver.Add(2*time.Second))
	_, reports = exchange(later.Add(time.Minute), book, mirror, receiver.Add(time.Minute))
	is.True(reports[0].Unread)
	is.Equal(receiver.Add(2*time.Second).Sub(reports[0].Load.AsOf), 50*time.Millisecond)
}

func TestDigestIsBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	book, mirror := &digest.Book{Epoch: 1}, &digest.Mirror{}
	for i := range 1000 {
		id := peridotpath.EndpointID(fmt.Sprintf("endpoint-with-a-long-name-%04d", i))
		book.PutEndpoint(id, peridotpath.Load{Running: 900, PrefillTokens: 1e9, KVUsed: 1e9, KVTokens: 1e9, AsOf: now, Revision: 1 << 40})
	}
	var reports []digest.Report
	for rounds := 0; len(reports) < 1000; rounds++ {
		is.True(rounds < 8) // eight messages carry a thousand entries
		var sent *wire.Digest
		sent, reports = exchange(now, book, mirror, now)
		is.True(proto.Size(sent) <= 10_000)
	}
}

// A new version adds fields during a roll. Instances of the old one must still
// read what they know, and turn away only what says that they can't.
func TestVersions(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	book, mirror := &digest.Book{Epoch: 1}, &digest.Mirror{}
	book.PutEndpoint("engine-1", peridotpath.Load{Running: 3, AsOf: now, Leaving: true})
	text, err := proto.Marshal(book.Digest(now, 0, 0))
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
		t.Run(test.name, func(t *testing.T) { is.New(t).Equal(digest.Readable(test.version), test.want) })
	}
}
