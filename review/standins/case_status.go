package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

func init() { cases["status"] = failureWithSpoiledStatus }

// failureWithSpoiledStatus lets one of two replicas of a plain service spoil one byte of the status
// line of some of its failures, and looks for failures that clients get as successes.
func failureWithSpoiledStatus(w *world, trouble bool) bool {
	const requests, spoilEach = 300, 50
	fails := func(id string) bool {
		var number int
		_, _ = fmt.Sscanf(id, "save-%d", &number)
		return number%10 == 7
	}
	spoiled := map[string]bool{}
	for i, id := range []string{"i-a", "i-b"} {
		answers := 0
		r := w.startReplica("portal", id, []string{"a", "b"}[i], 6, nil)
		r.answer = func(writer http.ResponseWriter, q *http.Request, _ []byte) bool {
			attempt := q.Header.Get("X-Peridotpath-Attempt-Id")
			w.mutex.Lock()
			answers++
			number := answers
			w.mutex.Unlock()
			if !fails(attempt) {
				return false
			}
			status := "500"
			// One in 50 of the answers of one of the two replicas.
			if trouble && id == "i-a" && number >= spoilEach*(1+count(w, spoiled)) {
				status = "000"
				w.mutex.Lock()
				spoiled[attempt] = true
				w.mutex.Unlock()
			}
			w.note("replica %s answers %s with a failure: HTTP/1.1 %s", id, attempt, status)
			conn := hijack(writer)
			_, _ = io.WriteString(conn, strings.Join([]string{
				"HTTP/1.1 " + status + " Internal Server Error", "X-Peridotpath-Attempt-Id: " + attempt,
				"X-Peridotpath-Replica-Signature: sig-" + id + "-" + attempt, "Content-Length: 0", "Connection: close", "", "",
			}, "\r\n"))
			conn.Close()
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
		if fails(id) && r.complete && r.status >= 200 && r.status < 300 {
			broken++
			w.note("%s: MIXED: the client got the success %d with the signature %q, where the replica had answered with a failure", id, r.status, r.signature())
		}
		if r.err != nil || r.closes {
			c.close()
			c = w.connect(node)
		}
	}
	w.note("%d of %d requests, status line spoiled in %d answers", requests, requests, count(w, spoiled))
	return broken > 0
}

func count(w *world, set map[string]bool) int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(set)
}
