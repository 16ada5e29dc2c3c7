package telemetry

import (
	"io"
	"sync"
)

// Lines writes log lines in the background. A reader of the log that is slow or
// stuck never holds a request: what does not fit the buffer is dropped and
// counted. Set Out before the first Write.
type Lines struct {
	Out io.Writer

	once  sync.Once
	lines chan []byte
	ended chan struct{}
}

// linesHeld is how many lines wait to be written: some seconds of the busiest
// instance, at most a megabyte.
const linesHeld = 2048

func (lines *Lines) start() {
	lines.lines = make(chan []byte, linesHeld)
	lines.ended = make(chan struct{})
	go func() {
		defer close(lines.ended)
		for line := range lines.lines {
			// There is nowhere to tell that the log cannot be written.
			_, _ = lines.Out.Write(line)
		}
	}()
}

// Write takes one line. It never waits and never fails.
func (lines *Lines) Write(line []byte) (int, error) {
	lines.once.Do(lines.start)
	select {
	case lines.lines <- append([]byte(nil), line...):
	default:
		logLinesDropped.Inc()
	}
	return len(line), nil
}

// Close writes what is held and waits until that is done. No Write may follow.
func (lines *Lines) Close() error {
	lines.once.Do(lines.start)
	close(lines.lines)
	<-lines.ended
	return nil
}
