package audit_test

import (
	"fmt"
	"testing"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/audit"
)

// Requests with a part that is known to crash endpoints are sent on and crash more of them: the
// logs must show it, beyond the few that trials explain.
func TestSendsWhileBarred(t *testing.T) {
	at := func(seconds float64) string { return fmt.Sprintf("time=2026-01-01T00:00:%06.3fZ", seconds) }
	barred := fmt.Sprintf("%s event=request_barred instance=a content=%v part=fa7a1 ends=3 span=30000", at(10), peridotpath.FingerprintOfPart("desk", "fa7a1"))
	attempts := func(count int, second float64, customer, parts string, gone bool) []string {
		var lines []string
		for i := range count {
			lines = append(lines, fmt.Sprintf("%s event=attempt_failed instance=b endpoint=i-%d request=r%d customer=%s parts=%s took=200 waited=10 outcome=broken endpoint_gone=%v",
				at(second+float64(i)/10), i, i, customer, parts, gone))
		}
		return lines
	}
	found := []audit.Fault{audit.FaultSentWhileBarred}
	tests := map[string]struct {
		lines []string
		want  []audit.Fault
	}{
		"again and again":         {attempts(4, 14, "desk", "c0,fa7a1", true), found},
		"a few trials":            {attempts(3, 14, "desk", "c0,fa7a1", true), nil},
		"before all know":         {attempts(9, 11, "desk", "c0,fa7a1", true), nil},
		"after the bar":           {attempts(9, 42, "desk", "c0,fa7a1", true), nil},
		"another part":            {attempts(9, 14, "desk", "c0,d1", true), nil},
		"another customer's part": {attempts(9, 14, "airline", "fa7a1", true), nil},
		"the endpoint is there":   {attempts(9, 14, "desk", "fa7a1", false), nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			checkFaults(t, append([]string{barred}, test.lines...), test.want)
		})
	}
}
