package telemetry_test

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/telemetry"
)

// The reader of the log is blocked. Writes must not block; lines that exceed the buffer
// are dropped.
func TestLinesNeverBlock(t *testing.T) {
	is := is.New(t)
	reader, writer := io.Pipe()
	lines := &telemetry.LogWriter{Out: writer}
	for range 10_000 {
		count, err := lines.Write([]byte("event=x\n"))
		is.NoErr(err)
		is.Equal(count, 8)
	}
	drained := make(chan int64, 1)
	go func() {
		count, _ := io.Copy(io.Discard, reader)
		drained <- count
	}()
	is.NoErr(lines.Close())
	writer.Close()
	is.True(<-drained < 10_000*8)
}

func TestLinesAreWritten(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	lines := &telemetry.LogWriter{Out: &out}
	_, _ = lines.Write([]byte("one\n"))
	_, _ = lines.Write([]byte("two\n"))
	is.NoErr(lines.Close())
	is.Equal(out.String(), "one\ntwo\n")
}

func TestSamplerLimitsLinesPerSecond(t *testing.T) {
	is := is.New(t)
	sampler := &telemetry.LogSampler{PerSecond: 3}
	now := time.Unix(1000, 0)
	allowed := 0
	for range 10 {
		if sampler.Allow(now) {
			allowed++
		}
	}
	is.Equal(allowed, 3)
	is.True(sampler.Allow(now.Add(time.Second)))
}

// BenchmarkLine measures the cost of the log line of a served request.
func BenchmarkLine(b *testing.B) {
	lines := &telemetry.LogWriter{Out: io.Discard}
	defer lines.Close()
	log, err := telemetry.NewLog(lines, "info", "edge-1")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		log.Info().Str("request", "117541c3f08bd49d").Str("route", "r-1").Str("service", "llm").Str("customer", "desk").
			Int64("prompt", 5000).Int("tries", 1).Int("sent", 1).Dur("took", time.Second).Dur("routing_age", time.Second).
			Int("code", 0).Str("result", "ok").Str("endpoint", "i-1").Int("helpers", 3).Dur("predicted", time.Second).
			Float64("loss", 0.01).Msg("served")
	}
}
