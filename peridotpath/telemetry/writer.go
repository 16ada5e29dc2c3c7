package telemetry

import (
	"io"
	"sync"
)

// LogWriter writes log lines asynchronously. A slow or blocked reader of the log never blocks a
// request: lines that do not fit the buffer are dropped and counted. Set Out before the
// first Write.
type LogWriter struct {
	Out io.Writer

	startOnce sync.Once
	queue     chan []byte
	done      chan struct{}
}

// maxQueuedLines is the buffer's capacity in lines: a few seconds of logs of the busiest
// instance, at most 1 MB.
const maxQueuedLines = 2048

func (logWriter *LogWriter) start() {
	logWriter.queue = make(chan []byte, maxQueuedLines)
	logWriter.done = make(chan struct{})
	go func() {
		defer close(logWriter.done)
		for line := range logWriter.queue {
			// A failure to write the log cannot be logged.
			_, _ = logWriter.Out.Write(line)
		}
	}()
}

// Write queues one line. It never blocks or fails.
func (logWriter *LogWriter) Write(line []byte) (int, error) {
	logWriter.startOnce.Do(logWriter.start)
	select {
	case logWriter.queue <- append([]byte(nil), line...):
	default:
		logLinesDropped.Inc()
	}
	return len(line), nil
}

// Close waits until all queued lines are written. No Write may follow.
func (logWriter *LogWriter) Close() error {
	logWriter.startOnce.Do(logWriter.start)
	close(logWriter.queue)
	<-logWriter.done
	return nil
}
