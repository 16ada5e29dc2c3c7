package fairshare

import (
	"slices"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/fairness"
	"peridotpath.example/peridotpath/placement"
	"peridotpath.example/peridotpath/routing"
)

// customerWeights holds the weights of the customers in a routing.
type customerWeights struct {
	table   *routing.Table
	ids     map[placement.CustomerHash]peridotpath.CustomerID
	weights map[placement.CustomerHash]float64
}

// load reads the customers of the active routing, if it has changed, and reports whether it has
// two or more.
func (customers *customerWeights) load(state *routing.State) bool {
	if table := state.Current(); table != customers.table && table != nil {
		customers.read(table)
	}
	return len(customers.ids) >= 2
}

// read reads the customers of a routing. The rank of a customer is that of its keys, the most
// urgent one of several; a customer without one has the usual rank, the median of the routes.
func (customers *customerWeights) read(table *routing.Table) {
	*customers = customerWeights{table: table, ids: map[placement.CustomerHash]peridotpath.CustomerID{}, weights: map[placement.CustomerHash]float64{}}
	var ranks []int
	for i := range table.Routing.Routes {
		ranks = append(ranks, table.Routing.Routes[i].Priority)
	}
	slices.Sort(ranks)
	usual := 0
	if len(ranks) > 0 {
		usual = ranks[len(ranks)/2]
	}
	for _, holder := range table.Routing.Keys {
		hash, weight := placement.HashCustomer(holder.Customer), 1.0
		if holder.HasPriority {
			weight = fairness.RankWeight(holder.Priority, usual)
		}
		customers.ids[hash] = holder.Customer
		customers.weights[hash] = max(customers.weights[hash], weight)
	}
}

// weight returns the weight of a customer; 1 for one that the routing does not name.
func (customers *customerWeights) weight(customer placement.CustomerHash) float64 {
	if weight := customers.weights[customer]; weight > 0 {
		return weight
	}
	return 1
}
