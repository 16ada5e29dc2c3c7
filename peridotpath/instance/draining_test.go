package instance_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/instance"
)

// requestLog records which requests the instance has read and which were answered.
type requestLog struct {
	mu             sync.Mutex
	read, answered map[string]bool
}

func (log *requestLog) record(set *map[string]bool, id string) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if *set == nil {
		*set = map[string]bool{}
	}
	(*set)[id] = true
}

// sendUntilClosed sends one request after the other on a kept connection until that closes.
func (log *requestLog) sendUntilClosed(address, name string, open *atomic.Int64) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	open.Add(1)
	defer open.Add(-1)
	reader := bufio.NewReader(conn)
	for number := 0; ; number++ {
		id := fmt.Sprintf("%s-%d", name, number)
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		if _, err := fmt.Fprintf(conn, "GET /%s HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n", id); err != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		response.Body.Close()
		log.record(&log.answered, id)
		if response.Close {
			return
		}
	}
}

// Callers go on sending on kept connections while an instance stops. Each request that was read has
// an answer or a refusal; the others meet a connection that was closed before they were read.
func TestStopAnswersEveryRequestThatWasRead(t *testing.T) {
	is := is.New(t)
	log := &requestLog{}
	running := startInstanceWithIngress(t, 2*time.Second, func(dependencies instance.IngressDependencies) http.Handler {
		return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			log.record(&log.read, request.URL.Path[1:])
			if dependencies.Closing() {
				writer.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			time.Sleep(3 * time.Millisecond)
			writer.WriteHeader(http.StatusOK)
		})
	})
	var callers sync.WaitGroup
	var open atomic.Int64
	for number := range 40 {
		callers.Go(func() {
			log.sendUntilClosed(running.settings.CallerAddress.String(), fmt.Sprint(number), &open)
		})
	}
	time.Sleep(100 * time.Millisecond)
	is.Equal(open.Load(), int64(40))
	running.stop <- os.Interrupt
	is.NoErr(<-running.ended)
	callers.Wait()
	lost := 0
	for id := range log.read {
		if !log.answered[id] {
			lost++
		}
	}
	is.True(len(log.answered) > 1000)
	is.Equal(lost, 0) // requests that were read and have no answer
}
