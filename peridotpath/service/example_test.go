package service_test

import (
	"fmt"
	"net/http"

	"peridotpath.example/peridotpath/service"
)

// What belongs to the caller's connection stays behind, with the headers that
// Connection names; what belongs to the call goes on.
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
