package peridotpath

// RequestKind groups requests by how they may be retried after a partial failure.
type RequestKind uint8

// The kinds.
const (
	KindStream     RequestKind = iota // an event stream, which another endpoint may continue
	KindRepeatable                    // may run more than once
	KindOnce                          // must not run more than once
	RequestKinds                      // the number of kinds
)

var requestKindNames = [RequestKinds]string{"stream", "repeatable", "once"}

// String returns the name of the kind in logs and metrics.
func (kind RequestKind) String() string {
	if kind >= RequestKinds {
		return "unknown"
	}
	return requestKindNames[kind]
}

// Kind returns the kind of a route's requests.
func (route *Route) Kind() RequestKind {
	switch {
	case !route.Repeatable():
		return KindOnce
	case route.Streaming:
		return KindStream
	default:
		return KindRepeatable
	}
}
