package claim_test

import (
	"context"
	"crypto/sha256"
	"fmt"

	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/claim"
	"peridotpath.example/peridotpath/keyvalue/memory"
)

// A request is claimed, dispatched and ended; its repeat receives the same answer.
func Example() {
	ledger := &claim.Ledger{Store: (&memory.Memory{}).Store(), Instance: "entry-1", Incarnation: 1, Logger: zerolog.Nop()}
	ended := make(chan error, 1)
	ctx := context.Background()
	go func() { ended <- ledger.Run(ctx) }()

	body := claim.BodyHash(sha256.Sum256([]byte("one suitcase")))
	first, _ := ledger.Claim(ctx, "airline", "key-7", body)
	fmt.Println(first.Status)
	if err := first.Claim.BeginDispatch(); err != nil {
		_ = first.Claim.Release(ctx, nil)
		return
	}
	// ... send the request to an endpoint ...
	_ = first.Claim.Finish(ctx, &claim.Answer{Status: 200, Body: []byte("filed")})

	repeat, _ := ledger.Claim(ctx, "airline", "key-7", body)
	fmt.Println(repeat.Status, string(repeat.Answer.Body))
	fmt.Println(ledger.Close(), <-ended)
	// Output:
	// granted
	// done filed
	// <nil> <nil>
}
