package telemetry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

// TestTimeToFirstTokenQuantiles checks the quantiles against the error bound of the buckets.
func TestTimeToFirstTokenQuantiles(t *testing.T) {
	is := is.New(t)
	for i := 1; i <= 100; i++ {
		RecordTimeToFirstToken(peridotpath.Medium, time.Duration(i)*time.Millisecond)
	}
	times := TimeToFirstTokenQuantiles()
	is.Equal(len(times), 1)
	is.Equal(times[0].Count, uint64(100))
	for want, have := range map[time.Duration]time.Duration{50: times[0].P50, 95: times[0].P95, 99: times[0].P99} {
		want *= time.Millisecond
		is.True(have >= want && have <= want*8/7)
	}
}
