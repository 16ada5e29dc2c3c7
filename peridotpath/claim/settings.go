package claim

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/keyvalue"
)

// Settings are a Ledger's limits. All instances of a deployment have the same.
type Settings struct {
	// Buckets is how many values the keys are spread over. It stays the same
	// for as long as the ledger holds anything.
	Buckets int `json:"buckets"`
	// RetentionMS is how long a key is remembered after its request ended.
	RetentionMS peridotpath.Millis `json:"retention_ms"`
	// ClockMarginMS is how far the instances' wall clocks may be apart. Keys
	// are kept this much longer than RetentionMS.
	ClockMarginMS peridotpath.Millis `json:"clock_margin_ms"`
	// DispatchMS is how long a granted claim may be dispatched, from before
	// its write was sent. It is also how long an instance that is taken for
	// dead is waited for before an outcome is called unknown.
	DispatchMS peridotpath.Millis `json:"dispatch_ms"`
	// ClaimTimeoutMS is how long a caller waits for a claim.
	ClaimTimeoutMS peridotpath.Millis `json:"claim_timeout_ms"`
	// DrainMS is how long Close goes on recording ends.
	DrainMS peridotpath.Millis `json:"drain_ms"`
	// CallsPerSecond bounds the platform calls of one bucket in this process.
	CallsPerSecond int `json:"calls_per_second"`
	// MaxOpen bounds the claims of this process that have not ended on the
	// platform, among them those it still has to release.
	MaxOpen int `json:"max_open"`
	// MaxRecords and MaxBytes bound one bucket.
	MaxRecords int               `json:"max_records"`
	MaxBytes   peridotpath.Bytes `json:"max_bytes"`
	// MaxAnswer is the largest answer, in bytes of body and headers, that is
	// kept on the platform.
	MaxAnswer peridotpath.Bytes `json:"max_answer"`
	// AnswerMemory is what this process keeps of larger answers.
	AnswerMemory peridotpath.Bytes `json:"answer_memory"`
	// Headers are the header names kept with an answer.
	Headers []string `json:"headers"`
}

// Defaults fills what was left out.
func (settings *Settings) Defaults() {
	peridotpath.SetDefault(&settings.Buckets, 64)
	peridotpath.SetDefault(&settings.RetentionMS, peridotpath.Millis((24 * time.Hour).Milliseconds()))
	peridotpath.SetDefault(&settings.ClockMarginMS, peridotpath.Millis((5 * time.Minute).Milliseconds()))
	peridotpath.SetDefault(&settings.DispatchMS, 10_000)
	peridotpath.SetDefault(&settings.ClaimTimeoutMS, 8_000)
	peridotpath.SetDefault(&settings.DrainMS, 5_000)
	peridotpath.SetDefault(&settings.CallsPerSecond, 4)
	peridotpath.SetDefault(&settings.MaxOpen, 10_000)
	peridotpath.SetDefault(&settings.MaxRecords, 10_000)
	peridotpath.SetDefault(&settings.MaxBytes, 900<<10)
	peridotpath.SetDefault(&settings.MaxAnswer, 1<<10)
	peridotpath.SetDefault(&settings.AnswerMemory, 32<<20)
	if settings.Headers == nil {
		settings.Headers = []string{"Content-Type", "Content-Encoding", "Etag", "Location"}
	}
}

// Validate returns every fault by field.
func (settings *Settings) Validate(prefix string) peridotpath.Faults {
	const day = int64(24 * time.Hour / time.Millisecond)
	var faults peridotpath.Faults
	faults.Range(prefix+".buckets", int64(settings.Buckets), 1, 4096)
	// Within the retention a frozen claimer must have run out of time.
	faults.Range(prefix+".retention_ms", int64(settings.RetentionMS), 10*int64(settings.DispatchMS), 30*day)
	faults.Range(prefix+".clock_margin_ms", int64(settings.ClockMarginMS), 1_000, day)
	faults.Range(prefix+".dispatch_ms", int64(settings.DispatchMS), 1_000, 60_000)
	faults.Range(prefix+".claim_timeout_ms", int64(settings.ClaimTimeoutMS), 100, int64(settings.DispatchMS))
	faults.Range(prefix+".drain_ms", int64(settings.DrainMS), 1, 60_000)
	faults.Range(prefix+".calls_per_second", int64(settings.CallsPerSecond), 1, 100)
	faults.Range(prefix+".max_open", int64(settings.MaxOpen), 1, 1_000_000)
	faults.Range(prefix+".max_records", int64(settings.MaxRecords), 1, 100_000)
	faults.Range(prefix+".max_bytes", int64(settings.MaxBytes), 1<<10, keyvalue.MaxValueBytes-(64<<10))
	faults.Range(prefix+".max_answer", int64(settings.MaxAnswer), 0, 16<<10)
	faults.Range(prefix+".answer_memory", int64(settings.AnswerMemory), 0, 1<<30)
	return faults
}
