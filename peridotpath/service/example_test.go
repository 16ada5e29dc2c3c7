package service_test

import (
	"fmt"
	"net/http"

	"peridotpath.example/peridotpath/service"
)

// Hop-by-hop headers are removed, with those that Connection lists; end-to-end headers are
// forwarded.
func ExampleEndToEnd() {
	kept := service.EndToEnd(http.Header{
		"Connection":    {"keep-alive, X-Trace"},
		"Keep-Alive":    {"timeout=5"},
		"X-Trace":       {"on"},
		"Authorization": {"Bearer key"},
	})
	fmt.Println(kept)
	// Output:
	// map[Authorization:[Bearer key]]
}
