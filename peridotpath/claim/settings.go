package claim

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/keyvalue"
)

// Settings are the limits of a Ledger. They must be equal on all instances of a deployment.
type Settings struct {
	// Buckets is the number of values that the keys are spread over. It must not change
	// while the store has any records.
	Buckets int `json:"buckets"`
	// RetentionMS is how long a key is kept after its request ended.
	RetentionMS peridotpath.Millis `json:"retention_ms"`
	// ClockMarginMS is the maximum difference between the instances' wall clocks. Keys are
	// kept this much longer than RetentionMS.
	ClockMarginMS peridotpath.Millis `json:"clock_margin_ms"`
	// DispatchWindowMS is how long a granted claim may be dispatched, from the time before its
	// write was sent. It is also how long other instances wait before they mark the
	// outcome of a dead instance's claim unknown.
	DispatchWindowMS peridotpath.Millis `json:"dispatch_ms"`
	// ClaimTimeoutMS is how long a caller waits for a claim.
	ClaimTimeoutMS peridotpath.Millis `json:"claim_timeout_ms"`
	// DrainTimeoutMS is how long Close continues to record the ends of claims.
	DrainTimeoutMS peridotpath.Millis `json:"drain_ms"`
	// BucketCallsPerSecond bounds the store calls of this process for one bucket.
	BucketCallsPerSecond int `json:"calls_per_second"`
	// MaxOpenClaims bounds the claims of this process whose end is not recorded in the store,
	// including refused claims that still have to be released.
	MaxOpenClaims int `json:"max_open"`
	// MaxBucketRecords and MaxBucketBytes bound the size of one bucket.
	MaxBucketRecords int               `json:"max_records"`
	MaxBucketBytes   peridotpath.Bytes `json:"max_bytes"`
	// MaxStoredAnswerBytes is the largest answer that is kept in the store, counted over body and
	// headers.
	MaxStoredAnswerBytes peridotpath.Bytes `json:"max_answer"`
	// AnswerCacheBytes bounds this process's cache of larger answers, in bytes.
	AnswerCacheBytes peridotpath.Bytes `json:"answer_memory"`
	// StoredHeaders are the names of the headers that are kept with an answer.
	StoredHeaders []string `json:"headers"`
}

// Defaults sets the fields that are zero to their defaults.
func (settings *Settings) Defaults() {
	peridotpath.SetDefault(&settings.Buckets, 64)
	peridotpath.SetDefault(&settings.RetentionMS, peridotpath.Millis((24 * time.Hour).Milliseconds()))
	peridotpath.SetDefault(&settings.ClockMarginMS, peridotpath.Millis((5 * time.Minute).Milliseconds()))
	peridotpath.SetDefault(&settings.DispatchWindowMS, 10_000)
	peridotpath.SetDefault(&settings.ClaimTimeoutMS, 8_000)
	peridotpath.SetDefault(&settings.DrainTimeoutMS, 5_000)
	peridotpath.SetDefault(&settings.BucketCallsPerSecond, 4)
	peridotpath.SetDefault(&settings.MaxOpenClaims, 10_000)
	peridotpath.SetDefault(&settings.MaxBucketRecords, 10_000)
	peridotpath.SetDefault(&settings.MaxBucketBytes, 900<<10)
	peridotpath.SetDefault(&settings.MaxStoredAnswerBytes, 1<<10)
	peridotpath.SetDefault(&settings.AnswerCacheBytes, 32<<20)
	if settings.StoredHeaders == nil {
		settings.StoredHeaders = []string{"Content-Type", "Content-Encoding", "Etag", "Location"}
	}
}

// Validate returns every fault by field.
func (settings *Settings) Validate(prefix string) peridotpath.Faults {
	const day = int64(24 * time.Hour / time.Millisecond)
	var faults peridotpath.Faults
	faults.Range(prefix+".buckets", int64(settings.Buckets), 1, 4096)
	// A record must be kept much longer than its claim may be dispatched, or the key could
	// expire and be granted again while a frozen claimer can still dispatch it.
	faults.Range(prefix+".retention_ms", int64(settings.RetentionMS), 10*int64(settings.DispatchWindowMS), 30*day)
	faults.Range(prefix+".clock_margin_ms", int64(settings.ClockMarginMS), 1_000, day)
	faults.Range(prefix+".dispatch_ms", int64(settings.DispatchWindowMS), 1_000, 60_000)
	faults.Range(prefix+".claim_timeout_ms", int64(settings.ClaimTimeoutMS), 100, int64(settings.DispatchWindowMS))
	faults.Range(prefix+".drain_ms", int64(settings.DrainTimeoutMS), 1, 60_000)
	faults.Range(prefix+".calls_per_second", int64(settings.BucketCallsPerSecond), 1, 100)
	faults.Range(prefix+".max_open", int64(settings.MaxOpenClaims), 1, 1_000_000)
	faults.Range(prefix+".max_records", int64(settings.MaxBucketRecords), 1, 100_000)
	faults.Range(prefix+".max_bytes", int64(settings.MaxBucketBytes), 1<<10, keyvalue.MaxValueBytes-(64<<10))
	faults.Range(prefix+".max_answer", int64(settings.MaxStoredAnswerBytes), 0, 16<<10)
	faults.Range(prefix+".answer_memory", int64(settings.AnswerCacheBytes), 0, 1<<30)
	return faults
}
