package order

import (
	"time"

	"peridotpath.example/peridotpath"
)

// Settings hold a Reconciler's intervals and limits.
type Settings struct {
	// IntervalMS is the time between two reads of the engines' states.
	IntervalMS peridotpath.Millis `json:"interval_ms"`
	// ReadTimeoutMS bounds the read of the desired state, and that of the
	// engines' states.
	ReadTimeoutMS peridotpath.Millis `json:"read_timeout_ms"`
	// LongestOrderMS is the time limit of one order. It must equal the setting
	// of the same name of the lease.
	LongestOrderMS peridotpath.Millis `json:"longest_order_ms"`
	// LoadsPerMinute bounds the rate at which orders that read from the weight
	// store start, MaxConcurrentLoads how many of them run concurrently.
	LoadsPerMinute     int `json:"loads_per_minute"`
	MaxConcurrentLoads int `json:"max_loads"`
}

// Defaults sets the fields that are zero.
func (settings *Settings) Defaults() {
	peridotpath.SetDefault(&settings.IntervalMS, 2_000)
	peridotpath.SetDefault(&settings.ReadTimeoutMS, 1_000)
	peridotpath.SetDefault(&settings.LongestOrderMS, 30_000)
	peridotpath.SetDefault(&settings.LoadsPerMinute, 12)
	peridotpath.SetDefault(&settings.MaxConcurrentLoads, 2)
}

// Validate returns every fault by field.
func (settings *Settings) Validate(prefix string) peridotpath.Faults {
	var faults peridotpath.Faults
	faults.Range(prefix+".interval_ms", int64(settings.IntervalMS), 100, time.Minute.Milliseconds())
	faults.Range(prefix+".read_timeout_ms", int64(settings.ReadTimeoutMS), 10, time.Minute.Milliseconds())
	faults.Range(prefix+".longest_order_ms", int64(settings.LongestOrderMS), 1_000, time.Hour.Milliseconds())
	faults.Range(prefix+".loads_per_minute", int64(settings.LoadsPerMinute), 1, 10_000)
	faults.Range(prefix+".max_loads", int64(settings.MaxConcurrentLoads), 1, 1_000)
	return faults
}
