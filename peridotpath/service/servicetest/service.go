// Package servicetest is a small plain service, for tests and trials: it takes
// any method and path and counts what it ran by idempotency key.
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
	// Name is what the answers bear.
	Name string
	// Takes is how long a call runs.
	Takes time.Duration
	// LoadLag is how old a load report is at least.
	LoadLag time.Duration
	// Faults can be switched while the service runs.
	Faults faults.Faults

	mu      sync.Mutex
	running int
	counts  engine.Counts
	report  peridotpath.Load
	pending peridotpath.Load
}

// Answer is what the service says of one call.
type Answer struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Body is the xxhash of the body that came in, in hexadecimal.
	Body  string `json:"body"`
	Bytes int    `json:"bytes"`
	// Run counts the runs of this key or request id, this one included.
	Run int `json:"run"`
}

// BodySum returns the hash of a body as an Answer bears it.
func BodySum(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// Handler returns the service's HTTP form.
func (service *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathLoad, service.load)
	mux.HandleFunc("GET "+engine.PathCounts, service.showCounts)
	mux.Handle(faults.Path, &service.Faults)
	mux.HandleFunc("/", service.serve)
	return mux
}

func (service *Service) serve(writer http.ResponseWriter, request *http.Request) {
	key := request.Header.Get(headerIdempotencyKey)
	if key == "" {
		key = request.Header.Get(engine.HeaderRequestID)
	}
	switch service.Faults.First(faults.Refuse, faults.Drain, faults.Fail) {
	case faults.Drain:
		service.note(key, func(count *engine.Count) { count.Refused++ })
		writer.Header().Set(engine.HeaderNotRun, engine.NotRunLeaving)
		http.Error(writer, "leaving", http.StatusServiceUnavailable)
		return
	case faults.Refuse:
		service.note(key, func(count *engine.Count) { count.Refused++ })
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
	run := service.begin(key)
	defer service.end()
	service.Faults.Wait(request.Context().Done())
	time.Sleep(service.Takes)
	service.note(key, func(count *engine.Count) { count.Finished++ })
	service.answer(writer, request, Answer{
		Service: service.Name, Method: request.Method, Path: request.URL.RequestURI(), Key: request.Header.Get(headerIdempotencyKey),
		Body: BodySum(body), Bytes: len(body), Run: run,
	})
}

// answer gives the answer, or what a fault makes of it.
func (service *Service) answer(writer http.ResponseWriter, request *http.Request, answer Answer) {
	text, err := json.Marshal(answer)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	switch service.Faults.First(faults.Hang, faults.Close, faults.Empty, faults.Garbage, faults.Half) {
	case faults.Hang:
		<-request.Context().Done()
	case faults.Close:
		panic(http.ErrAbortHandler)
	case faults.Empty:
	case faults.Garbage:
		_, _ = writer.Write([]byte("<html>502</html>"))
	case faults.Half:
		writer.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = writer.Write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	default:
		writer.Header().Set("Content-Type", "application/json")
		_, _ = writer.Write(text)
	}
}

// begin counts a run and returns which one of this key it is.
func (service *Service) begin(key string) int {
	run := service.note(key, func(count *engine.Count) { count.Runs++ }).Runs
	service.mu.Lock()
	defer service.mu.Unlock()
	service.running++
	return run
}

func (service *Service) end() {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.running--
}

// note changes the counts and returns those of the key.
func (service *Service) note(key string, change func(*engine.Count)) engine.Count {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.counts.Requests == nil {
		service.counts.Requests = map[string]engine.Count{}
	}
	change(&service.counts.Total)
	one := service.counts.Requests[key]
	change(&one)
	service.counts.Requests[key] = one
	return one
}

// Counts returns what the service ran so far.
func (service *Service) Counts() engine.Counts {
	service.mu.Lock()
	defer service.mu.Unlock()
	counts := engine.Counts{Total: service.counts.Total, Requests: map[string]engine.Count{}}
	for key, one := range service.counts.Requests {
		counts.Requests[key] = one
	}
	return counts
}

func (service *Service) showCounts(writer http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(writer).Encode(service.Counts())
}

func (service *Service) load(writer http.ResponseWriter, _ *http.Request) {
	service.mu.Lock()
	defer service.mu.Unlock()
	now := time.Now()
	current := peridotpath.Load{AsOf: now, Running: service.running, Revision: service.pending.Revision + 1}
	if now.Sub(service.pending.AsOf) >= service.LoadLag {
		service.report, service.pending = service.pending, current
	}
	if service.LoadLag == 0 {
		service.report = current
	}
	_ = json.NewEncoder(writer).Encode(service.report)
}
