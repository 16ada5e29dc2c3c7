package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath"
)

const (
	// targetSubsetLoad is the target utilisation of the subset by long work.
	// The rest is left to the short work on the same endpoints.
	targetSubsetLoad = 0.5
	// subsetShrinkLoad is the utilisation, with one endpoint fewer, below which
	// the subset shrinks. The resulting hysteresis keeps random variation of
	// the demand from resizing it repeatedly.
	subsetShrinkLoad = 0.5
	// minShrinkInterval is the minimum time from a resize to the next shrink.
	// Running long work holds its memory for tens of seconds.
	minShrinkInterval = 30 * time.Second
)

// subset selects the endpoints for long work. Its members are the first in
// rendezvous hashing order, which is the same at every Instance without
// coordination. Sizes may differ for a while; the smaller subset is then
// contained in the larger one.
type subset struct {
	size      int
	resizedAt int64
}

// resize sets the size for a demand that is given in endpoints, up to limit. The
// subset grows at once and shrinks by one endpoint at a time.
func (subset *subset) resize(at int64, demand float64, limit int) {
	target := max(int(math.Ceil(demand/targetSubsetLoad)), 1)
	switch {
	case target > subset.size:
		subset.size = target
		subset.resizedAt = at
	case demand < subsetShrinkLoad*float64(subset.size-1) && at-subset.resizedAt >= int64(minShrinkInterval):
		subset.size--
		subset.resizedAt = at
	}
	subset.size = min(max(subset.size, 1), max(limit, 1))
}

// split divides members into the subset and the rest.
func (subset *subset) split(members []*member) *pools {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b *member) int {
		return cmp.Or(cmp.Compare(rendezvousHash(a.ID), rendezvousHash(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	size := min(subset.size, len(ordered))
	return &pools{all: members, long: ordered[:size], others: ordered[size:]}
}

func rendezvousHash(id peridotpath.EndpointID) uint64 {
	return xxhash.Sum64String("long " + string(id))
}
