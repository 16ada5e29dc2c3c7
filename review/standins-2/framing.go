package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// image is the body of every answer.
	image = "a palm leaf, first side\na palm leaf, second side\n"
	// spoilImageEvery is how many answers a replica gives for one with a wrong byte.
	spoilImageEvery = 40
)

// framing: a replica hands out wrong bytes. One wrong byte in the status line of an answer with chunks
// makes it HTTP/1.0.
func framing(world *World) {
	var answered atomic.Int64
	for i := range 3 {
		replica := &Replica{World: world, ID: fmt.Sprintf("i-seva%d", i+1), Service: saveService, Capacity: 6, Work: 60 * time.Millisecond}
		replica.Behave = func(writer http.ResponseWriter, request *http.Request, _ []byte) bool {
			time.Sleep(replica.Work)
			version := "1.1"
			if i == 0 && world.Trouble && answered.Add(1)%spoilImageEvery == 0 {
				version = "1.0"
			}
			replica.answerInChunks(writer, request, version)
			return true
		}
		replica.Start()
	}
	world.PutConfig(saveConfig(7))
	instances := world.AddInstances(2)
	world.save(instances)
	whole, wrong := 0, 0
	for _, answer := range world.Answers() {
		switch {
		case answer.Status != http.StatusOK || answer.Err != nil:
		case string(answer.Body) == image:
			whole++
		default:
			wrong++
			world.Record("broken   id=%s got 200 with the signature %q and the body %q; the replica's body is %q", answer.ID, answer.Header.Get("X-Peridotpath-Replica-Signature"), answer.Body, image)
		}
	}
	if whole < saves/2 {
		fail("only %d of %d requests were served", whole, saves)
	}
	world.Finish(wrong > 0, "MIXED: of %d requests, %d got a success with the replica's whole body, and %d a success with another body", saves, whole, wrong)
}

// answerInChunks answers with a success in two chunks.
func (replica *Replica) answerInChunks(writer http.ResponseWriter, request *http.Request, version string) {
	id := request.Header.Get("X-Peridotpath-Attempt-Id")
	conn, buffered, err := writer.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(buffered, "HTTP/%s 200 OK\r\nX-Peridotpath-Attempt-Id: %s\r\nX-Peridotpath-Replica-Signature: %s\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n",
		version, id, replica.signature(id, http.StatusOK, []byte(image)))
	for line := range strings.SplitAfterSeq(image, "\n") {
		if line != "" {
			fmt.Fprintf(buffered, "%x\r\n%s\r\n", len(line), line)
		}
	}
	fmt.Fprint(buffered, "0\r\n\r\n")
	_ = buffered.Flush()
	replica.World.Record("answers  id=%s replica=%s status line on the wire: HTTP/%s 200 OK", id, replica.ID, version)
}
