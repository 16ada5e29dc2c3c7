package caller_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/zeromicro/go-zero/rest/router"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/caller"
	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/cursor"
	"peridotpath.example/peridotpath/decide"
	"peridotpath.example/peridotpath/dispatch"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/engine/enginetest"
	"peridotpath.example/peridotpath/keyvalue/memory"
	"peridotpath.example/peridotpath/service"
	"peridotpath.example/peridotpath/service/servicetest"
)

const (
	engineAddress  = "10.0.1.1:7100"
	serviceAddress = "10.0.2.1:7200"
	airlineKey     = "airline-key"

	lineDeadline        = 30 * time.Second
	acknowledgeDeadline = 10 * time.Second
)

// testStack is a set of complete instances, without sockets, with one engine, one replica
// of a plain service and one platform.
type testStack struct {
	network   enginetest.Network
	platform  memory.Memory
	engine    enginetest.Engine
	service   servicetest.Service
	config    *peridotpath.Config
	endpoints []peridotpath.Endpoint

	ctx    context.Context
	cancel context.CancelFunc
	ended  []chan error
}

func newTestStack() *testStack {
	stack := &testStack{engine: enginetest.Engine{Name: "engine"}, service: servicetest.Service{Name: "desk-app"}}
	stack.ctx, stack.cancel = context.WithCancel(context.Background())
	stack.config = &peridotpath.Config{
		Profiles: []peridotpath.Profile{
			{Name: "line", Service: "claims-llm", Idempotent: true, DeadlineMS: peridotpath.Millis(lineDeadline.Milliseconds())},
			{Name: "acknowledge", Service: "desk-app", DeadlineMS: peridotpath.Millis(acknowledgeDeadline.Milliseconds())},
		},
		Customers: []peridotpath.Customer{
			{ID: "desk", KeySHA256: peridotpath.HashKey(apiKey)},
			{ID: "airline", KeySHA256: peridotpath.HashKey(airlineKey)},
		},
	}
	stack.config.Defaults()
	stack.config.Index()
	stack.endpoints = []peridotpath.Endpoint{
		{ID: "engine-1", Service: "claims-llm", Kind: peridotpath.KindEngine, Address: netip.MustParseAddrPort(engineAddress), State: peridotpath.StateLive, KVTokens: 400_000},
		{ID: "desk-1", Service: "desk-app", Kind: peridotpath.KindPlain, Address: netip.MustParseAddrPort(serviceAddress), State: peridotpath.StateLive},
	}
	stack.network.Serve(engineAddress, stack.engine.Handler())
	stack.network.Serve(serviceAddress, stack.service.Handler())
	stack.start(stack.engine.Run)
	return stack
}

func (testStack *testStack) start(task func(context.Context) error) {
	ended := make(chan error, 1)
	testStack.ended = append(testStack.ended, ended)
	go func() { ended <- task(testStack.ctx) }()
}

func (testStack *testStack) stop(t *testing.T) {
	testStack.network.Close()
	testStack.cancel()
	for _, ended := range testStack.ended {
		if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}
}

// instance starts one instance, wired like in peridotd, and returns its Server and
// handler.
func (testStack *testStack) instance(t *testing.T, id peridotpath.InstanceID) (*caller.Server, http.Handler) {
	t.Helper()
	scheduler := &decide.Scheduler{Seed: 1}
	scheduler.SetEndpoints(time.Now(), testStack.endpoints)
	engines := &engine.Client{Instance: id, Incarnation: 1, Do: testStack.network.Do}
	dispatcher := &dispatch.Dispatcher{
		Scheduler: scheduler, Log: zerolog.Nop(), ResumeWindow: 10 * time.Second,
		Send: engines.Send, Resume: engines.Resume, Cancel: engines.Cancel,
		SendPlain: (&service.Client{Do: testStack.network.Do}).Send,
	}
	ledger := &claim.Ledger{
		Store: testStack.platform.Store(), Instance: id, Incarnation: 1, Metrics: metrics.NewSet(),
		IsAlive: func(peridotpath.InstanceID, peridotpath.Incarnation) bool { return true },
	}
	signer := &cursor.Signer{}
	server := &caller.Server{
		Log: zerolog.Nop(), ActiveConfig: func() *peridotpath.Config { return testStack.config },
		Do: dispatcher.Do, ContinueStream: dispatcher.ContinueStream, DoPlain: dispatcher.DoPlain,
		FindEndpoint: testStack.endpoint, LargestEngineKV: func(peridotpath.Service) peridotpath.Tokens { return 400_000 },
		IsPlainService: func(service peridotpath.Service) bool { return service == "desk-app" },
		Claims:         ledger, Signer: signer, BodyReader: caller.NewBodyReader(16<<20, 64<<20, 10*time.Second),
	}
	testStack.start(dispatcher.Run)
	testStack.start(ledger.Run)
	testStack.start(func(ctx context.Context) error { return signer.Run(ctx, testStack.platform.Store()) })
	return server, routesHandler(t, server)
}

func (testStack *testStack) endpoint(id peridotpath.EndpointID) (peridotpath.Endpoint, bool) {
	for _, endpoint := range testStack.endpoints {
		if endpoint.ID == id {
			return endpoint, true
		}
	}
	return peridotpath.Endpoint{}, false
}

// routesHandler returns a handler with the routes of inbound.Listener.
func routesHandler(t *testing.T, server *caller.Server) http.Handler {
	t.Helper()
	routes := router.NewRouter()
	for _, route := range server.Routes() {
		if err := routes.Handle(route.Method, route.Path, route.Handler); err != nil {
			t.Fatal(err)
		}
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, caller.ServicePrefix) {
			server.ServiceHandler().ServeHTTP(writer, request)
			return
		}
		routes.ServeHTTP(writer, request)
	})
}

// receivedStream is the part of a streamed answer that a caller has received.
type receivedStream struct {
	text    string
	cursors []string
	// texts has the joined text after each event.
	texts []string
	done  bool
	// failureCode is the code of an error event, or of an answer that is not a stream.
	failureCode string
}

// readStream reads up to maxEvents events; zero means all.
func readStream(body io.Reader, maxEvents int) *receivedStream {
	stream := &receivedStream{}
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return stream
		}
		line = strings.TrimSuffix(line, "\n")
		if id, found := strings.CutPrefix(line, "id: "); found {
			stream.cursors = append(stream.cursors, id)
		}
		data, found := strings.CutPrefix(line, "data: ")
		switch {
		case !found:
			continue
		case data == engine.EndMarker:
			stream.done = true
		case strings.Contains(data, `"error":`):
			stream.failureCode = failureCode(data)
		default:
			stream.text += eventText(data)
		}
		stream.texts = append(stream.texts, stream.text)
		if len(stream.texts) == maxEvents {
			return stream
		}
	}
}

// eventText returns the text of an event.
func eventText(data string) string {
	_, rest, found := strings.Cut(data, `"text":"`)
	if !found {
		return ""
	}
	text, _, _ := strings.Cut(rest, `"`)
	return text
}

// failureCode returns the code number of a failure.
func failureCode(body string) string {
	_, rest, found := strings.Cut(body, `"number":`)
	if !found {
		return ""
	}
	number, _, _ := strings.Cut(rest, ",")
	return number
}

func completionBody(prompt string, tokens int, streamed bool) string {
	return fmt.Sprintf(`{"model":"line","stream":%t,"max_tokens":%d,"prompt":%q}`, streamed, tokens, prompt)
}

// sendCompletion sends a completion request to an instance on the network.
func (testStack *testStack) sendCompletion(ctx context.Context, t *testing.T, instance, key, body string, header map[string]string) *http.Response {
	t.Helper()
	return testStack.send(ctx, t, "http://"+instance+engine.PathCompletions, key, body, header)
}

func (testStack *testStack) send(ctx context.Context, t *testing.T, url, key, body string, header map[string]string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := testStack.network.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// wholeResponse is an answer that was read to the end of its body.
type wholeResponse struct {
	status int
	header http.Header
	text   string
	// broken is set if the connection broke before the answer's end.
	broken bool
}

// requestAll sends a request and returns the whole answer.
func (testStack *testStack) requestAll(ctx context.Context, t *testing.T, url, key, body string, header map[string]string) wholeResponse {
	t.Helper()
	response := testStack.send(ctx, t, url, key, body, header)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return wholeResponse{response.StatusCode, response.Header, string(text), err != nil}
}
