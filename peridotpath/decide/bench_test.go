package decide

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"peridotpath.example/peridotpath"
)

// BenchmarkDecision measures all decisions for one request, from
// Scheduler.Submit to Scheduler.EndAttempt, with parallel callers.
func BenchmarkDecision(b *testing.B) {
	for _, count := range []int{40, 750} {
		b.Run(fmt.Sprintf("endpoints=%d", count), func(b *testing.B) {
			scheduler := newScheduler(count)
			customers := []*peridotpath.Customer{newCustomer("large"), newCustomer("small")}
			for _, customer := range customers {
				customer.MaxRequestsPerS = 0
				customer.MaxConcurrent = 0
			}
			profile := newProfile("line", nil)
			var ticks atomic.Int64
			b.ReportAllocs()
			b.RunParallel(func(parallel *testing.PB) {
				work := Work{Profile: profile, PromptTokens: 2_000, MaxOutputTokens: 100, Prefixes: []uint64{1, 2}}
				for parallel.Next() {
					tick := ticks.Add(1)
					now := epoch.Add(time.Duration(tick) * 10 * time.Microsecond)
					work.Customer = customers[tick%2]
					work.Prefixes[1] = uint64(tick % 10_000)
					work.ArrivedAt, work.Deadline, work.Attempts = now, now.Add(time.Minute), 0
					if scheduler.Submit(now, &work).Verdict != Place {
						b.Error("not placed")
						return
					}
					scheduler.RecordFirstToken(now, &work)
					scheduler.EndAttempt(now, &work, Finished, 100)
				}
			})
		})
	}
}
