package peridotpath_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

func ExamplePickBackend() {
	backends := []peridotpath.Backend{{Service: "old", Weight: 0}, {Service: "new", Weight: 100}}
	hasNoTaker := func(peridotpath.Service) bool { return false }
	fmt.Println(peridotpath.PickBackend(backends, hasNoTaker, rand.IntN))
	// Output: new true
}

// TestPickBackend guards against requests at a service without a share, and against shares that
// are not those of the route.
func TestPickBackend(t *testing.T) {
	const requests = 10_000
	type backends = []peridotpath.Backend
	type shares = map[peridotpath.Service]float64
	for name, test := range map[string]struct {
		backends backends
		without  peridotpath.Service
		want     shares
	}{
		"split":                               {backends{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, "", shares{"a": 0.9, "b": 0.1}},
		"one without endpoints":               {backends{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, "a", shares{"b": 1}},
		"all without endpoints":               {backends{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, "all", shares{"a": 0.9, "b": 0.1}},
		"first without a share":               {backends{{Service: "a", Weight: 0}, {Service: "b", Weight: 10}}, "", shares{"b": 1}},
		"first without a share, no other":     {backends{{Service: "a", Weight: 0}, {Service: "b", Weight: 10}}, "b", shares{"b": 1}},
		"middle without a share, two are out": {backends{{Service: "a", Weight: 30}, {Service: "b", Weight: 0}, {Service: "c", Weight: 10}}, "all", shares{"a": 0.75, "c": 0.25}},
		"none with a share":                   {backends{{Service: "a", Weight: 0}, {Service: "b", Weight: 0}}, "", shares{"": 1}},
		"negative":                            {backends{{Service: "a", Weight: -5}, {Service: "b", Weight: 5}}, "b", shares{"b": 1}},
		"no backend":                          {nil, "", shares{"": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			hasTaker := func(service peridotpath.Service) bool { return service != test.without && test.without != "all" }
			got := shares{}
			for range requests {
				service, found := peridotpath.PickBackend(test.backends, hasTaker, random.IntN)
				is.Equal(found, service != "")
				got[service] += 1.0 / requests
			}
			is.Equal(len(got), len(test.want))
			for service, share := range test.want {
				is.True(got[service] > share-0.02 && got[service] < share+0.02)
			}
		})
	}
}
