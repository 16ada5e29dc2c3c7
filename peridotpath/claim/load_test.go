package claim_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/claim"
)

// Requests with keys are spread evenly over instances that all write to all buckets: the
// worst case, without forwarding to a bucket's owner. The store sustains several hundred
// writes a second in total. Store calls must stay within the buckets' rate limits at any
// request rate, and no request may be refused at these loads.
func TestStoreCallsByLoad(t *testing.T) {
	tests := []struct{ instances, perSecond int }{{1, 2}, {1, 20}, {1, 200}, {8, 2}, {8, 20}, {8, 200}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d instances, %d a second", test.instances, test.perSecond), func(t *testing.T) {
			runWithFleet(t, func(is *is.I, fleet *fleet) {
				const seconds, buckets, rate = 10, 64, 4
				random := rand.New(rand.NewPCG(1, 2))
				var instances []*instance
				for i := range test.instances {
					instances = append(instances, fleet.start(peridotpath.InstanceID(fmt.Sprint(i)), 1, func(ledger *claim.Ledger) {
						ledger.Settings.Buckets = buckets
					}))
					instances[i].link.SetFaults(func(string) fault { return fault{RequestDelay: time.Millisecond, ReplyDelay: time.Millisecond} })
				}
				defer closeAll(is, instances...)
				var mu sync.Mutex
				var claimTimes []time.Duration
				refused := 0
				var callers sync.WaitGroup
				for i := range seconds * test.perSecond {
					instance := instances[random.IntN(len(instances))]
					callers.Go(func() {
						time.Sleep(time.Duration(i) * time.Second / time.Duration(test.perSecond))
						claimedAt := time.Now()
						verdict, err := instance.claimKey(fmt.Sprint(i))
						mu.Lock()
						claimTimes = append(claimTimes, time.Since(claimedAt))
						if err != nil {
							refused++
						}
						mu.Unlock()
						if err == nil {
							time.Sleep(200 * time.Millisecond)
							_ = verdict.Claim.Finish(background, okAnswer("yes"))
						}
					})
				}
				callers.Wait()
				calls := fleet.store.Calls()
				slices.Sort(claimTimes)
				t.Logf("get %d/s swap %d/s, claim p50 %v p99 %v, refused %d of %d",
					calls["get"]/seconds, calls["swap"]/seconds, claimTimes[len(claimTimes)/2], claimTimes[len(claimTimes)*99/100], refused, len(claimTimes))
				is.Equal(refused, 0)
				is.True(calls["get"]+calls["swap"] <= (seconds+2)*buckets*rate*test.instances)
			})
		})
	}
}
