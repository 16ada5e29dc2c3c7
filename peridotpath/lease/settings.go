package lease

import "peridotpath.example/peridotpath"

// Settings are a Holder's times. All instances of a deployment have the same.
type Settings struct {
	// TTLMS is how long the platform keeps the lease after a renewal.
	TTLMS peridotpath.Millis `json:"ttl_ms"`
	// MarginMS is how much earlier the holder stops by its own clock.
	MarginMS peridotpath.Millis `json:"margin_ms"`
	// LongestOrderMS is the longest time that an order may take.
	LongestOrderMS peridotpath.Millis `json:"longest_order_ms"`
	// WaitMS is how long a standby's watch waits.
	WaitMS peridotpath.Millis `json:"wait_ms"`
}

// Defaults fills what was left out.
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
	// A lease is renewed after a third of its time; what is left then must be
	// enough for an order, or the longest ones would never be finished.
	faults.Range(prefix+".longest_order_ms", int64(settings.LongestOrderMS), 1_000, int64(settings.TTLMS*2/3-settings.MarginMS))
	faults.Range(prefix+".wait_ms", int64(settings.WaitMS), 1_000, 60_000)
	return faults
}
