package fairshare_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/fairshare"
	"peridotpath.example/peridotpath/placement"
)

// longRequest returns a request of the route "long" that begins to wait now.
func longRequest(customer peridotpath.CustomerID, prompt peridotpath.Tokens) *fairshare.QueuedRequest {
	return &fairshare.QueuedRequest{
		Customer: placement.HashCustomer(customer), Route: "long", TTFTTarget: 3 * time.Second, PromptTokens: prompt,
		Prefill: time.Duration(prompt) * 4 * time.Microsecond, QueuedAt: time.Now(),
	}
}

// Smaller prompts keep coming, so that the largest are refused. A size that is served too little must
// go before prompts that began to wait up to one TTFT target earlier; the others and other routes
// must not, or the favour is none.
func TestSizeServedTooLittleGoesFirst(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instance := newInstance(0, small, large)
		for i := range 8 {
			instance.RecordServed("long", 150_000, true, time.Now())
			instance.RecordServed("long", 400_000, i == 0, time.Now())
			instance.RecordServed("even", 150_000, i < 4, time.Now())
			instance.RecordServed("even", 400_000, i < 4, time.Now())
		}
		due := func(request *fairshare.QueuedRequest) time.Time {
			_, due := instance.Order(request, time.Now())
			return due
		}
		usual := func(request *fairshare.QueuedRequest) time.Time {
			return placement.NewQueuedPrompt(request.QueuedAt, request.Prefill).Due
		}
		largest, smaller := longRequest(small, 400_000), longRequest(small, 150_000)
		is.Equal(due(largest), usual(largest)) // nothing waits: the order is that of arrival

		instance.RecordWait(time.Now())
		earlier := *smaller
		earlier.QueuedAt = time.Now().Add(-largest.TTFTTarget)
		is.True(due(largest).Before(due(&earlier)))
		earlier.QueuedAt = earlier.QueuedAt.Add(-largest.TTFTTarget)
		is.True(due(&earlier).Before(due(largest))) // a bound on the favour: smaller prompts must not starve either
		is.Equal(due(smaller), usual(smaller))
		even := *largest
		even.Route = "even"
		is.Equal(due(&even), usual(&even)) // a route that serves its sizes evenly

		time.Sleep(11 * time.Second)
		instance.RecordWait(time.Now())
		is.Equal(due(largest), usual(largest)) // counts are those of the last 10 s
	})
}

// A customer sends long prompts beside another one. Those above the share must yield in the prefill
// queue and be told when to return; those below it must not.
func TestQueuedPromptsYieldByShare(t *testing.T) {
	runVirtual(t, func(is *is.I) {
		instance := newInstance(0, small, large)
		instance.use(large, 6*time.Second)
		instance.use(small, time.Second)
		for range 8 {
			instance.LoadTracker.Join(placement.QueuedPrompt{PrefillTime: 2 * time.Second, Customer: placement.HashCustomer(large)})
		}
		yields := func(customer peridotpath.CustomerID) bool {
			overShare, due := instance.Order(longRequest(customer, 400_000), time.Now())
			is.Equal(due, time.Now().Add(480*time.Millisecond)) // three tenths of the prefill time: the share changes no due time
			return overShare
		}
		is.True(!yields(large)) // no prompt has to wait
		is.Equal(instance.RefuseQueued(large, time.Now()), time.Duration(0))

		instance.RecordWait(time.Now())
		is.True(yields(large))
		is.True(!yields(small))
		is.True(instance.OverShare(large, time.Now()))
		is.True(!instance.OverShare(small, time.Now()))
		is.Equal(instance.AboveShareCount(time.Now()), 1)
		checkRetryAfter(is, instance.RefuseQueued(large, time.Now()))
		is.Equal(instance.RefuseQueued(small, time.Now()), time.Duration(0))
	})
}

// checkRetryAfter fails the test unless the time is one that a customer above its share may be told.
func checkRetryAfter(is *is.I, retryAfter time.Duration) {
	is.Helper()
	is.True(retryAfter >= 300*time.Millisecond)
	is.True(retryAfter <= 7500*time.Millisecond) // 5 s, spread over half as much again
}
