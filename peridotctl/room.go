package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"peridotpath.example/peridotpath/logline"
)

const roomUsage = `room [--at TIME] FILE...
  Shows what waited for engines, as each instance saw it: its own queue of long
  prompts and of short ones, what it knew of the fleet's, and what its parts knew
  of scarce capacity; then the customers whose prompts waited, and those above
  their fair share (*). Customers are shown by the hash that instances exchange.
  Without --at, that is the second in which the most prefill waited. Reads log
  files, asks no instance.

`

// roomLine is one line of an instance about what waits there.
type roomLine struct {
	instance string
	at       time.Time
	line     logline.Line
}

// room holds the lines of all instances about what waits.
type room struct{ lines []roomLine }

func (room *room) add(line logline.Line) {
	at, err := time.Parse(time.RFC3339Nano, line.Pairs["time"])
	if line.Event() == "room" && err == nil {
		room.lines = append(room.lines, roomLine{instance: line.Pairs["instance"], at: at, line: line})
	}
}

// busiest returns the second in which the most prefill waited at all instances.
func (room *room) busiest() time.Time {
	waiting := map[time.Time]float64{}
	for _, line := range room.lines {
		// Short prompts have no prefill to speak of; one counts as long as it may wait.
		waiting[line.at.Truncate(time.Second)] += line.line.Number("long_prefill") + 100*line.line.Number("short")
	}
	seconds := slices.SortedFunc(maps.Keys(waiting), func(a, b time.Time) int {
		return cmp.Or(cmp.Compare(waiting[b], waiting[a]), a.Compare(b))
	})
	if len(seconds) == 0 {
		return time.Time{}
	}
	return seconds[0]
}

// linesAt returns the last line of each instance in the second before and at the time.
func (room *room) linesAt(at time.Time) []roomLine {
	latest := map[string]roomLine{}
	for _, line := range room.lines {
		if age := at.Sub(line.at); age >= 0 && age < 2*time.Second && !line.at.Before(latest[line.instance].at) {
			latest[line.instance] = line
		}
	}
	return slices.SortedFunc(maps.Values(latest), func(a, b roomLine) int { return cmp.Compare(a.instance, b.instance) })
}

// roomColumns are the columns of the table by the keys of a line; a second key is shown behind a
// slash.
var roomColumns = []struct{ title, key, second string }{
	{"long/late", "long", "long_late"}, {"prefill ms", "long_prefill", ""}, {"fleet/late", "fleet_long", "fleet_long_late"},
	{"fleet ms", "fleet_long_prefill", ""}, {"short/late", "short", "short_late"}, {"fleet/late", "fleet_short", "fleet_short_late"},
	{"capacity", "capacity", ""}, {"booked", "booked", ""}, {"retries", "retries_left", ""},
}

func (room *room) write(out io.Writer, at time.Time) {
	if at.IsZero() {
		at = room.busiest().Add(time.Second)
	}
	lines := room.linesAt(at)
	fmt.Fprintf(out, "until %s\n", at.UTC().Format(time.RFC3339Nano))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "instance\t")
	for _, column := range roomColumns {
		fmt.Fprintf(table, "%s\t", column.title)
	}
	fmt.Fprintln(table)
	for _, line := range lines {
		fmt.Fprintf(table, "%s\t", line.instance)
		for _, column := range roomColumns {
			fmt.Fprintf(table, "%s\t", roomCell(line.line, column.key, column.second))
		}
		fmt.Fprintln(table)
	}
	// Write errors of the console are ignored.
	_ = table.Flush()
	writeCustomers(out, lines)
}

// roomCell returns the rounded values of the keys, or a dash where the line has none.
func roomCell(line logline.Line, key, second string) string {
	if _, found := line.Pairs[key]; !found {
		return "-"
	}
	cell := strconv.FormatFloat(line.Number(key), 'f', 0, 64)
	if _, found := line.Pairs[second]; found {
		cell += "/" + strconv.FormatFloat(line.Number(second), 'f', 0, 64)
	}
	return cell
}

// writeCustomers writes what each customer's prompts waited for, by the instance that saw most.
func writeCustomers(out io.Writer, lines []roomLine) {
	waiting, over := map[string]int{}, map[string]bool{}
	for _, line := range lines {
		for entry := range strings.SplitSeq(line.line.Pairs["waiting"], ",") {
			customer, text, _ := strings.Cut(entry, ":")
			if millis, err := strconv.Atoi(text); err == nil {
				waiting[customer] = max(waiting[customer], millis)
			}
		}
		for customer := range strings.SplitSeq(line.line.Pairs["over_share"], ",") {
			over[customer] = true
		}
	}
	customers := slices.SortedFunc(maps.Keys(waiting), func(a, b string) int {
		return cmp.Or(cmp.Compare(waiting[b], waiting[a]), cmp.Compare(a, b))
	})
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "\ncustomer\twaiting ms\t")
	for _, customer := range customers {
		mark := ""
		if over[customer] {
			mark = "*"
		}
		fmt.Fprintf(table, "%s%s\t%d\t\n", customer, mark, waiting[customer])
	}
	_ = table.Flush()
}

func roomCommand(console *console) *command {
	at := ""
	return &command{
		console: console, name: "room", synopsis: "shows in log files what waited for engines", usage: roomUsage,
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&at, "at", "", "the time, as in the logs; else the busiest second")
		},
		run: func(_ context.Context, args []string) error {
			moment, err := time.Parse(time.RFC3339Nano, at)
			if len(args) == 0 || at != "" && err != nil {
				return errUsage
			}
			var room room
			skipped, err := logline.ReadFiles(args, room.add)
			if err != nil {
				return err
			}
			fmt.Fprintf(console.out, "%d lines of room; %d lines not understood\n", len(room.lines), skipped)
			if len(room.lines) > 0 {
				room.write(console.out, moment)
			}
			return nil
		},
	}
}
