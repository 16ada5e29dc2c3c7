package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/quarantine"
)

var (
	fatal    = peridotpath.Fingerprint{1}
	innocent = peridotpath.Fingerprint{2}
)

// evidenceDelay is the time after a crash at which the evidence of the crash is complete.
const evidenceDelay = 100 * time.Millisecond

// fixture is a quarantine with a manual clock.
type fixture struct {
	*quarantine.Quarantine
	now time.Time
}

func newFixture() *fixture {
	table := &facts.Table{}
	fixture := &fixture{Quarantine: &quarantine.Quarantine{Instance: "edge-1", Facts: table, Log: zerolog.Nop()}, now: time.Now()}
	return fixture
}

// Check returns the state of a request without a prompt.
func (fixture *fixture) Check(content peridotpath.Fingerprint, now time.Time) (quarantine.State, time.Duration) {
	verdict := fixture.Judge(quarantine.Request{Content: content}, now)
	return verdict.State, verdict.Remaining
}

// crash lets an endpoint crash under requests, 300 ms later, and waits for the evidence to
// be complete.
func (fixture *fixture) crash(endpoint peridotpath.EndpointKey, contents ...peridotpath.Fingerprint) {
	fixture.now = fixture.now.Add(300 * time.Millisecond)
	for _, content := range contents {
		fixture.RecordCrash(quarantine.Request{Content: content}, quarantine.Crash{Endpoint: endpoint, At: fixture.now, IsContentSuspect: true})
	}
	fixture.advance(evidenceDelay)
}

func (fixture *fixture) state(content peridotpath.Fingerprint) quarantine.State {
	state, _ := fixture.Check(content, fixture.now)
	return state
}

func (fixture *fixture) advance(duration time.Duration) { fixture.now = fixture.now.Add(duration) }

func TestCrashesOfThreeEndpointsQuarantine(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	is.True(fixture.HasNoEvidence())
	fixture.crash(1, fatal)
	is.Equal(fixture.state(fatal), quarantine.Clear)
	fixture.crash(2, fatal)
	is.Equal(fixture.state(fatal), quarantine.Suspected)
	fixture.crash(2, fatal) // the same endpoint counts once
	is.Equal(fixture.state(fatal), quarantine.Suspected)
	fixture.crash(3, fatal)
	state, remaining := fixture.Check(fatal, fixture.now)
	is.Equal(state, quarantine.Quarantined)
	is.Equal(remaining, time.Minute-evidenceDelay)
}

// Requests that run on the same endpoint as a fatal one fail when it crashes the endpoint,
// and their retries may run beside it again. They must not be quarantined for crashes that
// the fatal request causes.
func TestRequestsBesideAFatalOneAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	fixture.crash(1, fatal, innocent)
	fixture.crash(2, fatal, innocent)
	fixture.crash(3, fatal, innocent)
	is.Equal(fixture.state(fatal), quarantine.Suspected) // undecided: both ran on the same endpoints
	is.Equal(fixture.state(innocent), quarantine.Suspected)
	fixture.crash(4, fatal)
	is.Equal(fixture.state(fatal), quarantine.Quarantined)
	fixture.crash(5, innocent) // an unrelated crash
	is.Equal(fixture.state(innocent), quarantine.Suspected)
}

// Endpoints crash for other reasons while many callers send the same request. Each survival
// clears the evidence against it.
func TestSurvivalClearsEvidence(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	for endpoint := range peridotpath.EndpointKey(20) {
		fixture.crash(endpoint, innocent)
		fixture.advance(10 * time.Millisecond)
		fixture.RecordSurvival(innocent, fixture.now)
		is.Equal(fixture.state(innocent), quarantine.Clear)
	}
}

// A request is wrongly quarantined while an attempt at it is in flight. When the endpoint
// survives that attempt, the quarantine must end.
func TestSurvivalEndsQuarantine(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	for endpoint := range peridotpath.EndpointKey(3) {
		fixture.crash(endpoint, innocent)
	}
	is.Equal(fixture.state(innocent), quarantine.Quarantined)
	fixture.advance(time.Millisecond)
	fixture.RecordSurvival(innocent, fixture.now)
	is.Equal(fixture.state(innocent), quarantine.Clear)
}

// A quarantine expires. If the request still crashes endpoints, the next quarantine lasts
// twice as long.
func TestQuarantineExpiresAndDoubles(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	for endpoint := range peridotpath.EndpointKey(3) {
		fixture.crash(endpoint, fatal)
	}
	fixture.crash(4, fatal) // the attempt was in flight when the quarantine began
	state, remaining := fixture.Check(fatal, fixture.now)
	is.Equal(state, quarantine.Quarantined)
	is.True(remaining < time.Minute)

	fixture.advance(time.Minute)
	is.Equal(fixture.state(fatal), quarantine.OnTrial)
	is.True(fixture.ReserveTrial(fatal, fixture.now))
	is.True(!fixture.ReserveTrial(fatal, fixture.now)) // one at a time
	fixture.crash(5, fatal)
	_, remaining = fixture.Check(fatal, fixture.now)
	is.Equal(remaining, 2*time.Minute-evidenceDelay)

	fixture.advance(2 * time.Minute)
	is.True(fixture.ReserveTrial(fatal, fixture.now))
	fixture.advance(time.Second)
	fixture.RecordSurvival(fatal, fixture.now) // for example a new version of the model
	is.Equal(fixture.state(fatal), quarantine.Clear)
}

// An expired quarantine no longer affects a request that does not recur.
func TestExpiredQuarantineIsForgotten(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	for endpoint := range peridotpath.EndpointKey(3) {
		fixture.crash(endpoint, fatal)
	}
	fixture.advance(20 * time.Minute)
	is.Equal(fixture.state(fatal), quarantine.Clear)
}

func TestTrialTimesOut(t *testing.T) {
	is := is.New(t)
	fixture := newFixture()
	fixture.crash(1, fatal)
	fixture.crash(2, fatal)
	is.True(fixture.ReserveTrial(fatal, fixture.now))
	is.True(!fixture.ReserveTrial(fatal, fixture.now))
	fixture.advance(4 * time.Second) // the instance of the first trial did not report a result
	is.True(fixture.ReserveTrial(fatal, fixture.now))
	fixture.advance(100 * time.Millisecond)
	fixture.RecordSurvival(fatal, fixture.now)
	is.Equal(fixture.state(fatal), quarantine.Clear)
}
