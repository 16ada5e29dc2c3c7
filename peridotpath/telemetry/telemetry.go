// Package telemetry holds the metrics that the request path writes: a counter
// for each refusal and retry reason, and times by length class. Each series is
// made once at start, so that the path does no look-up by name.
package telemetry

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"peridotpath.example/peridotpath"
)

// Reason names why an attempt was followed by another.
type Reason uint8

// The reasons.
const (
	RetryUnreached Reason = iota
	RetryRefused
	RetryFailed
	RetryBadAnswer
	RetryResumed
	reasons
)

var reasonNames = [reasons]string{"unreached", "refused", "failed", "bad_answer", "resumed"}

var (
	results    = resultCounters()
	retries    [reasons]*metrics.Counter
	firstToken [peridotpath.LengthClasses]*metrics.Histogram
	total      [peridotpath.LengthClasses]*metrics.Histogram
)

func init() {
	for reason, name := range reasonNames {
		retries[reason] = metrics.NewCounter(fmt.Sprintf("peridotpath_retries_total{reason=%q}", name))
	}
	for class := range peridotpath.LengthClasses {
		firstToken[class] = metrics.NewHistogram(fmt.Sprintf("peridotpath_first_token_seconds{length=%q}", class))
		total[class] = metrics.NewHistogram(fmt.Sprintf("peridotpath_request_seconds{length=%q}", class))
	}
}

func resultCounters() map[peridotpath.Code]*metrics.Counter {
	counters := map[peridotpath.Code]*metrics.Counter{}
	for _, code := range peridotpath.Codes() {
		name := fmt.Sprintf("peridotpath_results_total{code=\"%d\",reason=%q}", int(code), code)
		counters[code] = metrics.NewCounter(name)
	}
	return counters
}

// WriteMetrics answers with all metrics of the process, as text.
func WriteMetrics(writer http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(writer, true)
}

// Result counts one request's result.
func Result(code peridotpath.Code) {
	if counter := results[code]; counter != nil {
		counter.Inc()
	}
}

// Retry counts one further attempt.
func Retry(reason Reason) { retries[reason].Inc() }

// FirstToken records the time from arrival to the first token.
func FirstToken(class peridotpath.LengthClass, span time.Duration) {
	firstToken[class].Update(span.Seconds())
}

// Total records the time from arrival to the end of a request, failed ones
// included: leaving those out would make the tail look better in an outage.
func Total(class peridotpath.LengthClass, span time.Duration) {
	total[class].Update(span.Seconds())
}

// Times are quantiles of a length class's time to first token.
type Times struct {
	Class         peridotpath.LengthClass
	Count         uint64
	P50, P95, P99 time.Duration
}

// FirstTokens returns the times to first token since the start, for classes
// that have any. The histogram's buckets bound the error to a seventh.
func FirstTokens() []Times {
	var all []Times
	for class := range peridotpath.LengthClasses {
		times := Times{Class: class}
		buckets := bucketsOf(firstToken[class])
		for _, bucket := range buckets {
			times.Count += bucket.count
		}
		if times.Count == 0 {
			continue
		}
		times.P50 = quantile(buckets, times.Count, 0.50)
		times.P95 = quantile(buckets, times.Count, 0.95)
		times.P99 = quantile(buckets, times.Count, 0.99)
		all = append(all, times)
	}
	return all
}

type bucket struct {
	upper float64 // seconds
	count uint64
}

// bucketsOf returns the buckets that hold anything, lowest first.
func bucketsOf(histogram *metrics.Histogram) []bucket {
	var buckets []bucket
	histogram.VisitNonZeroBuckets(func(vmrange string, count uint64) {
		_, high, _ := strings.Cut(vmrange, "...")
		upper, err := strconv.ParseFloat(high, 64)
		if err != nil || math.IsInf(upper, 0) {
			upper = math.MaxInt32
		}
		buckets = append(buckets, bucket{upper: upper, count: count})
	})
	slices.SortFunc(buckets, func(a, b bucket) int { return cmp.Compare(a.upper, b.upper) })
	return buckets
}

// quantile returns the upper end of the bucket that the quantile lies in.
func quantile(buckets []bucket, total uint64, part float64) time.Duration {
	rank := uint64(math.Ceil(part * float64(total)))
	for _, bucket := range buckets {
		if bucket.count >= rank {
			return time.Duration(bucket.upper * float64(time.Second))
		}
		rank -= bucket.count
	}
	return 0
}

// CodeCount counts the results with one code.
type CodeCount struct {
	Code  peridotpath.Code
	Count uint64
}

// Results returns the counts of all codes that came up, by code.
func Results() []CodeCount {
	var counts []CodeCount
	for code, counter := range results {
		if count := counter.Get(); count > 0 {
			counts = append(counts, CodeCount{Code: code, Count: count})
		}
	}
	slices.SortFunc(counts, func(a, b CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	return counts
}

// ReasonCount counts the further attempts for one reason.
type ReasonCount struct {
	Reason string
	Count  uint64
}

// Retries returns the counts of all retry reasons that came up.
func Retries() []ReasonCount {
	var counts []ReasonCount
	for reason, counter := range retries {
		if count := counter.Get(); count > 0 {
			counts = append(counts, ReasonCount{Reason: reasonNames[reason], Count: count})
		}
	}
	return counts
}
