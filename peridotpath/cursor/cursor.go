// Package cursor signs and verifies resume cursors, which callers receive as SSE event ids.
// A cursor holds the location of a stream, so that any Instance can resume the stream after
// the one that began it has died, without shared per-stream state. An HMAC with a secret
// that all instances share prevents forgery.
package cursor

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
)

// Error is the class of this package's errors. An error of Signer.Verify means that the
// cursor was not issued by this system to this Customer, unless it is also an ErrNoSecret.
var Error = errs.Class("cursor")

// ErrNoSecret is the class of Signer.Verify's error while the secret is not loaded. The
// cursor may be valid, and may be accepted by another Instance or later.
var ErrNoSecret = errs.Class("no secret yet")

const (
	macBytes       = 16
	maxCursorBytes = 1024
)

// Stream is the location of a stream and the deadline of its request.
type Stream struct {
	Endpoint peridotpath.EndpointID  `json:"e"`
	ID       string                  `json:"s"`
	Profile  peridotpath.ProfileName `json:"p"`
	// DeadlineMS is the request's deadline in Unix milliseconds. Resuming does not extend
	// it.
	DeadlineMS int64 `json:"d"`
}

// Deadline returns the request's deadline.
func (stream *Stream) Deadline() time.Time { return time.UnixMilli(stream.DeadlineMS) }

// Signer signs and verifies cursors. All instances share one secret, which SetSecret or Run
// sets; before that, no cursor is issued and none is accepted.
type Signer struct {
	secret        atomic.Pointer[[]byte]
	storeRestored clock.Signal
}

// SetSecret sets the secret.
func (signer *Signer) SetSecret(secret []byte) { signer.secret.Store(&secret) }

// StreamToken returns the signed part of a cursor, which all events of a stream share. The
// token is computed once for each stream; Append adds the offset of each event. The token is
// empty while there is no secret: the stream then has no cursors.
func (signer *Signer) StreamToken(customer peridotpath.CustomerID, stream Stream) string {
	secret := signer.secret.Load()
	payload, err := json.Marshal(stream)
	if err != nil || secret == nil {
		return ""
	}
	signed := append(mac(*secret, customer, payload), payload...)
	return base64.RawURLEncoding.EncodeToString(signed)
}

// mac authenticates the payload together with the Customer, so that a cursor that leaked to
// another Customer is refused. The offset is not covered: a caller may read its own answer
// from any offset.
func mac(secret []byte, customer peridotpath.CustomerID, payload []byte) []byte {
	hash := hmac.New(sha256.New, secret)
	hash.Write([]byte(customer))
	hash.Write([]byte{0})
	hash.Write(payload)
	return hash.Sum(nil)[:macBytes]
}

// Append appends the cursor of the event with the given offset to buffer.
func Append(buffer []byte, token string, offset int64) []byte {
	buffer = append(buffer, token...)
	buffer = append(buffer, '.')
	return strconv.AppendInt(buffer, offset, 10)
}

// Verify verifies a cursor and returns the stream and the offset of the last event that the
// caller received.
func (signer *Signer) Verify(customer peridotpath.CustomerID, text string) (Stream, int64, error) {
	var stream Stream
	secret := signer.secret.Load()
	if secret == nil {
		return stream, 0, Error.Wrap(ErrNoSecret.New("this instance has not read it"))
	}
	if len(text) > maxCursorBytes {
		return stream, 0, Error.New("longer than %d bytes", maxCursorBytes)
	}
	token, number, found := strings.Cut(text, ".")
	if !found {
		return stream, 0, Error.New("no offset")
	}
	offset, err := strconv.ParseInt(number, 10, 64)
	if err != nil || offset < 0 {
		return stream, 0, Error.New("bad offset")
	}
	signed, err := base64.RawURLEncoding.DecodeString(token)
	// Base64 decoding accepts several texts for the same bytes; only the one that was
	// issued is valid.
	if err != nil || len(signed) < macBytes || base64.RawURLEncoding.EncodeToString(signed) != token {
		return stream, 0, Error.New("bad encoding")
	}
	payload := signed[macBytes:]
	if !hmac.Equal(signed[:macBytes], mac(*secret, customer, payload)) {
		return stream, 0, Error.New("not given to this customer")
	}
	if err := json.Unmarshal(payload, &stream); err != nil {
		return stream, 0, Error.Wrap(err)
	}
	return stream, offset, nil
}
