package peridotpath

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint names what a request asks for and who asks it: the same for each try
// of a caller, whatever its id and its headers.
type Fingerprint [16]byte

// String returns the fingerprint as logs write it.
func (fingerprint Fingerprint) String() string { return hex.EncodeToString(fingerprint[:]) }

// FingerprintOf returns the fingerprint of a request. The customer is part of it, and
// the hash is a cryptographic one, so that no caller can make a request that is taken
// for somebody else's.
func FingerprintOf(customer CustomerID, host Host, method, target string, body []byte) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{string(customer), string(host), method, target} {
		// A part's length comes before it, so that no two lists of parts read the same.
		digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		digest.Write([]byte(part))
	}
	digest.Write(body)
	return Fingerprint(digest.Sum(nil)[:len(Fingerprint{})])
}
