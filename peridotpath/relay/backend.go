package relay

import (
	"math/rand/v2"
	"time"

	"peridotpath.example/peridotpath"
)

// pickService picks the service that gets the request, by the route's weights and by what its
// endpoints have announced; false if no service of the route has a share.
func (relay *Relay) pickService(route *peridotpath.Route) (peridotpath.Service, bool) {
	snapshot, now := relay.Endpoints(), time.Now()
	hasTaker := func(service peridotpath.Service) bool { return relay.hasTaker(snapshot.ForService(service), now) }
	return peridotpath.PickBackend(route.Backends, hasTaker, rand.IntN)
}
