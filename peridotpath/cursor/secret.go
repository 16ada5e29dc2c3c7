package cursor

import (
	"context"
	"crypto/rand"
	"time"

	"peridotpath.example/peridotpath/clock"
	"peridotpath.example/peridotpath/keyvalue"
)

const (
	secretKey    = "secret/cursor"
	secretLength = 32
	secretRetry  = 2 * time.Second
)

// Run fetches the secret that all instances share from the key-value service,
// making it if there is none, and ends when it has it or ctx ends. During an
// outage it goes on asking; streams have no cursors meanwhile.
//
// One that lost the race to make it reads the winner's at once: after a pause
// the streams that begin meanwhile would have no cursors, and their callers
// could not resume them.
func (signer *Signer) Run(ctx context.Context, store *keyvalue.Store) error {
	for {
		secret, err := fetchSecret(ctx, store)
		if keyvalue.ErrConflict.Has(err) {
			secret, err = fetchSecret(ctx, store)
		}
		if err == nil {
			signer.SetSecret(secret)
			<-ctx.Done()
			return ctx.Err()
		}
		if !clock.Pause(ctx, secretRetry) {
			return ctx.Err()
		}
	}
}

// fetchSecret reads the secret, or writes a new one if the key does not exist.
// Of several instances that start together one swap wins; the others read it.
func fetchSecret(ctx context.Context, store *keyvalue.Store) ([]byte, error) {
	entry, err := store.Get(ctx, secretKey)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if entry.Version != 0 {
		return entry.Value, nil
	}
	secret := make([]byte, secretLength)
	if _, err := rand.Read(secret); err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := store.Swap(ctx, secretKey, 0, secret, keyvalue.LeaseID{}); err != nil {
		return nil, Error.Wrap(err)
	}
	return secret, nil
}
