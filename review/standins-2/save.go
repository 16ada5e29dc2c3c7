package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
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

// save sends the requests of a case, every fifth with a body that the service does not accept.
func (world *World) save(instances []*Instance) {
	var clients sync.WaitGroup
	for i := range saves {
		body := "a correction"
		if i%badEvery == 0 {
			body = badBody
		}
		clients.Go(func() {
			world.Ask(instances[i%len(instances)], "POST", "/save/1", casesHost, casesKey, body, 3*time.Second)
		})
		time.Sleep(saveInterval)
	}
	clients.Wait()
}
