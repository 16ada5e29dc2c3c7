package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/platform/standin"
)

const (
	// grace is the grace period in the settings of the stand-ins.
	grace = 8 * time.Second
	// lossSlack is the time after its last byte from which a request counts as read.
	lossSlack = 200 * time.Millisecond
	// lateSends is how long after SIGTERM requests are sent, sendInterval the time between two rounds.
	lateSends    = 7900 * time.Millisecond
	sendInterval = 100 * time.Millisecond
	// excusedSends and excusedFrom: a request that was sent by the first, and at which its endpoint is
	// still at work at the second, may end without an answer.
	excusedSends = 3 * time.Second
	excusedFrom  = grace - grace/6
	// earlyEndSlack and lateEndSlack are how long before and after a short timeout is up its request may end.
	earlyEndSlack = 100 * time.Millisecond
	lateEndSlack  = 600 * time.Millisecond
)

// span is a time in which operators have shortened the timeouts; empty if they have not.
type span struct{ from, until time.Time }

// lateRequest is a request that is sent on a connection that was opened before SIGTERM.
type lateRequest struct {
	id       peridotpath.RequestID
	conn     net.Conn
	text     string
	sendAt   time.Duration
	isStream bool

	sentAt, endedAt time.Time
	status          int
	err             error
}

// exchange sends the request at its time and reads the answer.
func (late *lateRequest) exchange(stoppedAt time.Time) {
	time.Sleep(time.Until(stoppedAt.Add(late.sendAt)))
	defer late.conn.Close()
	_, late.err = io.WriteString(late.conn, late.text)
	late.sentAt = time.Now()
	defer func() { late.endedAt = time.Now() }()
	if late.err != nil {
		return
	}
	_ = late.conn.SetReadDeadline(stoppedAt.Add(2 * grace))
	response, err := http.ReadResponse(bufio.NewReader(late.conn), nil)
	if late.err = err; err != nil {
		return
	}
	defer response.Body.Close()
	late.status = response.StatusCode
	_, late.err = io.ReadAll(response.Body)
}

// isLost reports whether the request was read, or passed on, and ended without a whole answer.
func (late *lateRequest) isLost(isExecuted bool, stoppedAt time.Time, short span) bool {
	isExcused := late.sendAt <= excusedSends && late.endedAt.Sub(stoppedAt) >= excusedFrom && isExecuted
	if late.err == nil || isExcused || late.isBrokenOffAtShortTimeout(short) {
		return false
	}
	return isExecuted || late.endedAt.Sub(late.sentAt) > lossSlack
}

// isBrokenOffAtShortTimeout reports whether the request is a stream that had begun when a short timeout was up
// that its route may have had. An instance may keep to timeouts that were taken back until they have propagated.
func (late *lateRequest) isBrokenOffAtShortTimeout(short span) bool {
	took := late.endedAt.Sub(late.sentAt)
	hasShortTimeout := !late.sentAt.Before(short.from) && late.sentAt.Before(short.until.Add(standin.MaxPropagationDelay))
	isUp := took >= standin.ShortTimeout-earlyEndSlack && took <= standin.ShortTimeout+lateEndSlack
	return late.isStream && late.status == http.StatusOK && hasShortTimeout && isUp
}

// executions records which requests were executed, and delays each by the milliseconds that its id names.
type executions struct {
	mutex sync.Mutex
	begun map[peridotpath.RequestID]bool
}

func (executions *executions) handle(execution standin.Execution) {
	executions.mutex.Lock()
	executions.begun[execution.RequestID] = true
	executions.mutex.Unlock()
	var number, milliseconds int
	if _, err := fmt.Sscanf(string(execution.RequestID), "late-%d-%d", &number, &milliseconds); err == nil {
		time.Sleep(time.Duration(milliseconds) * time.Millisecond)
	}
}

func (executions *executions) has(id peridotpath.RequestID) bool {
	executions.mutex.Lock()
	defer executions.mutex.Unlock()
	return executions.begun[id]
}

// Requests that come late in the grace period of a planned stop are passed on and cut at its end, without an
// answer, among them requests that may not be repeated.
func TestRequestsLateInGracePeriodAreAnswered(t *testing.T) {
	kinds := []struct {
		route        peridotpath.RouteName
		milliseconds int
	}{
		{standin.RouteNonIdempotent, 50}, {standin.RouteNonIdempotent, 1500}, {standin.RouteNonIdempotent, 5500},
		{standin.RouteIdempotent, 800}, {standin.RouteStream, 0}, {standin.RouteStream, 900},
	}
	binary := buildPeridotd(t)
	for name, beside := range map[string]func(instance *Instance) span{
		"alone":                               func(*Instance) span { return span{} },
		"beside changes of the configuration": changeRouting,
	} {
		t.Run(name, func(t *testing.T) {
			instance, err := New(binary, t.TempDir(), standin.Limits{MemoryMB: 284, MaxFDs: 4100})
			if err != nil {
				t.Fatal(err)
			}
			executions := &executions{begun: map[peridotpath.RequestID]bool{}}
			instance.OnExecution = executions.handle
			instance.startAndAwait(t)
			for _, endpoint := range instance.endpoints {
				endpoint.SetSlowdown(25)
			}
			var requests []*lateRequest
			for sendAt := time.Duration(0); sendAt < lateSends; sendAt += sendInterval {
				for _, kind := range kinds {
					conn, err := net.Dial("tcp", instance.Callers.String())
					if err != nil {
						t.Fatal(err)
					}
					id := peridotpath.RequestID(fmt.Sprintf("late-%d-%d", len(requests), kind.milliseconds))
					requests = append(requests, &lateRequest{id: id, conn: conn, sendAt: sendAt, text: lateText(id, kind.route), isStream: kind.route == standin.RouteStream})
				}
			}
			time.Sleep(lossSlack)
			stoppedAt := time.Now()
			stopped := make(chan bool, 1)
			go func() { stopped <- instance.Stop() }()
			var running sync.WaitGroup
			for _, request := range requests {
				running.Go(func() { request.exchange(stoppedAt) })
			}
			var short span
			running.Go(func() { short = beside(instance) })
			running.Wait()
			if !<-stopped {
				t.Error("want the instance to end by itself")
			}
			reportLost(t, instance, requests, executions, stoppedAt, short)
		})
	}
}

// changeRouting makes six changes, one a second, each in place of the one before, and returns when timeouts were
// shortened.
func changeRouting(instance *Instance) span {
	var short span
	for _, change := range standin.RoutingChanges()[:6] {
		time.Sleep(time.Second)
		now := time.Now()
		switch {
		case change.ShortensTimeouts:
			short.from = now
		case !short.from.IsZero() && short.until.IsZero():
			short.until = now
		}
		instance.WriteRouting(change)
	}
	return short
}

// A check that excuses more than a timeout passes over requests that a planned stop cuts.
func TestOnlyShortTimeoutsExcuseBrokenStreams(t *testing.T) {
	stoppedAt := time.Now()
	short := span{from: stoppedAt.Add(2 * time.Second), until: stoppedAt.Add(3 * time.Second)}
	broken := func(sendAt, took time.Duration) lateRequest {
		sentAt := stoppedAt.Add(sendAt)
		return lateRequest{isStream: true, status: http.StatusOK, err: io.ErrUnexpectedEOF, sendAt: sendAt, sentAt: sentAt, endedAt: sentAt.Add(took)}
	}
	plain, unanswered := broken(2800*time.Millisecond, 900*time.Millisecond), broken(2800*time.Millisecond, 900*time.Millisecond)
	plain.isStream = false
	unanswered.status = 0
	tests := []struct {
		name    string
		request lateRequest
		short   span
		isLost  bool
	}{
		{"as traced", broken(2800*time.Millisecond, 901*time.Millisecond), short, false},
		{"timeouts are taken back, and not known to be", broken(4900*time.Millisecond, 901*time.Millisecond), short, false},
		{"no short timeouts", broken(2800*time.Millisecond, 901*time.Millisecond), span{}, true},
		{"before them", broken(1900*time.Millisecond, 901*time.Millisecond), short, true},
		{"long after them", broken(5*time.Second, 901*time.Millisecond), short, true},
		{"too early", broken(2800*time.Millisecond, 700*time.Millisecond), short, true},
		{"too late", broken(2800*time.Millisecond, 1600*time.Millisecond), short, true},
		{"no stream", plain, short, true},
		{"no answer", unanswered, short, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(test.request.isLost(true, stoppedAt, test.short), test.isLost)
		})
	}
}

// lateText returns the text of a request with a deadline of 6 s.
func lateText(id peridotpath.RequestID, route peridotpath.RouteName) string {
	text := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: soak.example\r\nAuthorization: Token desk-1\r\nX-Peridotpath-Attempt-Id: %s\r\nX-Peridotpath-Deadline-Ms: 6000\r\n", route, id)
	if route == standin.RouteStream {
		text += fmt.Sprintf("X-Peridotpath-Token-Usage: 200,%d\r\n", standin.StreamEvents)
	}
	body := strings.Repeat("x", 20)
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// logLines returns the lines of the log that name a request.
func logLines(t *testing.T, instance *Instance, id peridotpath.RequestID) string {
	t.Helper()
	log, err := os.ReadFile(instance.LogFile())
	if err != nil {
		t.Fatal(err)
	}
	var found strings.Builder
	for line := range strings.Lines(string(log)) {
		if strings.Contains(line, " request="+string(id)+" ") {
			found.WriteString(line)
		}
	}
	return found.String()
}

// reportLost reports how requests ended, and an error for each that was lost.
func reportLost(t *testing.T, instance *Instance, requests []*lateRequest, executions *executions, stoppedAt time.Time, short span) {
	t.Helper()
	ends := map[string]int{}
	for _, request := range requests {
		isExecuted := executions.has(request.id)
		switch {
		case request.err != nil && isExecuted:
			ends["executed, no whole answer"]++
		case request.err != nil:
			ends["not taken"]++
		default:
			ends[fmt.Sprint("status ", request.status)]++
		}
		if request.isLost(isExecuted, stoppedAt, short) {
			t.Errorf("%s, sent %v after SIGTERM: ended after %v with status %d, executed: %v: %v\n%s", request.id, request.sendAt,
				request.endedAt.Sub(request.sentAt), request.status, isExecuted, request.err, logLines(t, instance, request.id))
		}
	}
	t.Logf("%d requests: %v", len(requests), ends)
}
