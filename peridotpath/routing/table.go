// Package routing holds the active routing table: it matches requests to routes, looks up
// the holders of API keys, and bounds how long keys may be used without confirmation.
// With many instances, each reads the table from peers before the store: changes spread
// by gossip, as deltas, once into each data centre, so the load on the store does not
// grow with the number of instances.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"peridotpath.example/peridotpath"
)

// Table is one version of the routing, indexed by host. It is immutable.
type Table struct {
	Routing *peridotpath.Routing
	// byHost holds each host's routes, longest prefix first.
	byHost map[peridotpath.Host][]*peridotpath.Route
}

// NewTable returns the table of a routing.
func NewTable(routing *peridotpath.Routing) *Table {
	table := &Table{Routing: routing, byHost: map[peridotpath.Host][]*peridotpath.Route{}}
	for i := range routing.Routes {
		route := &routing.Routes[i]
		table.byHost[route.Host] = append(table.byHost[route.Host], route)
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, func(a, b *peridotpath.Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return table
}

// Match returns the route of the host with the longest matching path prefix, or nil.
func (table *Table) Match(host peridotpath.Host, path string) *peridotpath.Route {
	for _, route := range table.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// KeyHolder returns the holder of the key; false for an unknown key.
func (table *Table) KeyHolder(key peridotpath.APIKey) (peridotpath.KeyHolder, bool) {
	holder, ok := table.Routing.Keys[key]
	return holder, ok
}

// NeedsKey reports whether requests on the route must carry a key.
func (table *Table) NeedsKey(route *peridotpath.Route) bool {
	return table.Routing.Keys != nil && !route.Public
}

// ServiceSpec returns the specification of the service; zero where there is none.
func (table *Table) ServiceSpec(name peridotpath.Service) peridotpath.ServiceSpec {
	return table.Routing.Services[name]
}
