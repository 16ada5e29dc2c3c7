package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/subcommands"

	"peridotpath.example/measure/ablation"
)

const ablationUsage = `ablation -bench PROGRAM -sites FILE[,FILE...] [-patches FOLDER] [-days D,D] [-seeds N,N] [-jobs N] [NAME...]
  Switches each mechanism off, by its patch, in a copy of the sources as committed,
  plays the same days with and without it, and prints what it is worth on each
  deployment. NAMEs choose among the patches; without any, all are measured.

`

// ablationCommand measures the effect of single mechanisms.
type ablationCommand struct {
	bench       ablation.Bench
	repository  string
	patches     string
	sites, days string
	seeds       string
}

// Name implements subcommands.Command.
func (*ablationCommand) Name() string { return "ablation" }

// Synopsis implements subcommands.Command.
func (*ablationCommand) Synopsis() string { return "measures what each mechanism is worth" }

// Usage implements subcommands.Command.
func (*ablationCommand) Usage() string { return ablationUsage }

// SetFlags implements subcommands.Command.
func (command *ablationCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&command.bench.Program, "bench", "", "the users' bench")
	flags.IntVar(&command.bench.ConcurrentRuns, "jobs", 4, "days played at a time")
	flags.StringVar(&command.repository, "repository", ".", "the sources, as committed")
	flags.StringVar(&command.patches, "patches", "measure/ablation/patches", "folder of the patches, one for each mechanism")
	flags.StringVar(&command.sites, "sites", "", "files of the deployments")
	flags.StringVar(&command.days, "days", "trouble-1,scale-1,trouble-2,scale-2,trouble-3", "days of each deployment")
	flags.StringVar(&command.seeds, "seeds", "1,2", "seeds of each day")
}

// Execute implements subcommands.Command.
func (command *ablationCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if command.bench.Program == "" || command.sites == "" {
		fmt.Fprint(os.Stderr, ablationUsage)
		return subcommands.ExitUsageError
	}
	if err := command.run(ctx, flags.Args()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (command *ablationCommand) run(ctx context.Context, names []string) error {
	patches, err := command.findPatches(names)
	if err != nil {
		return err
	}
	with, err := command.playDays(ctx, "")
	if err != nil {
		return err
	}
	fmt.Println("| mechanism | deployment | pairs | worth | error | late | refused | never served | rules broken without |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, patch := range patches {
		without, err := command.playDays(ctx, patch)
		if err != nil {
			return err
		}
		name := strings.TrimSuffix(filepath.Base(patch), ".patch")
		for site := range strings.SplitSeq(command.sites, ",") {
			difference := ablation.Compare(site, with, without)
			fmt.Printf("| %s | %s | %d | %+.4f | %.4f | %+.4f | %+.4f | %+.4f | %d |\n",
				name, strings.TrimSuffix(filepath.Base(site), ".toml"), difference.Pairs, difference.Worth, difference.StandardError,
				difference.Late, difference.Refused, difference.Unserved, difference.BrokenRules)
		}
	}
	return nil
}

// findPatches returns the absolute paths of the named patches, or of all if names is empty.
func (command *ablationCommand) findPatches(names []string) ([]string, error) {
	folder, err := filepath.Abs(command.patches)
	if err != nil {
		return nil, err
	}
	if len(names) == 0 {
		return filepath.Glob(filepath.Join(folder, "*.patch"))
	}
	var patches []string
	for _, name := range names {
		patches = append(patches, filepath.Join(folder, name+".patch"))
	}
	return patches, nil
}

// playDays runs all days on a copy of the sources with the patch applied.
func (command *ablationCommand) playDays(ctx context.Context, patch string) (map[ablation.Play]*ablation.Result, error) {
	folder, err := os.MkdirTemp("", "sources")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	if err := ablation.ClonePatched(ctx, command.repository, folder, patch); err != nil {
		return nil, err
	}
	if err := command.bench.Build(ctx, folder); err != nil {
		return nil, err
	}
	var plays []ablation.Play
	for site := range strings.SplitSeq(command.sites, ",") {
		for day := range strings.SplitSeq(command.days, ",") {
			for seed := range strings.SplitSeq(command.seeds, ",") {
				plays = append(plays, ablation.Play{Site: site, Day: day, Seed: seed})
			}
		}
	}
	results, err := command.bench.Play(ctx, folder, plays)
	return results, errors.Join(err, ablation.CopyJournal(folder, command.repository))
}
