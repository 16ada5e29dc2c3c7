package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotpath.example/peridotpath"
)

// Figures are the results of a run.
type Figures struct {
	Policy         string
	Load           string
	OfferedPercent int // percent of capacity

	// Percentiles of the time to first token (TTFT) in milliseconds, by length class. A
	// refused or failed request counts with its whole deadline.
	P50, P95, P99 [3]float64
	// LongAdmittedP99 is the 99th percentile of the TTFT of admitted long requests.
	LongAdmittedP99 float64
	// StretchP99 is the 99th percentile, over all lengths, of the ratio of the TTFT to the
	// prefill time of the prompt alone.
	StretchP99 float64
	// ShortSlowdown is the 99th percentile of the TTFT of short requests, divided by that
	// percentile in a run without long requests.
	ShortSlowdown float64
	// LongInTimeShare is the share of admitted long requests that finished in time.
	LongInTimeShare float64
	// InTimeShare is the share of all admitted requests that finished in time.
	InTimeShare float64
	// GoodputPercent is the work that finished in time within the period whose arrivals are
	// counted, in percent of Load.engineCapacity. It excludes work that finished later.
	GoodputPercent float64
	// Unfairness is the 99th percentile of the TTFT of the short requests of all customers
	// but the heavy one, divided by that percentile in a run without the heavy customer.
	Unfairness float64
	// OthersServedShare is the share of the other customers' requests that finished in time
	// under the load of the heavy customer.
	OthersServedShare float64
	// Amplification is the ratio of attempts to requests with at least one attempt.
	Amplification float64
	// RetriesServedShare is the share of the retries after a refusal that succeeded.
	RetriesServedShare float64
	Retries            int
	Requests           int
	Refused            map[peridotpath.Code]int
	// Utilisation is the ratio of the prefilled tokens to the tokens that engines prefill
	// if they are always busy.
	Utilisation float64
	Finished    [3]int
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
}

func quantile(values *hdrhistogram.Histogram, percent float64) float64 {
	return float64(values.ValueAtQuantile(percent)) / 1000
}

// latency is the time to first token, or the whole deadline of a failed request.
func (request *request) latency() time.Duration {
	if !request.succeeded {
		return request.work.Profile.DeadlineMS.Duration()
	}
	return request.ttft
}

// isCounted reports whether the figures include the request: it arrived after the warm-up
// and fits into the memory of one engine.
func (request *request) isCounted() bool {
	return request.arrival.at >= warmUpPeriod && !request.arrival.isOversize()
}

// figures returns the figures of a run.
func (cluster *cluster) figures(offered int) Figures {
	figures := Figures{
		Policy: cluster.policy.Name, Load: cluster.load.Name, OfferedPercent: offered, Refused: map[peridotpath.Code]int{},
	}
	byClass := [3]*hdrhistogram.Histogram{histogram(), histogram(), histogram()}
	admitted, stretch := histogram(), hdrhistogram.New(1, 1e9, 3)
	var longAdmitted, longInTime, admittedCount, inTime, attempted int
	var goodput float64
	for _, request := range cluster.requests {
		if request.isPlaced {
			attempted++
		}
		if request.retry != nil && request.retry.isPlaced {
			attempted++
		}
		goodput += request.goodput()
		if request.retry != nil {
			goodput += request.retry.goodput()
		}
		if !request.isCounted() {
			continue
		}
		figures.Requests++
		class := request.arrival.class
		latency := request.latency()
		_ = byClass[class].RecordValue(latency.Microseconds())
		ownPrefill := float64(request.arrival.promptTokens)/busyPrefillPerS + iterationOverhead.Seconds()
		_ = stretch.RecordValue(int64(1000 * latency.Seconds() / ownPrefill))
		if request.succeeded {
			figures.Finished[class]++
		} else {
			figures.Refused[request.code]++
		}
		if request.isQueued || request.isPlaced {
			admittedCount++
			inTime += boolToInt(request.succeeded)
			if class == peridotpath.Long {
				longAdmitted++
				longInTime += boolToInt(request.succeeded)
				_ = admitted.RecordValue(latency.Microseconds())
			}
		}
		if request.retry != nil {
			figures.Retries++
			figures.RetriesServedShare += float64(boolToInt(request.retry.succeeded))
		}
	}
	for class, values := range byClass {
		figures.P50[class] = quantile(values, 50)
		figures.P95[class] = quantile(values, 95)
		figures.P99[class] = quantile(values, 99)
	}
	figures.LongAdmittedP99 = quantile(admitted, 99)
	figures.StretchP99 = float64(stretch.ValueAtQuantile(99)) / 1000
	figures.LongInTimeShare = share(longInTime, longAdmitted)
	figures.InTimeShare = share(inTime, admittedCount)
	figures.RetriesServedShare = share(int(figures.RetriesServedShare), figures.Retries)
	figures.Amplification = float64(cluster.attempts) / float64(max(attempted, 1))
	engineSeconds := float64(len(cluster.engines)) * (arrivalPeriod - warmUpPeriod).Seconds()
	figures.GoodputPercent = 100 * goodput / engineSeconds / cluster.engineCapacity
	figures.Utilisation = cluster.prefilledTokens / busyPrefillPerS / engineSeconds
	return figures
}

// goodput is the work of a request, in seconds of an engine, if it finished in time within
// the period whose arrivals are counted, else zero.
func (request *request) goodput() float64 {
	if !request.succeeded || request.endedAfter < warmUpPeriod || request.endedAfter >= arrivalPeriod {
		return 0
	}
	return request.arrival.engineTime()
}

func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func share(part, total int) float64 {
	if total == 0 {
		return 1
	}
	return float64(part) / float64(total)
}

// servedShare is the share of the counted requests that pass the filter keep and finished
// in time.
func (cluster *cluster) servedShare(keep func(*arrival) bool) float64 {
	served, all := 0, 0
	for _, request := range cluster.requests {
		if request.isCounted() && keep(request.arrival) {
			all++
			served += boolToInt(request.succeeded)
		}
	}
	return share(served, all)
}

// shortP99 is the 99th percentile of the latency of short requests that pass the filter
// keep.
func (cluster *cluster) shortP99(keep func(*arrival) bool) float64 {
	values := histogram()
	for _, request := range cluster.requests {
		if request.isCounted() && request.arrival.class == peridotpath.Short && keep(request.arrival) {
			_ = values.RecordValue(request.latency().Microseconds())
		}
	}
	return quantile(values, 99)
}

// Scores returns a weighted score for each of the two deployments; lower is better. The
// claims desk gives more weight to the time to first token over all lengths, the
// transcribers to the slowdown of short requests.
func (figures *Figures) Scores() (claims, transcribers float64) {
	const heavy, light = 0.7, 0.3
	claims = heavy*figures.StretchP99 + light*figures.ShortSlowdown
	transcribers = heavy*figures.ShortSlowdown + light*figures.StretchP99
	return claims, transcribers
}

// Line returns the figures as key=value pairs.
func (figures *Figures) Line() string {
	var line strings.Builder
	add := func(key, format string, value any) {
		fmt.Fprintf(&line, " %s="+format, key, value)
	}
	fmt.Fprintf(&line, "policy=%s load=%s offered_pct=%d", figures.Policy, figures.Load, figures.OfferedPercent)
	for class, name := range []string{"short", "medium", "long"} {
		add("ttft_"+name+"_p50_ms", "%.0f", figures.P50[class])
		add("ttft_"+name+"_p95_ms", "%.0f", figures.P95[class])
		add("ttft_"+name+"_p99_ms", "%.0f", figures.P99[class])
	}
	add("ttft_long_admitted_p99_ms", "%.0f", figures.LongAdmittedP99)
	add("ttft_stretch_p99", "%.2f", figures.StretchP99)
	add("short_slowdown", "%.3f", figures.ShortSlowdown)
	add("long_in_time", "%.4f", figures.LongInTimeShare)
	add("admitted_in_time", "%.4f", figures.InTimeShare)
	add("goodput_pct", "%.1f", figures.GoodputPercent)
	add("unfair", "%.3f", figures.Unfairness)
	add("others_served", "%.4f", figures.OthersServedShare)
	add("amplification", "%.4f", figures.Amplification)
	add("returned", "%d", figures.Retries)
	add("returned_admitted", "%.4f", figures.RetriesServedShare)
	claims, transcribers := figures.Scores()
	add("score_claims", "%.2f", claims)
	add("score_transcribers", "%.2f", transcribers)
	add("requests", "%d", figures.Requests)
	figures.addRefused(add)
	add("utilisation", "%.3f", figures.Utilisation)
	return line.String()
}

func (figures *Figures) addRefused(add func(key, format string, value any)) {
	codes := make([]peridotpath.Code, 0, len(figures.Refused))
	total := 0
	for code, refused := range figures.Refused {
		codes = append(codes, code)
		total += refused
	}
	slices.Sort(codes)
	add("refused", "%d", total)
	for _, code := range codes {
		add("refused_"+code.String(), "%d", figures.Refused[code])
	}
}
