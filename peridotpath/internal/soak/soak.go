// Package soak runs random properties: with fixed seeds in CI, and for a given
// time with ever new seeds where the environment asks for it.
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

// Env names the environment variable that turns a test into a long run. Its
// value is how long each property is tried, such as "10m".
const Env = "PERIDOTPATH_SOAK"

// checksPerSeed is how many random cases a seed stands for.
const checksPerSeed = 100

// givenSeed is the -rapid.seed of the command line, read before the first Check
// sets another; unset is rapid's value for none.
var givenSeed = sync.OnceValue(func() string { return flag.Lookup("rapid.seed").Value.String() })

const unset = "0"

// Check tries the property with the seeds from 1 to seeds. In a long run it
// starts from the present time and prints each seed, so that a failure can be
// repeated with -rapid.seed: given that, Check tries this seed alone.
func Check(t *testing.T, seeds int, property func(*rapid.T)) {
	t.Helper()
	if givenSeed() != unset {
		rapid.Check(t, property)
		return
	}
	set(t, "rapid.checks", strconv.Itoa(checksPerSeed))
	set(t, "rapid.nofailfile", "true")
	span := os.Getenv(Env)
	if span == "" {
		for seed := 1; seed <= seeds; seed++ {
			try(t, uint64(seed), property)
		}
		return
	}
	duration, err := time.ParseDuration(span)
	if err != nil {
		t.Fatalf("%s: %v", Env, err)
	}
	end := time.Now().Add(duration)
	for seed := uint64(time.Now().UnixNano()); time.Now().Before(end) && !t.Failed(); seed++ {
		t.Logf("%s seed %d", t.Name(), seed)
		try(t, seed, property)
	}
}

func try(t *testing.T, seed uint64, property func(*rapid.T)) {
	t.Helper()
	set(t, "rapid.seed", strconv.FormatUint(seed, 10))
	rapid.Check(t, property)
}

func set(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
