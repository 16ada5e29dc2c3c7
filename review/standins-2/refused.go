package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	saveService = "seva-portal"
	// badBody is the body of requests that the service fails with an answer of its own, after it has
	// begun to work on them: every fifth request.
	badBody  = "a correction that the archive does not accept"
	badEvery = 5
	// spoilEvery is how many such answers a replica gives for one with a wrong byte, so that
	// one in 40 of its answers has one.
	spoilEvery = 8
	// saves is the number of requests, one each saveInterval.
	saves        = 800
	saveInterval = 25 * time.Millisecond
)

// refused: a replica hands out wrong bytes. One wrong byte turns the 500 that it answers to a request
// which it has run into 503.
func refused(world *World) {
	var failures atomic.Int64
	for i := range 3 {
		replica := &Replica{World: world, ID: fmt.Sprintf("i-seva%d", i+1), Service: saveService, Capacity: 6, Work: 60 * time.Millisecond}
		replica.Behave = func(writer http.ResponseWriter, request *http.Request, body []byte) bool {
			if string(body) != badBody {
				return false
			}
			time.Sleep(replica.Work)
			onWire := "500"
			if i == 0 && world.Trouble && failures.Add(1)%spoilEvery == 0 {
				onWire = "503"
			}
			replica.fail(writer, request, http.StatusInternalServerError, onWire)
			return true
		}
		replica.Start()
	}
	world.PutConfig(saveConfig(7))
	instances := world.AddInstances(2)
	world.save(instances)
	answers := world.Answers()
	served, broken := 0, 0
	for _, run := range world.Runs() {
		switch answers[run.ID].Status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			broken++
			world.Record("broken   id=%s has run at %s and is answered %d", run.ID, run.Replica, answers[run.ID].Status)
		case http.StatusOK:
			served++
		}
	}
	if served < saves/2 {
		fail("only %d of %d requests were served", served, saves)
	}
	world.Finish(broken > 0, "REFUSED: of %d requests that may run once at most, %d were served, and %d have run and were answered 503 or another status that promises the contrary", saves, served, broken)
}

// fail answers a request that has run with a signed failure. What stands on the wire as its status may
// differ.
func (replica *Replica) fail(writer http.ResponseWriter, request *http.Request, status int, onWire string) {
	id, text := request.Header.Get("X-Peridotpath-Attempt-Id"), "not accepted\n"
	conn, buffered, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	signature := replica.signature(id, status, []byte(text))
	fmt.Fprintf(buffered, "HTTP/1.1 %s %s\r\nX-Peridotpath-Attempt-Id: %s\r\nX-Peridotpath-Replica-Signature: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", onWire, http.StatusText(status), id, signature, len(text), text)
	_ = buffered.Flush()
	replica.World.Record("fails    id=%s replica=%s has run it and answers %d; on the wire: %s", id, replica.ID, status, onWire)
}

func (replica *Replica) signature(id string, status int, body []byte) string {
	sum := sha256.Sum256([]byte(strings.Join([]string{replica.ID, id, strconv.Itoa(status), string(body)}, " ")))
	return hex.EncodeToString(sum[:8])
}
