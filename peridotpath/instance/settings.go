// Package instance assembles one instance of the relay from its parts and runs it: the
// listeners, gossip with the other instances, the followers of the store, and request
// placement.
//
// It decides how often the store is read, when the instance reports itself ready, and how
// it shuts down. It matters with many instances on one store: their reads are ordered and
// spread so that one instance reads a change and the others receive it by gossip.
package instance

import (
	"net/netip"
	"time"

	"peridotpath.example/peridotpath"
)

// Settings are the settings of one instance.
type Settings struct {
	InstanceID peridotpath.InstanceID
	DataCentre peridotpath.DataCentre
	// CallerAddress is the listen address for callers, ReadyAddress the one for the load
	// balancer's readiness checks.
	CallerAddress, ReadyAddress netip.AddrPort
	// PeerAddress is the listen address for gossip, over UDP.
	PeerAddress netip.AddrPort
	// SnapshotAddress is the listen address, over TCP, at which other instances fetch the
	// snapshot of the store that this one holds.
	SnapshotAddress netip.AddrPort
	// MetricsAddress is the listen address for metrics in text form.
	MetricsAddress netip.AddrPort
	// StoreAddress is the address of the platform's key-value service.
	StoreAddress netip.AddrPort
	// Memory is the memory limit of the process, beyond which it is killed.
	Memory peridotpath.Bytes
	// MaxDescriptors is the number of descriptors that the process may have open, those of files
	// included.
	MaxDescriptors int
	// Grace is the time for a planned shutdown, after which the process is killed.
	Grace time.Duration
	// KeyLifetime is how long an API key may still be used after it was revoked.
	KeyLifetime time.Duration
	// RetryRatio and RetrySlack are the retry budget of all instances together in any span
	// of RetryWindow: a ratio of the requests, and a constant on top.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	// MaxHold is the longest TTL of a KV cache reservation that engines accept.
	MaxHold time.Duration
	// MaxPropagationDelay is the time within which a change of the routing or of the endpoints
	// must be active.
	MaxPropagationDelay time.Duration
	// DrainTime is the time within which a drain of a data centre must be active; zero where
	// operators drain none.
	DrainTime time.Duration
	// StallTime is how long an engine's work stalls when another engine that it depends on is
	// unreachable.
	StallTime time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

const (
	mebibyte = 1 << 20

	// The defaults are the strictest values of the users' deployments.
	defaultMemory              = 184 * mebibyte
	defaultMaxDescriptors      = 4100
	defaultGrace               = 8 * time.Second
	defaultKeyLifetime         = 5 * time.Second
	defaultRetryWindow         = 10 * time.Second
	defaultMaxHold             = 20 * time.Second
	defaultMaxPropagationDelay = 2 * time.Second
	defaultStallTime           = 1500 * time.Millisecond
	defaultLogLevel            = "info"

	// minMemory is twice the memory of the process without any request.
	minMemory = 48 * mebibyte
	// minDescriptors leaves each port some connections beside the files.
	minDescriptors = 500
)

// Defaults sets every optional field that is zero.
func (settings *Settings) Defaults() {
	peridotpath.SetDefault(&settings.Memory, defaultMemory)
	peridotpath.SetDefault(&settings.MaxDescriptors, defaultMaxDescriptors)
	peridotpath.SetDefault(&settings.Grace, defaultGrace)
	peridotpath.SetDefault(&settings.KeyLifetime, defaultKeyLifetime)
	peridotpath.SetDefault(&settings.RetryWindow, defaultRetryWindow)
	peridotpath.SetDefault(&settings.MaxHold, defaultMaxHold)
	peridotpath.SetDefault(&settings.MaxPropagationDelay, defaultMaxPropagationDelay)
	peridotpath.SetDefault(&settings.StallTime, defaultStallTime)
	peridotpath.SetDefault(&settings.LogLevel, defaultLogLevel)
}

// Validate returns the faults of all fields.
func (settings *Settings) Validate() peridotpath.Faults {
	var faults peridotpath.Faults
	if settings.InstanceID == "" {
		faults.Add("instance_id", "must be given")
	}
	if settings.DataCentre == "" {
		faults.Add("data_centre", "must be given")
	}
	faults.Range("memory", int64(settings.Memory), minMemory, 1<<40)
	faults.Range("max_descriptors", int64(settings.MaxDescriptors), minDescriptors, 10_000_000)
	faults.Range("grace_ms", settings.Grace.Milliseconds(), 1000, 600_000)
	faults.Range("key_lifetime_ms", settings.KeyLifetime.Milliseconds(), 1000, 3_600_000)
	faults.Range("retry_window_ms", settings.RetryWindow.Milliseconds(), 100, 3_600_000)
	faults.Range("retry_slack", int64(settings.RetrySlack), 0, 1_000_000)
	faults.Range("max_hold_ms", settings.MaxHold.Milliseconds(), 100, 3_600_000)
	faults.Range("change_within_ms", settings.MaxPropagationDelay.Milliseconds(), 500, 600_000)
	faults.Range("drain_ms", settings.DrainTime.Milliseconds(), 0, 600_000)
	faults.Range("stall_ms", settings.StallTime.Milliseconds(), 10, 60_000)
	if settings.RetryRatio < 0 || settings.RetryRatio > 1 {
		faults.Add("retry_ratio", "is %v, must be from 0 to 1", settings.RetryRatio)
	}
	return faults
}
