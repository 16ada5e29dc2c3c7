package failover_test

import (
	"testing"
	"time"

	"peridotpath.example/peridotpath/failover"
)

// A second attempt adds load, and must be due only when the first one is late or has lost its
// endpoint, and the route allows another one.
func TestSecondEndpointGetsALateCall(t *testing.T) {
	late := failover.LateCall{
		SinceArrival: 300 * time.Millisecond, SinceSent: 300 * time.Millisecond, Target: 300 * time.Millisecond,
		Attempts: 1, MaxAttempts: 5, Sent: 1, MaxSent: 2,
	}
	tests := []struct {
		name   string
		change func(*failover.LateCall)
		want   bool
	}{
		{"late", func(*failover.LateCall) {}, true},
		{"not late yet", func(call *failover.LateCall) { call.SinceArrival-- }, false},
		{"sent after a failure, half a target ago", func(call *failover.LateCall) { call.SinceSent = 150 * time.Millisecond }, true},
		{"sent after a failure, later", func(call *failover.LateCall) { call.SinceSent = 149 * time.Millisecond }, false},
		{"endpoint gone before the target", func(call *failover.LateCall) { call.SinceArrival, call.IsGone = 0, true }, true},
		{"answer begun", func(call *failover.LateCall) { call.AnswerBegun, call.IsGone = true, true }, false},
		{"no further attempt", func(call *failover.LateCall) { call.MaxSent, call.IsGone = 1, true }, false},
		{"no further attempt in total", func(call *failover.LateCall) { call.Attempts, call.IsGone = 5, true }, false},
	}
	for _, test := range tests {
		call := late
		test.change(&call)
		if have := call.MayJoin(); have != test.want {
			t.Errorf("%s: may join is %t, want %t", test.name, have, test.want)
		}
	}
}
