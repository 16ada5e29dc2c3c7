package main

import (
	"testing"

	"peridotpath.example/peridotpath"
)

// TestReplacedInstanceIsDead: an instance is killed while it runs a claim and
// replaced under its id. The clerk repeats at another instance and must learn
// that the outcome is unknown, not be told "still running" all day.
func TestReplacedInstanceIsDead(t *testing.T) {
	cases := map[string]struct {
		claimed, listed, heard peridotpath.Incarnation
		want                   bool
	}{
		"nothing known":                      {5, 0, 0, true},
		"this run heard":                     {5, 0, 5, true},
		"a later run heard":                  {5, 0, 6, false},
		"a later run listed":                 {5, 6, 0, false},
		"the list lags behind what is heard": {5, 5, 6, false},
		"what is heard lags behind the list": {5, 6, 5, false},
		"a run that is not yet listed":       {6, 5, 5, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if have := mayRun(test.claimed, test.listed, test.heard); have != test.want {
				t.Errorf("want %t, have %t", test.want, have)
			}
		})
	}
}
