package order

import (
	"time"

	"peridotpath.example/peridotpath"
)

// Settings are a Reconciler's limits.
type Settings struct {
	// IntervalMS is the time from one look at the engines to the next.
	IntervalMS peridotpath.Millis `json:"interval_ms"`
	// ReadTimeoutMS is how long an engine may take to tell its state.
	ReadTimeoutMS peridotpath.Millis `json:"read_timeout_ms"`
	// LongestOrderMS is the longest time an order may take; the lease's
	// setting has the same value.
	LongestOrderMS peridotpath.Millis `json:"longest_order_ms"`
	// LoadsPerMinute and MaxLoads bound the orders that read from the weight
	// store, begun and at once.
	LoadsPerMinute int `json:"loads_per_minute"`
	MaxLoads       int `json:"max_loads"`
}

// Defaults fills what was left out.
func (settings *Settings) Defaults() {
	peridotpath.SetDefault(&settings.IntervalMS, 2_000)
	peridotpath.SetDefault(&settings.ReadTimeoutMS, 1_000)
	peridotpath.SetDefault(&settings.LongestOrderMS, 30_000)
	peridotpath.SetDefault(&settings.LoadsPerMinute, 12)
	peridotpath.SetDefault(&settings.MaxLoads, 2)
}

// Validate returns every fault by field.
func (settings *Settings) Validate(prefix string) peridotpath.Faults {
	var faults peridotpath.Faults
	faults.Range(prefix+".interval_ms", int64(settings.IntervalMS), 100, time.Minute.Milliseconds())
	faults.Range(prefix+".read_timeout_ms", int64(settings.ReadTimeoutMS), 10, time.Minute.Milliseconds())
	faults.Range(prefix+".longest_order_ms", int64(settings.LongestOrderMS), 1_000, time.Hour.Milliseconds())
	faults.Range(prefix+".loads_per_minute", int64(settings.LoadsPerMinute), 1, 10_000)
	faults.Range(prefix+".max_loads", int64(settings.MaxLoads), 1, 1_000)
	return faults
}
