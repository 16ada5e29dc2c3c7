package audit_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/audit"
	"peridotpath.example/peridotpath/logline"
)

// checkFaults checks the faults that the log lines show, and returns the findings.
func checkFaults(t *testing.T, lines []string, want []audit.Fault) []audit.Finding {
	t.Helper()
	var logs audit.Audit
	for _, text := range lines {
		line, ok := logline.Parse(text)
		if !ok {
			t.Fatalf("not a log line: %s", text)
		}
		logs.AddLine(line)
	}
	findings := logs.Findings()
	var have []audit.Fault
	for _, finding := range findings {
		have = append(have, finding.Fault)
	}
	if fmt.Sprint(have) != fmt.Sprint(want) {
		t.Errorf("have %v, want %v", have, want)
	}
	return findings
}

func TestFaults(t *testing.T) {
	const (
		failedAttempt  = "event=attempt_failed request=r outcome=failed try=1"
		brokenAttempt  = "event=attempt_failed request=r outcome=broken try=1"
		refusedAttempt = "event=attempt_failed request=r outcome=refused try=1"
		erredAttempt   = "event=attempt_failed request=r outcome=errored try=1"
		served         = "event=served request=r kind=repeatable aim=300 took=80 sent=1 code=0"
		servedOnce     = "event=served request=r kind=once aim=300 took=80 sent=1 code=0"
		refusedInTime  = "event=failed request=r kind=stream aim=300 took=310 sent=0 code=2004 retry_after=300"
	)
	tests := map[string]struct {
		lines []string
		want  []audit.Fault
	}{
		"served":                            {[]string{served}, nil},
		"served by a second endpoint":       {[]string{failedAttempt, served}, nil},
		"retried after a safe refusal":      {[]string{refusedAttempt, servedOnce}, nil},
		"the endpoint's own failure":        {[]string{erredAttempt, "event=failed request=r kind=once aim=300 took=80 sent=1 code=3003"}, nil},
		"refused in time":                   {[]string{refusedInTime}, nil},
		"refused by the routing":            {[]string{"event=refused request=r code=1006"}, nil},
		"a line without a request":          {[]string{"event=routing_in_force version=3"}, nil},
		"a truncated line":                  {[]string{"event=failed request=r aim=300 took=9"}, nil},
		"may have run though refused":       {[]string{failedAttempt, "event=failed request=r kind=stream aim=300 took=90 sent=1 code=3002 retry_after=300"}, []audit.Fault{audit.FaultRanThoughRefused}},
		"aborted stream, refused":           {[]string{brokenAttempt, "event=failed request=r kind=stream aim=300 took=90 sent=1 code=3002 retry_after=300"}, []audit.Fault{audit.FaultRanThoughRefused}},
		"aborted, not idempotent, retried":  {[]string{brokenAttempt, servedOnce}, []audit.Fault{audit.FaultRanTwice}},
		"failed, not idempotent, retried":   {[]string{failedAttempt, servedOnce}, []audit.Fault{audit.FaultRanTwice}},
		"retried without success":           {[]string{failedAttempt, erredAttempt, "event=failed request=r kind=once aim=300 took=80 sent=2 code=3003"}, []audit.Fault{audit.FaultRanTwice}},
		"ended at two instances":            {[]string{served, "instance=b " + served}, []audit.Fault{audit.FaultEndedTwice}},
		"held too long, not sent":           {[]string{"event=failed request=r kind=stream aim=300 took=700 sent=0 code=2006 retry_after=300"}, []audit.Fault{audit.FaultRefusedTooLate}},
		"refused without Retry-After":       {[]string{"event=failed request=r kind=stream aim=300 took=7 sent=0 code=3001 retry_after=0"}, []audit.Fault{audit.FaultNoRetryAfter}},
		"held, without Retry-After":         {[]string{"event=failed request=r kind=stream aim=300 took=700 sent=0 code=3001"}, []audit.Fault{audit.FaultRefusedTooLate, audit.FaultNoRetryAfter}},
		"late, but the caller disconnected": {[]string{"event=failed request=r kind=stream aim=300 took=700 sent=0 code=4004"}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			checkFaults(t, test.lines, test.want)
		})
	}
}

// A finding contains the request id and the request's log lines sorted by time, since the
// lines come from several files.
func TestFindingHasSortedLines(t *testing.T) {
	is := is.New(t)
	var logs audit.Audit
	for _, text := range []string{
		"time=2026-01-01T00:00:02Z event=served request=save-1 kind=once code=0",
		"time=2026-01-01T00:00:01Z event=attempt_failed request=save-1 outcome=failed",
		"time=2026-01-01T00:00:01Z event=served request=other kind=once code=0",
	} {
		line, _ := logline.Parse(text)
		logs.AddLine(line)
	}
	is.Equal(logs.RequestCount(), 2)
	findings := logs.Findings()
	is.Equal(len(findings), 1)
	is.Equal(findings[0].Request, peridotpath.RequestID("save-1"))
	is.Equal(findings[0].Fault.String(), "ran_twice")
	is.Equal(findings[0].Lines, []string{
		"time=2026-01-01T00:00:01Z event=attempt_failed request=save-1 outcome=failed",
		"time=2026-01-01T00:00:02Z event=served request=save-1 kind=once code=0",
	})
}

// The time of a process pause does not count as held, since the instance refuses the
// request as soon as it resumes. A pause of another instance or before the request's
// arrival has no effect.
func TestPauseDoesNotCountAsHeld(t *testing.T) {
	const refused = "time=2026-01-01T00:00:10Z event=failed instance=a request=r kind=stream aim=300 took=4000 sent=0 code=2004 retry_after=300"
	tests := map[string]struct {
		lines []string
		want  []audit.Fault
	}{
		"paused":                   {[]string{"time=2026-01-01T00:00:09.9Z event=paused instance=a span=3400", refused}, nil},
		"pause logged later":       {[]string{refused, "time=2026-01-01T00:00:09.9Z event=paused instance=a span=3400"}, nil},
		"two pauses":               {[]string{"time=2026-01-01T00:00:08Z event=paused instance=a span=1900", refused, "time=2026-01-01T00:00:10Z event=paused instance=a span=1800"}, nil},
		"held after a pause":       {[]string{"time=2026-01-01T00:00:09.2Z event=paused instance=a span=3400", refused}, []audit.Fault{audit.FaultRefusedTooLate}},
		"paused before arrival":    {[]string{"time=2026-01-01T00:00:06Z event=paused instance=a span=3400", refused}, []audit.Fault{audit.FaultRefusedTooLate}},
		"another instance's pause": {[]string{"time=2026-01-01T00:00:09.9Z event=paused instance=b span=3400", refused}, []audit.Fault{audit.FaultRefusedTooLate}},
		"truncated pause line":     {[]string{"event=paused instance=a span=3400", refused}, []audit.Fault{audit.FaultRefusedTooLate}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			checkFaults(t, test.lines, test.want)
		})
	}
}
