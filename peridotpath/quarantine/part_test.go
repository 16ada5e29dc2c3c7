package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/quarantine"
)

// knownTime is a time for which an instance has seen answers begin, long enough to tell new parts.
const knownTime = 20 * time.Second

func prompt(body string, parts ...peridotpath.PartID) quarantine.Request {
	request := quarantine.Request{Content: peridotpath.FingerprintOf("desk", "host", "POST", "/", []byte(body))}
	for _, part := range parts {
		request.Parts = append(request.Parts, quarantine.Part{ID: part, Fingerprint: peridotpath.FingerprintOfPart("desk", part)})
	}
	return request
}

// newWarmFixture returns a fixture that has seen answers with the known parts begin.
func newWarmFixture(known ...peridotpath.PartID) *fixture {
	fixture := newFixture()
	fixture.begin(prompt("", append(known, "other")...))
	fixture.advance(knownTime)
	return fixture
}

// crashUnder lets an endpoint crash that has not begun to answer the requests, 300 ms later, and
// waits for the evidence to be complete.
func (fixture *fixture) crashUnder(endpoint peridotpath.EndpointKey, requests ...quarantine.Request) {
	fixture.advance(300 * time.Millisecond)
	for _, request := range requests {
		fixture.RecordCrash(request, quarantine.Crash{Endpoint: endpoint, At: fixture.now, IsContentSuspect: true, ArePartsSuspect: true})
	}
	fixture.advance(evidenceDelay)
}

func (fixture *fixture) begin(request quarantine.Request) {
	fixture.RecordBegun(request.Parts, fixture.now)
}

func (fixture *fixture) judge(request quarantine.Request) quarantine.State {
	return fixture.Judge(request, fixture.now).State
}

// Requests with a fatal part, no two alike, must be refused after three crashes, and requests
// with the other parts must not.
func TestThreeCrashesQuarantineAPart(t *testing.T) {
	is := is.New(t)
	fixture := newWarmFixture("c0", "d1")
	for i := range 3 {
		request := prompt(fmt.Sprint(i), "c0", "d1", "fa7a1")
		is.True(fixture.judge(request) != quarantine.Quarantined)
		fixture.crashUnder(peridotpath.EndpointKey(i), request)
	}
	verdict := fixture.Judge(prompt("new", "fa7a1", "d2"), fixture.now)
	is.Equal(verdict.State, quarantine.Quarantined)
	is.Equal(verdict.Part, peridotpath.PartID("fa7a1"))
	is.Equal(verdict.Crashes, 3)
	is.Equal(fixture.judge(prompt("new", "c0", "d1")), quarantine.Clear)
}

// An endpoint that had begun to answer a request crashes: its parts must not be suspects.
func TestCrashAfterTheAnswerBeganIsNoEvidenceAgainstParts(t *testing.T) {
	is := is.New(t)
	fixture := newWarmFixture()
	for endpoint := range peridotpath.EndpointKey(10) {
		fixture.advance(300 * time.Millisecond)
		fixture.RecordCrash(prompt(fmt.Sprint(endpoint), "d1"), quarantine.Crash{Endpoint: endpoint, At: fixture.now, IsContentSuspect: true})
	}
	fixture.advance(evidenceDelay)
	is.Equal(fixture.judge(prompt("new", "d1")), quarantine.Clear)
}

// A rare part always comes with a fatal one. Both look alike; a request with the rare one alone
// must be tried, and clears it, and those with the fatal one must stay refused.
func TestPartThatComesWithAFatalOneIsTriedAlone(t *testing.T) {
	is := is.New(t)
	fixture := newWarmFixture("c0")
	for i := range 3 {
		fixture.crashUnder(peridotpath.EndpointKey(i), prompt(fmt.Sprint(i), "c0", "4a4e", "fa7a1"))
	}
	is.Equal(fixture.judge(prompt("both", "c0", "4a4e", "fa7a1")), quarantine.Quarantined)
	rare := prompt("rare", "c0", "4a4e")
	verdict := fixture.Judge(rare, fixture.now)
	is.Equal(verdict.State, quarantine.Suspected)
	is.True(fixture.ReserveTrial(verdict.Suspect, fixture.now))
	fixture.advance(200 * time.Millisecond)
	fixture.begin(rare)
	is.Equal(fixture.judge(rare), quarantine.Clear)
	is.Equal(fixture.judge(prompt("fatal", "c0", "fa7a1")), quarantine.Quarantined)
}

// One identical request is retried until it is quarantined, and with it a part: another request
// with that part is tried once, and if it crashes an endpoint, too, the part is the cause.
func TestPartOfARepeatedRequestIsTriedOnce(t *testing.T) {
	is := is.New(t)
	fixture := newWarmFixture("c0")
	repeated := prompt("repeated", "c0", "fa7a1")
	for i := range 3 {
		fixture.crashUnder(peridotpath.EndpointKey(i), repeated)
	}
	is.Equal(fixture.judge(repeated), quarantine.Quarantined)
	next := prompt("next", "c0", "fa7a1")
	is.Equal(fixture.judge(next), quarantine.Suspected)
	fixture.crashUnder(4, next)
	is.Equal(fixture.judge(prompt("third", "fa7a1")), quarantine.Quarantined)
}

// All endpoints of a rack crash at once under requests with one new part. That is one cause, and
// no evidence against the part.
func TestCrashesAtOnceAreOneCrash(t *testing.T) {
	is := is.New(t)
	fixture := newWarmFixture()
	for endpoint := range peridotpath.EndpointKey(12) {
		fixture.RecordCrash(prompt(fmt.Sprint(endpoint), "d1"), quarantine.Crash{
			Endpoint: endpoint, At: fixture.now.Add(time.Duration(endpoint) * time.Millisecond), IsContentSuspect: true, ArePartsSuspect: true,
		})
	}
	fixture.advance(time.Second)
	is.True(fixture.judge(prompt("new", "d1")) != quarantine.Quarantined)
}

// A customer names another one's part on requests that crash endpoints. The other customer's
// requests must still be served.
func TestCustomerCannotQuarantineAnothersPart(t *testing.T) {
	is := is.New(t)
	fixture := newWarmFixture()
	hostile := prompt("hostile")
	hostile.Parts = []quarantine.Part{{ID: "d1", Fingerprint: peridotpath.FingerprintOfPart("hostile", "d1")}}
	for endpoint := range peridotpath.EndpointKey(5) {
		fixture.crashUnder(endpoint, hostile)
	}
	is.Equal(fixture.judge(hostile), quarantine.Quarantined)
	is.Equal(fixture.judge(prompt("sound", "d1")), quarantine.Clear)
}

// A part has long been answered and begins to crash endpoints, as after a release. It must be
// quarantined, though only after more crashes.
func TestKnownPartThatBecomesFatalIsQuarantined(t *testing.T) {
	is := is.New(t)
	fixture := newWarmFixture("d1")
	for i := range 5 {
		fixture.crashUnder(peridotpath.EndpointKey(i), prompt(fmt.Sprint(i), "d1"))
		is.Equal(fixture.judge(prompt("new", "d1")), quarantine.Clear)
	}
	for i := range 3 {
		fixture.crashUnder(peridotpath.EndpointKey(10+i), prompt(fmt.Sprint(10+i), "d1"))
	}
	is.Equal(fixture.judge(prompt("new", "d1")), quarantine.Quarantined)
}

// An instance hears of crashes under a part that it has often seen answered. The others must
// learn that it is a known one.
func TestInstanceTellsThatAPartIsKnown(t *testing.T) {
	is := is.New(t)
	knowing := newWarmFixture("d1")
	crashing := newWarmFixture()
	crashing.now = knowing.now
	knowing.Facts.OnReceive = func(fact facts.Fact) { knowing.ReceiveFact(fact, knowing.now) }
	for i := range 3 {
		crashing.crashUnder(peridotpath.EndpointKey(i), prompt(fmt.Sprint(i), "d1"))
		knowing.now = crashing.now
		knowing.Facts.Receive(crashing.Facts.TakeDue(crashing.now, false), false)
		crashing.Facts.Receive(knowing.Facts.TakeDue(knowing.now, false), false)
	}
	is.Equal(crashing.judge(prompt("new", "d1")), quarantine.Clear)
}

// A bar ends, and several instances get a request with the part at the same moment. One of them
// must try it, not each.
func TestOneInstanceTriesAPartWhoseQuarantineEnded(t *testing.T) {
	is := is.New(t)
	fixture := newWarmFixture()
	for i := range 3 {
		fixture.crashUnder(peridotpath.EndpointKey(i), prompt(fmt.Sprint(i), "fa7a1"))
	}
	is.Equal(fixture.judge(prompt("new", "fa7a1")), quarantine.Quarantined)
	fixture.advance(61 * time.Second)
	verdict := fixture.Judge(prompt("new", "fa7a1"), fixture.now)
	is.Equal(verdict.State, quarantine.OnTrial)
	var tables []*facts.Table
	var instances []*quarantine.Quarantine
	for i := range 8 {
		table := &facts.Table{}
		table.Receive(fixture.Facts.ByKind(facts.KindQuarantined, fixture.now), false)
		tables = append(tables, table)
		instances = append(instances, &quarantine.Quarantine{Instance: peridotpath.InstanceID(fmt.Sprint("edge-", i)), Facts: table, Log: zerolog.Nop()})
	}
	for _, instance := range instances {
		is.True(instance.ReserveTrial(verdict.Suspect, fixture.now))
	}
	for _, from := range tables {
		for _, fact := range from.TakeDue(fixture.now, false) {
			for _, to := range tables {
				to.Receive([]facts.Fact{fact}, false)
			}
		}
	}
	fixture.advance(evidenceDelay)
	holders := 0
	for _, instance := range instances {
		if instance.HoldsTrial(verdict.Suspect, fixture.now) {
			holders++
		}
	}
	is.Equal(holders, 1)
}

// A request with very many parts must not fill the memory for evidence.
func TestEvidenceOfOneRequestIsBounded(t *testing.T) {
	is := is.New(t)
	fixture := newWarmFixture()
	var many []peridotpath.PartID
	for i := range 5000 {
		many = append(many, peridotpath.PartID(fmt.Sprintf("%x", i)))
	}
	fixture.crashUnder(1, prompt("many", many...))
	is.Equal(len(fixture.Facts.ByKind(facts.KindPartCrashed, fixture.now)), 17) // 16 parts and the endpoint
}

// A body crashes most endpoints, the last ones by attempts that are in flight when it is quarantined,
// and a new part crashes endpoints after that. The earlier crashes of the same endpoints must not
// explain the later ones.
func TestEarlierCrashesExplainNoLaterOnes(t *testing.T) {
	is := is.New(t)
	fixture := newWarmFixture("c0")
	body := prompt("fatal body", "c0")
	for endpoint := range peridotpath.EndpointKey(9) {
		fixture.crashUnder(endpoint, body)
		is.Equal(fixture.judge(body) == quarantine.Quarantined, endpoint >= 2)
	}
	fixture.advance(3 * time.Second) // the endpoints are back
	for i := range 3 {
		request := prompt(fmt.Sprint(i), "c0", "fa7a1")
		is.True(fixture.judge(request) != quarantine.Quarantined)
		fixture.crashUnder(peridotpath.EndpointKey(i), request)
	}
	is.Equal(fixture.judge(prompt("new", "c0", "fa7a1")), quarantine.Quarantined)
	is.Equal(fixture.judge(prompt("new", "c0")), quarantine.Clear)
}

// Instances report the same crash at different times. A part that was there by chance must be explained
// by a quarantined body also where its crash was reported later.
func TestCrashIsExplainedThoughReportsComeApart(t *testing.T) {
	for _, spread := range []time.Duration{0, 500 * time.Millisecond, 1300 * time.Millisecond} {
		t.Run(spread.String(), func(t *testing.T) {
			is := is.New(t)
			fixture := newWarmFixture("c0")
			body := prompt("fatal body", "c0")
			for endpoint := range peridotpath.EndpointKey(3) {
				fixture.crashUnder(endpoint, body)
			}
			is.Equal(fixture.judge(body), quarantine.Quarantined)
			for endpoint := peridotpath.EndpointKey(3); endpoint < 7; endpoint++ {
				fixture.crashUnder(endpoint, body)
				fixture.advance(spread)
				fixture.crashUnder(endpoint, prompt(fmt.Sprint(endpoint), "c0", "new"))
			}
			is.True(fixture.judge(prompt("sound", "c0", "new")) != quarantine.Quarantined)
		})
	}
}
