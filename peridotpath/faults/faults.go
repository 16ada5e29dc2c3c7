// Package faults implements runtime fault injection for the stand-ins of engines,
// plain services and the key-value service. Faults are activated and cleared over HTTP; a
// stand-in queries the active faults for each call.
package faults

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
)

// Path is the URL path at which a stand-in serves Faults.
const Path = "/faults"

// Kind is a type of fault.
type Kind string

// Kinds of faults. A stand-in may support only some of them.
const (
	// Refuse rejects a request before execution, and indicates that it did not run.
	Refuse Kind = "refuse"
	// Drain rejects new requests like Refuse; running requests complete.
	Drain Kind = "drain"
	// Fail responds 500 at once, without indicating whether the request ran.
	Fail Kind = "fail"
	// Slow divides an engine's rates by Factor, and delays any other call by DelayMS.
	Slow Kind = "slow"
	// Empty responds 200 without content.
	Empty Kind = "empty"
	// Garbage responds 200 with an invalid body.
	Garbage Kind = "garbage"
	// CutUnresumable sends half of the response and closes the connection; the stream cannot be
	// resumed.
	CutUnresumable Kind = "half"
	// CutResumable sends half of the response and closes the connection; the stream can be
	// resumed.
	CutResumable Kind = "cut"
	// CloseUnanswered executes the request and closes the connection without a response.
	CloseUnanswered Kind = "close"
	// Hang reads the request and never responds.
	Hang Kind = "hang"
	// Outage rejects every call.
	Outage Kind = "outage"
)

var knownKinds = map[Kind]bool{
	Refuse: true, Drain: true, Fail: true, Slow: true, Empty: true, Garbage: true,
	CutUnresumable: true, CutResumable: true, CloseUnanswered: true, Hang: true, Outage: true,
}

// Fault is an active fault.
type Fault struct {
	Kind Kind `json:"kind"`
	// Count is the number of calls that the fault affects; zero for all calls until the fault
	// is cleared.
	Count int `json:"count,omitempty"`
	// Factor is the divisor of a slow engine's rates; zero for 10.
	Factor float64 `json:"factor,omitempty"`
	// DelayMS is the delay that Slow adds to a call, except for calls of engines.
	DelayMS peridotpath.Millis `json:"delay_ms,omitempty"`
}

// Faults is a set of active faults. The zero value is empty.
type Faults struct {
	mu     sync.Mutex
	active map[Kind]*Fault
}

// Set activates a fault, and replaces any active one of the same kind.
func (faults *Faults) Set(fault Fault) {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	if faults.active == nil {
		faults.active = map[Kind]*Fault{}
	}
	faults.active[fault.Kind] = &fault
}

// Clear deactivates all faults.
func (faults *Faults) Clear() {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	faults.active = nil
}

// Take returns the active fault of the kind for this call, if any, and decrements its
// Count.
func (faults *Faults) Take(kind Kind) (Fault, bool) {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	fault := faults.active[kind]
	if fault == nil {
		return Fault{}, false
	}
	taken := *fault
	if fault.Count == 1 {
		delete(faults.active, kind)
	} else if fault.Count > 1 {
		fault.Count--
	}
	return taken, true
}

// Peek returns the active fault of the kind, if any, without changing its Count.
func (faults *Faults) Peek(kind Kind) (Fault, bool) {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	if fault := faults.active[kind]; fault != nil {
		return *fault, true
	}
	return Fault{}, false
}

// TakeFirst takes the first of the kinds that has an active fault and returns it, or "" if
// none has.
func (faults *Faults) TakeFirst(kinds ...Kind) Kind {
	for _, kind := range kinds {
		if _, active := faults.Take(kind); active {
			return kind
		}
	}
	return ""
}

// SleepIfSlow takes the Slow fault, if active, and sleeps for its delay or until done.
func (faults *Faults) SleepIfSlow(done <-chan struct{}) {
	fault, active := faults.Take(Slow)
	if !active {
		return
	}
	select {
	case <-time.After(fault.DelayMS.Duration()):
	case <-done:
	}
}

// ServeHTTP returns the active faults on GET, activates one on POST, and clears all on
// DELETE.
func (faults *Faults) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.Method {
	case http.MethodPost:
		var fault Fault
		if err := json.NewDecoder(request.Body).Decode(&fault); err != nil || !knownKinds[fault.Kind] {
			http.Error(writer, "not a fault that is known", http.StatusBadRequest)
			return
		}
		faults.Set(fault)
	case http.MethodDelete:
		faults.Clear()
	case http.MethodGet:
		faults.mu.Lock()
		defer faults.mu.Unlock()
		_ = json.NewEncoder(writer).Encode(faults.active)
	default:
		writer.WriteHeader(http.StatusMethodNotAllowed)
	}
}
