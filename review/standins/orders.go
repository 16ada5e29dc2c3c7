package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func (r *replica) serveOrder(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(400)
		return
	}
	apply := func() int { return r.apply(o) }
	if r.order != nil && r.order(o, apply) {
		// No answer: the connection stays silent until the caller leaves.
		select {
		case <-q.Context().Done():
		case <-time.After(20 * time.Second):
		}
		panic(http.ErrAbortHandler)
	}
	status := apply()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"unallocated":0}`)
}

// apply carries an order out.
func (r *replica) apply(o order) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch o.Operation {
	case "reserve":
		if r.model == nil || o.TokenCount > r.model.kv {
			return 400
		}
		used := int64(0)
		for id, t := range r.tickets {
			if id != o.ID {
				used += t.tokens
			}
		}
		if used+o.TokenCount > r.model.kv {
			return 409
		}
		hold := time.Duration(o.HoldMS) * time.Millisecond
		if before := r.tickets[o.ID]; before != nil {
			before.timer.Stop()
		}
		t := &ticket{tokens: o.TokenCount, end: time.Now().Add(hold)}
		t.timer = time.AfterFunc(hold, func() {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			if r.tickets[o.ID] == t {
				delete(r.tickets, o.ID)
				r.w.note("replica %s: ticket %s expires", r.id, o.ID)
			}
		})
		r.tickets[o.ID] = t
		r.w.note("replica %s: ticket %s of %d tokens is set aside for %v", r.id, o.ID, o.TokenCount, hold)
		return 200
	case "release":
		if before := r.tickets[o.ID]; before != nil {
			before.timer.Stop()
			delete(r.tickets, o.ID)
			r.w.note("replica %s: ticket %s is released", r.id, o.ID)
		}
		return 200
	}
	return 400
}

func (r *replica) holds(ticketID string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.tickets[ticketID] != nil
}
