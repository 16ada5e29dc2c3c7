package failover

import (
	"sync"

	"peridotpath.example/peridotpath"
)

// maxSilentCalls is the number of consecutive calls to an endpoint that another one answered
// first, without the beginning of an answer, after which the endpoint is ejected. Since these
// calls are cancelled, the endpoint would otherwise look idle and attract more of them.
const maxSilentCalls = 2

// maxSilentEndpoints bounds the endpoints that are counted; those that left the fleet stay.
const maxSilentEndpoints = 1024

// SilentCalls counts for each endpoint the consecutive calls that it was silent on. It is safe for
// concurrent use.
type SilentCalls struct {
	mutex  sync.Mutex
	counts map[peridotpath.EndpointKey]int
}

// RecordSilence counts a call, and reports whether the endpoint is to be ejected.
func (calls *SilentCalls) RecordSilence(key peridotpath.EndpointKey) bool {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	if calls.counts == nil || len(calls.counts) >= maxSilentEndpoints {
		calls.counts = map[peridotpath.EndpointKey]int{}
	}
	calls.counts[key]++
	return calls.counts[key] >= maxSilentCalls
}

// RecordAnswer records that the endpoint has answered.
func (calls *SilentCalls) RecordAnswer(key peridotpath.EndpointKey) {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	delete(calls.counts, key)
}
