package peridotpath_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath"
)

func TestFingerprintOf(t *testing.T) {
	is := is.New(t)
	first := peridotpath.FingerprintOf("desk", "host", "POST", "/a/x", []byte("body"))
	is.Equal(first, peridotpath.FingerprintOf("desk", "host", "POST", "/a/x", []byte("body")))
	for _, other := range []peridotpath.Fingerprint{
		peridotpath.FingerprintOf("airline", "host", "POST", "/a/x", []byte("body")),
		peridotpath.FingerprintOf("desk", "host", "POST", "/a/x?y", []byte("body")),
		peridotpath.FingerprintOf("desk", "host", "POST", "/a/", []byte("xbody")),
		peridotpath.FingerprintOf("desk", "hostP", "OST", "/a/x", []byte("body")),
		peridotpath.FingerprintOf("desk", "host", "POST", "/a/x", []byte("bodY")),
	} {
		is.True(other != first)
	}
}

// BenchmarkFingerprintOf hashes a prompt of one million tokens.
func BenchmarkFingerprintOf(b *testing.B) {
	body := bytes.Repeat([]byte("abcde "), 1_000_000)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		peridotpath.FingerprintOf("desk", "host", "POST", "/a/x", body)
	}
}
