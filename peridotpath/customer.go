package peridotpath

import (
	"crypto/sha256"
	"encoding/hex"
)

// Customer is one calling organisation, known by its API key.
type Customer struct {
	ID CustomerID `json:"id"`
	// KeySHA256 is the hex SHA-256 of the API key; the key itself is kept nowhere.
	KeySHA256 string `json:"key_sha256"`
	// Weight is the Customer's share against others that want the same endpoints.
	Weight int `json:"weight"`
	// MaxRequestsPerS bounds the request rate over all instances.
	MaxRequestsPerS int `json:"max_requests_per_s"`
	// MaxConcurrent bounds the requests running or waiting over all instances.
	MaxConcurrent int `json:"max_concurrent"`
}

// HashKey returns the form of an API key that a Customer holds.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Defaults fills every field that was left zero.
func (customer *Customer) Defaults() {
	SetDefault(&customer.Weight, 1)
	SetDefault(&customer.MaxRequestsPerS, 100)
	SetDefault(&customer.MaxConcurrent, 200)
}

// Validate returns every fault, each path under prefix.
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
