package main

import (
	"testing"

	"peridotpath.example/peridotpath"
)

// TestReplacedInstanceIsDead guards against a retry that gets "running" for a day although
// the instance that held the claim was killed and replaced under the same id. mayStillRun
// must return false for the replaced incarnation, so that the retry gets "outcome unknown".
func TestReplacedInstanceIsDead(t *testing.T) {
	cases := map[string]struct {
		claimed, listed, gossiped peridotpath.Incarnation
		want                      bool
	}{
		"no other run seen":               {5, 0, 0, true},
		"this run received from the peer": {5, 0, 5, true},
		"a later run received":            {5, 0, 6, false},
		"a later run listed":              {5, 6, 0, false},
		"the list lags behind the peer":   {5, 5, 6, false},
		"the peer lags behind the list":   {5, 6, 5, false},
		"a run that is not yet listed":    {6, 5, 5, true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if have := mayStillRun(test.claimed, test.listed, test.gossiped); have != test.want {
				t.Errorf("want %t, have %t", test.want, have)
			}
		})
	}
}
