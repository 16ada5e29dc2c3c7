// Package ablation measures the effect of single mechanisms of the scheduler in an
// ablation study. For each mechanism it applies a patch that disables the mechanism to a
// copy of the sources. It runs an external benchmark program, which simulates a day's
// traffic of a deployment from a seed, on the patched and on an unpatched copy, and
// compares the two results for each combination of deployment, day and seed.
// Production builds do not include it.
package ablation

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"math"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("ablation")

// Play identifies a run of the benchmark by the deployment (Site), the simulated day and
// the random seed.
type Play struct {
	Site, Day, Seed string
}

// Result is the part of the benchmark's report on a play that is compared.
type Result struct {
	// Worth is the benchmark's score for the day, and Unserved the share of requests without
	// an answer.
	Worth    float64 `json:"G"`
	Unserved float64 `json:"unserved"`
	// BrokenRules are the violated rules, by name.
	BrokenRules map[string]json.RawMessage `json:"breaks"`
	All         struct {
		Requests int `json:"n"`
		Late     int `json:"late"`
		Refused  int `json:"refused"`
	} `json:"all"`
}

// Bench runs the benchmark program.
type Bench struct {
	// Program is the path of the benchmark program.
	Program string
	// ConcurrentRuns is the number of concurrent runs.
	ConcurrentRuns int
	// Reason is a text that the program records with each run.
	Reason string
}

// Build builds the sources in the folder. It is called once before Play, whose runs are
// concurrent.
func (bench *Bench) Build(ctx context.Context, folder string) error {
	command := exec.CommandContext(ctx, bench.Program, "build")
	command.Dir = folder
	if output, err := command.CombinedOutput(); err != nil {
		return Error.New("build %s: %v: %s", folder, err, output)
	}
	return nil
}

// Play runs all plays on the sources in the folder. Plays that failed or were cancelled
// have no result.
func (bench *Bench) Play(ctx context.Context, folder string, plays []Play) (map[Play]*Result, error) {
	reports, err := os.MkdirTemp("", "ablation")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer os.RemoveAll(reports)
	results := make([]*Result, len(plays))
	failures := make([]error, len(plays))
	slots := make(chan struct{}, max(bench.ConcurrentRuns, 1))
	var group sync.WaitGroup
	for i, play := range plays {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			report := filepath.Join(reports, filepath.Base(play.Site)+"."+play.Day+"."+play.Seed+".json")
			results[i], failures[i] = bench.playOne(ctx, folder, report, play)
		})
	}
	group.Wait()
	resultByPlay := map[Play]*Result{}
	for i, play := range plays {
		if results[i] != nil {
			resultByPlay[play] = results[i]
		}
	}
	return resultByPlay, errors.Join(failures...)
}

func (bench *Bench) playOne(ctx context.Context, folder, report string, play Play) (*Result, error) {
	command := exec.CommandContext(ctx, bench.Program, "run", play.Site, play.Day, "--seed", play.Seed, "--no-cpu",
		"--report", report, "--why", bench.Reason)
	command.Dir = folder
	output, runErr := command.CombinedOutput()
	encoded, err := os.ReadFile(report)
	if err != nil {
		return nil, Error.New("play %s %s %s: %v: %s", play.Site, play.Day, play.Seed, errors.Join(runErr, err), output)
	}
	result, err := DecodeResult(encoded)
	if err != nil {
		return nil, Error.New("read report of %s %s %s: %v", play.Site, play.Day, play.Seed, err)
	}
	return result, nil
}

// DecodeResult decodes the JSON report of a play.
func DecodeResult(encoded []byte) (*Result, error) {
	result := &Result{}
	if err := json.Unmarshal(encoded, result); err != nil {
		return nil, Error.Wrap(err)
	}
	return result, nil
}

// ClonePatched clones the repository into the folder and applies the patch, unless its path
// is empty.
func ClonePatched(ctx context.Context, repository, folder, patch string) error {
	clone := exec.CommandContext(ctx, "git", "clone", "--quiet", repository, folder)
	if output, err := clone.CombinedOutput(); err != nil {
		return Error.New("clone %s: %v: %s", repository, err, output)
	}
	if patch == "" {
		return nil
	}
	apply := exec.CommandContext(ctx, "git", "apply", patch)
	apply.Dir = folder
	if output, err := apply.CombinedOutput(); err != nil {
		return Error.New("apply %s: %v: %s", patch, err, output)
	}
	return nil
}

// CopyJournal copies the journal entries that plays wrote in a copy of the sources to the
// repository. Existing entries are not overwritten.
func CopyJournal(folder, repository string) error {
	const journal = "journal"
	entries := os.DirFS(filepath.Join(folder, journal))
	return fs.WalkDir(entries, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		target := filepath.Join(repository, journal, path)
		if _, err := os.Stat(target); err == nil {
			return nil
		}
		content, err := fs.ReadFile(entries, path)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := os.MkdirAll(filepath.Dir(target), 0o755); err != nil {
			return Error.Wrap(err)
		}
		return Error.Wrap(os.WriteFile(target, content, 0o644))
	})
}

// Difference is the effect of a mechanism on one deployment, from pairs of plays with and
// without it.
type Difference struct {
	Pairs int
	// Worth is the mean of the worth with the mechanism minus the worth without it, and
	// StandardError the standard error of that mean.
	Worth, StandardError float64
	// Unserved, Late and Refused are the mean shares of such requests without the mechanism
	// minus the shares with it.
	Unserved, Late, Refused float64
	// BrokenRules counts the rule violations of the plays without the mechanism.
	BrokenRules int
}

// Compare compares the plays of one site that have a result both with and without the
// mechanism.
func Compare(site string, with, without map[Play]*Result) Difference {
	difference := Difference{}
	var gains []float64
	for play, withResult := range with {
		withoutResult := without[play]
		if withoutResult == nil || play.Site != site {
			continue
		}
		gains = append(gains, withResult.Worth-withoutResult.Worth)
		difference.Unserved += withoutResult.Unserved - withResult.Unserved
		difference.Late += share(withoutResult.All.Late, withoutResult.All.Requests) - share(withResult.All.Late, withResult.All.Requests)
		difference.Refused += share(withoutResult.All.Refused, withoutResult.All.Requests) - share(withResult.All.Refused, withResult.All.Requests)
		difference.BrokenRules += len(withoutResult.BrokenRules)
	}
	difference.Pairs = len(gains)
	if difference.Pairs == 0 {
		return difference
	}
	count := float64(difference.Pairs)
	difference.Unserved /= count
	difference.Late /= count
	difference.Refused /= count
	difference.Worth, difference.StandardError = meanAndStandardError(gains)
	return difference
}

func share(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}

// meanAndStandardError returns the mean of the values and its standard error.
func meanAndStandardError(values []float64) (mean, standardError float64) {
	count := float64(len(values))
	for _, value := range values {
		mean += value / count
	}
	if len(values) < 2 {
		return mean, math.Inf(1)
	}
	squares := 0.0
	for _, value := range values {
		squares += (value - mean) * (value - mean)
	}
	return mean, math.Sqrt(squares / (count - 1) / count)
}
