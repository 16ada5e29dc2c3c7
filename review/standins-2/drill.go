package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	keptKey = "anfqasnmgkcuyj8pjbvk"
	// revokeTime is revoke_ms.
	revokeTime = 5 * time.Second
	// copyAge is the age of the copy, awayTime how long the store is away, and writtenAgainAfter when
	// after its return the operator has written its configuration again.
	copyAge           = 5 * time.Second
	awayTime          = 700 * time.Millisecond
	writtenAgainAfter = 4 * time.Second
)

func moved(version int, service string, keys ...string) map[string]any {
	config := config(version, []any{route("r-save", "/save/", "non_idempotent", false, to(service))}, []string{oldService, newService}, 4*mebibyte)
	config["tenants"] = []any{map[string]any{"name": "hule930", "api_keys": keys, "priority": 1}}
	return config
}

// drill: a version takes a key away. In a drill the store comes back from a copy without it, all
// instances are killed and start again, and the operator writes the version again some seconds later.
func drill(world *World) {
	for i := range 2 {
		for _, service := range []string{oldService, newService} {
			replica := &Replica{World: world, ID: fmt.Sprintf("i-%s%d", service, i+1), Service: service, Capacity: 20, Work: 5 * time.Millisecond}
			replica.Start()
		}
	}
	world.PutConfig(moved(7, oldService, casesKey, keptKey))
	instances := world.AddInstances(3)
	time.Sleep(8 * time.Second)
	older := world.Store.Copy()
	world.Record("a copy of the store is made")
	time.Sleep(500 * time.Millisecond)
	newest := moved(9, newService, keptKey)
	world.PutConfig(newest)
	acknowledgedAt := time.Now()
	var isOver atomic.Bool
	var clients sync.WaitGroup
	for _, instance := range instances {
		for _, key := range []string{casesKey, keptKey} {
			clients.Go(func() {
				for !isOver.Load() {
					world.Ask(instance, "POST", "/save/"+key, casesHost, key, "a correction", 3*time.Second)
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(copyAge - 500*time.Millisecond)
	if world.Trouble {
		world.Store.Leave()
		world.Record("the store is away")
	}
	time.Sleep(awayTime)
	for _, instance := range instances {
		world.Signal(instance, syscall.SIGKILL)
	}
	for _, instance := range instances {
		<-instance.done
	}
	if world.Trouble {
		world.Store.Return(older)
		world.Record("the store is back from the copy; what the replicas wrote is written again with their next heartbeat")
	}
	time.Sleep(200 * time.Millisecond)
	for _, instance := range instances {
		world.StartInstance(instance)
	}
	time.Sleep(writtenAgainAfter - 200*time.Millisecond)
	if world.Trouble {
		world.PutConfig(newest)
	}
	time.Sleep(6 * time.Second)
	isOver.Store(true)
	clients.Wait()
	revoked, kept := 0, 0
	answers := world.Answers()
	for _, run := range world.Runs() {
		after := answers[run.ID].SentAt.Sub(acknowledgedAt)
		switch {
		case after <= revokeTime:
		case run.Target == "/save/"+casesKey:
			revoked++
			world.Record("broken   id=%s was sent %.1f s after the key had been taken away and has run at %s of %s", run.ID, after.Seconds(), run.Replica, run.Service)
		default:
			kept++
		}
	}
	if kept < 200 {
		fail("only %d requests with the key that is left ran", kept)
	}
	world.Finish(revoked > 0, "CONFIG: of the requests sent later than %v after version 9, %d with the key that is left ran, and %d with the one that it takes away", revokeTime, kept, revoked)
}
