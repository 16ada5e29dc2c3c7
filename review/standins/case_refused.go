package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

func init() { cases["refused"] = failureThatPromises }

// failureThatPromises lets one of seven replicas of a plain service run some saves and then fail with
// a 503 that does not say that they were not run.
func failureThatPromises(w *world, trouble bool) bool {
	const requests, replicas = 280, 7
	for i := range replicas {
		r := w.startReplica("portal", fmt.Sprintf("i-%d", i), []string{"a", "b"}[i%2], 6, nil)
		if i > 0 {
			continue
		}
		answers := 0
		r.answer = func(writer http.ResponseWriter, q *http.Request, _ []byte) bool {
			w.mutex.Lock()
			answers++
			number := answers
			w.mutex.Unlock()
			// Two in five of the requests of one in seven replicas.
			if !trouble || number%5 > 1 {
				return false
			}
			time.Sleep(20 * time.Millisecond)
			w.note("replica %s has run %s and answers it 503, without X-Peridotpath-Not-Executed", r.id, q.Header.Get("X-Peridotpath-Attempt-Id"))
			writer.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(writer, "archive not reachable")
			return true
		}
	}
	w.configure(7, nil, route("save", "non_idempotent", "portal", 300, 0, 1500, 1))
	node := w.startNode("edge-a-1", "a")
	w.startNode("edge-b-1", "b")
	w.awaitReady()
	time.Sleep(3 * time.Second)
	broken := 0
	c := w.connect(node)
	for i := range requests {
		id := fmt.Sprintf("save-%d", i)
		r := c.send(request{id: id, method: "POST", target: "/save/2f", host: host, key: firstKey, body: "correction " + id, deadline: 3 * time.Second})
		switch r.status {
		case 408, 421, 429, 503:
			if runs := w.ran(id); len(runs) > 0 {
				broken++
				w.note("%s: REFUSED: the client got %d, which promises that it has not run, and it ran %d times", id, r.status, len(runs))
			}
		}
		if r.err != nil || r.closes {
			c.close()
			c = w.connect(node)
		}
	}
	w.note("%d of %d requests that may run once only were told that they have not run, and had run", broken, requests)
	return broken > 0
}
