package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// bodyLimit: the operator raises max_body_bytes from 4 MiB to 16 MiB. Clients then send bodies of 9
// MiB.
func bodyLimit(world *World) {
	const requests = 40
	for i := range 3 {
		replica := &Replica{World: world, ID: fmt.Sprintf("i-seva%d", i+1), Service: saveService, Capacity: 6, Work: 10 * time.Millisecond}
		replica.Start()
	}
	routes := []any{route("r-save", "/save/", "non_idempotent", false, to(saveService))}
	world.PutConfig(config(7, routes, []string{saveService}, 4*mebibyte))
	instances := world.AddInstances(2)
	size := 3 * mebibyte
	if world.Trouble {
		world.PutConfig(config(9, routes, []string{saveService}, 16*mebibyte))
		time.Sleep(5 * time.Second)
		size = 9 * mebibyte
	}
	body := strings.Repeat("x", size)
	served, denied := 0, 0
	for i := range requests {
		answer := world.Ask(instances[i%2], "POST", "/save/1", casesHost, casesKey, body, 10*time.Second)
		switch {
		case answer.Status == http.StatusOK:
			served++
		case answer.Status >= 400 && answer.Status < 500 && answer.Header.Get("X-Peridotpath-Replica-Signature") == "":
			denied++
		}
	}
	if served+denied < requests/2 {
		fail("only %d of %d requests were answered", served+denied, requests)
	}
	world.Finish(denied > 5+requests/500, "DENIED: of %d proper requests of %d bytes, %d were served and %d ended with a 4xx of the system's own", requests, size, served, denied)
}
