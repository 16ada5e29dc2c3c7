package peridotpath

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// Fingerprint identifies a request by its content and its customer, or a part of a customer's
// prompts. It is the same for all retries of a client, independent of request id and headers.
type Fingerprint [16]byte

// String returns the fingerprint as logs write it.
func (fingerprint Fingerprint) String() string { return hex.EncodeToString(fingerprint[:]) }

// FingerprintOf returns the fingerprint of a request. It includes the customer and uses a
// cryptographic hash, so that no client can construct a request that matches another
// customer's.
func FingerprintOf(customer CustomerID, host Host, method, target string, body []byte) Fingerprint {
	digest := sha256.New()
	writeFields(digest, string(customer), string(host), method, target)
	digest.Write(body)
	return Fingerprint(digest.Sum(nil)[:len(Fingerprint{})])
}

// FingerprintOfPart returns the fingerprint of a part of a customer's prompts. It includes the
// customer, so that none can have a part of another one's prompts quarantined.
func FingerprintOfPart(customer CustomerID, part PartID) Fingerprint {
	digest := sha256.New()
	writeFields(digest, "part", string(customer), string(part))
	return Fingerprint(digest.Sum(nil)[:len(Fingerprint{})])
}

// writeFields writes fields, each prefixed with its length, so that different lists of fields
// never encode to the same bytes.
func writeFields(digest hash.Hash, fields ...string) {
	for _, field := range fields {
		digest.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		digest.Write([]byte(field))
	}
}
