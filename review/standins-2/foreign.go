package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const foreignID = "inventory-17"

// foreignEntry: another writer puts an entry under servers/ that lacks fields. A server of another
// system listens at its address.
func foreignEntry(world *World) {
	const requests, interval, putAt = 600, 10 * time.Millisecond, 100
	for i := range 3 {
		replica := &Replica{World: world, ID: fmt.Sprintf("i-seva%d", i+1), Service: saveService, Capacity: 6, Work: 60 * time.Millisecond}
		replica.Start()
	}
	foreign := &Replica{World: world, ID: foreignID, Service: "another system"}
	foreign.Behave = func(writer http.ResponseWriter, _ *http.Request, _ []byte) bool {
		_, _ = writer.Write([]byte("done\n"))
		return true
	}
	foreign.StartUnlisted()
	world.PutConfig(saveConfig(7))
	instances := world.AddInstances(2)
	answers := map[string]Answer{}
	var mutex sync.Mutex
	var clients sync.WaitGroup
	for i := range requests {
		if i == putAt && world.Trouble {
			// No version, capacity, cold_left_ms, seq_no or born.
			value, _ := json.Marshal(map[string]any{"service": saveService, "address": foreign.Address, "zone": zone, "state": "ready"})
			world.Store.Put("servers/"+foreignID, value)
			world.Record("another writer puts servers/%s: %s", foreignID, value)
		}
		clients.Go(func() {
			answer := world.Ask(instances[i%2], "POST", "/save/1", casesHost, casesKey, "a correction", 3*time.Second)
			mutex.Lock()
			defer mutex.Unlock()
			answers[answer.ID] = answer
		})
		time.Sleep(interval)
	}
	clients.Wait()
	served, astray, failed := 0, 0, 0
	for _, run := range world.Runs() {
		answer := answers[run.ID]
		switch {
		case run.Replica == foreignID:
			astray++
			if answer.Status != http.StatusOK {
				failed++
			}
			world.Record("broken   id=%s has run at %s, a server of another system, and is answered %d", run.ID, run.Replica, answer.Status)
		case answer.Status == http.StatusOK:
			served++
		}
	}
	if served < requests/2 {
		fail("only %d of %d requests were served", served, requests)
	}
	world.Finish(astray > 0, "ROUTE: of %d requests that may run once at most, %d were served, %d ran at a server of another system; %d of these got a failure and are lost", requests, served, astray, failed)
}
