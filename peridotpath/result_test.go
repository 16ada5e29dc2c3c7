package peridotpath_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

// TestCodesAreDocumented holds docs/CODES.md to the codes: operators and callers
// look numbers up there, and act on whether the request may have run.
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

// TestRefusalsSayWhenToComeBack holds the codes to what they promise: a code
// that says "not run" is never a success, and one that may have run never
// invites a second run by its status alone.
func TestRefusalsSayWhenToComeBack(t *testing.T) {
	for _, code := range peridotpath.Codes() {
		if code.NotRun() && code.Status() < 400 {
			t.Errorf("%d %s: not run with status %d", int(code), code, code.Status())
		}
		if !code.NotRun() && (code.Status() == 503 || code.Status() == 429) {
			t.Errorf("%d %s may have run, but its status %d invites clients to repeat", int(code), code, code.Status())
		}
	}
}

// TestClientLibrariesDoNotRepeatWhatMayHaveRun: an airline's program uses an
// ordinary client library, which repeats a request by itself on 408, 409, 429
// and everything from 500 on. With 502 for an unknown outcome it sent the
// acknowledgement again, and the couple got two.
func TestClientLibrariesDoNotRepeatWhatMayHaveRun(t *testing.T) {
	for _, code := range []peridotpath.Code{peridotpath.CodeOutcomeUnknown, peridotpath.CodeAnswerGone, peridotpath.CodeKeyReused} {
		status := code.Status()
		if status == 408 || status == 409 || status == 429 || status >= 500 {
			t.Errorf("%d %s has status %d, which client libraries repeat", int(code), code, status)
		}
	}
}
