package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// longestMS is the longest time that the histograms tell apart.
const longestMS = 6 * 60 * 60 * 1000

// row is the report's line on one class of requests.
type row struct {
	requests   int
	verdicts   map[verdict]int
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

func newRow() *row {
	return &row{
		verdicts:   map[verdict]int{},
		firstToken: hdrhistogram.New(1, longestMS, 3),
		total:      hdrhistogram.New(1, longestMS, 3),
	}
}

// Report is what a run came to.
type Report struct {
	Audit *Audit

	rows     map[string]*row
	refusals map[string]int
	failures map[string]int
	resumed  int
	broken   int
	endings  []*ending
}

func newReport(endings []*ending, audit *Audit) *Report {
	report := &Report{Audit: audit, rows: map[string]*row{}, refusals: map[string]int{}, failures: map[string]int{}, endings: endings}
	for _, ending := range endings {
		report.add(ending)
	}
	return report
}

func (report *Report) add(ending *ending) {
	name := ending.request.name()
	if report.rows[name] == nil {
		report.rows[name] = newRow()
	}
	row := report.rows[name]
	row.requests++
	row.verdicts[ending.verdict]++
	record(row.total, ending.total)
	// A stream that never began counts with all the time that it cost, so that
	// refusing does not make the tail look better.
	if ending.request.stream && ending.firstToken == 0 {
		record(row.firstToken, ending.total)
	} else if ending.request.stream {
		record(row.firstToken, ending.firstToken)
	}
	for code, count := range ending.refusals {
		report.refusals[code] += count
	}
	if ending.verdict != answered && ending.verdict != refused {
		report.failures[string(ending.verdict)+" "+ending.code]++
	}
	report.resumed += ending.resumed
	report.broken += ending.broken
}

func record(histogram *hdrhistogram.Histogram, span time.Duration) {
	_ = histogram.RecordValue(min(max(span.Milliseconds(), 1), longestMS))
}

// Print writes the report, one key=value line for each thing.
func (report *Report) Print(writer io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(report.rows)) {
		row := report.rows[name]
		fmt.Fprintf(writer, "event=class length=%s requests=%d answered=%d refused=%d failed=%d unknown=%d", name, row.requests,
			row.verdicts[answered], row.verdicts[refused], row.verdicts[failed], row.verdicts[unknown])
		if first := row.firstToken; first.TotalCount() > 0 {
			fmt.Fprintf(writer, " streams=%d first_token_p50_ms=%d first_token_p95_ms=%d first_token_p99_ms=%d", first.TotalCount(),
				first.ValueAtQuantile(50), first.ValueAtQuantile(95), first.ValueAtQuantile(99))
		}
		fmt.Fprintf(writer, " total_p50_ms=%d total_p99_ms=%d\n", row.total.ValueAtQuantile(50), row.total.ValueAtQuantile(99))
	}
	for _, code := range slices.Sorted(maps.Keys(report.refusals)) {
		fmt.Fprintf(writer, "event=refusal reason=%s count=%d\n", code, report.refusals[code])
	}
	for _, what := range slices.Sorted(maps.Keys(report.failures)) {
		fmt.Fprintf(writer, "event=failure reason=%q count=%d\n", what, report.failures[what])
	}
	fmt.Fprintf(writer, "event=callers connections_broken=%d resumed=%d\n", report.broken, report.resumed)
	audit := report.Audit
	fmt.Fprintf(writer, "event=audit wrong=%d not_run_but_ran=%d answered_but_unfinished=%d unknown=%d\n",
		audit.Wrong, audit.NotRunButRan, audit.Unfinished, audit.Unknown)
	fmt.Fprintf(writer, "event=result lost=%d twice=%d cut_off=%d\n", audit.Lost, audit.Twice, audit.CutOff)
}

// PrintBad writes a line on each request that is held against the system.
func (report *Report) PrintBad(writer io.Writer) {
	for _, ending := range report.endings {
		switch ending.verdict {
		case lost, cutOff, wrong:
			fmt.Fprintf(writer, "event=bad request=%s work=%s verdict=%s code=%q total_ms=%d tokens=%d stream=%t\n", ending.request.id,
				ending.request.work.Name, ending.verdict, ending.code, ending.total.Milliseconds(), ending.request.tokens, ending.request.stream)
		}
	}
}
