package caller_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest/router"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/cursor"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
)

// requestPath is the whole request path to one engine on loopback, with the base URLs of
// the engine and of the Server.
type requestPath struct {
	directURL string
	serverURL string
}

// tokenEventFormat is the format of one event of an engine.
const tokenEventFormat = "id: %d\ndata: {\"id\":\"c1\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\"word \"}]}\n\n"

// newRequestPath starts a path whose engine sends its tokens without delay. If proceed
// is not nil, the engine waits for it after the first token.
func newRequestPath(b *testing.B, tokens int, proceed <-chan struct{}) *requestPath {
	b.Helper()
	engineServer := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		writer.Header().Set("Content-Type", "text/event-stream")
		writer.Header().Set(engine.HeaderStreamID, "s1")
		for i := range tokens {
			fmt.Fprintf(writer, tokenEventFormat, i)
			_ = http.NewResponseController(writer).Flush()
			if i == 0 && proceed != nil {
				<-proceed
			}
		}
		fmt.Fprintf(writer, "id: %d\ndata: [DONE]\n\n", tokens)
	}))
	b.Cleanup(engineServer.Close)
	endpoint := peridotpath.Endpoint{
		ID: "e1", Service: "claims-llm", Kind: peridotpath.KindEngine, State: peridotpath.StateLive,
		Address: netip.MustParseAddrPort(engineServer.Listener.Addr().String()), KVTokens: 400_000_000,
	}
	scheduler := &decide.Scheduler{}
	scheduler.SetEndpoints(time.Now(), []peridotpath.Endpoint{endpoint})
	scheduler.ApplyReport(time.Now(), endpoint.ID, peridotpath.Load{
		AsOf: time.Now(), KVTokens: endpoint.KVTokens, PrefillPerS: 1_000_000_000, DecodePerS: 1_000_000,
	})
	client := &engine.Client{Instance: "i1", Incarnation: 1}
	dispatcher := &dispatch.Dispatcher{
		Scheduler: scheduler, Log: zerolog.Nop(), ResumeWindow: time.Second,
		Send: client.Send, Resume: client.Resume, Cancel: client.Cancel,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = dispatcher.Run(ctx)
	}()
	b.Cleanup(func() { cancel(); <-ended })
	callerServer := httptest.NewServer(newRouter(b, dispatcher))
	b.Cleanup(callerServer.Close)
	return &requestPath{directURL: engineServer.URL, serverURL: callerServer.URL}
}

func newRouter(b *testing.B, dispatcher *dispatch.Dispatcher) http.Handler {
	config := &peridotpath.Config{
		Profiles: []peridotpath.Profile{{Name: "lookup", Service: "claims-llm", Idempotent: true, MaxOutputTokens: 10_000, MaxQueued: 10_000}},
		Customers: []peridotpath.Customer{{
			ID: "desk", KeySHA256: peridotpath.HashKey(apiKey), MaxRequestsPerS: 100_000, MaxConcurrent: 100_000,
		}},
	}
	config.Defaults()
	config.Index()
	signer := &cursor.Signer{}
	signer.SetSecret([]byte("benchmark"))
	server := &caller.Server{
		Log: zerolog.Nop(), ActiveConfig: func() *peridotpath.Config { return config },
		Do: dispatcher.Do, ContinueStream: dispatcher.ContinueStream, Signer: signer,
		LargestEngineKV: func(peridotpath.Service) peridotpath.Tokens { return 400_000_000 },
		BodyReader:      caller.NewBodyReader(16<<20, 1<<30, time.Second),
	}
	router := router.NewRouter()
	for _, route := range server.Routes() {
		if err := router.Handle(route.Method, route.Path, route.Handler); err != nil {
			b.Fatal(err)
		}
	}
	return router
}

// promptBody returns a request body of about size bytes.
func promptBody(size int) []byte {
	return fmt.Appendf(nil, `{"model":"lookup","stream":true,"max_tokens":100,"prompt":"%s"}`, bytes.Repeat([]byte("word "), size/5))
}

// postPrompt posts the prompt and returns the response, the reader of its remaining body
// and the time to its first line.
func postPrompt(b *testing.B, base string, body []byte) (*http.Response, *bufio.Reader, time.Duration) {
	b.Helper()
	request, err := http.NewRequest(http.MethodPost, base+engine.PathCompletions, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+apiKey)
	startedAt := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	lines := bufio.NewReader(response.Body)
	if _, err := lines.ReadString('\n'); err != nil || response.StatusCode != http.StatusOK {
		b.Fatal(response.StatusCode, err)
	}
	return response, lines, time.Since(startedAt)
}

// BenchmarkFirstToken reports the time to first token through the whole path and
// over a direct connection, measured alternately in one run.
func BenchmarkFirstToken(b *testing.B) {
	for _, size := range []int{4 << 10, 400 << 10, 4 << 20} {
		b.Run(fmt.Sprintf("body=%dKiB", size>>10), func(b *testing.B) {
			path, body := newRequestPath(b, 2, nil), promptBody(size)
			direct := hdrhistogram.New(1, 60_000_000, 3)
			through := hdrhistogram.New(1, 60_000_000, 3)
			for b.Loop() {
				for base, histogram := range map[string]*hdrhistogram.Histogram{path.directURL: direct, path.serverURL: through} {
					response, rest, span := postPrompt(b, base, body)
					_, _ = io.Copy(io.Discard, rest)
					response.Body.Close()
					_ = histogram.RecordValue(span.Microseconds())
				}
			}
			for _, quantile := range []float64{50, 99} {
				without, with := direct.ValueAtQuantile(quantile), through.ValueAtQuantile(quantile)
				b.ReportMetric(float64(without), fmt.Sprintf("direct_p%.0f_us", quantile))
				b.ReportMetric(float64(with), fmt.Sprintf("through_p%.0f_us", quantile))
				b.ReportMetric(float64(with-without), fmt.Sprintf("added_p%.0f_us", quantile))
			}
		})
	}
}

// BenchmarkRelayedToken reports the cost of relaying a token, including the
// benchmark's own engine and callers.
func BenchmarkRelayedToken(b *testing.B) {
	const tokens = 2_000
	for _, through := range []bool{false, true} {
		b.Run(fmt.Sprintf("through=%t", through), func(b *testing.B) {
			path, body := newRequestPath(b, tokens, nil), promptBody(4<<10)
			base := path.directURL
			if through {
				base = path.serverURL
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					response, rest, _ := postPrompt(b, base, body)
					_, _ = io.Copy(io.Discard, rest)
					response.Body.Close()
				}
			})
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/token")
		})
	}
}

// BenchmarkOpenStreams reports the memory of open streams, including the
// benchmark's own engine and callers, through the path and without it.
func BenchmarkOpenStreams(b *testing.B) {
	for _, test := range []struct{ streams, size int }{{1_000, 4 << 10}, {100, 1 << 20}} {
		for _, through := range []bool{false, true} {
			b.Run(fmt.Sprintf("streams=%d/body=%dKiB/through=%t", test.streams, test.size>>10, through), func(b *testing.B) {
				for b.Loop() {
					used := openStreams(b, test.streams, promptBody(test.size), through)
					b.ReportMetric(float64(used)/float64(test.streams)/1024, "KiB/stream")
				}
			})
		}
	}
}

// openStreams returns the memory that the streams use while all are open.
func openStreams(b *testing.B, streams int, body []byte, through bool) uint64 {
	proceed := make(chan struct{})
	path := newRequestPath(b, 2, proceed)
	base := path.directURL
	if through {
		base = path.serverURL
	}
	before := memoryInUse()
	var open []*http.Response
	for range streams {
		response, _, _ := postPrompt(b, base, body) //nolint:bodyclose // all are closed at the end
		response.Request = nil
		open = append(open, response) //nolint:bodyclose // as above
	}
	after := memoryInUse()
	close(proceed)
	for _, response := range open {
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}
	return after - before
}

func memoryInUse() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}
