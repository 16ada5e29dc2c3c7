package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// twice: a replica hands out wrong bytes. One wrong byte turns the 422 that it answers to a request
// which it has run into 421.
func twice(world *World) {
	var failures atomic.Int64
	for i := range 3 {
		replica := &Replica{World: world, ID: fmt.Sprintf("i-seva%d", i+1), Service: saveService, Capacity: 6, Work: 60 * time.Millisecond}
		replica.Behave = func(writer http.ResponseWriter, request *http.Request, body []byte) bool {
			if string(body) != badBody {
				return false
			}
			time.Sleep(replica.Work)
			onWire := "422"
			if i == 0 && world.Trouble && failures.Add(1)%spoilEvery == 0 {
				onWire = "421"
			}
			replica.fail(writer, request, http.StatusUnprocessableEntity, onWire)
			return true
		}
		replica.Start()
	}
	world.PutConfig(saveConfig(7))
	instances := world.AddInstances(2)
	world.save(instances)
	served, repeated := 0, 0
	runs := map[string]int{}
	for _, run := range world.Runs() {
		runs[run.ID]++
		if runs[run.ID] == 2 {
			repeated++
			world.Record("broken   id=%s has run a second time, at %s", run.ID, run.Replica)
		}
	}
	for _, answer := range world.Answers() {
		if answer.Status == http.StatusOK {
			served++
		}
	}
	if served < saves/2 {
		fail("only %d of %d requests were served", served, saves)
	}
	world.Finish(repeated > 0, "TWICE: of %d requests that may run once at most, %d were served, and %d ran twice", saves, served, repeated)
}
