package delta_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/delta"
)

const limit = 1 << 20

// document is a routing of so many routes; changed routes have other targets.
func document(routes int, changed ...int) []byte {
	var text bytes.Buffer
	for i := range routes {
		target := fmt.Sprintf("service-%x", i*2654435761)
		for _, number := range changed {
			if number == i {
				target = "service-other"
			}
		}
		fmt.Fprintf(&text, `{"name":"r%08x","hostname":"h%06x.example","path_prefix":"/p%05x/","service":"%s","timeout_ms":10000},`,
			i*40503, i*9176, i*7919, target)
	}
	return text.Bytes()
}

// packAndUnpack checks that the value comes back for whoever has base, and returns
// how many bytes travelled.
func packAndUnpack(t *testing.T, value, base []byte) int {
	t.Helper()
	is := is.New(t)
	packed, err := delta.Pack(value, base)
	is.NoErr(err)
	unpacked, err := delta.Unpack(packed, base, limit)
	is.NoErr(err)
	is.True(bytes.Equal(unpacked, value))
	return len(packed)
}

// A configuration of 1,100 routes changes in two of them, far apart. Whole it
// takes the link of a small instance for a tenth of a second for each that asks;
// what changed takes a few hundred bytes.
func TestWhatChangedIsSmall(t *testing.T) {
	is := is.New(t)
	before, after := document(1100), document(1100, 3, 900)
	length := packAndUnpack(t, after, before)
	t.Logf("%d bytes, packed %d", len(after), length)
	is.True(length < len(after)/100)
}

func TestPackedForAnybody(t *testing.T) {
	is := is.New(t)
	whole := document(1100)
	is.True(packAndUnpack(t, whole, nil) < len(whole)/2)
}

// Whoever has another value than the one it was packed for learns that, and takes
// no other value for the one that was sent.
func TestAnotherBaseIsNoticed(t *testing.T) {
	is := is.New(t)
	before, after := document(200), document(200, 3)
	packed, err := delta.Pack(after, before)
	is.NoErr(err)
	value, err := delta.Unpack(packed, document(200, 7, 9), limit)
	is.True(err != nil || !bytes.Equal(value, after))
	is.True(err != nil) // a checksum tells
	_, err = delta.Unpack(packed, nil, limit)
	is.True(err != nil)
	_, err = delta.Unpack([]byte("no zstd"), nil, limit)
	is.True(err != nil)
}

// A few bytes that claim to be a gigabyte are refused.
func TestLimit(t *testing.T) {
	is := is.New(t)
	packed, err := delta.Pack(make([]byte, 2*limit), nil)
	is.NoErr(err)
	_, err = delta.Unpack(packed, nil, limit)
	is.True(err != nil)
}
