// Package settings reads and validates the settings file of peridotd, the only source of
// an instance's addresses and data centre. Validation reports all faults at once, so that
// an operator can correct the file in one go.
package settings

import (
	"net/netip"
	"os"

	"github.com/rs/zerolog"
	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/strictjson"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// Settings are one instance's settings. Fields without omitempty are required.
type Settings struct {
	InstanceID peridotpath.InstanceID `json:"instance_id"`
	DataCentre peridotpath.DataCentre `json:"data_centre"`
	// CallerAddress is the listen address for callers and the balancer's probes.
	CallerAddress netip.AddrPort `json:"caller_address"`
	// PeerAddress is the listen address for other instances and operators.
	PeerAddress netip.AddrPort `json:"peer_address"`
	// KeyValueAddress is the address of the platform's key-value service.
	KeyValueAddress netip.AddrPort `json:"key_value_address"`
	// MembershipAddress is the address of the platform's membership service.
	MembershipAddress netip.AddrPort `json:"membership_address"`
	// Limits bound the instance's memory and connections.
	Limits Limits `json:"limits,omitempty"`
	// Drain sets the delays of a graceful shutdown.
	Drain Drain `json:"drain,omitempty"`
	// ConfigReaders is how many instances of a data centre watch the platform.
	ConfigReaders int `json:"config_readers,omitempty"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level,omitempty"`
}

// Limits bound an instance's memory and connections.
type Limits struct {
	// BodyMemoryBytes bounds the memory of all request bodies together.
	BodyMemoryBytes peridotpath.Bytes `json:"body_memory_bytes,omitempty"`
	// MaxBodyBytes bounds one request body.
	MaxBodyBytes peridotpath.Bytes `json:"max_body_bytes,omitempty"`
	// MaxHeaderBytes bounds one request's headers.
	MaxHeaderBytes peridotpath.Bytes `json:"max_header_bytes,omitempty"`
	// HeadMemoryBytes bounds the memory of the heads of all callers' requests together.
	HeadMemoryBytes peridotpath.Bytes `json:"head_memory_bytes,omitempty"`
	// AnswerMemoryBytes bounds the memory of the answers of engines that are held whole, and of large events of
	// streams, together.
	AnswerMemoryBytes peridotpath.Bytes `json:"answer_memory_bytes,omitempty"`
	// MaxConnections bounds the number of callers' connections.
	MaxConnections int `json:"max_connections,omitempty"`
}

// Drain sets the delays of a graceful shutdown. Requests in flight are not limited by them,
// only by their own deadlines.
type Drain struct {
	// BalancerNoticeMS is how long new requests are still served after the readiness
	// probe has turned to not ready, so that the balancer can take the instance out.
	BalancerNoticeMS peridotpath.Millis `json:"balancer_notice_ms,omitempty"`
	// HandoverMS is how long requests of peers are still served after the last caller's
	// request.
	HandoverMS peridotpath.Millis `json:"handover_ms,omitempty"`
}

// The bounds and the defaults of the limits.
const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	gibibyte = 1 << 30

	// defaultMaxBodyBytes fits a prompt of a million tokens, which is 4 to 6 MB.
	defaultMaxBodyBytes = 16 * mebibyte
	// defaultBodyMemoryBytes fits about forty of the longest prompts.
	defaultBodyMemoryBytes = 256 * mebibyte
	defaultMaxHeaderBytes  = 64 * kibibyte
	// headMemoryDivisor divides the memory of bodies into that of heads, where none is set.
	headMemoryDivisor  = 4
	minHeadMemoryBytes = 4 * mebibyte
	// answerMemoryDivisor divides the memory of bodies into that of answers, where none is set.
	answerMemoryDivisor = 2
	// minAnswerMemoryBytes fits the largest answer, and others beside it.
	minAnswerMemoryBytes    = 32 * mebibyte
	defaultMaxConnections   = 20_000
	defaultBalancerNoticeMS = 5_000
	defaultHandoverMS       = 1_000
	defaultConfigReaders    = 2
	defaultLogLevel         = "info"
)

// Read parses the settings file at path. The error lists every fault.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	settings, faults := Parse(text)
	if err := faults.OrNil(); err != nil {
		return nil, Error.New("%s:\n%w", path, err)
	}
	return settings, nil
}

// Parse parses the settings in text, fills in defaults, and returns every fault.
func Parse(text []byte) (*Settings, peridotpath.Faults) {
	settings := &Settings{}
	faults := strictjson.Decode(text, settings, strictjson.RequireAll)
	settings.Defaults()
	return settings, faults.Merge(settings.Validate())
}

// Defaults fills every optional field that was left zero.
func (settings *Settings) Defaults() {
	limits, drain := &settings.Limits, &settings.Drain
	peridotpath.SetDefault(&limits.BodyMemoryBytes, defaultBodyMemoryBytes)
	peridotpath.SetDefault(&limits.MaxBodyBytes, defaultMaxBodyBytes)
	peridotpath.SetDefault(&limits.MaxHeaderBytes, defaultMaxHeaderBytes)
	peridotpath.SetDefault(&limits.HeadMemoryBytes, max(minHeadMemoryBytes, limits.BodyMemoryBytes/headMemoryDivisor))
	peridotpath.SetDefault(&limits.AnswerMemoryBytes, max(minAnswerMemoryBytes, limits.BodyMemoryBytes/answerMemoryDivisor))
	peridotpath.SetDefault(&limits.MaxConnections, defaultMaxConnections)
	peridotpath.SetDefault(&drain.BalancerNoticeMS, defaultBalancerNoticeMS)
	peridotpath.SetDefault(&drain.HandoverMS, defaultHandoverMS)
	peridotpath.SetDefault(&settings.ConfigReaders, defaultConfigReaders)
	peridotpath.SetDefault(&settings.LogLevel, defaultLogLevel)
}

// Validate returns every fault with the path of its field.
func (settings *Settings) Validate() peridotpath.Faults {
	var faults peridotpath.Faults
	peridotpath.CheckName(&faults, "instance_id", string(settings.InstanceID))
	peridotpath.CheckName(&faults, "data_centre", string(settings.DataCentre))
	settings.checkAddresses(&faults)
	limits, drain := settings.Limits, settings.Drain
	faults.Range("limits.body_memory_bytes", int64(limits.BodyMemoryBytes), int64(limits.MaxBodyBytes), 64*gibibyte)
	faults.Range("limits.max_body_bytes", int64(limits.MaxBodyBytes), mebibyte, 64*mebibyte)
	faults.Range("limits.max_header_bytes", int64(limits.MaxHeaderBytes), 4*kibibyte, mebibyte)
	faults.Range("limits.head_memory_bytes", int64(limits.HeadMemoryBytes), minHeadMemoryBytes, 64*gibibyte)
	faults.Range("limits.answer_memory_bytes", int64(limits.AnswerMemoryBytes), minAnswerMemoryBytes, 64*gibibyte)
	faults.Range("limits.max_connections", int64(limits.MaxConnections), 10, 1_000_000)
	faults.Range("drain.balancer_notice_ms", int64(drain.BalancerNoticeMS), 1, 120_000)
	faults.Range("drain.handover_ms", int64(drain.HandoverMS), 1, 120_000)
	faults.Range("config_readers", int64(settings.ConfigReaders), 1, 10)
	settings.checkLogLevel(&faults)
	return faults
}

func (settings *Settings) checkAddresses(faults *peridotpath.Faults) {
	addresses := []struct {
		path    string
		address netip.AddrPort
	}{
		{"caller_address", settings.CallerAddress},
		{"peer_address", settings.PeerAddress},
		{"key_value_address", settings.KeyValueAddress},
		{"membership_address", settings.MembershipAddress},
	}
	seen := map[netip.AddrPort]string{}
	for _, entry := range addresses {
		if !entry.address.IsValid() || entry.address.Port() == 0 {
			faults.Add(entry.path, "must be an IP number and a port, such as 10.0.0.1:8080")
			continue
		}
		if first := seen[entry.address]; first != "" {
			faults.Add(entry.path, "is the same as %s", first)
		}
		seen[entry.address] = entry.path
	}
}

func (settings *Settings) checkLogLevel(faults *peridotpath.Faults) {
	switch settings.LogLevel {
	case zerolog.LevelDebugValue, zerolog.LevelInfoValue, zerolog.LevelWarnValue, zerolog.LevelErrorValue:
	default:
		faults.Add("log_level", "is %q, must be debug, info, warn or error", settings.LogLevel)
	}
}
