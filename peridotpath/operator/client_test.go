package operator_test

import (
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/operator"
	pb "peridotpath.example/peridotpath/operator/operatorpb"
	"peridotpath.example/peridotpath/outbound/endlesstest"
)

// An instance in trouble answers a question about all instances without an end, and the one that asks it keeps
// all that arrives.
func TestReplyOfInstanceIsBounded(t *testing.T) {
	is := is.New(t)
	server := endlesstest.Start(t, false)
	_, err := operator.Connect(server.Address).Applied(t.Context(), &pb.AppliedRequest{})
	is.True(err != nil)
	t.Logf("%d bytes were sent", server.Written())
	is.True(server.Written() <= 64<<20+endlesstest.KernelBytes)
}
