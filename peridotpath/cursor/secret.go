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
	secretKey    = "secret/cursor"
	secretLength = 32
	secretRetry  = 2 * time.Second
)

// Run fetches the secret that all instances share from the key-value service,
// making it if there is none, and again after WentBack, until ctx ends. During an
// outage it goes on asking; streams have no cursors meanwhile.
//
// One that lost the race to make it reads the winner's at once: after a pause
// the streams that begin meanwhile would have no cursors, and their callers
// could not resume them.
func (signer *Signer) Run(ctx context.Context, store *keyvalue.Store) error {
	var held []byte
	for {
		secret, err := fetchSecret(ctx, store, held)
		if keyvalue.ErrConflict.Has(err) {
			secret, err = fetchSecret(ctx, store, held)
		}
		if err != nil {
			if !clock.SleepContext(ctx, secretRetry) {
				return ctx.Err()
			}
			continue
		}
		held = secret
		signer.SetSecret(secret)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-signer.wentBack.C():
			if !clock.SleepContext(ctx, mathrand.N(secretRetry)) {
				return ctx.Err()
			}
		}
	}
}

// WentBack says that the service came back from an older copy, in which the secret may not
// be. It never waits.
func (signer *Signer) WentBack() { signer.wentBack.Raise() }

// fetchSecret reads the secret. If the key does not exist it writes the one that is held
// here, since cursors are signed with it, or else a new one. Of several instances that
// start together one swap wins; the others read it.
func fetchSecret(ctx context.Context, store *keyvalue.Store, held []byte) ([]byte, error) {
	entry, err := store.Get(ctx, secretKey)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if entry.Version != 0 {
		return entry.Value, nil
	}
	secret := held
	if secret == nil {
		secret = make([]byte, secretLength)
		if _, err := rand.Read(secret); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	if _, err := store.Swap(ctx, secretKey, 0, secret, keyvalue.LeaseID{}); err != nil {
		return nil, Error.Wrap(err)
	}
	return secret, nil
}
