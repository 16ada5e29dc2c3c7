package peridotpath

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request by its content and its customer. It is the same for
// all retries of a client, independent of request id and headers.
type Fingerprint [16]byte

// String returns the fingerprint as logs write it.
func (fingerprint Fingerprint) String() string { return hex.EncodeToString(fingerprint[:]) }

// FingerprintOf returns the fingerprint of a request. It includes the customer and uses a
// cryptographic hash, so that no client can construct a request that matches another
// customer's.
func FingerprintOf(customer CustomerID, host Host, method, target string, body []byte) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{string(customer), string(host), method, target} {
		// Each part is prefixed with its length, so that different lists of parts never
		// encode to the same bytes.
		digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		digest.Write([]byte(part))
	}
	digest.Write(body)
	return Fingerprint(digest.Sum(nil)[:len(Fingerprint{})])
}
