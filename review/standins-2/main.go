// Command standins2 plays one case of the review: it starts real instances beside stand-ins of the
// store, replicas, the operator and clients, all on loopback addresses.
package main

import "os"

func main() {
	if len(os.Args) != 4 {
		fail("usage: standins2 CASE RECORD BINARY")
	}
	cases := map[string]func(*World){
		"drill": drill, "twice": twice, "framing": framing, "foreign-entry": foreignEntry, "zero-weight": zeroWeight, "body-limit": bodyLimit,
	}
	play, found := cases[os.Args[1]]
	if !found {
		fail("no case %q", os.Args[1])
	}
	play(NewWorld(os.Args[2], os.Args[3]))
}
