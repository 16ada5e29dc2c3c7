package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"peridotpath.example/peridotpath/keyvalue"
	"peridotpath.example/peridotpath/logline"
)

const callsUsage = `calls FILE...
  Sums up what the instances asked of the platform's store, from their log files:
  the calls by purpose and kind, those of a process's first seconds beside all,
  and how many processes made any. A renewal and a stale list cost a tenth of a
  call; the last column counts them so. Reads log files, asks no instance.

`

// cheapKinds are the kinds of calls that cost a tenth of one, and cheapPrice is that price.
var cheapKinds = []keyvalue.CallKind{keyvalue.KindRenew, keyvalue.KindListStale}

const cheapPrice = 0.1

// storeCalls sums up the accounts of calls in logs.
type storeCalls struct {
	rows map[callKey]*callRow
	// counts are those of the last account of each instance's running process.
	counts map[string]map[callKey]int
}

type callKey struct {
	purpose keyvalue.Purpose
	kind    keyvalue.CallKind
}

type callRow struct {
	// calls and atStart are the calls of all processes, and those in the first account of each.
	calls, atStart int
	processes      int
}

func newStoreCalls() *storeCalls {
	return &storeCalls{rows: map[callKey]*callRow{}, counts: map[string]map[callKey]int{}}
}

func (calls *storeCalls) add(line logline.Line) {
	instance := line.Pairs["instance"]
	switch line.Event() {
	case "started":
		// The counts of a new process begin at zero.
		delete(calls.counts, instance)
	case "store_calls":
		before := calls.counts[instance]
		counts := decodeCalls(line)
		for key, count := range counts {
			row := calls.row(key)
			row.calls += count - before[key]
			if before[key] == 0 {
				row.processes++
			}
			if before == nil {
				row.atStart += count
			}
		}
		calls.counts[instance] = counts
	}
}

func (calls *storeCalls) row(key callKey) *callRow {
	if calls.rows[key] == nil {
		calls.rows[key] = &callRow{}
	}
	return calls.rows[key]
}

// decodeCalls returns the counts of a line, whose keys are a purpose and a kind with a dot
// between them.
func decodeCalls(line logline.Line) map[callKey]int {
	counts := map[callKey]int{}
	for name, value := range line.Pairs {
		purpose, kind, isCount := strings.Cut(name, ".")
		count, err := strconv.Atoi(value)
		if isCount && err == nil {
			counts[callKey{keyvalue.Purpose(purpose), keyvalue.CallKind(kind)}] = count
		}
	}
	return counts
}

// price returns what the calls of the row cost, in full calls.
func (key callKey) price(calls int) float64 {
	if slices.Contains(cheapKinds, key.kind) {
		return cheapPrice * float64(calls)
	}
	return float64(calls)
}

func (calls *storeCalls) print(out io.Writer) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "purpose\tkind\tcalls\tat start\tprocesses\tcost\t")
	keys := slices.SortedFunc(maps.Keys(calls.rows), func(a, b callKey) int {
		return cmp.Or(cmp.Compare(b.price(calls.rows[b].calls), a.price(calls.rows[a].calls)), cmp.Compare(a.purpose, b.purpose), cmp.Compare(a.kind, b.kind))
	})
	var total callRow
	cost := 0.0
	for _, key := range keys {
		row := calls.rows[key]
		total.calls += row.calls
		total.atStart += row.atStart
		cost += key.price(row.calls)
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%.0f\t\n", key.purpose, key.kind, row.calls, row.atStart, row.processes, key.price(row.calls))
	}
	fmt.Fprintf(table, "all\t\t%d\t%d\t\t%.0f\t\n", total.calls, total.atStart, cost)
	// A failed write shows in the command's output.
	_ = table.Flush()
}

func callsCommand(console *console) *command {
	return &command{
		console: console, name: "calls", synopsis: "sums up in log files what was asked of the store", usage: callsUsage,
		run: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return errUsage
			}
			calls := newStoreCalls()
			if _, err := logline.ReadFiles(args, calls.add); err != nil {
				return err
			}
			calls.print(console.out)
			return nil
		},
	}
}
