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
  A cause with given_up is a request whose last attempt the instance ended
  itself, one with denied a request that was refused another attempt.

`

const (
	// defaultWindow is the length of a time window, one row of the windows table.
	defaultWindow = 2 * time.Second
	// maxPredictionRatio is the ratio of actual to predicted time to first event
	// above which a missed target is attributed to the prediction.
	maxPredictionRatio = 1.3
	// queueWaitShare is the fraction of the TTFT target above which a missed target
	// is attributed to the wait in the prefill queue.
	queueWaitShare = 0.5
)

// lossKey identifies a row of the causes table.
type lossKey struct{ cause, kind string }

// losses sums the value lost to missed targets and failed requests, from logs.
type losses struct {
	window     time.Duration
	requests   int
	value      float64
	byCause    map[lossKey]*loss
	byWindow   map[time.Time]map[string]float64
	upperBound upperBound
	// lastAttempts explain failed requests.
	lastAttempts lastAttempts
}

type loss struct {
	requests int
	value    float64
}

func newLosses(window time.Duration) *losses {
	return &losses{
		window: window, byCause: map[lossKey]*loss{}, byWindow: map[time.Time]map[string]float64{},
		upperBound: upperBound{engines: map[int]int{}}, lastAttempts: lastAttempts{},
	}
}

func (losses *losses) add(line logline.Line) {
	failure, _ := losses.lastAttempts.end(&line)
	event := line.Pairs["event"]
	if event != "served" && event != "failed" || line.Pairs["result"] == callerDisconnected {
		return
	}
	losses.upperBound.add(line)
	value := requestValue(line.Number("prompt"))
	losses.requests++
	losses.value += value
	cause, lostShare := failure.cause(), 1.0
	if event == "served" {
		if cause = missCause(line); cause == "" {
			return
		}
		lostShare = placement.MissedTargetCost
	}
	key := lossKey{cause: cause, kind: line.Pairs["kind"] + " " + line.Pairs["length"]}
	row := losses.byCause[key]
	if row == nil {
		row = &loss{}
		losses.byCause[key] = row
	}
	row.requests++
	row.value += lostShare * value
	losses.addWindow(line, cause, lostShare*value)
}

// addWindow adds a lost value to the window in which the request arrived.
func (losses *losses) addWindow(line logline.Line, cause string, value float64) {
	ended, err := time.Parse(time.RFC3339Nano, line.Pairs["time"])
	if err != nil {
		return
	}
	start := ended.Add(-time.Duration(line.Number("took") * float64(time.Millisecond))).Truncate(losses.window)
	if losses.byWindow[start] == nil {
		losses.byWindow[start] = map[string]float64{}
	}
	losses.byWindow[start][cause] += value
}

// requestValue returns a request's value as placement computes it; 1 without a
// prompt.
func requestValue(prompt float64) float64 {
	if prompt <= 0 {
		return 1
	}
	return placement.PromptValue(peridotpath.Tokens(prompt))
}

// missCause returns the cause of a missed latency target, or "" if the targets
// were met.
func missCause(line logline.Line) string {
	ttftTarget, timeToFirstEvent := line.Number("aim"), line.Number("first_event")
	if timeToFirstEvent == 0 {
		timeToFirstEvent = line.Number("took")
	}
	queueWait, predicted := line.Number("waited"), line.Number("predicted")
	itlTarget := line.Number("pause_aim")
	switch {
	case ttftTarget == 0:
		return ""
	case timeToFirstEvent <= ttftTarget && itlTarget > 0 && line.Number("longest_pause") > itlTarget:
		return "late_by_a_pause"
	case timeToFirstEvent <= ttftTarget:
		return ""
	case line.Number("tries") > 1:
		return "late_after_failed_attempt"
	case queueWait > queueWaitShare*ttftTarget:
		return "late_waited_for_turn"
	case predicted > 0 && timeToFirstEvent-queueWait > maxPredictionRatio*predicted:
		return "late_slower_than_predicted"
	default:
		return "late_as_predicted"
	}
}

func (losses *losses) write(out io.Writer, top int) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "\ncause\tkind\trequests\tof all worth\n")
	keys := slices.SortedFunc(maps.Keys(losses.byCause), func(a, b lossKey) int {
		return cmp.Or(cmp.Compare(losses.byCause[b].value, losses.byCause[a].value), cmp.Compare(a.cause+a.kind, b.cause+b.kind))
	})
	for _, key := range keys {
		row := losses.byCause[key]
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f %%\n", key.cause, key.kind, row.requests, 100*row.value/losses.value)
	}
	fmt.Fprint(table, "\nwindow from\tof all worth\tmost by\n")
	for _, start := range losses.worstWindows(top) {
		causes := losses.byWindow[start]
		fmt.Fprintf(table, "%s\t%.1f %%\t%s\n", start.UTC().Format(time.RFC3339Nano), 100*sum(causes)/losses.value, largestCause(causes))
	}
	// Write errors of the console are ignored.
	_ = table.Flush()
	if count := len(losses.upperBound.jobs); count > 0 {
		achieved, possible := losses.upperBound.solve()
		fmt.Fprintf(out, "\n%d long prompts: %.1f %% of their worth on time, at best %.1f %% could have been\n", count, 100*achieved, 100*possible)
	}
}

// worstWindows returns the windows with the largest losses, in chronological order.
func (losses *losses) worstWindows(top int) []time.Time {
	starts := slices.SortedFunc(maps.Keys(losses.byWindow), func(a, b time.Time) int {
		return cmp.Or(cmp.Compare(sum(losses.byWindow[b]), sum(losses.byWindow[a])), a.Compare(b))
	})
	starts = starts[:min(top, len(starts))]
	slices.SortFunc(starts, time.Time.Compare)
	return starts
}

func sum(valueByCause map[string]float64) float64 {
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(valueByCause)) {
		total += valueByCause[name]
	}
	return total
}

func largestCause(valueByCause map[string]float64) string {
	names := slices.SortedFunc(maps.Keys(valueByCause), func(a, b string) int {
		return cmp.Or(cmp.Compare(valueByCause[b], valueByCause[a]), cmp.Compare(a, b))
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
