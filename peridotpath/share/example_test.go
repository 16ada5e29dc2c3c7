package share_test

import (
	"fmt"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/share"
)

// A customer is limited to ten requests per second over two instances. The other
// one is silent, so this one admits half of them and returns a retry delay.
func Example() {
	limiter := &share.Limiter{
		Peers:           func() []share.PeerDemand { return []share.PeerDemand{{}} },
		Publish:         func(peridotpath.CustomerID, float64) {},
		RetainPublished: func(func(peridotpath.CustomerID) bool) {},
	}
	customer := &peridotpath.Customer{ID: "airline", MaxRequestsPerS: 10}
	now := time.Unix(1_000_000, 0)
	limiter.UpdateShares(now, share.UpdateInterval)
	admitted := 0
	for {
		ok, retryAfter := limiter.Allow(now, customer, 0)
		if !ok {
			fmt.Println(admitted, "admitted, retry after", retryAfter)
			return
		}
		admitted++
	}
	// Output:
	// 5 admitted, retry after 200ms
}
