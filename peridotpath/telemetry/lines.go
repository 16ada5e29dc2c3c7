package telemetry

import (
	"io"
	"sync"
)

// Lines writes log lines asynchronously. A slow or blocked reader of the log never blocks a
// request: lines that do not fit the buffer are dropped and counted. Set Out before the
// first Write.
type Lines struct {
	Out io.Writer

	startOnce sync.Once
	queue     chan []byte
	done      chan struct{}
}

// maxQueuedLines is the buffer's capacity in lines: a few seconds of logs of the busiest
// instance, at most 1 MB.
const maxQueuedLines = 2048

func (lines *Lines) start() {
	lines.queue = make(chan []byte, maxQueuedLines)
	lines.done = make(chan struct{})
	go func() {
		defer close(lines.done)
		for line := range lines.queue {
			// A failure to write the log cannot be logged.
			_, _ = lines.Out.Write(line)
		}
	}()
}

// Write queues one line. It never blocks or fails.
func (lines *Lines) Write(line []byte) (int, error) {
	lines.startOnce.Do(lines.start)
	select {
	case lines.queue <- append([]byte(nil), line...):
	default:
		logLinesDropped.Inc()
	}
	return len(line), nil
}

// Close waits until all queued lines are written. No Write may follow.
func (lines *Lines) Close() error {
	lines.startOnce.Do(lines.start)
	close(lines.queue)
	<-lines.done
	return nil
}
