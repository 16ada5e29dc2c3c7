package bench

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotpath.example/peridotpath"
)

// Figures is what a run did for its callers.
type Figures struct {
	Policy  string
	Load    string
	Offered int // percent of capacity

	// TTFT in milliseconds by class and percentile; a request that was refused
	// or failed counts with its whole deadline.
	P50, P95, P99 [3]float64
	// LongAdmittedP99 leaves out the refused.
	LongAdmittedP99 float64
	// Stretch is the 99th percentile, over all lengths, of time to first token
	// over the prompt's own prefill time.
	Stretch float64
	// ShortSlowdown is the short p99 over the same without long prompts.
	ShortSlowdown float64
	// LongInTime is the share of admitted long requests that finished in time.
	LongInTime float64
	// InTime is the share of all admitted requests that finished in time.
	InTime float64
	// Goodput is the work that was finished in time while arrivals were counted,
	// in percent of Load.capacity. What is finished after the last arrival is not in it.
	Goodput float64
	// Unfair is the other customers' short p99 over the same without the flooder.
	Unfair float64
	// OthersServed is the share of the other customers' requests that finished
	// in time while the flooder flooded.
	OthersServed float64
	// Amplification is attempts over requests that were tried.
	Amplification float64
	// ReturnedAdmitted is the share of returning callers that were admitted.
	ReturnedAdmitted float64
	Returned         int
	Requests         int
	Refused          map[peridotpath.Code]int
	// Utilisation is prefill done over what busy engines could have done.
	Utilisation float64
	Finished    [3]int
}

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
}

func quantile(values *hdrhistogram.Histogram, percent float64) float64 {
	return float64(values.ValueAtQuantile(percent)) / 1000
}

// latency is what the caller saw until the first token, or its whole deadline.
func (request *request) latency() time.Duration {
	if !request.finished {
		return request.work.Profile.DeadlineMS.Duration()
	}
	return request.ttft
}

// counted reports whether the request belongs into the figures: it came after
// the warm-up, and one engine can hold it.
func (request *request) counted() bool {
	return request.arrival.at >= warmUp && !request.arrival.oversize()
}

// figures sums up a run.
func (cluster *cluster) figures(offered int) Figures {
	figures := Figures{
		Policy: cluster.policy.Name, Load: cluster.load.Name, Offered: offered, Refused: map[peridotpath.Code]int{},
	}
	byClass := [3]*hdrhistogram.Histogram{histogram(), histogram(), histogram()}
	admitted, stretch := histogram(), hdrhistogram.New(1, 1e9, 3)
	var longs, longsInTime, tried, inTime, triedAll int
	var good float64
	for _, request := range cluster.requests {
		if request.placed {
			triedAll++
		}
		if request.again != nil && request.again.placed {
			triedAll++
		}
		good += request.goodWork()
		if request.again != nil {
			good += request.again.goodWork()
		}
		if !request.counted() {
			continue
		}
		figures.Requests++
		class := request.arrival.class
		latency := request.latency()
		_ = byClass[class].RecordValue(latency.Microseconds())
		own := float64(request.arrival.prompt)/fullPrefillPerS + iterationBase.Seconds()
		_ = stretch.RecordValue(int64(1000 * latency.Seconds() / own))
		if request.finished {
			figures.Finished[class]++
		} else {
			figures.Refused[request.code]++
		}
		if request.waited || request.placed {
			tried++
			inTime += count(request.finished)
			if class == peridotpath.Long {
				longs++
				longsInTime += count(request.finished)
				_ = admitted.RecordValue(latency.Microseconds())
			}
		}
		if request.again != nil {
			figures.Returned++
			figures.ReturnedAdmitted += float64(count(request.again.finished))
		}
	}
	for class, values := range byClass {
		figures.P50[class] = quantile(values, 50)
		figures.P95[class] = quantile(values, 95)
		figures.P99[class] = quantile(values, 99)
	}
	figures.LongAdmittedP99 = quantile(admitted, 99)
	figures.Stretch = float64(stretch.ValueAtQuantile(99)) / 1000
	figures.LongInTime = share(longsInTime, longs)
	figures.InTime = share(inTime, tried)
	figures.ReturnedAdmitted = share(int(figures.ReturnedAdmitted), figures.Returned)
	figures.Amplification = float64(cluster.attempts) / float64(max(triedAll, 1))
	engineSeconds := float64(len(cluster.engines)) * (arrivalsTime - warmUp).Seconds()
	figures.Goodput = 100 * good / engineSeconds / cluster.capacity
	figures.Utilisation = cluster.prefilled / fullPrefillPerS / engineSeconds
	return figures
}

// goodWork is the work of a request that finished in time while arrivals were
// counted, in seconds of an engine.
func (request *request) goodWork() float64 {
	if !request.finished || request.ended < warmUp || request.ended >= arrivalsTime {
		return 0
	}
	return request.arrival.cost()
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// served is the share of the requests that keep says yes to which finished in
// time.
func (cluster *cluster) served(keep func(*arrival) bool) float64 {
	served, all := 0, 0
	for _, request := range cluster.requests {
		if request.counted() && keep(request.arrival) {
			all++
			served += count(request.finished)
		}
	}
	return share(served, all)
}

// shortP99 is the short p99 of the requests that keep says yes to.
func (cluster *cluster) shortP99(keep func(*arrival) bool) float64 {
	values := histogram()
	for _, request := range cluster.requests {
		if request.counted() && request.arrival.class == peridotpath.Short && keep(request.arrival) {
			_ = values.RecordValue(request.latency().Microseconds())
		}
	}
	return quantile(values, 99)
}

// Scores weigh the two deployments' wishes into one number, lower is better:
// the claims desk weighs time to first token over all lengths, the
// transcribers the slowdown of short requests.
func (figures *Figures) Scores() (claims, transcribers float64) {
	const heavy, light = 0.7, 0.3
	claims = heavy*figures.Stretch + light*figures.ShortSlowdown
	transcribers = heavy*figures.ShortSlowdown + light*figures.Stretch
	return claims, transcribers
}

// Line writes the figures as key=value pairs.
func (figures *Figures) Line() string {
	var line strings.Builder
	add := func(key, format string, value any) {
		fmt.Fprintf(&line, " %s="+format, key, value)
	}
	fmt.Fprintf(&line, "policy=%s load=%s offered_pct=%d", figures.Policy, figures.Load, figures.Offered)
	for class, name := range []string{"short", "medium", "long"} {
		add("ttft_"+name+"_p50_ms", "%.0f", figures.P50[class])
		add("ttft_"+name+"_p95_ms", "%.0f", figures.P95[class])
		add("ttft_"+name+"_p99_ms", "%.0f", figures.P99[class])
	}
	add("ttft_long_admitted_p99_ms", "%.0f", figures.LongAdmittedP99)
	add("ttft_stretch_p99", "%.2f", figures.Stretch)
	add("short_slowdown", "%.3f", figures.ShortSlowdown)
	add("long_in_time", "%.4f", figures.LongInTime)
	add("admitted_in_time", "%.4f", figures.InTime)
	add("goodput_pct", "%.1f", figures.Goodput)
	add("unfair", "%.3f", figures.Unfair)
	add("others_served", "%.4f", figures.OthersServed)
	add("amplification", "%.4f", figures.Amplification)
	add("returned", "%d", figures.Returned)
	add("returned_admitted", "%.4f", figures.ReturnedAdmitted)
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
