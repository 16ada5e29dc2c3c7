package instance

import (
	"net/http"
	"sync"
	"time"
)

// readinessMargin is how long before keys expire the instance reports not ready. The load
// balancer, which checks each second, moves callers to other instances within that time.
const readinessMargin = 1500 * time.Millisecond

// unreadyReason is why the instance accepts no new callers; empty while it does.
type unreadyReason string

const (
	unreadyStopping   unreadyReason = "stopping"
	unreadyNoRouting  unreadyReason = "no_routing"
	unreadyNoEndpoint unreadyReason = "no_endpoints"
	unreadyKeysExpire unreadyReason = "keys_expire"
	unreadyCutOff     unreadyReason = "cut_off"
)

// readiness is the last answer to the load balancer.
type readiness struct {
	mutex     sync.Mutex
	isKnown   bool
	reason    unreadyReason
	changedAt time.Time
}

// unreadyReason returns why the instance accepts no new callers. It does if it has endpoints that
// it reaches and a routing that was recently known to be the newest, and is not shutting down.
func (instance *Instance) unreadyReason() unreadyReason {
	switch {
	case instance.stopping.Load():
		return unreadyStopping
	case !instance.hasRouting():
		return unreadyNoRouting
	case !instance.hasRoutingAndEndpoints():
		return unreadyNoEndpoint
	case instance.routing.Age() >= instance.Settings.KeyLifetime-readinessMargin:
		return unreadyKeysExpire
	case instance.shouldMoveCallers():
		return unreadyCutOff
	}
	return ""
}

// maxReadinessHold bounds how long a readiness check is held while the instance starts. The load
// balancer checks once a second, so that an answer a moment too early costs a second of readiness.
const maxReadinessHold = 500 * time.Millisecond

// handleReady answers a readiness check, when startup has ended.
//
// It matters after a loss of all instances: all of them start at once, and those that are checked
// before they have read the routing receive no callers for another second.
func (instance *Instance) handleReady(writer http.ResponseWriter, request *http.Request) {
	instance.startup.awaitEnd(request.Context(), maxReadinessHold)
	reason := instance.unreadyReason()
	instance.logReadiness(reason, time.Now())
	if reason == "" {
		writer.WriteHeader(http.StatusOK)
		return
	}
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// logReadiness logs an answer that differs from the last one.
func (instance *Instance) logReadiness(reason unreadyReason, now time.Time) {
	readiness := &instance.readiness
	readiness.mutex.Lock()
	defer readiness.mutex.Unlock()
	if readiness.isKnown && reason == readiness.reason {
		return
	}
	event := instance.Log.Info().Bool("ready", reason == "").Str("reason", string(reason))
	if readiness.isKnown {
		event = event.Dur("lasted", now.Sub(readiness.changedAt))
	}
	event.Msg("readiness_changed")
	readiness.isKnown, readiness.reason, readiness.changedAt = true, reason, now
}
