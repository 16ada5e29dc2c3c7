package lease

import "peridotpath.example/peridotpath"

// Settings are the times of a Holder. All instances of a deployment must use the same.
type Settings struct {
	// TTLMS is how long the platform keeps the lease after a renewal.
	TTLMS peridotpath.Millis `json:"ttl_ms"`
	// MarginMS is the clock margin: how much earlier the holder stops by its own clock.
	MarginMS peridotpath.Millis `json:"margin_ms"`
	// LongestOrderMS bounds the time that an order may take.
	LongestOrderMS peridotpath.Millis `json:"longest_order_ms"`
	// WaitMS is the timeout of a standby's watch.
	WaitMS peridotpath.Millis `json:"wait_ms"`
}

// Defaults fills every field that was left zero.
func (settings *Settings) Defaults() {
	peridotpath.SetDefault(&settings.TTLMS, 60_000)
	peridotpath.SetDefault(&settings.MarginMS, 5_000)
	peridotpath.SetDefault(&settings.LongestOrderMS, 30_000)
	peridotpath.SetDefault(&settings.WaitMS, 10_000)
}

// Validate returns every fault by field.
func (settings *Settings) Validate(prefix string) peridotpath.Faults {
	var faults peridotpath.Faults
	faults.Range(prefix+".ttl_ms", int64(settings.TTLMS), 2_000, 300_000)
	faults.Range(prefix+".margin_ms", int64(settings.MarginMS), 100, int64(settings.TTLMS/2))
	// A lease is renewed after a third of its TTL. The rest, less the margin, must
	// cover an order, or the longest orders could never finish.
	faults.Range(prefix+".longest_order_ms", int64(settings.LongestOrderMS), 1_000, int64(settings.TTLMS*2/3-settings.MarginMS))
	faults.Range(prefix+".wait_ms", int64(settings.WaitMS), 1_000, 60_000)
	return faults
}
