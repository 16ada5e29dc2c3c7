package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// What the audit of the logs finds is not counted as a broken promise of the run.
func TestFindingsOfLogsAreViolations(t *testing.T) {
	is := is.New(t)
	folder, fleet := t.TempDir(), &fleet{checker: newChecker(nil)}
	const lines = `time=2026-01-01T00:00:02.100Z event=attempt_failed instance=edge-0 request=r1 endpoint=i-1 outcome=failed given_up=overdue silent=1900 took=2100 waited=1
time=2026-01-01T00:00:02.100Z event=failed instance=edge-0 request=r1 kind=stream code=3005 result=stream_cut aborted=true denied=budget took=2100.1 sent=1
time=2026-01-01T00:00:03.000Z event=unanswered instance=edge-0 request=r2 path=/stream begun=true
time=2026-01-01T00:00:04.000Z event=served instance=edge-0 request=r3 kind=stream code=0
`
	is.NoErr(os.WriteFile(filepath.Join(folder, "edge-0.log"), []byte(lines), 0o600))
	is.NoErr(fleet.auditLogs(folder))
	violations, _, _ := fleet.checker.summary()
	is.Equal(violations, []string{"r1: given_up_in_vain by the logs", "r2: unanswered by the logs"})
}
