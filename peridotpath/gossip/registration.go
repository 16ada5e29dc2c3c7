package gossip

import (
	"encoding/json"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/keyvalue"
)

// RegistryPrefix is the key prefix under which instances register. An instance uses
// a new key at each start, so that it need not take over the entry of its earlier start,
// which expires with the lease of that start.
const RegistryPrefix = "peridotpath/instances/"

// registration is the value of a registry entry: the instance that wrote it, which is a
// registrar, and the members of its group.
type registration struct {
	Address      netip.AddrPort         `json:"address"`
	DataCentre   peridotpath.DataCentre `json:"data_centre"`
	SnapshotPort uint16                 `json:"snapshot_port,omitempty"`
	// Era is the era of the store when the entry was written.
	Era keyvalue.Era `json:"era,omitempty"`
	// Members are the other instances of the data centre that the entry registers.
	Members []member `json:"members,omitempty"`
}

// member is an instance that another one registers.
type member struct {
	Address      netip.AddrPort `json:"address"`
	SnapshotPort uint16         `json:"snapshot_port,omitempty"`
}

// InstanceList is a list of the registered instances, each once, in the order of their
// addresses. It is immutable.
type InstanceList struct {
	Peers []Peer
	// Content is the hash of the list; zero for none.
	Content uint64
}

// newInstanceList returns the list of the peers. Of several with one address, a registrar
// takes precedence: the others are of an earlier start.
func newInstanceList(peers []Peer) InstanceList {
	peers = slices.Clone(peers)
	slices.SortStableFunc(peers, func(a, b Peer) int {
		if order := a.Address.Compare(b.Address); order != 0 || a.IsRegistrar == b.IsRegistrar {
			return order
		}
		if a.IsRegistrar {
			return -1
		}
		return 1
	})
	peers = slices.CompactFunc(peers, func(a, b Peer) bool { return a.Address == b.Address })
	digest := xxhash.New()
	for _, peer := range peers {
		registrar := " "
		if peer.IsRegistrar {
			registrar = "*"
		}
		// Writing to a digest cannot fail.
		_, _ = digest.WriteString(peer.Address.String() + registrar + string(peer.DataCentre) + "\n")
	}
	return InstanceList{Peers: peers, Content: digest.Sum64() | 1}
}

// contains reports whether the list has the address, as a registrar if only those count.
func (list *InstanceList) contains(address netip.AddrPort, onlyRegistrars bool) bool {
	index, found := slices.BinarySearchFunc(list.Peers, address, func(peer Peer, address netip.AddrPort) int { return peer.Address.Compare(address) })
	return found && (list.Peers[index].IsRegistrar || !onlyRegistrars)
}

// registrarsOf returns the registrars of a data centre except the one at the address own, in
// an order that differs from instance to instance and spreads them over the registrars.
func (list *InstanceList) registrarsOf(dataCentre peridotpath.DataCentre, own netip.AddrPort) []Peer {
	var found []Peer
	for _, peer := range list.Peers {
		if peer.IsRegistrar && peer.DataCentre == dataCentre && peer.Address != own {
			found = append(found, peer)
		}
	}
	subject := xxhash.Sum64String(own.String())
	slices.SortFunc(found, func(a, b Peer) int {
		if rendezvousHash(subject, a.Address) < rendezvousHash(subject, b.Address) {
			return -1
		}
		return 1
	})
	return found
}

// registrarOf returns the address of the registrar in whose entry an instance is a member; the zero
// value for none.
func registrarOf(entries []keyvalue.Entry, member netip.AddrPort) netip.AddrPort {
	for _, entry := range entries {
		var registration registration
		if json.Unmarshal(entry.Value, &registration) != nil {
			continue
		}
		for _, listed := range registration.Members {
			if listed.Address == member {
				return registration.Address
			}
		}
	}
	return netip.AddrPort{}
}

// decodeRegistrations decodes the entries of the registry into a list and returns the oldest
// era in them. It skips entries that cannot be decoded.
func decodeRegistrations(entries []keyvalue.Entry, log zerolog.Logger) (list InstanceList, oldest keyvalue.Era) {
	var peers []Peer
	for i, entry := range entries {
		var registration registration
		if err := json.Unmarshal(entry.Value, &registration); err != nil {
			log.Warn().Err(err).Str("key", entry.Key).Msg("registration_unread")
			continue
		}
		if i == 0 || registration.Era < oldest {
			oldest = registration.Era
		}
		peers = append(peers, Peer{
			Address: registration.Address, DataCentre: registration.DataCentre, SnapshotPort: registration.SnapshotPort, IsRegistrar: true,
		})
		for _, member := range registration.Members {
			peers = append(peers, Peer{Address: member.Address, DataCentre: registration.DataCentre, SnapshotPort: member.SnapshotPort})
		}
	}
	return newInstanceList(peers), oldest
}
