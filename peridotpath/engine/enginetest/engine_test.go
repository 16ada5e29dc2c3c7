package enginetest_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/tidwall/gjson"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/engine/enginetest"
	"peridotpath.example/peridotpath/faults"
)

var address = netip.MustParseAddrPort("127.0.0.1:7100")

// bench is an engine with a client.
type bench struct {
	engine  *enginetest.Engine
	client  *engine.Client
	network *enginetest.Network
}

// runWith runs test with a running engine in a synctest bubble.
func runWith(t *testing.T, fake *enginetest.Engine, test func(is *is.I, bench *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		network := &enginetest.Network{}
		network.Serve(address.String(), fake.Handler())
		ended := make(chan error, 1)
		go func() { ended <- fake.Run(ctx) }()
		defer func() {
			network.Close()
			cancel()
			is.True(errors.Is(<-ended, context.Canceled))
		}()
		test(is, &bench{fake, &engine.Client{Instance: "a", Do: network.Do}, network})
	})
}

func body(prompt string, output int, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":"m","prompt":%q,"max_tokens":%d,"stream":%t}`, prompt, output, stream)
}

// makePrompt returns a prompt of about the given number of tokens, unique to the name.
func makePrompt(name string, tokens int) string {
	return (strings.Repeat(name+" ", 4*tokens/(len(name)+1)+1))[:4*tokens]
}

func (bench *bench) send(ctx context.Context, id string, body []byte, priority int) (*engine.Answer, error) {
	return bench.client.Send(ctx, address, &engine.Request{
		ID: peridotpath.RequestID(id), Path: engine.PathCompletions, Body: engine.NewBody(body), Priority: priority, Deadline: time.Now().Add(time.Hour),
	})
}

// readEvents reads up to maxEvents events and returns their text, the last offset and whether the
// stream is complete.
func readEvents(answer *engine.Answer, maxEvents int) (string, int64, bool) {
	events := engine.NewEventReader(answer.Body, nil)
	var text strings.Builder
	last := int64(-1)
	for range maxEvents {
		event, err := events.Next()
		if err != nil {
			return text.String(), last, false
		}
		last = event.Offset
		if string(event.Data) == engine.EndMarker {
			return text.String(), last, true
		}
		text.WriteString(gjson.GetBytes(event.Data, "choices.0.text").String())
	}
	return text.String(), last, false
}

const allEvents = 1 << 30

// A stream continues when its reader disconnects. Another reader resumes it after the
// last event that the first one received, and together they have the whole answer.
func TestDetachedStreamResumes(t *testing.T) {
	runWith(t, &enginetest.Engine{}, func(is *is.I, bench *bench) {
		sent := body("hello", 20, true)
		ctx, cancel := context.WithCancel(context.Background())
		first, err := bench.send(ctx, "r1", sent, 0)
		is.NoErr(err)
		before, last, whole := readEvents(first, 7)
		is.True(!whole)
		cancel()
		_ = first.Body.Close()
		time.Sleep(5 * time.Second)
		streams, err := bench.client.ListStreams(context.Background(), address)
		is.NoErr(err)
		is.Equal(len(streams), 1)           // a detached stream keeps its memory
		is.True(streams[0].DetachedMS >= 4) // a detached stream reports for how long
		second, err := bench.client.Resume(context.Background(), address, first.StreamID, last)
		is.NoErr(err)
		after, _, whole := readEvents(second, allEvents)
		is.True(whole)
		is.Equal(before+after, enginetest.Answer(enginetest.AnswerSeed(sent), 20))
		synctest.Wait()
		is.Equal(bench.engine.Load().KVUsed, peridotpath.Tokens(0))
		is.Equal(bench.engine.Counts().Requests["r1"], engine.Count{Runs: 1, Finished: 1})
	})
}

// Cancelling frees the memory; with only_detached a stream that has a reader is not
// cancelled.
func TestCancel(t *testing.T) {
	runWith(t, &enginetest.Engine{}, func(is *is.I, bench *bench) {
		ctx := context.Background()
		answer, err := bench.send(ctx, "r1", body("hello", 100, true), 0)
		is.NoErr(err)
		is.NoErr(bench.client.Cancel(ctx, address, answer.StreamID, true))
		is.True(bench.engine.Load().KVUsed > 0) // a stream with a reader was cancelled
		is.NoErr(bench.client.Cancel(ctx, address, answer.StreamID, false))
		is.Equal(bench.engine.Load().KVUsed, peridotpath.Tokens(0))
		_, _, whole := readEvents(answer, allEvents)
		is.True(!whole) // a cancelled stream has no end mark
		is.Equal(bench.engine.Counts().Total, engine.Count{Runs: 1, Cancelled: 1})
		_, err = bench.client.Resume(ctx, address, answer.StreamID, 0)
		is.True(engine.ErrStreamGone.Has(err))
	})
}

// A prompt that does not fit the free memory is refused before it runs, and accepted
// once memory is free.
func TestRefusesPromptWithoutMemory(t *testing.T) {
	runWith(t, &enginetest.Engine{KVTokens: 10_000}, func(is *is.I, bench *bench) {
		ctx := context.Background()
		big := body(makePrompt("a", 6_000), 10, true)
		first, err := bench.send(ctx, "r1", big, 0)
		is.NoErr(err)
		_, err = bench.send(ctx, "r2", big, 0)
		is.True(engine.ErrRefused.Has(err))
		_, _, whole := readEvents(first, allEvents)
		is.True(whole)
		synctest.Wait()
		again, err := bench.send(ctx, "r2", big, 0)
		is.NoErr(err)
		_, _, whole = readEvents(again, allEvents)
		is.True(whole)
		is.Equal(bench.engine.Counts().Requests["r2"], engine.Count{Runs: 1, Finished: 1, Refused: 1})
	})
}

// timeToFirstToken returns how long the first token of a prompt took.
func (bench *bench) timeToFirstToken(id string, body []byte, priority int) time.Duration {
	sent := time.Now()
	answer, err := bench.send(context.Background(), id, body, priority)
	if err != nil {
		return -1
	}
	defer answer.Body.Close()
	readEvents(answer, 1)
	return time.Since(sent)
}

// A prompt queues behind a long one of the same priority; one of a higher priority does
// not.
func TestPriority(t *testing.T) {
	runWith(t, &enginetest.Engine{PrefillPerS: 100_000}, func(is *is.I, bench *bench) {
		long, err := bench.send(context.Background(), "long", body(makePrompt("long", 300_000), 10, true), 0)
		is.NoErr(err)
		defer long.Body.Close()
		urgent := bench.timeToFirstToken("urgent", body(makePrompt("u", 1_000), 10, true), 5)
		is.True(urgent < 50*time.Millisecond) // a prompt of higher priority queued
		equal := bench.timeToFirstToken("equal", body(makePrompt("e", 1_000), 10, true), 0)
		is.True(equal > 2*time.Second) // a prompt overtook an older one of its priority
	})
}

// A prompt that shares a prefix with an earlier one has a shorter prefill, cache events
// are delayed, and memory pressure evicts blocks.
func TestPrefixCache(t *testing.T) {
	fake := &enginetest.Engine{KVTokens: 150_000, CacheEventDelay: time.Second}
	runWith(t, fake, func(is *is.I, bench *bench) {
		dossier := makePrompt("dossier", 100_000)
		ask := func(id, prompt string) time.Duration {
			answer, err := bench.send(context.Background(), id, body(prompt, 2, true), 0)
			is.NoErr(err)
			sent := time.Now()
			_, _, whole := readEvents(answer, allEvents)
			is.True(whole)
			return time.Since(sent)
		}
		is.True(ask("r1", dossier+"first question") > time.Second)
		is.True(ask("r2", dossier+"second question") < 200*time.Millisecond)
		events := func() int {
			reply, err := bench.network.Do(request("GET", engine.PathCacheEvents+"?after=0", ""))
			is.NoErr(err)
			defer reply.Body.Close()
			text, err := io.ReadAll(reply.Body)
			is.NoErr(err)
			return len(gjson.GetBytes(text, "events").Array())
		}
		is.Equal(events(), 0) // an event was published before CacheEventDelay
		time.Sleep(time.Second)
		is.Equal(events(), 97)
		is.True(ask("r3", makePrompt("other", 140_000)) > time.Second)
		is.True(ask("r4", dossier+"third question") > 900*time.Millisecond) // the cache exceeded the memory
	})
}

// Each injected fault results in an error of its class.
func TestFaults(t *testing.T) {
	tests := []struct {
		kind   faults.Kind
		stream bool
		class  func(error) bool
		runs   int
	}{
		{faults.Refuse, false, engine.ErrRefused.Has, 0},
		{faults.Drain, true, engine.ErrRefused.Has, 0},
		{faults.Fail, false, engine.ErrFailed.Has, 0},
		{faults.CloseUnanswered, true, engine.ErrFailed.Has, 1},
	}
	for _, test := range tests {
		t.Run(string(test.kind), func(t *testing.T) {
			fake := &enginetest.Engine{}
			runWith(t, fake, func(is *is.I, bench *bench) {
				fake.Faults.Set(faults.Fault{Kind: test.kind, Count: 1})
				_, err := bench.send(context.Background(), "r1", body("x", 10, test.stream), 0)
				is.True(test.class(err))
				is.Equal(fake.Counts().Total.Runs, test.runs)
				_, err = bench.send(context.Background(), "r2", body("x", 10, false), 0)
				is.NoErr(err) // a fault was injected more often than its count
				is.Equal(fake.Load().KVUsed, peridotpath.Tokens(0))
			})
		})
	}
}

// After faults.CutResumable a stream can be resumed, after faults.CutUnresumable it cannot.
func TestCutStreams(t *testing.T) {
	fake := &enginetest.Engine{}
	runWith(t, fake, func(is *is.I, bench *bench) {
		for _, kind := range []faults.Kind{faults.CutResumable, faults.CutUnresumable} {
			fake.Faults.Set(faults.Fault{Kind: kind, Count: 1})
			answer, err := bench.send(context.Background(), string(kind), body("x", 10, true), 0)
			is.NoErr(err)
			_, last, whole := readEvents(answer, allEvents)
			is.True(!whole)
			_, err = bench.client.Resume(context.Background(), address, answer.StreamID, last)
			is.Equal(err == nil, kind == faults.CutResumable)
		}
	})
}

// An engine that checks fencing tokens refuses an order of an earlier lease holder; one
// that does not follows it. Neither accepts requests while its weights load.
func TestOrders(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		t.Run(fmt.Sprint("checks ", checksFencing), func(t *testing.T) {
			fake := &enginetest.Engine{ChecksFencing: checksFencing, WeightLoadTime: time.Minute}
			runWith(t, fake, func(is *is.I, bench *bench) {
				order := func(fencing int, model string) int {
					text := fmt.Sprintf(`{"fencing":%d,"model":%q,"version":"1","role":"serve"}`, fencing, model)
					reply, err := bench.network.Do(request("POST", engine.PathOrders, text))
					is.NoErr(err)
					_ = reply.Body.Close()
					return reply.StatusCode
				}
				is.Equal(order(7, "new"), 200)
				_, err := bench.send(context.Background(), "r1", body("x", 1, false), 0)
				is.True(engine.ErrRefused.Has(err)) // a request was accepted while the weights loaded
				time.Sleep(time.Minute)
				_, err = bench.send(context.Background(), "r1", body("x", 1, false), 0)
				is.NoErr(err)
				want := 200
				if checksFencing {
					want = 409
				}
				is.Equal(order(6, "old"), want)
			})
		})
	}
}
