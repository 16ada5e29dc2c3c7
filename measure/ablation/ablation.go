// Package ablation measures what single mechanisms are worth: it switches each off
// in a copy of the sources, by a patch, and has the users' bench play the same days
// on both. Nothing of it is in a production build.
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

// Play is one day of one deployment with one seed.
type Play struct {
	Site, Day, Seed string
}

// Result is what the bench reports of a play.
type Result struct {
	// Worth is the day's, Unserved the share of requests that never got an answer.
	Worth    float64 `json:"G"`
	Unserved float64 `json:"unserved"`
	// Breaks are the rules that were broken, by name.
	Breaks map[string]json.RawMessage `json:"breaks"`
	All    struct {
		Requests int `json:"n"`
		Late     int `json:"late"`
		Refused  int `json:"refused"`
	} `json:"all"`
}

// Bench runs the users' program.
type Bench struct {
	// Program is its path, Jobs how many days are played at once.
	Program string
	Jobs    int
	// Why is noted with each run.
	Why string
}

// Build builds the sources in the folder, so that plays side by side need not.
func (bench *Bench) Build(ctx context.Context, folder string) error {
	command := exec.CommandContext(ctx, bench.Program, "build")
	command.Dir = folder
	if output, err := command.CombinedOutput(); err != nil {
		return Error.New("build %s: %v: %s", folder, err, output)
	}
	return nil
}

// Play plays all days on the sources in the folder. A play that was given up or
// that failed has no result.
func (bench *Bench) Play(ctx context.Context, folder string, plays []Play) (map[Play]*Result, error) {
	reports, err := os.MkdirTemp("", "ablation")
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer os.RemoveAll(reports)
	results := make([]*Result, len(plays))
	failures := make([]error, len(plays))
	free := make(chan struct{}, max(bench.Jobs, 1))
	var all sync.WaitGroup
	for i, play := range plays {
		all.Go(func() {
			free <- struct{}{}
			defer func() { <-free }()
			report := filepath.Join(reports, filepath.Base(play.Site)+"."+play.Day+"."+play.Seed+".json")
			results[i], failures[i] = bench.one(ctx, folder, report, play)
		})
	}
	all.Wait()
	found := map[Play]*Result{}
	for i, play := range plays {
		if results[i] != nil {
			found[play] = results[i]
		}
	}
	return found, errors.Join(failures...)
}

func (bench *Bench) one(ctx context.Context, folder, report string, play Play) (*Result, error) {
	command := exec.CommandContext(ctx, bench.Program, "run", play.Site, play.Day, "--seed", play.Seed, "--no-cpu",
		"--report", report, "--why", bench.Why)
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

// DecodeResult reads the report of a play, as JSON.
func DecodeResult(encoded []byte) (*Result, error) {
	result := &Result{}
	if err := json.Unmarshal(encoded, result); err != nil {
		return nil, Error.Wrap(err)
	}
	return result, nil
}

// Copy clones the repository into the folder and applies the patch; an empty patch
// changes nothing.
func Copy(ctx context.Context, repository, folder, patch string) error {
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

// KeepJournal copies the entries that plays left in a copy of the sources to the
// repository: those of trials are kept as well.
func KeepJournal(folder, repository string) error {
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

// Difference is what a mechanism is worth on one deployment, from pairs of plays
// with it and without it.
type Difference struct {
	Pairs int
	// Worth is the mean of worth with the mechanism less worth without, Error that
	// mean's standard error.
	Worth, Error float64
	// Unserved, Late and Refused are by how much the shares of requests are larger
	// without it.
	Unserved, Late, Refused float64
	// Breaks counts rules broken without it.
	Breaks int
}

// Compare compares the plays of one site that both have.
func Compare(site string, with, without map[Play]*Result) Difference {
	difference := Difference{}
	var gains []float64
	for play, base := range with {
		other := without[play]
		if other == nil || play.Site != site {
			continue
		}
		gains = append(gains, base.Worth-other.Worth)
		difference.Unserved += other.Unserved - base.Unserved
		difference.Late += share(other.All.Late, other.All.Requests) - share(base.All.Late, base.All.Requests)
		difference.Refused += share(other.All.Refused, other.All.Requests) - share(base.All.Refused, base.All.Requests)
		difference.Breaks += len(other.Breaks)
	}
	difference.Pairs = len(gains)
	if difference.Pairs == 0 {
		return difference
	}
	count := float64(difference.Pairs)
	difference.Unserved /= count
	difference.Late /= count
	difference.Refused /= count
	difference.Worth, difference.Error = meanError(gains)
	return difference
}

func share(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return float64(part) / float64(all)
}

// meanError returns the mean of the values and its standard error.
func meanError(values []float64) (mean, failure float64) {
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
