package peridotpath

import "time"

// Identifiers. All are opaque strings.
type (
	// InstanceID identifies an Instance, one peridotd process.
	InstanceID string
	// DataCentre names the data centre of an Instance or Endpoint.
	DataCentre string
	// CustomerID identifies a Customer.
	CustomerID string
	// EndpointID identifies an Endpoint.
	EndpointID string
	// Service names a group of interchangeable endpoints, such as "claims-llm".
	Service string
	// ProfileName names a Profile.
	ProfileName string
	// RequestID identifies one client request in every process that handles it.
	RequestID string
)

// Units.
type (
	// Tokens counts tokens of a prompt, an answer, or KV cache.
	Tokens int64
	// Bytes counts bytes.
	Bytes int64
	// Rate is requests per second.
	Rate float64
	// Millis is a duration in milliseconds, the unit of settings and documents.
	Millis int64
	// Revision numbers the accepted states of one configuration document. It is
	// monotonic.
	Revision uint64
	// Incarnation distinguishes runs of the same Instance or Endpoint; a later run of
	// an Instance has a higher number.
	Incarnation uint64
	// FencingNumber is the fencing token of a lease; a later holder has a higher one.
	FencingNumber uint64
)

// Duration returns the duration as a time.Duration.
func (millis Millis) Duration() time.Duration {
	return time.Duration(millis) * time.Millisecond
}
