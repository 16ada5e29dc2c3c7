package main

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// seeds are the seeds of the short run in CI, and every seed that ever failed,
// with its cause:
//
// 102: half of the requests "not served" after the last fault; the check counted
// those whose keys had been taken away or never existed.
//
// 2009: an instance did not start; an outgoing connection had taken its port
// between its choice and its use. Nothing of the seed has to do with it.
//
// 4101: the same, of two instances whose rows of ports overlapped.
//
// 8002: tries at a fatal request were held for a second, behind another one on trial,
// and then refused; before requests were kept off at all, it ended endpoints for seconds.
//
// 9102: tries at a suspected request waited for another one's trial before each of their
// attempts, and were refused after two aims and more.
var seeds = []uint64{1, 102, 8002, 9102}

// TestSoak is a short run: real processes, disturbed from outside. What the
// seeds disturb is the same each time.
func TestSoak(t *testing.T) {
	is := is.New(t)
	binary := buildDaemon(t)
	for _, seed := range seeds {
		broken, err := soak(t.Context(), options{binary: binary, folder: t.TempDir(), seed: seed, span: 6 * time.Second}, t.Output())
		is.NoErr(err)
		for _, text := range broken {
			t.Errorf("seed %d: %s", seed, text)
		}
	}
}

// buildDaemon returns the path of the program under test.
func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "peridotd")
	build := exec.Command("go", "build", "-o", binary, "peridotpath.example/peridotd")
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return binary
}
