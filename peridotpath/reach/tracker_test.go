package reach_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/reach"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first  = netip.MustParseAddrPort("10.0.0.1:80")
	second = netip.MustParseAddrPort("10.0.0.2:80")
)

// at returns the time some milliseconds after the start.
func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

func TestCutIsFoundByProbesAlone(t *testing.T) {
	tests := []struct {
		name string
		// answerOpenedAt is when the connection was opened on which an endpoint answers during
		// the round, in milliseconds; zero for none.
		answerOpenedAt int
		probed         int
		cutOff         bool
	}{
		{"no probe is answered", 0, 3, true},
		{"a probe is answered", 1010, 3, false},
		{"only a connection from before is alive", 500, 3, true},
		{"there is nothing to probe", 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			changes := 0
			tracker := &reach.Tracker{Log: zerolog.Nop(), OnChange: func() { changes++ }}
			is.True(tracker.BeginRoundAfterDial(at(990), at(1000)))
			if test.answerOpenedAt > 0 {
				tracker.RecordFirstAnswer(second, at(test.answerOpenedAt), at(1020))
			}
			tracker.EndRound(at(1000), test.probed, at(1300))
			is.Equal(tracker.IsCutOff(), test.cutOff)
			is.Equal(changes == 1, test.cutOff)
			is.Equal(tracker.PrefersPeers(first, at(1300)), test.cutOff)
		})
	}
}

// One endpoint that is down or silent makes every instance probe others for each of its requests.
func TestRoundsAreBounded(t *testing.T) {
	is := is.New(t)
	tracker := &reach.Tracker{Log: zerolog.Nop()}
	is.True(tracker.BeginRoundAfterDial(at(0), at(100)))
	is.True(!tracker.BeginRoundAfterDial(at(0), at(150)))
	tracker.RecordFirstAnswer(second, at(120), at(130))
	tracker.EndRound(at(100), 3, at(200))
	is.True(!tracker.BeginRoundAfterDial(at(190), at(700)))
	is.True(!tracker.BeginRoundAfterDial(at(110), at(2000)))
	is.True(tracker.BeginRoundAfterDial(at(1900), at(2000)))
}

// An endpoint that reads a long prompt in silence makes others be probed though these answer.
func TestSilenceBesideAnswersIsNoSuspicion(t *testing.T) {
	is := is.New(t)
	tracker := &reach.Tracker{Log: zerolog.Nop()}
	tracker.RecordAnswer(at(200))
	is.True(!tracker.BeginRoundAfterSilence(at(100), at(400)))
	is.True(tracker.BeginRoundAfterSilence(at(210), at(510)))
}

// A connection from before the cut lives on; its answers must not end the cut.
func TestCutEndsWithAnswerOnNewConnection(t *testing.T) {
	is := is.New(t)
	tracker := &reach.Tracker{Log: zerolog.Nop()}
	tracker.BeginRoundAfterDial(at(0), at(100))
	tracker.EndRound(at(100), 3, at(400))
	tracker.RecordFirstAnswer(first, at(50), at(900))
	is.Equal(tracker.CutOffFor(at(900)), 500*time.Millisecond)
	tracker.RecordFirstAnswer(first, at(950), at(960))
	is.True(!tracker.IsCutOff())
	is.Equal(tracker.CutOffFor(at(960)), time.Duration(0))
	is.True(tracker.BeginRoundAfterDial(at(970), at(2000)))
}

// Requests that run on connections which live on are broken off when only new ones are refused.
func TestLinksAreStalledOnlyIfNothingIsReceived(t *testing.T) {
	for name, test := range map[string]struct {
		receivedAt int
		stalled    bool
	}{"nothing since the round began": {900, true}, "an old connection lives on": {1100, false}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker, notified, stopped := &reach.Tracker{Log: zerolog.Nop()}, 0, 0
			tracker.NotifyStalled(func() { notified++ })
			stop := tracker.NotifyStalled(func() { stopped++ })
			stop()
			tracker.BeginRoundAfterDial(at(950), at(1000))
			tracker.RecordReceived(at(test.receivedAt))
			tracker.EndRound(at(1000), 3, at(1300))
			is.True(tracker.IsCutOff())
			is.Equal(notified == 1, test.stalled)
			is.Equal(stopped, 0)
		})
	}
}

// Half a link is cut: each request to an endpoint behind it tries the own link first, and is late.
func TestHoldOfAddressDoublesUntilItAnswers(t *testing.T) {
	is := is.New(t)
	tracker := &reach.Tracker{Log: zerolog.Nop()}
	tracker.HoldForPeers(first, at(0))
	is.True(tracker.PrefersPeers(first, at(999)))
	is.True(!tracker.PrefersPeers(second, at(0)))
	is.True(!tracker.PrefersPeers(first, at(1000)))
	tracker.HoldForPeers(first, at(1100))
	is.True(tracker.PrefersPeers(first, at(3099)))
	is.True(!tracker.PrefersPeers(first, at(3100)))
	tracker.RecordFirstAnswer(first, at(3200), at(3210))
	tracker.HoldForPeers(first, at(3300))
	is.True(!tracker.PrefersPeers(first, at(4300)))
}
