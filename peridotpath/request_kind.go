package peridotpath

// RequestKind groups requests by what may be done when one fails midway.
type RequestKind uint8

// The kinds.
const (
	KindStream     RequestKind = iota // an event stream, which may go on elsewhere
	KindRepeatable                    // may run more than once
	KindOnce                          // may run once
	RequestKinds                      // how many kinds there are
)

var requestKindNames = [RequestKinds]string{"stream", "repeatable", "once"}

// String returns the kind's name as in logs and metrics.
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
