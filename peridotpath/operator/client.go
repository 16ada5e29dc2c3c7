package operator

import (
	"net/netip"

	pb "peridotpath.example/peridotpath/operator/operatorpb"
	"peridotpath.example/peridotpath/outbound"
)

// maxReplyBytes bounds an instance's reply, which may hold a whole document or list a fleet.
const maxReplyBytes = 64 << 20

// Connect returns a client of the operator API of the instance at the address.
func Connect(address netip.AddrPort) pb.Operator {
	return pb.NewOperatorProtobufClient("http://"+address.String(), outbound.Doer{MaxReply: maxReplyBytes})
}
