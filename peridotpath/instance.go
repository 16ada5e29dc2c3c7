package peridotpath

import "net/netip"

// Instance is one running peridotd.
type Instance struct {
	ID          InstanceID  `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
	DataCentre  DataCentre  `json:"data_centre"`
	// Caller is where callers and the balancer reach it.
	Caller netip.AddrPort `json:"caller"`
	// Peer is where other instances and operators reach it.
	Peer  netip.AddrPort `json:"peer"`
	State State          `json:"state"`
}
