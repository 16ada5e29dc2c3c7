package audit_test

import (
	"fmt"
	"slices"
	"testing"

	"peridotpath.example/peridotpath/audit"
)

// An instance ends an attempt although its endpoint is there, and the caller gets no answer: the
// logs must show it. Deadlines, callers that leave, endpoints that are gone and instances that stop
// are no faults.
func TestGivenUpInVain(t *testing.T) {
	at := func(seconds float64) string { return fmt.Sprintf("time=2026-01-01T00:00:%06.3fZ", seconds) }
	attempt := func(second float64, rest string) string {
		return at(second) + " event=attempt_failed instance=a request=r1 endpoint=i-1 try=1 took=2100 waited=100 silent=1900 " + rest
	}
	const (
		overdue = "outcome=failed given_up=overdue events=3 endpoint_gone=false"
		cut     = "code=3005 result=stream_cut aborted=true denied=budget"
	)
	end := func(second float64, rest string) string {
		return fmt.Sprintf("%s event=failed instance=a request=r1 kind=stream took=2101 sent=1 helpers=0 retry_after=0 %s", at(second), rest)
	}
	event := func(second float64, rest string) string { return at(second) + " event=" + rest }
	givenUp, found := attempt(10, overdue), []audit.Fault{audit.FaultGivenUpInVain}
	cutEnd := end(10.001, cut)
	tests := map[string]struct {
		lines []string
		want  []audit.Fault
	}{
		"stream":                            {[]string{givenUp, cutEnd}, found},
		"lines in another order":            {[]string{cutEnd, givenUp}, found},
		"plain call":                        {[]string{attempt(10, "outcome=failed given_up=link_lost"), end(10.001, "code=3003 aborted=false denied=attempts")}, found},
		"stream, placed nowhere":            {[]string{givenUp, end(10.001, "code=3003 aborted=true denied=unavailable")}, found},
		"stream, content barred":            {[]string{givenUp, end(10.001, "code=3007 aborted=true denied= retry_after=9")}, []audit.Fault{audit.FaultGivenUpInVain, audit.FaultRanThoughRefused}},
		"others were not reached":           {[]string{givenUp, attempt(10.05, "outcome=unsent given_up="), end(10.1, cut)}, found},
		"no other took its memory":          {[]string{givenUp, attempt(10.05, "outcome=no_memory given_up="), end(10.1, cut)}, found},
		"waited for the budget":             {[]string{givenUp, end(10.16, "code=3005 aborted=true denied=budget took=2260")}, found},
		"another one broke":                 {[]string{givenUp, attempt(10.05, "outcome=broken given_up="), end(10.1, cut)}, nil},
		"another one refused":               {[]string{givenUp, attempt(10.05, "outcome=refused given_up="), end(10.1, cut)}, nil},
		"another one failed by itself":      {[]string{attempt(9, "outcome=errored given_up="), givenUp, end(10.1, "code=3003 aborted=false")}, nil},
		"another one answered":              {[]string{givenUp, event(10.5, "served instance=a request=r1 kind=stream code=0")}, nil},
		"it broke by itself":                {[]string{attempt(10, "outcome=broken given_up="), cutEnd}, nil},
		"an older log":                      {[]string{attempt(10, "outcome=failed"), cutEnd}, nil},
		"deadline":                          {[]string{givenUp, end(10.001, "code=4001 aborted=true")}, nil},
		"deadline in the wait":              {[]string{givenUp, end(10.06, "code=3005 aborted=true denied=budget took=2160")}, nil},
		"caller gone":                       {[]string{givenUp, end(10.001, "code=4004 aborted=true")}, nil},
		"stopping":                          {[]string{event(8, "stopping instance=a active=3"), givenUp, cutEnd}, nil},
		"another instance stops":            {[]string{event(8, "stopping instance=b active=3"), givenUp, cutEnd}, found},
		"stops later":                       {[]string{givenUp, cutEnd, event(11, "stopping instance=a active=3")}, found},
		"had stopped and started again":     {[]string{event(1, "stopping instance=a active=3"), event(3, "started instance=a"), givenUp, cutEnd}, found},
		"starts again later":                {[]string{event(8, "stopping instance=a active=3"), givenUp, cutEnd, event(12, "started instance=a")}, nil},
		"stopping, another one started":     {[]string{event(8, "stopping instance=a active=3"), event(9, "started instance=b"), givenUp, cutEnd}, nil},
		"told that the instance stops":      {[]string{givenUp, end(10.001, "code=5003 aborted=true retry_after=9")}, []audit.Fault{audit.FaultRanThoughRefused}},
		"waited for a place":                {[]string{givenUp, end(10.06, "code=3003 aborted=true denied=unavailable took=2160")}, found},
		"turned away by the routing":        {[]string{givenUp, event(10.001, "refused instance=a request=r1 code=3003")}, nil},
		"endpoint gone":                     {[]string{attempt(10, overdue+" endpoint_gone=true"), cutEnd}, nil},
		"endpoint gone by another line":     {[]string{givenUp, cutEnd, event(12, "broken_off instance=b endpoint=i-1 gone=true")}, nil},
		"endpoint left the list":            {[]string{givenUp, cutEnd, event(13, "endpoint_left instance=b endpoint=i-1")}, nil},
		"endpoint started again":            {[]string{event(1, "endpoint_joined instance=a endpoint=i-1 incarnation=7"), givenUp, cutEnd, event(12, "endpoint_joined instance=b endpoint=i-1 incarnation=8")}, nil},
		"the instance lists it anew":        {[]string{event(1, "endpoint_joined instance=a endpoint=i-1 incarnation=7"), givenUp, cutEnd, event(12, "endpoint_joined instance=b endpoint=i-1 incarnation=7")}, found},
		"endpoint returns from a drain":     {[]string{event(1, "data_centre_drained instance=b data_centre=x"), givenUp, cutEnd, event(12, "data_centre_undrained instance=b data_centre=x"), event(12.002, "endpoint_joined instance=b endpoint=i-1 incarnation=7 data_centre=x"), event(12.01, "endpoint_joined instance=c endpoint=i-1 incarnation=7 data_centre=x")}, found},
		"another data centre returns":       {[]string{event(1, "data_centre_drained instance=b data_centre=y"), givenUp, cutEnd, event(12, "data_centre_undrained instance=b data_centre=y"), event(12.002, "endpoint_joined instance=b endpoint=i-1 incarnation=7 data_centre=x")}, nil},
		"joins long after a drain":          {[]string{event(1, "data_centre_drained instance=b data_centre=x"), event(8, "data_centre_undrained instance=b data_centre=x"), givenUp, cutEnd, event(12.002, "endpoint_joined instance=b endpoint=i-1 incarnation=8 data_centre=x")}, nil},
		"joins while it is drained":         {[]string{event(1, "data_centre_drained instance=b data_centre=x"), givenUp, cutEnd, event(12.002, "endpoint_joined instance=b endpoint=i-1 incarnation=8 data_centre=x")}, nil},
		"another instance drained it":       {[]string{event(1, "data_centre_drained instance=c data_centre=x"), givenUp, cutEnd, event(12, "data_centre_undrained instance=c data_centre=x"), event(12.002, "endpoint_joined instance=b endpoint=i-1 incarnation=8 data_centre=x")}, nil},
		"endpoint joins, its start unknown": {[]string{givenUp, cutEnd, event(12, "endpoint_joined instance=b endpoint=i-1 incarnation=8")}, nil},
		"endpoint breaks off, not gone":     {[]string{givenUp, cutEnd, event(12, "broken_off instance=b endpoint=i-1 gone=false")}, found},
		"endpoint ended long before":        {[]string{event(7, "endpoint_left instance=b endpoint=i-1"), givenUp, cutEnd}, found},
		"endpoint ended long after":         {[]string{givenUp, cutEnd, event(16, "endpoint_left instance=b endpoint=i-1")}, found},
		"another endpoint ended":            {[]string{givenUp, cutEnd, event(12, "endpoint_left instance=b endpoint=i-2")}, found},
		"one that may be a helper ended":    {[]string{givenUp, end(10.001, cut+" helpers=2"), event(12, "endpoint_left instance=b endpoint=i-2")}, nil},
		"with helpers":                      {[]string{givenUp, end(10.001, cut+" helpers=2")}, found},
		"the end at another instance":       {[]string{givenUp, event(10.001, "failed instance=b request=r1 kind=stream "+cut)}, nil},
		"no end":                            {[]string{givenUp}, nil},
		"an end cut off":                    {[]string{givenUp, event(10.001, "failed instance=a request=r1 aborted=true")}, nil},
		"an end without its time":           {[]string{givenUp, "event=failed instance=a request=r1 " + cut}, nil},
		"an attempt without its time":       {[]string{"event=attempt_failed instance=a request=r1 endpoint=i-1 " + overdue, cutEnd}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, finding := range checkFaults(t, test.lines, test.want) {
				for _, line := range []string{test.lines[0], test.lines[len(test.lines)-1]} {
					if len(test.lines) == 2 && !slices.Contains(finding.Lines, line) {
						t.Errorf("the lines %q do not prove it", finding.Lines)
					}
				}
			}
		})
	}
}

// A request ends with nothing, also where its answer had begun and where its end was logged.
func TestUnanswered(t *testing.T) {
	const (
		unanswered = "time=2026-01-01T00:00:02Z event=unanswered instance=a request=r1 path=/x begun=false"
		failed     = "time=2026-01-01T00:00:01Z event=failed instance=a request=r1 code=4001 result=deadline"
	)
	found := []audit.Fault{audit.FaultUnanswered}
	tests := map[string]struct {
		lines []string
		want  []audit.Fault
	}{
		"no other line":    {[]string{unanswered}, found},
		"after its end":    {[]string{failed, unanswered}, found},
		"twice":            {[]string{unanswered, unanswered}, found},
		"another request":  {[]string{failed, "event=unanswered instance=a request=r2"}, found},
		"answered":         {[]string{failed}, nil},
		"no request known": {[]string{"event=unanswered instance=a"}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, finding := range checkFaults(t, test.lines, test.want) {
				if !slices.Contains(finding.Lines, test.lines[len(test.lines)-1]) {
					t.Errorf("the lines %q do not prove it", finding.Lines)
				}
			}
		})
	}
}
