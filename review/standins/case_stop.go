package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopWhilePromptsWait }

// longModel has the figures of a replica of lipi-model in the site file pandulipi-path.
var longModel = &model{capacity: 16, kv: 450000, stepsPerPass: 46, stepMS: 0.925, readPerS: 256000, pairsPerM: 0.0917, chunk: 2048}

const (
	host     = "review.example"
	firstKey = "key-of-hall"
)

// route returns a route of the configuration.
func route(name, kind, service string, targetMS, itlMS, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "path_prefix": "/" + name + "/", "route_type": kind, "timeout_ms": timeoutMS,
		"target_latency_ms": targetMS, "target_itl_ms": itlMS, "priority": 1, "service": service, "max_attempts": attempts,
		"resumable": kind == "streaming", "session_affinity": kind == "streaming",
	}
}

// configure writes a configuration as the operator does.
func (w *world) configure(version int, m *model, routes ...map[string]any) {
	services := []any{map[string]any{"name": "portal", "max_conns": 96, "health_path": "/healthz"}}
	if m != nil {
		services = append(services, map[string]any{"name": "llm", "max_conns": 354, "health_path": "/healthz", "runtime": m.runtime()})
	}
	w.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": []any{map[string]any{"name": "hall", "api_keys": []string{firstKey}}},
	})
	w.note("the operator writes configuration %d", version)
}

// prompt returns a request to a model.
func prompt(id string, tokens, answer int, deadline time.Duration) request {
	return request{
		id: id, method: "POST", target: "/volume/2f", host: host, key: firstKey, deadline: deadline, body: strings.Repeat("palm leaf ", 20),
		headers: []string{"X-Peridotpath-Model: m", fmt.Sprintf("X-Peridotpath-Token-Usage: %d,%d", tokens, answer), fmt.Sprintf("X-Peridotpath-Prefix-Hash: 5c1e07a2:40,%08x:%d", time.Now().UnixNano()&0xffffffff, tokens-40)},
	}
}

// stopWhilePromptsWait stops one of two instances by SIGTERM. Prompts that it read on kept
// connections 2.5 s later wait there for their turn when the process exits.
func stopWhilePromptsWait(w *world, trouble bool) bool {
	w.startReplica("llm", "i-a", "a", 16, longModel)
	w.startReplica("llm", "i-b", "b", 16, longModel)
	w.configure(7, longModel, route("volume", "streaming", "llm", 3000, 800, 15000, 2))
	first := w.startNode("edge-a-1", "a")
	second := w.startNode("edge-b-1", "b")
	w.awaitReady()
	time.Sleep(4 * time.Second)
	const (
		count      = 6
		size       = 170000
		beforeSize = 400000
	)
	var clients []*client
	for i := range count {
		c := w.connect(first)
		clients = append(clients, c)
		if r := c.send(prompt(fmt.Sprintf("short-%d", i), 1000, 92, 10*time.Second)); r.status != 200 || !r.complete {
			fail("a short prompt before the disruption: %s", r)
		}
	}
	var stoppedAt time.Time
	if trouble {
		stoppedAt = time.Now()
		first.signal(syscall.SIGTERM)
	}
	// A volume that is read at one replica meanwhile, by way of the other instance.
	go func() { w.connect(second).send(prompt("other", beforeSize, 800, 15*time.Second)) }()
	time.Sleep(2500 * time.Millisecond)
	replies := make([]*reply, count)
	var all sync.WaitGroup
	for i, c := range clients {
		all.Go(func() { replies[i] = c.send(prompt(fmt.Sprintf("long-%d", i), size, 800, 15*time.Second)) })
	}
	all.Wait()
	lost := 0
	for i, r := range replies {
		id := fmt.Sprintf("long-%d", i)
		runs := w.ran(id)
		switch {
		case r.complete:
			continue
		case len(runs) > 0:
			w.note("%s: not counted, it had reached a replica", id)
		case r.endedAt.Sub(r.sentAt) >= 15*time.Second:
			w.note("%s: not counted, its deadline was reached", id)
		case trouble && r.endedAt.Sub(stoppedAt) <= (graceS+1)*time.Second && r.endedAt.Sub(r.sentAt) > lossSlack:
			lost++
			w.note("%s: LOST: read whole, never passed on, connection closed without an answer %.3f s after it was sent, %.3f s after SIGTERM", id, r.endedAt.Sub(r.sentAt).Seconds(), r.endedAt.Sub(stoppedAt).Seconds())
		default:
			fail("%s: %s", id, r)
		}
	}
	return lost > 0
}
