package load_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/tidwall/gjson"

	"peridotpath.example/peridotpath/engine/enginetest"
	"peridotpath.example/peridotpath/service/servicetest"
	"peridotpath.example/standin/load"
)

var (
	instance      = netip.MustParseAddrPort("10.0.0.1:1")
	otherInstance = netip.MustParseAddrPort("10.0.0.2:1")
	endpoint      = netip.MustParseAddrPort("10.0.0.3:1")
)

// system simulates the instances, and the engine and the plain service behind them.
type system struct {
	engine  *enginetest.Engine
	service *servicetest.Service
	network *enginetest.Network
}

// forward passes the request to the engine or the plain service.
func (system *system) forward(writer http.ResponseWriter, request *http.Request) {
	if strings.HasPrefix(request.URL.Path, "/services/") {
		system.service.Handler().ServeHTTP(writer, request)
		return
	}
	system.engine.Handler().ServeHTTP(writer, request)
}

func (system *system) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/health/ready" {
		return
	}
	system.forward(writer, request)
}

const plan = `{"seed":1,"requests":20,"rate_per_s":10,"engine_holds_tokens":1000,"keys":["k"],"repeat_keyed":true,"work":[
{"name":"line","share":1,"profile":"line","path":"/v1/chat/completions","idempotent":true,"min_tokens":10,"max_tokens":50,"output_tokens":8,"stream_percent":50,"deadline_ms":5000},
{"name":"correction","share":1,"profile":"correction","path":"/x","plain":true,"idempotent":false,"min_tokens":5,"max_tokens":9,"deadline_ms":5000}]}`

const notRun = `{"error":{"code":"queue_full","not_run":true}}`

// runPlan sends the plan to simulated instances. They serve requests by handle, or by
// forward if handle is nil.
func runPlan(t *testing.T, handle func(system *system, writer http.ResponseWriter, request *http.Request)) (audit *load.Audit, text string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		system := &system{engine: &enginetest.Engine{}, service: &servicetest.Service{}, network: &enginetest.Network{}}
		ended := make(chan error, 1)
		go func() { ended <- system.engine.Run(ctx) }()
		defer func() {
			cancel()
			system.network.Close()
			is.True(<-ended != nil)
		}()
		entry := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path == "/health/ready" || handle == nil {
				system.ServeHTTP(writer, request)
				return
			}
			handle(system, writer, request)
		})
		system.network.Serve(instance.String(), entry)
		system.network.Serve(otherInstance.String(), entry)
		system.network.Serve(endpoint.String(), system.engine.Handler())
		services := netip.MustParseAddrPort("10.0.0.4:1")
		system.network.Serve(services.String(), system.service.Handler())
		parsed, faults := load.ParsePlan([]byte(plan))
		is.NoErr(faults.OrNil())
		report, err := load.Run(ctx, parsed, &load.Target{
			Instances: []netip.AddrPort{instance, otherInstance}, Endpoints: []netip.AddrPort{endpoint, services}, Do: system.network.Do,
		}, nil)
		is.NoErr(err)
		audit = report.Audit
		var printed bytes.Buffer
		report.Print(&printed)
		text = printed.String()
	})
	return audit, text
}

func TestCorrectSystemPassesAudit(t *testing.T) {
	is := is.New(t)
	audit, text := runPlan(t, nil)
	is.Equal(*audit, load.Audit{})
	is.True(strings.Contains(text, "event=result lost=0 twice=0 cut_off=0"))
}

// readBody returns the body of the request, and leaves the request readable again.
func readBody(request *http.Request) []byte {
	text, err := io.ReadAll(request.Body)
	if err != nil {
		panic(err)
	}
	request.Body = io.NopCloser(bytes.NewReader(text))
	return text
}

// discardWriter drops the response.
type discardWriter struct{ header http.Header }

func (discard *discardWriter) Header() http.Header            { return discard.header }
func (discard *discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (discard *discardWriter) WriteHeader(int)                {}
func (discard *discardWriter) Flush()                         {}

func isPlainServiceCall(request *http.Request) bool {
	return strings.HasPrefix(request.URL.Path, "/services/")
}

func refuse(writer http.ResponseWriter, text string) {
	writer.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprint(writer, text)
}

func withBody(request *http.Request, text []byte) *http.Request {
	clone := request.Clone(request.Context())
	clone.Body = io.NopCloser(bytes.NewReader(text))
	return clone
}

// Each simulated system has one fault, which the audit must count.
func TestAuditFindsEachViolation(t *testing.T) {
	tests := []struct {
		name       string
		handle     func(system *system, writer http.ResponseWriter, request *http.Request)
		violations func(audit *load.Audit) int
	}{
		{"runs a keyed call twice", func(system *system, writer http.ResponseWriter, request *http.Request) {
			text := readBody(request)
			if isPlainServiceCall(request) {
				system.forward(&discardWriter{http.Header{}}, withBody(request, text))
			}
			system.forward(writer, withBody(request, text))
		}, func(audit *load.Audit) int { return audit.RanTwice }},
		{"reports a request that ran as not run", func(system *system, writer http.ResponseWriter, request *http.Request) {
			system.forward(&discardWriter{http.Header{}}, request)
			refuse(writer, notRun)
		}, func(audit *load.Audit) int { return audit.NotRunButRan }},
		{"never answers", func(_ *system, _ http.ResponseWriter, request *http.Request) {
			<-request.Context().Done()
			panic(http.ErrAbortHandler)
		}, func(audit *load.Audit) int { return audit.Lost }},
		{"gives the answer to another prompt", func(system *system, writer http.ResponseWriter, request *http.Request) {
			system.forward(writer, withBody(request, bytes.ReplaceAll(readBody(request), []byte("a"), []byte("e"))))
		}, func(audit *load.Audit) int { return audit.WrongAnswer }},
		{"ends streams early", func(system *system, writer http.ResponseWriter, request *http.Request) {
			if gjson.GetBytes(readBody(request), "stream").Bool() {
				fmt.Fprint(writer, "id: x.0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n")
				fmt.Fprint(writer, "event: error\ndata: {\"error\":{\"code\":\"stream_cut\"}}\n\n")
				return
			}
			system.forward(writer, request)
		}, func(audit *load.Audit) int { return audit.CutOff }},
		{"answers without running the request", func(_ *system, writer http.ResponseWriter, request *http.Request) {
			if text := readBody(request); isPlainServiceCall(request) {
				fmt.Fprintf(writer, `{"body":%q}`, servicetest.BodySum(text))
				return
			}
			refuse(writer, notRun)
		}, func(audit *load.Audit) int { return audit.AnsweredUnfinished }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			audit, text := runPlan(t, test.handle)
			t.Log(text)
			is.True(test.violations(audit) > 0) // the audit did not count the fault
			is.True(!audit.IsClean())
		})
	}
}

// A refused caller must retry after the delay in the refusal.
func TestClientRetriesAfterRefusal(t *testing.T) {
	is := is.New(t)
	var refusedOnce sync.Map
	audit, text := runPlan(t, func(system *system, writer http.ResponseWriter, request *http.Request) {
		if _, before := refusedOnce.LoadOrStore(request.Header.Get("X-Request-Id"), true); !before {
			refuse(writer, `{"error":{"code":"queue_full","not_run":true,"retry_after_ms":100}}`)
			return
		}
		system.forward(writer, request)
	})
	is.True(audit.IsClean())
	is.True(strings.Contains(text, "event=refusal reason=queue_full count=20"))
}
