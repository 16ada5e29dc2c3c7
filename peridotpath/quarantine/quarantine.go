// Package quarantine decides which requests are kept off the endpoints since they end
// what runs them.
//
// The load that it is made for is one request that ends every endpoint that begins to
// run it, and that comes again, with another id, to any instance. Sent on as it comes,
// and once more elsewhere each time, it takes a service's endpoints down together, and
// all that runs on them.
//
// An end of an endpoint says little of any one request that ran there. One is kept off
// once three endpoints have ended under it, none has survived it since, and the ends
// are not those of another request that was found in more of them.
package quarantine

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/facts"
	"peridotpath.example/peridotpath/telemetry"
)

const (
	// endsForBar is how many endpoints must have ended under a request before it is
	// kept off: fewer are found at one that was there by chance.
	endsForBar = 3
	// endsForTrial is the number from which a request is sent by one instance at a time.
	endsForTrial = 2
	// firstBar is how long a request is kept off at first. Then it may be sent once;
	// if an endpoint ends again, it is kept off for twice as long, up to longestBar.
	firstBar, longestBar = time.Minute, time.Hour
	// settleTime is how long after an end all that ran there is known: instances find
	// out within milliseconds, and tell each other as soon.
	settleTime = 100 * time.Millisecond
	// trialTime bounds what an instance may take to find out whether an endpoint
	// survives a request.
	trialTime = 3 * time.Second
)

// Quarantine decides by the facts that instances tell each other. Set the exported
// fields before use.
type Quarantine struct {
	Instance peridotpath.InstanceID
	Facts    *facts.Table
	Log      zerolog.Logger

	mutex sync.Mutex
}

// Standing is what is held against a request.
type Standing int

// The standings.
const (
	// Clear: it is sent as any other.
	Clear Standing = iota
	// Suspected: endpoints have ended under it; it is sent by one instance at a time for
	// as long as it may wait.
	Suspected
	// OnTrial: its bar is over; one instance at a time sends it.
	OnTrial
	// Barred: it is not sent.
	Barred
)

// Ended notes that an endpoint ended while it ran a request.
func (quarantine *Quarantine) Ended(content peridotpath.Fingerprint, endpoint peridotpath.EndpointKey, now time.Time) {
	telemetry.EndSeen()
	quarantine.Facts.Learn(facts.Fact{
		Kind: facts.KindEnded, Subject: facts.Subject(content), Detail: uint64(endpoint), At: now, From: quarantine.Instance,
	})
}

// Survived notes that an endpoint ran a request and goes on. Only what something is
// held against is told of.
func (quarantine *Quarantine) Survived(content peridotpath.Fingerprint, now time.Time) {
	subject := facts.Subject(content)
	if !quarantine.Facts.Knows(subject) || !quarantine.accused(content, now) {
		return
	}
	before, _ := quarantine.Facts.Get(facts.KindSurvived, subject, 0, now)
	quarantine.Facts.Learn(facts.Fact{Kind: facts.KindSurvived, Subject: subject, Value: before.Value + 1, At: now, From: quarantine.Instance})
}

// accused reports whether anything is held against a request.
func (quarantine *Quarantine) accused(content peridotpath.Fingerprint, now time.Time) bool {
	evidence := quarantine.evidence(now)
	_, barred := evidence.bar(content)
	return barred || len(evidence.ends[content]) > 0
}

// Empty reports whether nothing is held against anybody. While it is so, requests need
// no fingerprint.
func (quarantine *Quarantine) Empty() bool {
	return !quarantine.Facts.Has(facts.KindEnded) && !quarantine.Facts.Has(facts.KindBarred)
}

// Look returns what is held against a request, and for how long it is barred.
func (quarantine *Quarantine) Look(content peridotpath.Fingerprint, now time.Time) (Standing, time.Duration) {
	if !quarantine.Facts.Knows(facts.Subject(content)) {
		return Clear, 0
	}
	evidence := quarantine.evidence(now)
	bar, known := evidence.bar(content)
	if known && now.Before(bar.until) {
		return Barred, bar.until.Sub(now)
	}
	if verdict, guilty := evidence.judge(content); guilty {
		quarantine.announce(content, verdict, len(evidence.ends[content]))
		return Barred, verdict.until.Sub(now)
	}
	switch {
	case known:
		return OnTrial, 0
	case len(evidence.ends[content]) >= endsForTrial:
		return Suspected, 0
	default:
		return Clear, 0
	}
}

// announce tells all instances that a request is barred.
func (quarantine *Quarantine) announce(content peridotpath.Fingerprint, verdict bar, ends int) {
	telemetry.Barred()
	quarantine.Log.Warn().Stringer("content", content).Int("ends", ends).Int64("span", verdict.span().Milliseconds()).Msg("request_barred")
	quarantine.Facts.Learn(facts.Fact{
		Kind: facts.KindBarred, Subject: facts.Subject(content), Value: verdict.span().Seconds(), At: verdict.from, From: quarantine.Instance,
	})
}

// Try takes the right to send a suspected request; it returns false while another
// attempt has it, and while it is not known yet what else ran where it was found last.
func (quarantine *Quarantine) Try(content peridotpath.Fingerprint, now time.Time) bool {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	evidence := quarantine.evidence(now)
	trial, known := quarantine.Facts.Get(facts.KindTrial, facts.Subject(content), 0, now)
	if !evidence.settled(content) || known && now.Sub(trial.At) < trialTime && !evidence.newerThan(trial.At, content) {
		return false
	}
	quarantine.Facts.Learn(facts.Fact{Kind: facts.KindTrial, Subject: facts.Subject(content), Value: trial.Value + 1, At: now, From: quarantine.Instance})
	return true
}
