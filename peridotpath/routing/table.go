// Package routing holds the operators' routing in force: which route takes a
// request, whose key it bears, and for how long what is known may be acted on.
package routing

import (
	"cmp"
	"slices"
	"strings"

	"peridotpath.example/peridotpath"
)

// Table is one state of the routing, made for look-ups. It is not changed.
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

// Match returns the route of the host with the longest prefix that begins the
// path, or nil.
func (table *Table) Match(host peridotpath.Host, path string) *peridotpath.Route {
	for _, route := range table.byHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Holder returns whose key it is.
func (table *Table) Holder(key peridotpath.APIKey) (peridotpath.KeyHolder, bool) {
	holder, known := table.Routing.Keys[key]
	return holder, known
}

// NeedsKey reports whether requests on the route must bear a key.
func (table *Table) NeedsKey(route *peridotpath.Route) bool {
	return table.Routing.Keys != nil && !route.Public
}

// Service returns what the routing says of a service.
func (table *Table) Service(name peridotpath.Service) peridotpath.ServiceSpec {
	return table.Routing.Services[name]
}
