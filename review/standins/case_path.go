package main

import "time"

func init() { cases["path"] = slashesAtFront }

// slashesAtFront adds a route for all paths of a host, and sends a request whose path begins with two
// slashes.
func slashesAtFront(w *world, trouble bool) bool {
	w.startReplica("portal", "i-a", "a", 6, nil)
	w.startReplica("portal", "i-b", "b", 6, nil)
	save := route("save", "non_idempotent", "portal", 300, 0, 1500, 1)
	w.configure(7, nil, save)
	node := w.startNode("edge-a-1", "a")
	w.startNode("edge-b-1", "b")
	w.awaitReady()
	time.Sleep(3 * time.Second)
	if trouble {
		all := route("all", "non_idempotent", "portal", 300, 0, 1500, 1)
		all["path_prefix"] = "/"
		w.configure(9, nil, save, all)
		time.Sleep(3 * time.Second)
	}
	broken := 0
	c := w.connect(node)
	for _, target := range []string{"/save/2f", "//save/2f", "//leaf/2f?page=3"} {
		id := "r-" + target[len(target)-3:] + target[1:4]
		c.send(request{id: id, method: "POST", target: target, host: host, key: firstKey, body: "correction", deadline: 3 * time.Second})
		for _, a := range w.ran(id) {
			if a.target != target {
				broken++
				w.note("%s: UNASKED: the client sent %q to %q, the replica ran %q at %q", id, target, host, a.target, a.host)
			}
		}
	}
	return broken > 0
}
