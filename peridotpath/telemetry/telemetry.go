// Package telemetry holds the metrics and logs of the request path: counters by result and
// retry reason, latency histograms by length class, a rate limit for log lines, and a log
// writer that drops lines rather than blocking a request. The series of the request path
// are created once at start, so that a request does no look-up by name.
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

// RetryReason is the reason of a retry.
type RetryReason uint8

// The reasons of retries.
const (
	RetryUnreached RetryReason = iota
	RetryRefused
	RetryFailed
	RetryBadAnswer
	RetryResumed
	retryReasonCount
)

var reasonNames = [retryReasonCount]string{"unreached", "refused", "failed", "bad_answer", "resumed"}

var (
	resultsTotal     = resultCounters()
	retriesTotal     [retryReasonCount]*metrics.Counter
	timeToFirstToken [peridotpath.LengthClasses]*metrics.Histogram
	requestTime      [peridotpath.LengthClasses]*metrics.Histogram
)

func init() {
	for reason, name := range reasonNames {
		retriesTotal[reason] = metrics.NewCounter(fmt.Sprintf("peridotpath_retries_total{reason=%q}", name))
	}
	for class := range peridotpath.LengthClasses {
		timeToFirstToken[class] = metrics.NewHistogram(fmt.Sprintf("peridotpath_first_token_seconds{length=%q}", class))
		requestTime[class] = metrics.NewHistogram(fmt.Sprintf("peridotpath_request_seconds{length=%q}", class))
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

// WriteMetrics serves all metrics of the process in the Prometheus text format.
func WriteMetrics(writer http.ResponseWriter, _ *http.Request) {
	metrics.WritePrometheus(writer, true)
}

// CountResult counts one request's result.
func CountResult(code peridotpath.Code) {
	if counter := resultsTotal[code]; counter != nil {
		counter.Inc()
	}
}

// CountRetry counts one retry.
func CountRetry(reason RetryReason) { retriesTotal[reason].Inc() }

// RecordTimeToFirstToken records the time to first token (TTFT), counted from the request's arrival.
func RecordTimeToFirstToken(class peridotpath.LengthClass, span time.Duration) {
	timeToFirstToken[class].Update(span.Seconds())
}

// RecordRequestTime records the time from a request's arrival to its end. Failed requests are
// included: without them the tail latency would look better during an outage.
func RecordRequestTime(class peridotpath.LengthClass, span time.Duration) {
	requestTime[class].Update(span.Seconds())
}

// LatencyQuantiles are quantiles of the time to first token of one length class.
type LatencyQuantiles struct {
	Class         peridotpath.LengthClass
	Count         uint64
	P50, P95, P99 time.Duration
}

// TimeToFirstTokenQuantiles returns the quantiles of the time to first token since the
// start, for each length class with requests. The bucket width bounds the relative error to one seventh.
func TimeToFirstTokenQuantiles() []LatencyQuantiles {
	var all []LatencyQuantiles
	for class := range peridotpath.LengthClasses {
		times := LatencyQuantiles{Class: class}
		buckets := nonEmptyBuckets(timeToFirstToken[class])
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

// nonEmptyBuckets returns the non-empty buckets, lowest first.
func nonEmptyBuckets(histogram *metrics.Histogram) []bucket {
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

// quantile returns the upper bound of the bucket that contains the quantile.
func quantile(buckets []bucket, total uint64, fraction float64) time.Duration {
	rank := uint64(math.Ceil(fraction * float64(total)))
	for _, bucket := range buckets {
		if bucket.count >= rank {
			return time.Duration(bucket.upper * float64(time.Second))
		}
		rank -= bucket.count
	}
	return 0
}

// CodeCount is the number of results with one code.
type CodeCount struct {
	Code  peridotpath.Code
	Count uint64
}

// ResultCounts returns the non-zero counts of results, sorted by code.
func ResultCounts() []CodeCount {
	var counts []CodeCount
	for code, counter := range resultsTotal {
		if count := counter.Get(); count > 0 {
			counts = append(counts, CodeCount{Code: code, Count: count})
		}
	}
	slices.SortFunc(counts, func(a, b CodeCount) int { return cmp.Compare(a.Code, b.Code) })
	return counts
}

// ReasonCount is the number of retries for one reason.
type ReasonCount struct {
	Reason string
	Count  uint64
}

// RetryCounts returns the non-zero counts of retries by reason.
func RetryCounts() []ReasonCount {
	var counts []ReasonCount
	for reason, counter := range retriesTotal {
		if count := counter.Get(); count > 0 {
			counts = append(counts, ReasonCount{Reason: reasonNames[reason], Count: count})
		}
	}
	return counts
}
