package peridotpath

// Backend is a service to which a Route sends a weighted share of its requests; none with weight 0.
type Backend struct {
	Service Service
	Weight  int
}

// PickBackend picks one of the backends at random by weight: among those that have a taker, or among
// all where none has, so that the request is held or refused as on a route with one service. It is
// made for the load that moves from one service to another by version: a backend of weight 0 gets
// nothing, also when the others fail, since it may be an old service that must not run
// any more. intN returns a random number below its argument.
func PickBackend(backends []Backend, hasTaker func(Service) bool, intN func(int) int) (Service, bool) {
	var shared, eligible []Backend
	for _, backend := range backends {
		if backend.Weight <= 0 {
			continue
		}
		shared = append(shared, backend)
		if hasTaker(backend.Service) {
			eligible = append(eligible, backend)
		}
	}
	if len(eligible) == 0 {
		eligible = shared
	}
	return pickByWeight(eligible, intN)
}

// pickByWeight picks one of the backends, whose weights are positive; false if there is none.
func pickByWeight(backends []Backend, intN func(int) int) (Service, bool) {
	total := 0
	for _, backend := range backends {
		total += backend.Weight
	}
	if total <= 0 {
		return "", false
	}
	pick := intN(total)
	for _, backend := range backends {
		if pick < backend.Weight {
			return backend.Service, true
		}
		pick -= backend.Weight
	}
	return "", false
}
