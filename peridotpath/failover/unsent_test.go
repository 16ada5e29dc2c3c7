package failover_test

import (
	"testing"
	"time"

	"peridotpath.example/peridotpath/failover"
)

// Callers leave while connections to sound endpoints are opened, and all instances avoid these; or an
// endpoint without power is never avoided, since callers leave before its connections fail.
func TestUnsentAttemptBlamesEndpoint(t *testing.T) {
	for _, test := range []struct {
		name    string
		attempt failover.UnsentAttempt
		want    bool
	}{
		{"connection refused", failover.UnsentAttempt{Waited: time.Millisecond}, true},
		{"caller left at once", failover.UnsentAttempt{IsEndedHere: true, Waited: time.Millisecond}, false},
		{"caller left after a while", failover.UnsentAttempt{IsEndedHere: true, Waited: 500 * time.Millisecond}, true},
	} {
		if have := test.attempt.BlamesEndpoint(); have != test.want {
			t.Errorf("%s: blames the endpoint is %t, want %t", test.name, have, test.want)
		}
	}
}
