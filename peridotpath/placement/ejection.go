package placement

import (
	"time"

	"peridotpath.example/peridotpath"
)

const (
	// baseEjectionTime is how long an endpoint is ejected after a failure. It doubles
	// with each consecutive failure, up to maxEjectionTime. A removed endpoint then
	// costs few requests until its removal arrives from the store, and an endpoint that
	// recovered is used again within seconds.
	baseEjectionTime = 500 * time.Millisecond
	maxEjectionTime  = 4 * time.Second
	// ejectionMemory is how long after its end an ejection still lengthens the next one.
	ejectionMemory = time.Minute
	// fullEjectionTime is how long an endpoint is ejected after it reported that it is
	// full: about the time in which some of its requests end.
	fullEjectionTime = 200 * time.Millisecond
)

// ejectionState is the outlier ejection of one endpoint.
type ejectionState struct {
	until    time.Time
	failures int
	// gossiped is set when the ejection is sent to peers. The ejection of a full endpoint
	// is not sent, because the endpoint rejects the requests of each instance and so
	// reports to each that it is full.
	gossiped bool
}

// EjectFailed ejects an endpoint after a failure: no connection, no answer, or a malformed
// one. Peers receive the ejection, so that their requests do not fail there as well.
func (tracker *LoadTracker) EjectFailed(key peridotpath.EndpointKey, now time.Time) {
	tracker.mutex.Lock()
	ejection := tracker.ejections[key]
	ejection.until = now.Add(min(baseEjectionTime<<min(ejection.failures, 10), maxEjectionTime))
	ejection.failures++
	ejection.gossiped = true
	tracker.setEjection(key, ejection)
	tracker.mutex.Unlock()
	tracker.notifyChanged()
}

// EjectFull ejects an endpoint that rejected a request because it is full.
func (tracker *LoadTracker) EjectFull(key peridotpath.EndpointKey, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	ejection := tracker.ejections[key]
	if until := now.Add(fullEjectionTime); until.After(ejection.until) {
		ejection.until = until
	}
	tracker.setEjection(key, ejection)
}

// ClearEjection ends an endpoint's ejection after a valid answer, unless the endpoint was
// ejected only because it is full.
func (tracker *LoadTracker) ClearEjection(key peridotpath.EndpointKey) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if ejection, ok := tracker.ejections[key]; ok && ejection.failures > 0 {
		delete(tracker.ejections, key)
	}
}

func (tracker *LoadTracker) setEjection(key peridotpath.EndpointKey, ejection ejectionState) {
	for otherKey, other := range tracker.ejections {
		// The ejection expired long ago: the endpoint works again or was removed.
		if ejection.until.Sub(other.until) > ejectionMemory {
			delete(tracker.ejections, otherKey)
		}
	}
	if tracker.ejections == nil {
		tracker.ejections = map[peridotpath.EndpointKey]ejectionState{}
	}
	tracker.ejections[key] = ejection
}

// Ejection is the ejection of an endpoint as instances exchange it.
type Ejection struct {
	Endpoint peridotpath.EndpointKey
	Until    time.Time
}

// LocalEjections returns the ejections that this instance sends to its peers.
func (tracker *LoadTracker) LocalEjections(now time.Time) []Ejection {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	var ejections []Ejection
	for key, ejection := range tracker.ejections {
		if ejection.gossiped && now.Before(ejection.until) {
			ejections = append(ejections, Ejection{Endpoint: key, Until: ejection.until})
		}
	}
	return ejections
}

// EjectedEndpoints returns the endpoints that this instance or a peer has ejected.
func (tracker *LoadTracker) EjectedEndpoints(now time.Time) map[peridotpath.EndpointKey]bool {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	ejected := map[peridotpath.EndpointKey]bool{}
	for key, ejection := range tracker.ejections {
		if now.Before(ejection.until) {
			ejected[key] = true
		}
	}
	for _, peer := range tracker.unexpiredPeers(now) {
		for _, ejection := range peer.ejections {
			if now.Before(ejection.Until) {
				ejected[ejection.Endpoint] = true
			}
		}
	}
	return ejected
}
