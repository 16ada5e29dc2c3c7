package main

import (
	"fmt"
	"strings"
	"time"
)

// path: the operator adds a route whose prefix is a single slash. Clients ask for paths that begin
// with two slashes, as where a base that ends with a slash is joined with a path that begins with one.
func path(world *World) {
	for i := range 3 {
		replica := &Replica{World: world, ID: fmt.Sprintf("i-seva%d", i+1), Service: saveService, Capacity: 6, Work: 10 * time.Millisecond}
		replica.Start()
	}
	images := route("r-images", "/images/", "idempotent", true, to(saveService))
	admin := route("r-admin", "/admin/", "non_idempotent", false, to(saveService))
	world.PutConfig(config(7, []any{images, admin}, []string{saveService}, 4*mebibyte))
	instances := world.AddInstances(2)
	if world.Trouble {
		world.PutConfig(config(9, []any{images, admin, route("r-rest", "/", "idempotent", true, to(saveService))}, []string{saveService}, 4*mebibyte))
		time.Sleep(3 * time.Second)
	}
	sent := map[string]string{}
	ask := func(method, target string) {
		for _, instance := range instances {
			answer := world.Ask(instance, method, target, casesHost, "", "", 3*time.Second)
			sent[answer.ID] = method + " " + target
		}
	}
	for i := range 20 {
		ask("GET", fmt.Sprintf("/images/leaf-%d.png", i))
		ask("GET", fmt.Sprintf("//images/leaf-%d.png", i))
		ask("POST", fmt.Sprintf("//images/admin/purge?leaf=%d", i))
	}
	unchanged, changed, unkeyed := 0, 0, 0
	for _, run := range world.Runs() {
		if run.Method+" "+run.Target == sent[run.ID] {
			unchanged++
			continue
		}
		changed++
		_, rest, _ := strings.Cut(run.Target, "://")
		_, asServed, _ := strings.Cut(rest, "/")
		if strings.HasPrefix(asServed, "admin/") && run.Tenant == "" {
			unkeyed++
		}
		world.Record("broken   id=%s was sent as %q and reached %s as %q, whose path is %q", run.ID, sent[run.ID], run.Replica, run.Method+" "+run.Target, "/"+asServed)
	}
	if unchanged < 40 {
		fail("only %d requests ran unchanged", unchanged)
	}
	world.Finish(changed > 0, "UNASKED: %d requests ran as they were sent, %d ran with another path; %d of these under /admin/, which needs a key, without one", unchanged, changed, unkeyed)
}
