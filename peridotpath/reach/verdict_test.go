package reach_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/reach"
)

// Endpoints that fall silent together are taken for the instance's own links: its requests are
// ended, its callers refused and its peers misled.
func TestOnlyEvidenceAboutTheLinksShowsThatTheyAreLost(t *testing.T) {
	silent := reach.Evidence{Probed: 3, IsSilent: true}
	with := func(change func(*reach.Evidence)) reach.Evidence {
		changed := silent
		change(&changed)
		return changed
	}
	tests := []struct {
		name     string
		evidence reach.Evidence
		want     string
	}{
		{"a rack, a release or all endpoints stop for a second", silent, "silent"},
		{"nothing answered, and a peer got an answer in the same time", with(func(known *reach.Evidence) { known.IsReachedByPeer = true }), "peer_reaches"},
		{"a peer got answers, and open connections live on", with(func(known *reach.Evidence) { known.IsReachedByPeer, known.IsReceiving = true, true }), "peer_reaches"},
		{"connections are refused or reset, which no silent process does", with(func(known *reach.Evidence) { known.IsSilent = false }), "refused"},
		{"only new connections are refused", with(func(known *reach.Evidence) { known.IsSilent, known.IsReceiving = false, true }), "refused"},
		{"the sample is silent, a stream of another endpoint goes on", with(func(known *reach.Evidence) { known.IsReceiving = true }), "work"},
		{"one of the sample answers", with(func(known *reach.Evidence) { known.IsAnswered = true }), "work"},
		{"the silence ends in the moment in which a peer is asked", with(func(known *reach.Evidence) { known.IsAnswered, known.IsReachedByPeer = true, true }), "work"},
		{"the longest silence of endpoints that work", with(func(known *reach.Evidence) { known.SilentFor = 2400 * time.Millisecond }), "silent"},
		{"nothing is reached for longer", with(func(known *reach.Evidence) { known.SilentFor = 2500 * time.Millisecond }), "silence"},
		{"nothing was probed", reach.Evidence{}, "work"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { is.New(t).Equal(reach.Judge(test.evidence), test.want) })
	}
}

// A data centre is cut off whole: the nearest peers are all cut off with this instance.
func TestPeersOfOtherDataCentresAreAskedAsWell(t *testing.T) {
	is := is.New(t)
	is.Equal(reach.SpreadCarriers([]int{1, 2, 3, 4, 5, 6, 7, 8}, 6), []int{1, 8, 2, 7, 3, 6})
	is.Equal(reach.SpreadCarriers([]int{1, 2, 3}, 6), []int{1, 3, 2})
	is.Equal(len(reach.SpreadCarriers(nil, 6)), 0)
}

// silentRound ends a round in which the probes met nothing at all.
func silentRound(tracker *reach.Tracker) {
	tracker.BeginRoundAfterSilence(at(700), at(1000))
	tracker.RecordSilentProbe(at(1300))
	tracker.EndRound(at(1000), 3, at(1300))
}

// All endpoints are silent for 2.5 s: nobody is told anything, and no request is ended.
func TestSilenceIsToldToNobody(t *testing.T) {
	is := is.New(t)
	told := 0
	tracker := &reach.Tracker{Log: zerolog.Nop(), OnChange: func() { told++ }}
	tracker.NotifyStalled(func() { told++ })
	silentRound(tracker)
	for now := 1550; now < 3500; now += 250 {
		is.True(tracker.IsSilent())
		is.True(!tracker.IsCutOff())
		is.True(!tracker.PrefersPeers(first, at(now)))
		is.True(!tracker.BeginRoundAfterDial(at(now-100), at(now)))
		tracker.Review(at(now-250), at(now))
	}
	tracker.RecordFirstAnswer(second, at(3400), at(3450))
	is.True(!tracker.IsSilent())
	is.Equal(told, 0)
	is.True(tracker.BeginRoundAfterDial(at(3500), at(3600)))
}

// A caller waits for endpoints that nobody reaches, with no end.
func TestLongSilenceEndsInRefusals(t *testing.T) {
	is := is.New(t)
	tracker := &reach.Tracker{Log: zerolog.Nop()}
	silentRound(tracker)
	tracker.Review(at(3250), at(3500))
	is.True(tracker.IsCutOff())
	is.Equal(tracker.CutOffFor(at(3500)), 2500*time.Millisecond)
	is.True(!tracker.IsReachedByPeers(at(3500)))
	tracker.RecordFirstAnswer(first, at(3490), at(3510))
	is.True(!tracker.IsCutOff())
}

// A connection that the kernel of a silent endpoint opened proves nothing, but events on one that
// is open show that the links carry them.
func TestEventsEndSilence(t *testing.T) {
	is := is.New(t)
	tracker := &reach.Tracker{Log: zerolog.Nop()}
	silentRound(tracker)
	tracker.RecordReceived(at(1400))
	tracker.Review(at(1300), at(1550))
	is.True(!tracker.IsSilent())
	is.True(!tracker.IsCutOff())
}

// Half a link opens connections and passes nothing. The first probes through peers met others that
// are cut off; a later one shows it.
func TestPeerThatReachesEndpointsEndsDoubt(t *testing.T) {
	is := is.New(t)
	tracker := &reach.Tracker{Log: zerolog.Nop()}
	silentRound(tracker)
	tracker.RecordReachedByPeer(at(1500))
	tracker.Review(at(1300), at(1550))
	is.True(tracker.IsCutOff())
	is.True(tracker.IsReachedByPeers(at(1550)))
	is.True(!tracker.IsReachedByPeers(at(3100)))
	tracker.RecordCarriedAnswer(at(3100))
	is.True(tracker.IsReachedByPeers(at(3100)))
}

// A stream that a peer went on carrying after a cut makes the next silence look like a loss.
func TestCarriedStreamIsNoEvidenceOutsideACut(t *testing.T) {
	is := is.New(t)
	tracker := &reach.Tracker{Log: zerolog.Nop()}
	tracker.BeginRoundAfterSilence(at(700), at(1000))
	tracker.RecordCarriedAnswer(at(1200))
	tracker.RecordSilentProbe(at(1300))
	tracker.EndRound(at(1000), 3, at(1300))
	is.True(!tracker.IsCutOff())
}

// New connections are refused while open ones live on. Refusals show that within milliseconds, in which
// no event has come: the running requests would be ended. Where open connections hang, they are ended
// as soon as that shows.
func TestLinksAreNotStalledRightAfterAnEvent(t *testing.T) {
	tests := []struct {
		name                string
		before, after       int
		stalled, stallsSoon bool
	}{
		{"an event just before the round, and others after it", 950, 1200, false, false},
		{"an event just before the round, and none after it", 950, 950, false, true},
		{"no event for long", 650, 650, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			notified := 0
			tracker := &reach.Tracker{Log: zerolog.Nop()}
			tracker.NotifyStalled(func() { notified++ })
			tracker.BeginRoundAfterDial(at(995), at(1000))
			tracker.RecordReceived(at(test.before))
			tracker.EndRound(at(1000), 3, at(1005))
			is.True(tracker.IsCutOff())
			is.Equal(notified == 1, test.stalled)
			tracker.RecordReceived(at(test.after))
			for now := 1250; now < 3000; now += 250 {
				tracker.Review(at(now-250), at(now))
			}
			is.Equal(notified == 1, test.stallsSoon)
		})
	}
}
