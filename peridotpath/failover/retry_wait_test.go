package failover_test

import (
	"testing"
	"time"

	"peridotpath.example/peridotpath/failover"
)

// A request waits for a retry that comes after its deadline, or after its client has left.
func TestRetryIsNotAwaitedInVain(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name string
		wait failover.RetryWait
		want time.Duration
	}{
		{"long deadline", failover.RetryWait{Longest: second, TimeLeft: time.Minute}, second},
		{"deadline first", failover.RetryWait{Longest: second, TimeLeft: second / 4}, second / 4},
		{"begun stream goes on after its deadline", failover.RetryWait{Longest: second, TimeLeft: -second, HasBegun: true}, second},
		{"client leaves first", failover.RetryWait{Longest: second, TimeLeft: time.Minute, ClientIdleTimeout: 2 * second, SinceHeard: 3 * second / 2}, second / 2},
		{"client has left", failover.RetryWait{Longest: second, TimeLeft: time.Minute, ClientIdleTimeout: second, SinceHeard: 2 * second}, -second},
	} {
		if have := test.wait.Limit(); have != test.want {
			t.Errorf("%s: waits for %v, want %v", test.name, have, test.want)
		}
	}
}

// An endpoint that answers nothing looks idle, since its calls are cancelled, and attracts more.
func TestSilentCallsInARowEjectEndpoint(t *testing.T) {
	var calls failover.SilentCalls
	const key = 7
	steps := []struct {
		answers bool
		want    bool
	}{{false, false}, {true, false}, {false, false}, {false, true}, {false, true}, {true, false}, {false, false}}
	for i, step := range steps {
		have := false
		if step.answers {
			calls.RecordAnswer(key)
		} else {
			have = calls.RecordSilence(key)
		}
		if have != step.want {
			t.Errorf("step %d: ejects is %t, want %t", i, have, step.want)
		}
	}
}
