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
	stackEngine  = "10.0.1.1:7100"
	stackService = "10.0.2.1:7200"
	airlineKey   = "airline-key"

	lineTime        = 30 * time.Second
	acknowledgeTime = 10 * time.Second
)

// stack is whole instances, without sockets, before one engine, one replica of
// a plain service and one platform.
type stack struct {
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

func newStack() *stack {
	stack := &stack{engine: enginetest.Engine{Name: "engine"}, service: servicetest.Service{Name: "desk-app"}}
	stack.ctx, stack.cancel = context.WithCancel(context.Background())
	stack.config = &peridotpath.Config{
		Profiles: []peridotpath.Profile{
			{Name: "line", Service: "claims-llm", Idempotent: true, DeadlineMS: peridotpath.Millis(lineTime.Milliseconds())},
			{Name: "acknowledge", Service: "desk-app", DeadlineMS: peridotpath.Millis(acknowledgeTime.Milliseconds())},
		},
		Customers: []peridotpath.Customer{
			{ID: "desk", KeySHA256: peridotpath.HashKey(apiKey)},
			{ID: "airline", KeySHA256: peridotpath.HashKey(airlineKey)},
		},
	}
	stack.config.Defaults()
	stack.config.Index()
	stack.endpoints = []peridotpath.Endpoint{
		{ID: "engine-1", Service: "claims-llm", Kind: peridotpath.KindEngine, Address: netip.MustParseAddrPort(stackEngine), State: peridotpath.StateLive, KVTokens: 400_000},
		{ID: "desk-1", Service: "desk-app", Kind: peridotpath.KindPlain, Address: netip.MustParseAddrPort(stackService), State: peridotpath.StateLive},
	}
	stack.network.Serve(stackEngine, stack.engine.Handler())
	stack.network.Serve(stackService, stack.service.Handler())
	stack.run(stack.engine.Run)
	return stack
}

func (stack *stack) run(task func(context.Context) error) {
	ended := make(chan error, 1)
	stack.ended = append(stack.ended, ended)
	go func() { ended <- task(stack.ctx) }()
}

func (stack *stack) close(t *testing.T) {
	stack.network.Close()
	stack.cancel()
	for _, ended := range stack.ended {
		if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
			t.Error(err)
		}
	}
}

// instance starts one instance, joined as peridotd joins it, and returns its
// callers' side.
func (stack *stack) instance(t *testing.T, id peridotpath.InstanceID) (*caller.Server, http.Handler) {
	t.Helper()
	scheduler := &decide.Scheduler{Seed: 1}
	scheduler.SetEndpoints(time.Now(), stack.endpoints)
	engines := &engine.Client{Instance: id, Incarnation: 1, Do: stack.network.Do}
	dispatcher := &dispatch.Dispatcher{
		Scheduler: scheduler, Log: zerolog.Nop(), ResumeWindow: 10 * time.Second,
		Send: engines.Send, Resume: engines.Resume, Cancel: engines.Cancel,
		SendPlain: (&service.Client{Do: stack.network.Do}).Send,
	}
	ledger := &claim.Ledger{
		Store: stack.platform.Store(), Instance: id, Incarnation: 1, Metrics: metrics.NewSet(),
		IsAlive: func(peridotpath.InstanceID, peridotpath.Incarnation) bool { return true },
	}
	signer := &cursor.Signer{}
	server := &caller.Server{
		Log: zerolog.Nop(), Config: func() *peridotpath.Config { return stack.config },
		Do: dispatcher.Do, Continue: dispatcher.Continue, DoPlain: dispatcher.DoPlain,
		Endpoint: stack.endpoint, EngineHolds: func(peridotpath.Service) peridotpath.Tokens { return 400_000 },
		IsPlain: func(service peridotpath.Service) bool { return service == "desk-app" },
		Claims:  ledger, Signer: signer, Bodies: caller.NewBodies(16<<20, 64<<20, 10*time.Second),
	}
	stack.run(dispatcher.Run)
	stack.run(ledger.Run)
	stack.run(func(ctx context.Context) error { return signer.Run(ctx, stack.platform.Store()) })
	return server, routesOf(t, server)
}

func (stack *stack) endpoint(id peridotpath.EndpointID) (peridotpath.Endpoint, bool) {
	for _, endpoint := range stack.endpoints {
		if endpoint.ID == id {
			return endpoint, true
		}
	}
	return peridotpath.Endpoint{}, false
}

// routesOf serves what inbound.Listener serves.
func routesOf(t *testing.T, server *caller.Server) http.Handler {
	t.Helper()
	routes := router.NewRouter()
	for _, route := range server.Routes() {
		if err := routes.Handle(route.Method, route.Path, route.Handler); err != nil {
			t.Fatal(err)
		}
	}
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, caller.ServicePrefix) {
			server.Services().ServeHTTP(writer, request)
			return
		}
		routes.ServeHTTP(writer, request)
	})
}

// stream is what a caller has of a streamed answer.
type stream struct {
	text    string
	cursors []string
	// texts are the joined text after each event.
	texts []string
	done  bool
	// failure is the code of an error event, or of an answer that is no stream.
	failure string
}

// readStream reads at most most events; zero stands for all.
func readStream(body io.Reader, most int) *stream {
	stream := &stream{}
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
		case data == engine.EndMark:
			stream.done = true
		case strings.Contains(data, `"error":`):
			stream.failure = codeOf(data)
		default:
			stream.text += textOf(data)
		}
		stream.texts = append(stream.texts, stream.text)
		if len(stream.texts) == most {
			return stream
		}
	}
}

// textOf returns the text of an event.
func textOf(data string) string {
	_, rest, found := strings.Cut(data, `"text":"`)
	if !found {
		return ""
	}
	text, _, _ := strings.Cut(rest, `"`)
	return text
}

// codeOf returns the number of a failure.
func codeOf(body string) string {
	_, rest, found := strings.Cut(body, `"number":`)
	if !found {
		return ""
	}
	number, _, _ := strings.Cut(rest, ",")
	return number
}

func lineBody(prompt string, tokens int, streamed bool) string {
	return fmt.Sprintf(`{"model":"line","stream":%t,"max_tokens":%d,"prompt":%q}`, streamed, tokens, prompt)
}

// ask sends a line's request to an instance on the network.
func (stack *stack) ask(ctx context.Context, t *testing.T, instance, key, body string, header map[string]string) *http.Response {
	t.Helper()
	return stack.send(ctx, t, "http://"+instance+engine.PathCompletions, key, body, header)
}

func (stack *stack) send(ctx context.Context, t *testing.T, url, key, body string, header map[string]string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := stack.network.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// reply is an answer that was read to its end.
type reply struct {
	status int
	header http.Header
	text   string
	// broken says that the connection broke before the answer's end.
	broken bool
}

// readAll returns a whole answer.
func (stack *stack) readAll(ctx context.Context, t *testing.T, url, key, body string, header map[string]string) reply {
	t.Helper()
	response := stack.send(ctx, t, url, key, body, header)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(text), err != nil}
}
