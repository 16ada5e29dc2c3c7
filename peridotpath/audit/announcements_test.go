package audit_test

import (
	"fmt"
	"testing"

	"peridotpath.example/peridotpath/audit"
)

// An endpoint announces that it leaves, or asks an instance for a backoff, and that instance goes
// on sending to it: the logs must show it. Other instances, other endpoints, and what comes
// before the announcement or after a new start are no faults.
func TestSendsDespiteAnnouncements(t *testing.T) {
	at := func(seconds float64) string {
		return fmt.Sprintf("time=2026-01-01T00:00:%06.3fZ", seconds)
	}
	leaving := at(10) + " event=endpoint_leaving instance=a endpoint=app-1 incarnation=7 by=request request=r0 status=200"
	backoff := at(10) + " event=endpoint_backoff instance=a endpoint=app-1 incarnation=7 by=request request=r0 status=503 retry_after=3000 backoff=3000"
	served := func(second float64, instance, endpoint, request string) string {
		return fmt.Sprintf("%s event=served instance=%s endpoint=%s request=%s kind=repeatable took=20 waited=1 sent=1 code=0", at(second), instance, endpoint, request)
	}
	failed := func(second float64, outcome, request string) string {
		return fmt.Sprintf("%s event=attempt_failed instance=a endpoint=app-1 request=%s outcome=%s took=20 waited=1", at(second), request, outcome)
	}
	three := func(from float64) []string {
		return []string{served(from, "a", "app-1", "r1"), served(from+0.5, "a", "app-1", "r2"), served(from+1, "a", "app-1", "r3")}
	}
	toLeaving, duringBackoff := []audit.Fault{audit.FaultSentToLeaving}, []audit.Fault{audit.FaultSentDuringBackoff}
	tests := map[string]struct {
		lines []string
		want  []audit.Fault
	}{
		"leaving, served later":           {[]string{leaving, served(12.1, "a", "app-1", "r1")}, toLeaving},
		"leaving, refused later":          {[]string{leaving, failed(12.1, "refused", "r1")}, toLeaving},
		"leaving, lines in another order": {[]string{served(12.1, "a", "app-1", "r1"), leaving}, toLeaving},
		"leaving, in time":                {[]string{leaving, served(11.9, "a", "app-1", "r1")}, nil},
		"leaving, never sent":             {[]string{leaving, failed(12.1, "unsent", "r1"), failed(12.2, "withdrawn", "r1")}, nil},
		"leaving, another instance":       {[]string{leaving, served(12.1, "b", "app-1", "r1")}, nil},
		"leaving, another endpoint":       {[]string{leaving, served(12.1, "a", "app-2", "r1")}, nil},
		"leaving, earlier":                {[]string{leaving, served(9, "a", "app-1", "r1")}, nil},
		"leaving, started again": {
			[]string{leaving, at(11) + " event=endpoint_joined instance=a endpoint=app-1 incarnation=8", served(13, "a", "app-1", "r1")}, nil,
		},
		// The lines' times are cut to milliseconds: the request may have come after the start.
		"leaving, started again in the same millisecond": {
			[]string{leaving, at(13.149) + " event=endpoint_joined instance=a endpoint=app-1 incarnation=8", at(13.155) + " event=served instance=a endpoint=app-1 request=r1 took=6.07471 waited=0.037211 code=0"}, nil,
		},
		"leaving, started again two milliseconds later": {
			[]string{leaving, at(13.151) + " event=endpoint_joined instance=a endpoint=app-1 incarnation=8", at(13.155) + " event=served instance=a endpoint=app-1 request=r1 took=6.07471 waited=0.037211 code=0"}, toLeaving,
		},
		"leaving, listed again": {
			[]string{leaving, at(11) + " event=endpoint_joined instance=a endpoint=app-1 incarnation=7", served(13, "a", "app-1", "r1")}, toLeaving,
		},
		"leaving, the instance started again": {[]string{leaving, at(11) + " event=started instance=a", served(13, "a", "app-1", "r1")}, nil},
		"leaving, another instance started":   {[]string{leaving, at(11) + " event=started instance=b", served(13, "a", "app-1", "r1")}, toLeaving},
		"leaving, a truncated line":           {[]string{"event=endpoint_leaving instance=a endpoint=app-1", served(13, "a", "app-1", "r1")}, nil},
		"backoff, three":                      {append(three(11), backoff), duringBackoff},
		"backoff, two":                        {append(three(11)[:2], backoff), nil},
		"backoff, at once":                    {append(three(10.01), backoff), nil},
		"backoff, after it":                   {append(three(13.1), backoff), nil},
		"backoff, four":                       {append(three(11), backoff, served(12.5, "a", "app-1", "r4")), []audit.Fault{audit.FaultSentDuringBackoff, audit.FaultSentDuringBackoff}},
		"backoff, started again":              {append(three(11), backoff, at(10.9)+" event=endpoint_joined instance=a endpoint=app-1 incarnation=8"), nil},
		"backoff, asked again":                {append(three(11), backoff, at(11.2)+" event=endpoint_backoff instance=a endpoint=app-1 incarnation=7 backoff=3000"), duringBackoff},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, finding := range checkFaults(t, test.lines, test.want) {
				if len(finding.Lines) < 2 {
					t.Errorf("%s: the lines %q do not prove it", finding.Request, finding.Lines)
				}
			}
		})
	}
}
