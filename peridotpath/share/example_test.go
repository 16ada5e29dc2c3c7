package share_test

import (
	"fmt"
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/share"
)

// A customer may have ten requests a second over two instances. The other one
// is silent, so this one lets through half of them, and says when to come back.
func Example() {
	limiter := &share.Limiter{
		Peers:   func() []share.Peer { return []share.Peer{{}} },
		Publish: func(peridotpath.CustomerID, float64) {},
		Keep:    func(func(peridotpath.CustomerID) bool) {},
	}
	customer := &peridotpath.Customer{ID: "airline", MaxRequestsPerS: 10}
	now := time.Unix(1_000_000, 0)
	limiter.Divide(now, share.Interval)
	admitted := 0
	for {
		ok, retryAfter := limiter.Allow(now, customer, 0)
		if !ok {
			fmt.Println(admitted, "admitted, come back in", retryAfter)
			return
		}
		admitted++
	}
	// Output:
	// 5 admitted, come back in 200ms
}
