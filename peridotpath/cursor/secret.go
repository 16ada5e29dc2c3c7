package cursor

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"time"

	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
)

const (
	secretKey        = "secret/cursor"
	secretBytes      = 32
	secretRetryDelay = 2 * time.Second
)

// Run loads the secret that all instances share from the key-value store, and creates the
// secret if there is none. Until ctx ends, Run loads the secret again after each call of
// MarkStoreRestored. During an outage Run retries; until it has the secret, new streams have
// no cursors.
//
// An instance whose write of a new secret conflicts reads the other instance's secret at
// once. If the instance waited first, streams that begin meanwhile would have no cursors,
// and their callers could not resume them.
func (signer *Signer) Run(ctx context.Context, store *keyvalue.Store) error {
	var current []byte
	for {
		secret, err := loadOrCreateSecret(ctx, store, current)
		if keyvalue.ErrConflict.Has(err) {
			secret, err = loadOrCreateSecret(ctx, store, current)
		}
		if err != nil {
			if !clock.SleepContext(ctx, secretRetryDelay) {
				return ctx.Err()
			}
			continue
		}
		current = secret
		signer.SetSecret(secret)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signer.storeRestored.C():
			if !clock.SleepContext(ctx, mathrand.N(secretRetryDelay)) {
				return ctx.Err()
			}
		}
	}
}

// MarkStoreRestored must be called when the store was restored from an older copy, which
// may lack the secret. It does not block.
func (signer *Signer) MarkStoreRestored() { signer.storeRestored.Raise() }

// loadOrCreateSecret reads the secret from the store. If the key does not exist, it writes
// the current secret of this instance, since issued cursors are signed with it, or else a
// new one. If several instances write at the same time, one compare-and-swap succeeds and
// the others read that secret.
func loadOrCreateSecret(ctx context.Context, store *keyvalue.Store, current []byte) ([]byte, error) {
	entry, err := store.Get(ctx, secretKey)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if entry.Version != 0 {
		return entry.Value, nil
	}
	secret := current
	if secret == nil {
		secret = make([]byte, secretBytes)
		if _, err := rand.Read(secret); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	if _, err := store.Swap(ctx, secretKey, 0, secret, keyvalue.LeaseID{}); err != nil {
		return nil, Error.Wrap(err)
	}
	return secret, nil
}
