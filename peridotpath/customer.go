package peridotpath

import (
	"crypto/sha256"
	"encoding/hex"
)

// Customer is an organisation that sends requests, identified by its API key.
type Customer struct {
	ID CustomerID `json:"id"`
	// KeySHA256 is the hex SHA-256 of the API key; the key itself is not stored.
	KeySHA256 string `json:"key_sha256"`
	// Weight is the Customer's share of endpoints relative to other customers.
	Weight int `json:"weight"`
	// MaxRequestsPerS limits the request rate over all instances.
	MaxRequestsPerS int `json:"max_requests_per_s"`
	// MaxConcurrent limits the requests that run or are queued, over all instances.
	MaxConcurrent int `json:"max_concurrent"`
}

// HashKey returns the hash of an API key as a Customer stores it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Defaults sets every field that is zero.
func (customer *Customer) Defaults() {
	SetDefault(&customer.Weight, 1)
	SetDefault(&customer.MaxRequestsPerS, 100)
	SetDefault(&customer.MaxConcurrent, 200)
}

// Validate returns all faults, with their paths below prefix.
func (customer *Customer) Validate(prefix string) Faults {
	var faults Faults
	CheckName(&faults, prefix+".id", string(customer.ID))
	if raw, err := hex.DecodeString(customer.KeySHA256); err != nil || len(raw) != sha256.Size {
		faults.Add(prefix+".key_sha256", "must be %d hex digits", 2*sha256.Size)
	}
	faults.Range(prefix+".weight", int64(customer.Weight), 1, 1_000)
	faults.Range(prefix+".max_requests_per_s", int64(customer.MaxRequestsPerS), 1, 100_000)
	faults.Range(prefix+".max_concurrent", int64(customer.MaxConcurrent), 1, 1_000_000)
	return faults
}
