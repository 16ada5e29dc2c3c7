package crowd

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// The kernel lists a socket that is connecting with a queue of nearly 2 GB, on which no byte has arrived, and
// an instance seems to exceed its memory.
func TestUnreadBytesAreThoseOfOpenConnections(t *testing.T) {
	const header = "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode\n"
	tests := []struct {
		name, line string
		want       int64
	}{
		{"connecting, as traced", " 233: 0909007F:85F1 0100007F:AE51 02 00000000:7C553E7A 00:00000000 00000000     0        0 781254 2 00000000f1dcd038 20 0 0 11 -1\n", 0},
		{"open", " 233: 0909007F:85F1 0100007F:AE51 01 00000000:7C553E7A 00:00000000 00000000     0        0 781254 2 00000000f1dcd038 20 0 0 11 -1\n", 0x7C553E7A},
		{"the other side has ended", " 234: 0909007F:85F1 0100007F:AE51 08 00000000:00000010 00:00000000 00000000     0        0 781255 2 00000000f1dcd038 20 0 0 11 -1\n", 16},
		{"this side has ended", " 234: 0909007F:85F1 0100007F:AE51 05 00000000:00000010 00:00000000 00000000     0        0 781255 2 00000000f1dcd038 20 0 0 11 -1\n", 16},
		{"listening", " 235: 0909007F:85F1 00000000:0000 0A 00000000:00000010 00:00000000 00000000     0        0 781256 2 00000000f1dcd038 20 0 0 11 -1\n", 0},
		{"not accepted", " 236: 0909007F:85F1 0100007F:AE51 01 00000000:00000010 00:00000000 00000000     0        0 0 2 00000000f1dcd038 20 0 0 11 -1\n", 0},
		{"another address", " 237: 0809007F:85F1 0100007F:AE51 01 00000000:00000010 00:00000000 00000000     0        0 781257 2 00000000f1dcd038 20 0 0 11 -1\n", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(unreadBytes(header+test.line, netip.MustParseAddr("127.0.9.9")), test.want)
		})
	}
}
