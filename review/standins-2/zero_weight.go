package main

import (
	"fmt"
	"time"
)

const (
	oldService = "save-old"
	newService = "save-new"
	// converge is config_converge_ms.
	converge = 2 * time.Second
)

func weights(version, oldWeight, newWeight int) map[string]any {
	backends := []any{map[string]any{"service": oldService, "weight": oldWeight}, map[string]any{"service": newService, "weight": newWeight}}
	return config(version, []any{route("r-save", "/save/", "non_idempotent", false, map[string]any{"backends": backends})}, []string{oldService, newService}, 4*mebibyte)
}

// zeroWeight: version 7 sends all requests of a route to the old service, version 9 gives that the
// weight 0 and sends all to the new one. Then the replica of the new one crashes.
func zeroWeight(world *World) {
	for i := range 3 {
		replica := &Replica{World: world, ID: fmt.Sprintf("i-old%d", i+1), Service: oldService, Capacity: 6, Work: 20 * time.Millisecond}
		replica.Start()
	}
	fresh := &Replica{World: world, ID: "i-new1", Service: newService, Capacity: 6, Work: 20 * time.Millisecond}
	fresh.Start()
	world.PutConfig(weights(7, 100, 0))
	instances := world.AddInstances(2)
	for range 5 {
		for _, instance := range instances {
			world.Ask(instance, "POST", "/save/1", casesHost, casesKey, "a correction", 3*time.Second)
		}
	}
	world.PutConfig(weights(9, 0, 100))
	acknowledgedAt := time.Now()
	sentAt := map[string]time.Time{}
	isCrashed := false
	for time.Since(acknowledgedAt) < 14*time.Second {
		if world.Trouble && !isCrashed && time.Since(acknowledgedAt) > 6*time.Second {
			fresh.Crash()
			isCrashed = true
		}
		for _, instance := range instances {
			answer := world.Ask(instance, "POST", "/save/2", casesHost, casesKey, "a correction", 3*time.Second)
			sentAt[answer.ID] = answer.SentAt
		}
		time.Sleep(200 * time.Millisecond)
	}
	stale, current := 0, 0
	for _, run := range world.Runs() {
		sent, found := sentAt[run.ID]
		switch {
		case !found || sent.Sub(acknowledgedAt) <= converge:
		case run.Service == newService:
			current++
		default:
			stale++
			world.Record("broken   id=%s was sent %.1f s after the acknowledgement of version 9 and has run at %s of %s", run.ID, sent.Sub(acknowledgedAt).Seconds(), run.Replica, run.Service)
		}
	}
	if current < 20 {
		fail("only %d requests ran at %s", current, newService)
	}
	world.Finish(stale > 0, "CONFIG: of the requests sent later than %v after version 9, %d ran at %s, and %d at %s, which only version 7 allows", converge, current, newService, stale, oldService)
}
