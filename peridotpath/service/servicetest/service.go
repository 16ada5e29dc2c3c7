// Package servicetest provides a small plain service for tests and load runs. It accepts
// any method and path, counts calls by idempotency key, and can inject faults.
package servicetest

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/engine"
	"peridotpath.example/peridotpath/faults"
)

const headerIdempotencyKey = "Idempotency-Key"

// Service is one replica of a plain service. Set the exported fields before use.
type Service struct {
	// Name is the service name in the answers.
	Name string
	// CallDuration is the duration of a call.
	CallDuration time.Duration
	// MinLoadReportAge is the minimum age of a load report.
	MinLoadReportAge time.Duration
	// Faults holds the injected faults. They may change while the service runs.
	Faults faults.Faults

	mu      sync.Mutex
	running int
	counts  engine.Counts
	// report is the load report that is served. nextReport replaces it once nextReport is
	// MinLoadReportAge old.
	report     peridotpath.Load
	nextReport peridotpath.Load
}

// Answer is the response body to a call.
type Answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Body is the xxhash of the request body, in hexadecimal.
	Body  string `json:"body"`
	Bytes int    `json:"bytes"`
	// Run is the number of runs with this key or request id so far, including this one.
	Run int `json:"run"`
}

// BodySum returns the hash of a body in the format of Answer.
func BodySum(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// Handler returns the HTTP handler of the service.
func (service *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathLoad, service.handleLoad)
	mux.HandleFunc("GET "+engine.PathCounts, service.handleCounts)
	mux.Handle(faults.Path, &service.Faults)
	mux.HandleFunc("/", service.handleCall)
	return mux
}

// handleCall runs a call, subject to the injected faults.
func (service *Service) handleCall(writer http.ResponseWriter, request *http.Request) {
	key := request.Header.Get(headerIdempotencyKey)
	if key == "" {
		key = request.Header.Get(engine.HeaderRequestID)
	}
	switch service.Faults.TakeFirst(faults.Refuse, faults.Drain, faults.Fail) {
	case faults.Drain:
		service.recordCount(key, func(count *engine.Count) { count.Refused++ })
		writer.Header().Set(engine.HeaderNotRun, engine.NotRunLeaving)
		http.Error(writer, "leaving", http.StatusServiceUnavailable)
		return
	case faults.Refuse:
		service.recordCount(key, func(count *engine.Count) { count.Refused++ })
		writer.Header().Set(engine.HeaderNotRun, "true")
		http.Error(writer, "refused", http.StatusServiceUnavailable)
		return
	case faults.Fail:
		http.Error(writer, "failed", http.StatusInternalServerError)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	run := service.beginRun(key)
	defer service.endRun()
	service.Faults.SleepIfSlow(request.Context().Done())
	time.Sleep(service.CallDuration)
	service.recordCount(key, func(count *engine.Count) { count.Finished++ })
	service.writeAnswer(writer, request, Answer{
		Service: service.Name, Method: request.Method, Path: request.URL.RequestURI(), Key: request.Header.Get(headerIdempotencyKey),
		Body: BodySum(body), Bytes: len(body), Run: run,
	})
}

// writeAnswer writes the answer, or the response that an injected fault puts in its place.
func (service *Service) writeAnswer(writer http.ResponseWriter, request *http.Request, answer Answer) {
	text, err := json.Marshal(answer)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	switch service.Faults.TakeFirst(faults.Hang, faults.CloseUnanswered, faults.Empty, faults.Garbage, faults.CutUnresumable) {
	case faults.Hang:
		<-request.Context().Done()
	case faults.CloseUnanswered:
		panic(http.ErrAbortHandler)
	case faults.Empty:
	case faults.Garbage:
		_, _ = writer.Write([]byte("<html>502</html>"))
	case faults.CutUnresumable:
		writer.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = writer.Write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	default:
		writer.Header().Set("Content-Type", "application/json")
		_, _ = writer.Write(text)
	}
}

// beginRun counts a run and returns its number among those with the same key.
func (service *Service) beginRun(key string) int {
	run := service.recordCount(key, func(count *engine.Count) { count.Runs++ }).Runs
	service.mu.Lock()
	defer service.mu.Unlock()
	service.running++
	return run
}

func (service *Service) endRun() {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.running--
}

// recordCount changes the counts and returns those of the key.
func (service *Service) recordCount(key string, change func(*engine.Count)) engine.Count {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.counts.Requests == nil {
		service.counts.Requests = map[string]engine.Count{}
	}
	change(&service.counts.Total)
	count := service.counts.Requests[key]
	change(&count)
	service.counts.Requests[key] = count
	return count
}

// Counts returns the counts so far.
func (service *Service) Counts() engine.Counts {
	service.mu.Lock()
	defer service.mu.Unlock()
	counts := engine.Counts{Total: service.counts.Total, Requests: map[string]engine.Count{}}
	for key, count := range service.counts.Requests {
		counts.Requests[key] = count
	}
	return counts
}

// handleCounts answers with the counts.
func (service *Service) handleCounts(writer http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(writer).Encode(service.Counts())
}

// handleLoad answers with a load report that is at least MinLoadReportAge old.
func (service *Service) handleLoad(writer http.ResponseWriter, _ *http.Request) {
	service.mu.Lock()
	defer service.mu.Unlock()
	now := time.Now()
	current := peridotpath.Load{AsOf: now, Running: service.running, Revision: service.nextReport.Revision + 1}
	if now.Sub(service.nextReport.AsOf) >= service.MinLoadReportAge {
		service.report, service.nextReport = service.nextReport, current
	}
	if service.MinLoadReportAge == 0 {
		service.report = current
	}
	_ = json.NewEncoder(writer).Encode(service.report)
}
