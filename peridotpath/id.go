package peridotpath

import "time"

// Identifiers. All are opaque to the code that carries them.
type (
	// InstanceID names one of the system's own processes.
	InstanceID string
	// DataCentre names the data centre that an Instance or Endpoint stands in.
	DataCentre string
	// CustomerID names a Customer.
	CustomerID string
	// EndpointID names an Endpoint.
	EndpointID string
	// Service names a group of interchangeable endpoints, such as "claims-llm".
	Service string
	// ProfileName names a Profile.
	ProfileName string
	// RequestID names one request of one caller through every process.
	RequestID string
)

// Units.
type (
	// Tokens counts tokens of a prompt, an answer, or KV cache.
	Tokens int64
	// Bytes counts bytes.
	Bytes int64
	// Rate is requests a second.
	Rate float64
	// Millis is a span in milliseconds, as settings and documents write it.
	Millis int64
	// Revision numbers the accepted states of one configuration document;
	// it only grows.
	Revision uint64
	// Incarnation tells two runs of the same Instance apart; a later run has a
	// higher number.
	Incarnation uint64
	// FencingNumber orders the holders of one lease; a later holder has a
	// higher number.
	FencingNumber uint64
)

// Duration returns the span as a time.Duration.
func (millis Millis) Duration() time.Duration {
	return time.Duration(millis) * time.Millisecond
}
