package delta_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/delta"
)

const maxValueBytes = 1 << 20

// document returns a routing of that many routes; the changed ones have another target.
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

// roundTrip checks that value survives the round trip with base, and returns the
// encoded length.
func roundTrip(t *testing.T, value, base []byte) int {
	t.Helper()
	is := is.New(t)
	packed, err := delta.Compute(value, base)
	is.NoErr(err)
	unpacked, err := delta.Apply(packed, base, maxValueBytes)
	is.NoErr(err)
	is.True(bytes.Equal(unpacked, value))
	return len(packed)
}

// A routing of 1,100 routes changes in two of them, far apart. Sent whole, it occupies the
// link of a small instance for 0.1 s for each receiver; the delta takes a few hundred bytes.
func TestSmallChangeGivesSmallDelta(t *testing.T) {
	is := is.New(t)
	before, after := document(1100), document(1100, 3, 900)
	length := roundTrip(t, after, before)
	t.Logf("%d bytes, packed %d", len(after), length)
	is.True(length < len(after)/100)
}

func TestEmptyBase(t *testing.T) {
	is := is.New(t)
	whole := document(1100)
	is.True(roundTrip(t, whole, nil) < len(whole)/2)
}

// Decoding with a base other than the one used for encoding must fail rather than return
// a wrong value.
func TestWrongBaseFails(t *testing.T) {
	is := is.New(t)
	before, after := document(200), document(200, 3)
	packed, err := delta.Compute(after, before)
	is.NoErr(err)
	value, err := delta.Apply(packed, document(200, 7, 9), maxValueBytes)
	is.True(err != nil || !bytes.Equal(value, after))
	is.True(err != nil) // the checksum differs
	_, err = delta.Apply(packed, nil, maxValueBytes)
	is.True(err != nil)
	_, err = delta.Apply([]byte("no zstd"), nil, maxValueBytes)
	is.True(err != nil)
}

// A short input that decodes to more than the limit (a decompression bomb) is refused.
func TestValueAboveLimitIsRefused(t *testing.T) {
	is := is.New(t)
	packed, err := delta.Compute(make([]byte, 2*maxValueBytes), nil)
	is.NoErr(err)
	_, err = delta.Apply(packed, nil, maxValueBytes)
	is.True(err != nil)
}
