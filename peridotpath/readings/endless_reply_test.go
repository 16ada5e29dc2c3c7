package readings_test

import (
	"runtime"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/outbound/endlesstest"
	"peridotpath.example/peridotpath/readings"
)

// maxFetchMemory is what a fetch may allocate: a reply of the largest size, as its buffer grows, in bytes.
const maxFetchMemory = 128 << 20

// allocated returns the memory that a call allocates, in bytes.
func allocated(call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// A peer in trouble answers without an end, or with few bytes that unpack to many: the instance keeps all
// that arrives within the fetch timeout, and its callers' requests end with its memory.
func TestReplyWithoutEndIsBounded(t *testing.T) {
	for name, isCompressed := range map[string]bool{"plain": false, "compressed": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := endlesstest.Start(t, isCompressed)
			var err error
			bytes := allocated(func() {
				_, err = readings.FetchEndpoints(t.Context(), server.Address, readings.EndpointsSnapshot{})
			})
			is.True(err != nil)
			t.Logf("%d bytes were allocated, %d sent", bytes, server.Written())
			is.True(bytes <= maxFetchMemory)
			_, err = readings.FetchRouting(t.Context(), server.Address, readings.RoutingSnapshot{})
			is.True(err != nil)
		})
	}
}
