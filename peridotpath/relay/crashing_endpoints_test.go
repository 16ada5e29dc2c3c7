package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/relay"
)

const (
	// crashAfter is how long an endpoint works on a request that it does not survive.
	crashAfter = 100 * time.Millisecond
	// downFor is how long an endpoint that has ended is away.
	downFor = 3 * time.Second
	// mortalEvents and mortalPause are the events of an answer, and the time between two.
	mortalEvents = 10
	mortalPause  = 80 * time.Millisecond
)

// mortalEndpoints answer as streams or whole, and end on some bodies or by themselves.
type mortalEndpoints struct {
	// crashes says of a body that no endpoint survives it.
	crashes func(body string) bool
	// limit, when set, is what an endpoint names in its answers; nil for nothing.
	limit func(id peridotpath.EndpointID) *peridotpath.Rate

	mutex sync.Mutex
	lives map[peridotpath.EndpointID]*life
	runs  []mortalRun
	ended int
}

// mortalRun is a request that an endpoint began to work on.
type mortalRun struct {
	body     string
	endpoint peridotpath.EndpointID
	at       time.Time
	// ended is when the endpoint ended under it; zero if it did not.
	ended time.Time
}

// life is an endpoint from one start to its end.
type life struct {
	over chan struct{}
	down bool
}

func newMortalEndpoints(count int, crashes func(body string) bool) (*mortalEndpoints, []peridotpath.Endpoint) {
	mortal := &mortalEndpoints{crashes: crashes, lives: map[peridotpath.EndpointID]*life{}}
	var endpoints []peridotpath.Endpoint
	for i := range count {
		endpoint := testEndpoint(i)
		endpoints = append(endpoints, endpoint)
		mortal.lives[endpoint.ID] = &life{over: make(chan struct{})}
	}
	return mortal, endpoints
}

// end ends an endpoint, which is back after a while.
func (mortal *mortalEndpoints) end(id peridotpath.EndpointID) {
	mortal.mutex.Lock()
	defer mortal.mutex.Unlock()
	life := mortal.lives[id]
	if life.down {
		return
	}
	life.down = true
	mortal.ended++
	close(life.over)
	time.AfterFunc(downFor, func() {
		mortal.mutex.Lock()
		defer mortal.mutex.Unlock()
		life.down, life.over = false, make(chan struct{})
	})
}

func (mortal *mortalEndpoints) send(ctx context.Context, call *relay.Call) (*relay.Answer, error) {
	mortal.mutex.Lock()
	defer mortal.mutex.Unlock()
	life, body := mortal.lives[call.Endpoint.ID], string(call.Request.Body)
	if life.down {
		return nil, outbound.ErrNotSent.Wrap(syscall.ECONNREFUSED)
	}
	mortal.runs = append(mortal.runs, mortalRun{body: body, endpoint: call.Endpoint.ID, at: time.Now()})
	if mortal.crashes(body) {
		run := len(mortal.runs) - 1
		time.AfterFunc(crashAfter, func() {
			mortal.mutex.Lock()
			mortal.runs[run].ended = time.Now()
			mortal.mutex.Unlock()
			mortal.end(call.Endpoint.ID)
		})
	}
	stream := &mortalStream{ctx: ctx, over: life.over, next: time.Now().Add(mortalPause)}
	if mortal.crashes(body) {
		stream.next = time.Now().Add(time.Hour)
	}
	answer := &relay.Answer{Status: http.StatusOK, Header: http.Header{}, Genuine: true, Body: stream, NoLimit: true}
	if mortal.limit != nil {
		answer.Limit = mortal.limit(call.Endpoint.ID)
		answer.NoLimit = answer.Limit == nil
	}
	return answer, nil
}

// check answers as an endpoint's address does: nobody listens where it has ended.
func (mortal *mortalEndpoints) check(_ context.Context, endpoint *peridotpath.Endpoint) error {
	mortal.mutex.Lock()
	defer mortal.mutex.Unlock()
	if mortal.lives[endpoint.ID].down {
		return relay.ErrGone.Wrap(syscall.ECONNREFUSED)
	}
	return nil
}

// mortalStream is an answer that breaks off where its endpoint ends.
type mortalStream struct {
	ctx  context.Context
	over <-chan struct{}
	next time.Time
	seen int
	rest strings.Reader
}

func (stream *mortalStream) Read(into []byte) (int, error) {
	if stream.rest.Len() > 0 {
		return stream.rest.Read(into)
	}
	if stream.seen == mortalEvents {
		return 0, io.EOF
	}
	timer := time.NewTimer(time.Until(stream.next))
	defer timer.Stop()
	select {
	case <-stream.ctx.Done():
		return 0, stream.ctx.Err()
	case <-stream.over:
		return 0, io.ErrUnexpectedEOF
	case <-timer.C:
	}
	stream.next = stream.next.Add(mortalPause)
	stream.seen++
	stream.rest = *strings.NewReader(fmt.Sprintf("id: %d\ndata: x\n\n", stream.seen))
	return stream.rest.Read(into)
}

func (*mortalStream) Close() error { return nil }
