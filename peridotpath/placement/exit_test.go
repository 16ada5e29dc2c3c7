package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

// A prompt waits in the prefill queue of an instance that exits: it is refused as soon as its answer is
// predicted to end after the exit, and not before.
func TestQueueOutlookBeforeExit(t *testing.T) {
	tests := []struct {
		name             string
		untilExit, ahead time.Duration
		isBooked         bool
		want             QueueVerdict
	}{
		{"no exit", 0, 9 * time.Second, false, QueueWait},
		{"ends before the exit", 5 * time.Second, 3 * time.Second, false, QueueWait},
		{"ends with the exit", 5 * time.Second, 4 * time.Second, false, QueueWait},
		{"last event after the exit", 5 * time.Second, 4500 * time.Millisecond, false, QueueExit},
		{"first event after the exit", 5 * time.Second, 6 * time.Second, false, QueueExit},
		{"booked return after the exit", 5 * time.Second, 6 * time.Second, true, QueueExit},
		{"hopeless anywhere", 5 * time.Second, 20 * time.Second, false, QueueHopeless},
		{"at the exit", 1, 0, false, QueueExit},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			outlook := QueueOutlook{
				Work:           Work{TTFTTarget: 10 * time.Second, TimeLeft: 15 * time.Second, UntilExit: test.untilExit},
				UntilPrefilled: test.ahead, Decode: time.Second, IsBooked: test.isBooked,
			}
			is.Equal(outlook.Decide(), test.want)
		})
	}
}

// A short prompt waits for a slot of an instance that exits.
func TestShortDecisionBeforeExit(t *testing.T) {
	tests := []struct {
		name   string
		change func(*ShortDecision)
		want   ShortVerdict
	}{
		{"no exit", func(decision *ShortDecision) { decision.Work.UntilExit = 0 }, ShortSend},
		{"ends before the exit", func(decision *ShortDecision) { decision.Work.UntilExit = 3 * time.Second }, ShortSend},
		{"ends after the exit", func(decision *ShortDecision) { decision.Work.UntilExit = time.Second }, ShortExit},
		{"late prompts ahead of it", func(decision *ShortDecision) {
			decision.Work.UntilExit, decision.IsLate, decision.LateWait = 3*time.Second, true, 1500*time.Millisecond
		}, ShortExit},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			decision := decisionWith(func(decision *ShortDecision) {
				decision.Outlook.Decode = 2 * time.Second
				test.change(decision)
			})
			is.Equal(decision.Decide(), test.want)
		})
	}
}

// A call is planned shortly before the exit: how long it takes is not known, but for its target.
func TestPlanPlainBeforeExit(t *testing.T) {
	is := is.New(t)
	endpoint := &peridotpath.Endpoint{ID: "one", Slots: 4}
	candidates := []Candidate{{Endpoint: endpoint, Key: endpoint.Key()}}
	for untilExit, want := range map[time.Duration]bool{0: true, 400 * time.Millisecond: true, 200 * time.Millisecond: false} {
		_, found := PlanPlain(Work{TTFTTarget: 300 * time.Millisecond, UntilExit: untilExit}, candidates, LoadSnapshot{})
		is.Equal(found, want)
	}
}
