package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxRecordedMS is the largest value of the histograms. Longer times count as this.
const maxRecordedMS = 6 * 60 * 60 * 1000

// classRow holds the statistics of one class of requests.
type classRow struct {
	requests   int
	verdicts   map[verdict]int
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

func newClassRow() *classRow {
	return &classRow{
		verdicts:   map[verdict]int{},
		firstToken: hdrhistogram.New(1, maxRecordedMS, 3),
		total:      hdrhistogram.New(1, maxRecordedMS, 3),
	}
}

// Report holds the results of a run.
type Report struct {
	Audit *Audit

	rows              map[string]*classRow
	refusals          map[string]int
	failures          map[string]int
	resumptions       int
	brokenConnections int
	results           []*result
}

func newReport(results []*result, audit *Audit) *Report {
	report := &Report{Audit: audit, rows: map[string]*classRow{}, refusals: map[string]int{}, failures: map[string]int{}, results: results}
	for _, result := range results {
		report.add(result)
	}
	return report
}

func (report *Report) add(result *result) {
	name := result.request.reportName()
	if report.rows[name] == nil {
		report.rows[name] = newClassRow()
	}
	row := report.rows[name]
	row.requests++
	row.verdicts[result.verdict]++
	recordDuration(row.total, result.total)
	// A stream without a first token counts with its total time, so that refusals do not
	// improve the tail latency.
	if result.request.stream && result.firstToken == 0 {
		recordDuration(row.firstToken, result.total)
	} else if result.request.stream {
		recordDuration(row.firstToken, result.firstToken)
	}
	for code, count := range result.refusals {
		report.refusals[code] += count
	}
	if result.verdict != verdictAnswered && result.verdict != verdictRefused {
		report.failures[string(result.verdict)+" "+result.code]++
	}
	report.resumptions += result.resumptions
	report.brokenConnections += result.brokenConnections
}

func recordDuration(histogram *hdrhistogram.Histogram, span time.Duration) {
	_ = histogram.RecordValue(min(max(span.Milliseconds(), 1), maxRecordedMS))
}

// Print writes the report as lines of key=value pairs.
func (report *Report) Print(writer io.Writer) {
	for _, name := range slices.Sorted(maps.Keys(report.rows)) {
		row := report.rows[name]
		fmt.Fprintf(writer, "event=class length=%s requests=%d answered=%d refused=%d failed=%d unknown=%d", name, row.requests,
			row.verdicts[verdictAnswered], row.verdicts[verdictRefused], row.verdicts[verdictFailed], row.verdicts[verdictUnknown])
		if first := row.firstToken; first.TotalCount() > 0 {
			fmt.Fprintf(writer, " streams=%d first_token_p50_ms=%d first_token_p95_ms=%d first_token_p99_ms=%d", first.TotalCount(),
				first.ValueAtQuantile(50), first.ValueAtQuantile(95), first.ValueAtQuantile(99))
		}
		fmt.Fprintf(writer, " total_p50_ms=%d total_p99_ms=%d\n", row.total.ValueAtQuantile(50), row.total.ValueAtQuantile(99))
	}
	for _, code := range slices.Sorted(maps.Keys(report.refusals)) {
		fmt.Fprintf(writer, "event=refusal reason=%s count=%d\n", code, report.refusals[code])
	}
	for _, reason := range slices.Sorted(maps.Keys(report.failures)) {
		fmt.Fprintf(writer, "event=failure reason=%q count=%d\n", reason, report.failures[reason])
	}
	fmt.Fprintf(writer, "event=callers connections_broken=%d resumed=%d\n", report.brokenConnections, report.resumptions)
	audit := report.Audit
	fmt.Fprintf(writer, "event=audit wrong=%d not_run_but_ran=%d answered_but_unfinished=%d unknown=%d\n",
		audit.WrongAnswer, audit.NotRunButRan, audit.AnsweredUnfinished, audit.OutcomeUnknown)
	fmt.Fprintf(writer, "event=result lost=%d twice=%d cut_off=%d\n", audit.Lost, audit.RanTwice, audit.CutOff)
}

// PrintFailures writes a line for each request that was lost, cut off or answered wrongly.
func (report *Report) PrintFailures(writer io.Writer) {
	for _, result := range report.results {
		switch result.verdict {
		case verdictLost, verdictCutOff, verdictWrong:
			fmt.Fprintf(writer, "event=bad request=%s work=%s verdict=%s code=%q total_ms=%d tokens=%d stream=%t\n", result.request.id,
				result.request.work.Name, result.verdict, result.code, result.total.Milliseconds(), result.request.tokens, result.request.stream)
		}
	}
}
