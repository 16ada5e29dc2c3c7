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
	// subsetLoad is the load that the subset is sized for. The rest is for the
	// short work that the same endpoints take in between.
	subsetLoad = 0.5
	// subsetShrink is the load on one endpoint fewer below which the subset
	// shrinks; the gap to subsetLoad keeps noise from moving it to and fro.
	subsetShrink = 0.5
	// subsetRest is the shortest time between two shrinks. Long work that runs
	// holds its memory for tens of seconds.
	subsetRest = 30 * time.Second
)

// subset is the choice of endpoints for long work. Its members are the first
// in rendezvous order, the same at every Instance without a message between
// them; sizes may differ for a while, and then one subset contains the other.
type subset struct {
	size   int
	shrunk int64
}

// resize sets the size for the demand, as a number of endpoints, of which
// there are limit. It grows at once and shrinks by one at a time.
func (subset *subset) resize(at int64, demand float64, limit int) {
	want := max(int(math.Ceil(demand/subsetLoad)), 1)
	switch {
	case want > subset.size:
		subset.size = want
		subset.shrunk = at
	case demand < subsetShrink*float64(subset.size-1) && at-subset.shrunk >= int64(subsetRest):
		subset.size--
		subset.shrunk = at
	}
	subset.size = min(max(subset.size, 1), max(limit, 1))
}

// split divides members into the subset and the rest.
func (subset *subset) split(members []*member) *pools {
	ordered := slices.Clone(members)
	slices.SortFunc(ordered, func(a, b *member) int {
		return cmp.Or(cmp.Compare(rank(a.ID), rank(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	size := min(subset.size, len(ordered))
	return &pools{all: members, long: ordered[:size], rest: ordered[size:]}
}

func rank(id peridotpath.EndpointID) uint64 {
	return xxhash.Sum64String("long " + string(id))
}
