// Package faults switches faults of a stand-in on and off while it runs. The
// stand-ins of engines, plain services and the key-value service share it.
package faults

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"peridotpath.example/peridotpath"
)

// Path is where a stand-in takes and shows its faults.
const Path = "/faults"

// Kind names what goes wrong.
type Kind string

// The kinds. Not every stand-in knows each of them.
const (
	// Refuse refuses before anything ran, and says so.
	Refuse Kind = "refuse"
	// Drain refuses new work as Refuse does; what runs is finished.
	Drain Kind = "drain"
	// Fail answers 500 at once, without saying whether the work ran.
	Fail Kind = "fail"
	// Slow delays: an engine's rates are divided by Factor, any other call waits DelayMS.
	Slow Kind = "slow"
	// Empty answers 200 without content.
	Empty Kind = "empty"
	// Garbage answers 200 with a body that is not what was asked for.
	Garbage Kind = "garbage"
	// Half sends half of the answer, closes the connection and forgets the rest.
	Half Kind = "half"
	// Cut sends half of the answer and closes the connection; the stream can be resumed.
	Cut Kind = "cut"
	// Close reads the request, runs it and closes the connection without an answer.
	Close Kind = "close"
	// Hang reads the request and never answers.
	Hang Kind = "hang"
	// Outage refuses every call.
	Outage Kind = "outage"
)

var known = map[Kind]bool{
	Refuse: true, Drain: true, Fail: true, Slow: true, Empty: true, Garbage: true,
	Half: true, Cut: true, Close: true, Hang: true, Outage: true,
}

// Fault is one fault that is switched on.
type Fault struct {
	Kind Kind `json:"kind"`
	// Count is how many calls it meets; zero for all until it is cleared.
	Count int `json:"count,omitempty"`
	// Factor divides the rates of an engine that is slow; zero stands for 10.
	Factor float64 `json:"factor,omitempty"`
	// DelayMS is how long a call waits where Slow is a delay.
	DelayMS peridotpath.Millis `json:"delay_ms,omitempty"`
}

// Faults are the faults that are on. The zero value has none.
type Faults struct {
	mu sync.Mutex
	on map[Kind]*Fault
}

// Set switches a fault on; it replaces one of the same kind.
func (faults *Faults) Set(fault Fault) {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	if faults.on == nil {
		faults.on = map[Kind]*Fault{}
	}
	faults.on[fault.Kind] = &fault
}

// Clear switches all faults off.
func (faults *Faults) Clear() {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	faults.on = nil
}

// Take reports whether a fault of the kind meets this call, and uses up one of
// its Count.
func (faults *Faults) Take(kind Kind) (Fault, bool) {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	fault := faults.on[kind]
	if fault == nil {
		return Fault{}, false
	}
	taken := *fault
	if fault.Count == 1 {
		delete(faults.on, kind)
	} else if fault.Count > 1 {
		fault.Count--
	}
	return taken, true
}

// On returns the fault of the kind without using it up.
func (faults *Faults) On(kind Kind) (Fault, bool) {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	if fault := faults.on[kind]; fault != nil {
		return *fault, true
	}
	return Fault{}, false
}

// First returns the first of the kinds that meets this call; "" for none.
func (faults *Faults) First(kinds ...Kind) Kind {
	for _, kind := range kinds {
		if _, on := faults.Take(kind); on {
			return kind
		}
	}
	return ""
}

// Wait waits as Slow says, or until done.
func (faults *Faults) Wait(done <-chan struct{}) {
	fault, on := faults.Take(Slow)
	if !on {
		return
	}
	select {
	case <-time.After(fault.DelayMS.Duration()):
	case <-done:
	}
}

// ServeHTTP shows the faults on GET, switches one on by POST, and clears all by
// DELETE.
func (faults *Faults) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch request.Method {
	case http.MethodPost:
		var fault Fault
		if err := json.NewDecoder(request.Body).Decode(&fault); err != nil || !known[fault.Kind] {
			http.Error(writer, "not a fault that is known", http.StatusBadRequest)
			return
		}
		faults.Set(fault)
	case http.MethodDelete:
		faults.Clear()
	case http.MethodGet:
		faults.mu.Lock()
		defer faults.mu.Unlock()
		_ = json.NewEncoder(writer).Encode(faults.on)
	default:
		writer.WriteHeader(http.StatusMethodNotAllowed)
	}
}
