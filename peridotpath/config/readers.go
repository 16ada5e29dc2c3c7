package config

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"peridotpath.example/peridotpath"
)

// Readers returns the instances of one data centre that watch the platform: the
// count live ones with the highest rendezvous hash. Instances with different
// membership lists may disagree; then a few more or fewer watch for a while, and
// those that follow none fall back to the platform.
func Readers(instances []peridotpath.Instance, dataCentre peridotpath.DataCentre, count int) []peridotpath.Instance {
	var live []peridotpath.Instance
	for _, instance := range instances {
		if instance.DataCentre == dataCentre && instance.State == peridotpath.StateLive {
			live = append(live, instance)
		}
	}
	slices.SortFunc(live, compareByRank)
	return live[:min(count, len(live))]
}

// compareByRank orders by falling hash, so that each instance's place does not
// depend on which others there are.
func compareByRank(a, b peridotpath.Instance) int {
	rankA, rankB := readerRank(a.ID), readerRank(b.ID)
	if rankA != rankB {
		if rankA > rankB {
			return -1
		}
		return 1
	}
	return strings.Compare(string(a.ID), string(b.ID))
}

func readerRank(id peridotpath.InstanceID) uint64 {
	return xxhash.Sum64String("config-reader/" + string(id))
}
