package ablation_test

import (
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/measure/ablation"
)

func TestCompare(t *testing.T) {
	is := is.New(t)
	result := func(worth float64, late int) *ablation.Result {
		result := &ablation.Result{Worth: worth}
		result.All.Requests, result.All.Late = 100, late
		return result
	}
	first, second := ablation.Play{Site: "a", Day: "d", Seed: "1"}, ablation.Play{Site: "a", Day: "d", Seed: "2"}
	otherSite, unpaired := ablation.Play{Site: "b", Day: "d", Seed: "1"}, ablation.Play{Site: "a", Day: "d", Seed: "3"}
	with := map[ablation.Play]*ablation.Result{first: result(0.7, 10), second: result(0.5, 10), otherSite: result(1, 0), unpaired: result(1, 0)}
	without := map[ablation.Play]*ablation.Result{first: result(0.6, 20), second: result(0.2, 12), otherSite: result(0, 0)}
	difference := ablation.Compare("a", with, without)
	is.Equal(difference.Pairs, 2) // plays of that site with both results
	is.True(math.Abs(difference.Worth-0.2) < 1e-9)
	is.True(math.Abs(difference.StandardError-0.1) < 1e-9) // gains of 0.1 and 0.3 around their mean of 0.2
	is.True(math.Abs(difference.Late-0.06) < 1e-9)
	is.Equal(ablation.Compare("c", with, without).Pairs, 0)
}

func TestDecodeResult(t *testing.T) {
	is := is.New(t)
	result, err := ablation.DecodeResult([]byte(`{"G":0.619,"unserved":0.0135,"breaks":{"LOST":[4,"x"]},"all":{"n":2906,"late":330,"refused":7}}`))
	is.NoErr(err)
	is.Equal(result.Worth, 0.619)
	is.Equal(result.All.Late, 330)
	is.Equal(len(result.BrokenRules), 1)
}

func TestCopyJournal(t *testing.T) {
	is := is.New(t)
	folder, repository := t.TempDir(), t.TempDir()
	is.NoErr(os.MkdirAll(filepath.Join(folder, "journal", "blobs"), 0o755))
	is.NoErr(os.MkdirAll(filepath.Join(repository, "journal"), 0o755))
	write := func(root, name, text string) {
		is.NoErr(os.WriteFile(filepath.Join(root, "journal", name), []byte(text), 0o644))
	}
	write(folder, "new.json", "new")
	write(folder, "blobs/b", "blob")
	write(folder, "old.json", "other")
	write(repository, "old.json", "as written")
	is.NoErr(ablation.CopyJournal(folder, repository))
	for name, want := range map[string]string{"new.json": "new", "blobs/b": "blob", "old.json": "as written"} {
		have, err := os.ReadFile(filepath.Join(repository, "journal", name))
		is.NoErr(err)
		is.Equal(string(have), want)
	}
}

// Each patch must apply to the sources; otherwise the effect of its mechanism could not be
// measured.
func TestPatchesApply(t *testing.T) {
	patches, err := filepath.Glob("patches/*.patch")
	if err != nil || len(patches) == 0 {
		t.Fatalf("patches: %v, %v", patches, err)
	}
	for _, patch := range patches {
		path, err := filepath.Abs(patch)
		if err != nil {
			t.Fatal(err)
		}
		check := exec.CommandContext(t.Context(), "git", "apply", "--check", path)
		check.Dir = "../.."
		if output, err := check.CombinedOutput(); err != nil {
			t.Errorf("%s does not apply: %v: %s", patch, err, output)
		}
	}
}
