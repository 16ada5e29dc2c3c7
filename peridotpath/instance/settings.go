// Package instance joins the parts of one instance that relays requests to
// endpoints, and runs them.
package instance

import (
	"net/netip"
	"time"

	"peridotpath.example/peridotpath"
)

// Settings are one instance's settings.
type Settings struct {
	InstanceID peridotpath.InstanceID
	DataCentre peridotpath.DataCentre
	// CallerAddress is listened on for callers, ReadyAddress for the balancer's
	// question whether the instance takes new ones.
	CallerAddress, ReadyAddress netip.AddrPort
	// PeerAddress is listened on for other instances, over UDP.
	PeerAddress netip.AddrPort
	// ReadingsAddress is listened on for what other instances ask, over TCP.
	ReadingsAddress netip.AddrPort
	// MetricsAddress serves the metrics, as text.
	MetricsAddress netip.AddrPort
	// StoreAddress is where the platform's key-value service listens.
	StoreAddress netip.AddrPort
	// Memory is what the process may use; above it, it is killed.
	Memory peridotpath.Bytes
	// Grace is how long a planned stop may take; after it the process is killed.
	Grace time.Duration
	// KeyLifetime is how long after an API key was taken away it may still be used.
	KeyLifetime time.Duration
	// RetryRatio and RetrySlack bound the requests that all instances together
	// send once more, in any span of RetryWindow: so many for each request, and
	// so many on top.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
	// MaxHold is the longest span for which an engine reserves memory at a time.
	MaxHold time.Duration
	// ChangeWithin is the time within which a change of the routing or of the
	// endpoints must be in force.
	ChangeWithin time.Duration
	// Stall is how long an engine's work stands still when another engine that it
	// depends on is gone.
	Stall time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

const (
	mebibyte = 1 << 20

	// The defaults are the tighter of what the users' deployments set.
	defaultMemory      = 184 * mebibyte
	defaultGrace       = 8 * time.Second
	defaultKeyLifetime = 5 * time.Second
	defaultRetryWindow = 10 * time.Second
	defaultMaxHold     = 20 * time.Second
	defaultChange      = 2 * time.Second
	defaultStall       = 1500 * time.Millisecond
	defaultLogLevel    = "info"

	// minMemory is what the process needs with no request in it, doubled.
	minMemory = 48 * mebibyte
)

// Defaults fills every optional field that was left zero.
func (settings *Settings) Defaults() {
	peridotpath.SetDefault(&settings.Memory, defaultMemory)
	peridotpath.SetDefault(&settings.Grace, defaultGrace)
	peridotpath.SetDefault(&settings.KeyLifetime, defaultKeyLifetime)
	peridotpath.SetDefault(&settings.RetryWindow, defaultRetryWindow)
	peridotpath.SetDefault(&settings.MaxHold, defaultMaxHold)
	peridotpath.SetDefault(&settings.ChangeWithin, defaultChange)
	peridotpath.SetDefault(&settings.Stall, defaultStall)
	peridotpath.SetDefault(&settings.LogLevel, defaultLogLevel)
}

// Validate returns every fault by field.
func (settings *Settings) Validate() peridotpath.Faults {
	var faults peridotpath.Faults
	if settings.InstanceID == "" {
		faults.Add("instance_id", "must be given")
	}
	if settings.DataCentre == "" {
		faults.Add("data_centre", "must be given")
	}
	faults.Range("memory", int64(settings.Memory), minMemory, 1<<40)
	faults.Range("grace_ms", settings.Grace.Milliseconds(), 1000, 600_000)
	faults.Range("key_lifetime_ms", settings.KeyLifetime.Milliseconds(), 1000, 3_600_000)
	faults.Range("retry_window_ms", settings.RetryWindow.Milliseconds(), 100, 3_600_000)
	faults.Range("retry_slack", int64(settings.RetrySlack), 0, 1_000_000)
	faults.Range("max_hold_ms", settings.MaxHold.Milliseconds(), 100, 3_600_000)
	faults.Range("change_within_ms", settings.ChangeWithin.Milliseconds(), 500, 600_000)
	faults.Range("stall_ms", settings.Stall.Milliseconds(), 10, 60_000)
	if settings.RetryRatio < 0 || settings.RetryRatio > 1 {
		faults.Add("retry_ratio", "is %v, must be from 0 to 1", settings.RetryRatio)
	}
	return faults
}
