package peridotpath

import "net/netip"

// Instance is one running peridotd process.
type Instance struct {
	ID          InstanceID  `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
	DataCentre  DataCentre  `json:"data_centre"`
	// Caller is the address for clients and the load balancer.
	Caller netip.AddrPort `json:"caller"`
	// Peer is the address for other instances and operators.
	Peer  netip.AddrPort `json:"peer"`
	State State          `json:"state"`
}
