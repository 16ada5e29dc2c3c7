package gossip

import (
	"github.com/rs/zerolog"

	"peridotpath.example/peridotpath/keyvalue"
)

// DecodeRegistrations decodes the entries of the registry.
func DecodeRegistrations(entries []keyvalue.Entry) InstanceList {
	list, _ := decodeRegistrations(entries, zerolog.Nop())
	return list
}
