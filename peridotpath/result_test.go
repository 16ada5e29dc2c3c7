package peridotpath_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

// TestCodesAreDocumented checks that docs/CODES.md lists every code with its properties:
// operators and clients rely on it, for example on whether a request may have run.
func TestCodesAreDocumented(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("../docs/CODES.md")
	is.NoErr(err)
	rows := 0
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| code") {
			rows++
		}
	}
	is.Equal(rows, len(peridotpath.Codes()))
	for _, code := range peridotpath.Codes() {
		notRun := "no"
		if code.NotRun() {
			notRun = "yes"
		}
		want := fmt.Sprintf("\n| %d | %s | %d | %s | %s |", int(code), code, code.Status(), notRun, code.Message())
		if !strings.Contains(string(text), want) {
			t.Errorf("docs/CODES.md lacks the row %q", strings.TrimSpace(want))
		}
	}
}

// TestStatusMatchesNotRun checks that a code for "not run" is never a success, and that the
// status of a code for a request that may have run does not invite a retry.
func TestStatusMatchesNotRun(t *testing.T) {
	for _, code := range peridotpath.Codes() {
		if code.NotRun() && code.Status() < 400 {
			t.Errorf("%d %s: not run with status %d", int(code), code, code.Status())
		}
		if !code.NotRun() && (code.Status() == 503 || code.Status() == 429) {
			t.Errorf("%d %s may have run, but its status %d invites clients to retry", int(code), code, code.Status())
		}
	}
}

// TestRequestsThatMayHaveRunAreNotRetried checks the statuses against common client
// libraries, which retry on 408, 409, 429 and 5xx. With status 502 for an unknown outcome a
// library retried a request that had run, and the request ran twice.
func TestRequestsThatMayHaveRunAreNotRetried(t *testing.T) {
	for _, code := range []peridotpath.Code{peridotpath.CodeOutcomeUnknown, peridotpath.CodeAnswerGone, peridotpath.CodeKeyReused} {
		status := code.Status()
		if status == 408 || status == 409 || status == 429 || status >= 500 {
			t.Errorf("%d %s has status %d, which client libraries retry", int(code), code, status)
		}
	}
}
