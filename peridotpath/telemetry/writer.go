package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
)

// LogWriter writes log lines asynchronously. A slow or blocked reader of the log never blocks a
// request: lines that do not fit the buffer are dropped and counted. Set Out before the
// first Write.
type LogWriter struct {
	Out io.Writer

	startOnce sync.Once
	queue     chan []byte
	done      chan struct{}
	// queuedBytes are the bytes of the lines in queue.
	queuedBytes atomic.Int64
}

// maxQueuedLines and maxQueuedBytes are the buffer's capacity: a few seconds of logs of the busiest
// instance.
const (
	maxQueuedLines = 2048
	maxQueuedBytes = 1 << 20
)

func (logWriter *LogWriter) start() {
	logWriter.queue = make(chan []byte, maxQueuedLines)
	logWriter.done = make(chan struct{})
	go func() {
		defer close(logWriter.done)
		for line := range logWriter.queue {
			// A failure to write the log cannot be logged.
			_, _ = logWriter.Out.Write(line)
			logWriter.queuedBytes.Add(-int64(len(line)))
		}
	}()
}

// Write queues one line. It never blocks or fails.
func (logWriter *LogWriter) Write(line []byte) (int, error) {
	logWriter.startOnce.Do(logWriter.start)
	if logWriter.queuedBytes.Add(int64(len(line))) > maxQueuedBytes {
		logWriter.drop(line)
		return len(line), nil
	}
	select {
	case logWriter.queue <- append([]byte(nil), line...):
	default:
		logWriter.drop(line)
	}
	return len(line), nil
}

func (logWriter *LogWriter) drop(line []byte) {
	logWriter.queuedBytes.Add(-int64(len(line)))
	logLinesDropped.Inc()
}

// Close waits until all queued lines are written. No Write may follow.
func (logWriter *LogWriter) Close() error {
	logWriter.startOnce.Do(logWriter.start)
	close(logWriter.queue)
	<-logWriter.done
	return nil
}
