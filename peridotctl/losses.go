package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/logline"
	"peridotpath.example/peridotpath/placement"
)

const lossesUsage = `losses [--window SPAN] [--top N] FILE...
  Says where service was lost: for each cause and kind of request how many
  requests came late or not at all and what part of all worth that is, and the
  windows of time with most of it. A request counts by its prompt's length; a
  late one loses most of its worth, one without an answer all. The last line
  holds the long prompts against one that knows all, on the same arrivals. Reads
  log files, asks no instance.

`

const (
	// defaultWindow is the span of a row of the table of windows.
	defaultWindow = 2 * time.Second
	// mispredicted is how much longer than predicted a first event may take
	// before the prediction is the cause of its being late.
	mispredicted = 1.3
	// waitedShare is the part of the aim from which a wait for the request's turn
	// is the cause.
	waitedShare = 0.5
)

// lossKey is one row of the table of causes.
type lossKey struct{ cause, kind string }

// losses adds up what logs say was lost.
type losses struct {
	window   time.Duration
	requests int
	worth    float64
	byCause  map[lossKey]*loss
	byWindow map[time.Time]map[string]float64
	bound    bound
}

type loss struct {
	requests int
	worth    float64
}

func newLosses(window time.Duration) *losses {
	return &losses{
		window: window, byCause: map[lossKey]*loss{}, byWindow: map[time.Time]map[string]float64{},
		bound: bound{engines: map[int]int{}},
	}
}

func (losses *losses) add(line logline.Line) {
	event := line.Pairs["event"]
	if event != "served" && event != "failed" || line.Pairs["result"] == callerGone {
		return
	}
	losses.bound.add(line)
	worth := worthOf(line.Number("prompt"))
	losses.requests++
	losses.worth += worth
	cause, part := line.Pairs["result"], 1.0
	if event == "served" {
		if cause = lateCause(line); cause == "" {
			return
		}
		part = placement.MissedTargetCost
	}
	key := lossKey{cause: cause, kind: line.Pairs["kind"] + " " + line.Pairs["length"]}
	row := losses.byCause[key]
	if row == nil {
		row = &loss{}
		losses.byCause[key] = row
	}
	row.requests++
	row.worth += part * worth
	losses.addWindow(line, cause, part*worth)
}

// addWindow notes the loss under the window in which the request arrived.
func (losses *losses) addWindow(line logline.Line, cause string, worth float64) {
	ended, err := time.Parse(time.RFC3339Nano, line.Pairs["time"])
	if err != nil {
		return
	}
	start := ended.Add(-time.Duration(line.Number("took") * float64(time.Millisecond))).Truncate(losses.window)
	if losses.byWindow[start] == nil {
		losses.byWindow[start] = map[string]float64{}
	}
	losses.byWindow[start][cause] += worth
}

// worthOf weighs a request as the decisions do; one without a prompt counts 1.
func worthOf(prompt float64) float64 {
	if prompt <= 0 {
		return 1
	}
	return placement.PromptValue(peridotpath.Tokens(prompt))
}

// lateCause says why an answer was late; empty for one that was not.
func lateCause(line logline.Line) string {
	aim, reached := line.Number("aim"), line.Number("first_event")
	if reached == 0 {
		reached = line.Number("took")
	}
	waited, predicted := line.Number("waited"), line.Number("predicted")
	pauseAim := line.Number("pause_aim")
	switch {
	case aim == 0:
		return ""
	case reached <= aim && pauseAim > 0 && line.Number("longest_pause") > pauseAim:
		return "late_by_a_pause"
	case reached <= aim:
		return ""
	case line.Number("tries") > 1:
		return "late_after_failed_attempt"
	case waited > waitedShare*aim:
		return "late_waited_for_turn"
	case predicted > 0 && reached-waited > mispredicted*predicted:
		return "late_slower_than_predicted"
	default:
		return "late_as_predicted"
	}
}

func (losses *losses) write(out io.Writer, top int) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "\ncause\tkind\trequests\tof all worth\n")
	keys := slices.SortedFunc(maps.Keys(losses.byCause), func(a, b lossKey) int {
		return cmp.Or(cmp.Compare(losses.byCause[b].worth, losses.byCause[a].worth), cmp.Compare(a.cause+a.kind, b.cause+b.kind))
	})
	for _, key := range keys {
		row := losses.byCause[key]
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f %%\n", key.cause, key.kind, row.requests, 100*row.worth/losses.worth)
	}
	fmt.Fprint(table, "\nwindow from\tof all worth\tmost by\n")
	for _, start := range losses.worstWindows(top) {
		causes := losses.byWindow[start]
		fmt.Fprintf(table, "%s\t%.1f %%\t%s\n", start.UTC().Format(time.RFC3339Nano), 100*sum(causes)/losses.worth, largest(causes))
	}
	// The console's writes do not fail.
	_ = table.Flush()
	if count := len(losses.bound.jobs); count > 0 {
		reached, possible := losses.bound.solve()
		fmt.Fprintf(out, "\n%d long prompts: %.1f %% of their worth on time, at best %.1f %% could have been\n", count, 100*reached, 100*possible)
	}
}

// worstWindows returns the windows with most lost, in the order of time.
func (losses *losses) worstWindows(top int) []time.Time {
	starts := slices.SortedFunc(maps.Keys(losses.byWindow), func(a, b time.Time) int {
		return cmp.Or(cmp.Compare(sum(losses.byWindow[b]), sum(losses.byWindow[a])), a.Compare(b))
	})
	starts = starts[:min(top, len(starts))]
	slices.SortFunc(starts, time.Time.Compare)
	return starts
}

func sum(parts map[string]float64) float64 {
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		total += parts[name]
	}
	return total
}

func largest(parts map[string]float64) string {
	names := slices.SortedFunc(maps.Keys(parts), func(a, b string) int {
		return cmp.Or(cmp.Compare(parts[b], parts[a]), cmp.Compare(a, b))
	})
	return names[0]
}

func lossesCommand(console *console) *command {
	window, top := defaultWindow, defaultTop
	return &command{
		console: console, name: "losses", synopsis: "says in log files where service was lost", usage: lossesUsage,
		flags: func(flags *flag.FlagSet) {
			flags.DurationVar(&window, "window", defaultWindow, "span of a window")
			flags.IntVar(&top, "top", defaultTop, "windows shown")
		},
		run: func(_ context.Context, args []string) error {
			if len(args) == 0 || top < 1 || window <= 0 {
				return errUsage
			}
			losses := newLosses(window)
			skipped, err := logline.ReadFiles(args, losses.add)
			if err != nil {
				return err
			}
			fmt.Fprintf(console.out, "%d requests; %d lines not understood\n", losses.requests, skipped)
			if losses.requests > 0 {
				losses.write(console.out, top)
			}
			return nil
		},
	}
}
