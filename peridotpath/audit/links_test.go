package audit_test

import (
	"fmt"
	"testing"

	"peridotpath.example/peridotpath/audit"
)

// An instance goes on sending over links that it knows to be cut: the logs must show it. What a
// peer carried, other instances, and what comes before it or after its end are no faults.
func TestSendsOverLostLinks(t *testing.T) {
	at := func(seconds float64) string { return fmt.Sprintf("time=2026-01-01T00:00:%06.3fZ", seconds) }
	lost := at(10) + " event=links_lost instance=a probed=3"
	served := func(second float64, instance, carrier string) string {
		return fmt.Sprintf("%s event=served instance=%s endpoint=app-1 request=r1 kind=repeatable took=20 waited=1 sent=1 code=0 carrier=%s", at(second), instance, carrier)
	}
	failed := func(second float64, outcome string) string {
		return fmt.Sprintf("%s event=attempt_failed instance=a endpoint=app-1 request=r1 took=20 waited=1 carrier= outcome=%s", at(second), outcome)
	}
	found := []audit.Fault{audit.FaultSentOverLostLink}
	tests := map[string]struct {
		lines []string
		want  []audit.Fault
	}{
		"later":                       {[]string{lost, served(11.1, "a", "")}, found},
		"in time":                     {[]string{lost, served(10.9, "a", "")}, nil},
		"a peer carried it":           {[]string{lost, served(12, "a", "10.0.1.1:90")}, nil},
		"another instance":            {[]string{lost, served(12, "b", "")}, nil},
		"broke":                       {[]string{lost, failed(12, "broken")}, found},
		"not sent":                    {[]string{lost, failed(12, "unsent")}, nil},
		"after its end":               {[]string{lost, at(11.5) + " event=links_restored instance=a lasted=1500", served(12, "a", "")}, nil},
		"after a new start":           {[]string{lost, at(11.5) + " event=started instance=a", served(12, "a", "")}, nil},
		"another one has come back":   {[]string{lost, at(11.5) + " event=links_restored instance=b lasted=1500", served(12, "a", "")}, found},
		"a line without its time":     {[]string{"event=links_lost instance=a", served(12, "a", "")}, nil},
		"a request without its times": {[]string{lost, "event=served instance=a request=r1"}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			checkFaults(t, test.lines, test.want)
		})
	}
}
