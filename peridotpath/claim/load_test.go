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

// The fleets' keyed requests come evenly over the instances, which all work on
// all buckets: the worst case, with nobody forwarding to a bucket's owner. The
// platform takes several hundred writes a second for everything. Calls must
// stay within the buckets' rate however many requests come, and no request may
// be refused for it at the load of today.
func TestPlatformCallsByLoad(t *testing.T) {
	tests := []struct{ instances, perSecond int }{{1, 2}, {1, 20}, {1, 200}, {8, 2}, {8, 20}, {8, 200}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d instances, %d a second", test.instances, test.perSecond), func(t *testing.T) {
			story(t, func(is *is.I, fleet *fleet) {
				const seconds, buckets, rate = 10, 64, 4
				random := rand.New(rand.NewPCG(1, 2))
				var instances []*instance
				for i := range test.instances {
					instances = append(instances, fleet.start(peridotpath.InstanceID(fmt.Sprint(i)), 1, func(ledger *claim.Ledger) {
						ledger.Settings.Buckets = buckets
					}))
					instances[i].link.SetFaults(func(string) fate { return fate{RequestDelay: time.Millisecond, ReplyDelay: time.Millisecond} })
				}
				defer closeAll(is, instances...)
				var mu sync.Mutex
				var waited []time.Duration
				refused := 0
				var waits sync.WaitGroup
				for i := range seconds * test.perSecond {
					instance := instances[random.IntN(len(instances))]
					waits.Go(func() {
						time.Sleep(time.Duration(i) * time.Second / time.Duration(test.perSecond))
						asked := time.Now()
						verdict, err := instance.ask(fmt.Sprint(i))
						mu.Lock()
						waited = append(waited, time.Since(asked))
						if err != nil {
							refused++
						}
						mu.Unlock()
						if err == nil {
							time.Sleep(200 * time.Millisecond)
							_ = verdict.Claim.Finish(background, ok("yes"))
						}
					})
				}
				waits.Wait()
				calls := fleet.platform.Calls()
				slices.Sort(waited)
				t.Logf("get %d/s swap %d/s, claim p50 %v p99 %v, refused %d of %d",
					calls["get"]/seconds, calls["swap"]/seconds, waited[len(waited)/2], waited[len(waited)*99/100], refused, len(waited))
				is.Equal(refused, 0)
				is.True(calls["get"]+calls["swap"] <= (seconds+2)*buckets*rate*test.instances)
			})
		})
	}
}
