// Package soak runs property-based tests: with fixed seeds in CI, and for a given time with
// new seeds if the environment variable Env is set.
package soak

import (
	"flag"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Env is the environment variable that turns a test into a soak test. Its value is the
// duration for which each property is checked, such as "10m".
const Env = "PERIDOTPATH_SOAK"

// checksPerSeed is the number of random cases per seed.
const checksPerSeed = 100

// givenSeed returns the -rapid.seed of the command line, read before the first Check
// overwrites the flag.
var givenSeed = sync.OnceValue(func() string { return flag.Lookup("rapid.seed").Value.String() })

// noSeed is the default of -rapid.seed, for which rapid chooses a random seed.
const noSeed = "0"

// Check checks the property with the seeds from 1 to seeds. In a soak test the seeds start
// from the current time, and each is logged, so that a failure can be reproduced with
// -rapid.seed, which restricts Check to one seed.
func Check(t *testing.T, seeds int, property func(*rapid.T)) {
	t.Helper()
	if givenSeed() != noSeed {
		rapid.Check(t, property)
		return
	}
	setFlag(t, "rapid.checks", strconv.Itoa(checksPerSeed))
	setFlag(t, "rapid.nofailfile", "true")
	soakTime := os.Getenv(Env)
	if soakTime == "" {
		for seed := 1; seed <= seeds; seed++ {
			checkSeed(t, uint64(seed), property)
		}
		return
	}
	duration, err := time.ParseDuration(soakTime)
	if err != nil {
		t.Fatalf("%s: %v", Env, err)
	}
	end := time.Now().Add(duration)
	for seed := uint64(time.Now().UnixNano()); time.Now().Before(end) && !t.Failed(); seed++ {
		t.Logf("%s seed %d", t.Name(), seed)
		checkSeed(t, seed, property)
	}
}

func checkSeed(t *testing.T, seed uint64, property func(*rapid.T)) {
	t.Helper()
	setFlag(t, "rapid.seed", strconv.FormatUint(seed, 10))
	rapid.Check(t, property)
}

func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
