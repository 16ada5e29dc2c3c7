package main

import (
	"math/rand/v2"
	"time"
)

// cutOffLinks are the ways in which an instance is cut off from all endpoints.
var cutOffLinks = map[string]link{"hang": linkBlackhole, "reset": linkReset, "new ones reset": linkNewReset}

// cutOffFaults are added to faults by options.cutsOff.
var cutOffFaults = []fault{
	{"cut_off", func(fleet *fleet, random *rand.Rand) func() {
		states := []link{linkBlackhole, linkReset, linkNewReset, linkOneWay}
		return fleet.cutOff(states[random.IntN(len(states))], random.Perm(len(fleet.instances))[:1+random.IntN(len(fleet.instances))]...)
	}},
	{"cut_off_again_and_again", func(fleet *fleet, random *rand.Rand) func() {
		return fleet.cutOffRepeatedly(random.IntN(len(fleet.instances)))
	}},
}

// cutOff cuts instances off from all endpoints until end is called. They still reach each other,
// the store and the clients.
func (fleet *fleet) cutOff(state link, instances ...int) (end func()) {
	for _, number := range instances {
		fleet.setInstanceLinks(state, number, fleet.endpoints)
	}
	return func() {
		for _, number := range instances {
			fleet.setInstanceLinks(linkHealthy, number, fleet.endpoints)
		}
	}
}

// cutOffFrom cuts an instance off from some endpoints until end is called.
func (fleet *fleet) cutOffFrom(state link, number int, endpoints []*endpoint) (end func()) {
	fleet.setInstanceLinks(state, number, endpoints)
	return func() { fleet.setInstanceLinks(linkHealthy, number, endpoints) }
}

// cutOffRepeatedly cuts an instance off for a second of every three until end is called.
func (fleet *fleet) cutOffRepeatedly(number int) (end func()) {
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			endCut := fleet.cutOff(linkBlackhole, number)
			time.Sleep(time.Second)
			endCut()
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Second):
			}
		}
	}()
	return func() {
		close(stop)
		<-stopped
	}
}

func (fleet *fleet) setInstanceLinks(state link, number int, endpoints []*endpoint) {
	for _, endpoint := range endpoints {
		endpoint.proxy.setSourceLink(instanceAddress(number), state)
	}
}
