package audit_test

import (
	"fmt"
	"testing"

	"peridotpath.example/peridotpath/audit"
)

// An instance goes on sending into a data centre that it knows to be drained: the logs must show it.
// Other data centres, other instances, and what comes before it or after its end are no faults.
func TestSendsIntoDrainedDataCentre(t *testing.T) {
	at := func(seconds float64) string { return fmt.Sprintf("time=2026-01-01T00:00:%06.3fZ", seconds) }
	joined := at(1) + " event=endpoint_joined instance=b endpoint=app-1 incarnation=7 data_centre=x"
	drained := at(10) + " event=data_centre_drained instance=a data_centre=x"
	served := func(second float64, instance, endpoint string) string {
		return fmt.Sprintf("%s event=served instance=%s endpoint=%s request=r1 kind=repeatable took=20 waited=1 sent=1 code=0", at(second), instance, endpoint)
	}
	found := []audit.Fault{audit.FaultSentToDrained}
	tests := map[string]struct {
		lines []string
		want  []audit.Fault
	}{
		"later":                   {[]string{joined, drained, served(12.1, "a", "app-1")}, found},
		"in time":                 {[]string{joined, drained, served(11.9, "a", "app-1")}, nil},
		"another data centre":     {[]string{joined, at(10) + " event=data_centre_drained instance=a data_centre=y", served(13, "a", "app-1")}, nil},
		"another instance":        {[]string{joined, drained, served(13, "b", "app-1")}, nil},
		"unknown endpoint":        {[]string{joined, drained, served(13, "a", "app-2")}, nil},
		"after its end":           {[]string{joined, drained, at(12) + " event=data_centre_undrained instance=a data_centre=x", served(13, "a", "app-1")}, nil},
		"another one has ended":   {[]string{joined, drained, at(12) + " event=data_centre_undrained instance=a data_centre=y", served(13, "a", "app-1")}, found},
		"after a new start":       {[]string{joined, drained, at(12) + " event=started instance=a", served(13, "a", "app-1")}, nil},
		"a line without its time": {[]string{joined, "event=data_centre_drained instance=a data_centre=x", served(13, "a", "app-1")}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			checkFaults(t, test.lines, test.want)
		})
	}
}
