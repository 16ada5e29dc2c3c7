package shift

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The service comes back from a copy with smaller totals; that is no demand, and none that
// came before is forgotten.
func TestDemandWhenTheServiceWentBack(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var demand demand
	demand.sample(now, Total{Prompts: 10, Tokens: 1_000_000})
	demand.sample(now.Add(time.Second), Total{Prompts: 12, Tokens: 1_200_000})
	before, changed := demand.perS, demand.changed
	demand.sample(now.Add(2*time.Second), Total{Prompts: 9, Tokens: 900_000})
	is.Equal(demand.perS, before)
	is.Equal(demand.changed, changed)
	demand.sample(now.Add(3*time.Second), Total{Prompts: 10, Tokens: 1_000_000})
	is.True(demand.perS >= 0 && demand.perS <= 1_200_000)
}
