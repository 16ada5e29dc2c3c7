package failover_test

import (
	"testing"

	"peridotpath.example/peridotpath/failover"
)

// An attempt whose endpoint is merely silent is cancelled before another one is sure, or one that
// keeps the memory of other requests from them keeps it.
func TestAttemptInDoubtGoesOnWithoutOthersMemory(t *testing.T) {
	for _, doubt := range []failover.Doubt{failover.DoubtNone, failover.DoubtOverdue, failover.DoubtUnresponsive, failover.DoubtLinkLost, failover.DoubtLate} {
		for _, attempt := range []failover.Attempt{
			{Doubt: doubt, WasSent: true}, {Doubt: doubt, WasSent: true, HoldsMemory: true},
			{Doubt: doubt}, {Doubt: doubt, HoldsMemory: true},
		} {
			if have, want := attempt.MustEnd(), doubt == failover.DoubtLinkLost && !attempt.WasSent; have != want {
				t.Errorf("%+v: must end is %t, want %t", attempt, have, want)
			}
			if have, want := attempt.MustReleaseMemory(), doubt == failover.DoubtUnresponsive && attempt.HoldsMemory; have != want {
				t.Errorf("%+v: must release memory is %t, want %t", attempt, have, want)
			}
		}
	}
}

// All endpoints are silent at once: each request gets one more attempt where it allows that, and
// not one after the other without an end.
func TestAnotherAttemptJoinsAttemptsInDoubt(t *testing.T) {
	silent := failover.Request{
		Running: []failover.Attempt{{Doubt: failover.DoubtOverdue, WasSent: true}}, IsRepeatable: true, MayHaveRun: true,
		Attempts: 1, MaxAttempts: 5, Sent: 1, MaxSent: 2,
	}
	tests := []struct {
		name   string
		change func(*failover.Request)
		want   bool
	}{
		{"in doubt", func(*failover.Request) {}, true},
		{"not in doubt", func(request *failover.Request) { request.Running[0].Doubt = failover.DoubtNone }, false},
		{"one of two in doubt", func(request *failover.Request) {
			request.Running, request.MaxSent = append(request.Running, failover.Attempt{WasSent: true}), 3
		}, false},
		{"both in doubt, a third allowed", func(request *failover.Request) {
			request.Running, request.Sent, request.MaxSent = append(request.Running, request.Running[0]), 2, 3
		}, true},
		{"may run once", func(request *failover.Request) { request.IsRepeatable = false }, false},
		{"sent as often as allowed", func(request *failover.Request) { request.MaxSent = 1 }, false},
		{"attempted as often as allowed", func(request *failover.Request) { request.MaxAttempts = 1 }, false},
		{"nothing runs", func(request *failover.Request) { request.Running = nil }, false},
	}
	for _, test := range tests {
		request := silent
		request.Running = append([]failover.Attempt{}, silent.Running...)
		test.change(&request)
		if have := request.MayJoin(); have != test.want {
			t.Errorf("%s: may join is %t, want %t", test.name, have, test.want)
		}
	}
}

// An attempt has failed. A request that may have run and must not run twice gets no other one, and none
// gets more than its route allows: a failure of all endpoints would multiply their load.
func TestFurtherAttemptIsDenied(t *testing.T) {
	for _, test := range []struct {
		name    string
		request failover.Request
		want    failover.Denial
	}{
		{"never sent", failover.Request{Attempts: 1, MaxAttempts: 5, MaxSent: 2}, failover.DeniedNothing},
		{"may have run", failover.Request{MayHaveRun: true, Attempts: 1, MaxAttempts: 5, Sent: 1, MaxSent: 2}, failover.DeniedNotRepeatable},
		{"may run again", failover.Request{MayHaveRun: true, IsRepeatable: true, Attempts: 1, MaxAttempts: 5, Sent: 1, MaxSent: 2}, failover.DeniedNothing},
		{"sent as often as allowed", failover.Request{IsRepeatable: true, Attempts: 2, MaxAttempts: 5, Sent: 2, MaxSent: 2}, failover.DeniedAttempts},
		{"no number of attempts", failover.Request{IsRepeatable: true, Attempts: 1, MaxAttempts: 5, Sent: 1}, failover.DeniedAttempts},
		{"no number of attempts, not sent", failover.Request{IsRepeatable: true, Attempts: 1, MaxAttempts: 5}, failover.DeniedNothing},
		{"attempted as often as allowed", failover.Request{Attempts: 5, MaxAttempts: 5, MaxSent: 2}, failover.DeniedAttempts},
	} {
		if have := test.request.Denied(); have != test.want {
			t.Errorf("%s: denied %q, want %q", test.name, have, test.want)
		}
	}
}
