package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// Answer is what a client got.
type Answer struct {
	ID     string
	SentAt time.Time
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Ask sends one request on a connection of its own, and reads the whole answer.
func (world *World) Ask(instance *Instance, method, target, host, key, body string, deadline time.Duration) Answer {
	answer := Answer{ID: fmt.Sprintf("%016x", 0x1000+lastRequest.Add(1)), SentAt: time.Now()}
	world.Record("send     id=%s to %s: %s %s", answer.ID, instance.Name, method, target)
	defer func() {
		world.mutex.Lock()
		world.answers[answer.ID] = answer
		world.mutex.Unlock()
		world.Record("answer   id=%s status=%d signature=%q error=%v", answer.ID, answer.Status, answer.Header.Get("X-Peridotpath-Replica-Signature"), answer.Err)
	}()
	conn, err := net.DialTimeout("tcp", instance.Frontend, time.Second)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Peridotpath-Attempt-Id: %s\r\nX-Peridotpath-Deadline-Ms: %d\r\nContent-Length: %d\r\n", method, target, host, answer.ID, deadline.Milliseconds(), len(body))
	if key != "" {
		fmt.Fprintf(&head, "Authorization: Token %s\r\n", key)
	}
	head.WriteString("\r\n" + body)
	if _, answer.Err = conn.Write(head.Bytes()); answer.Err != nil {
		return answer
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer response.Body.Close()
	answer.Status, answer.Header = response.StatusCode, response.Header
	answer.Body, answer.Err = io.ReadAll(response.Body)
	return answer
}
