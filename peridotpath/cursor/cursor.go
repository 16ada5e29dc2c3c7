// Package cursor makes and reads the resume cursors that callers get as SSE
// event ids. A cursor says where a stream lives, so that any Instance can go on
// with it after the one that began it has died, without keeping state anywhere.
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

// Error is the class of this package's errors: the cursor is not one that this
// system gave to this Customer.
var Error = errs.Class("cursor")

// ErrNoSecret is the class of Open's error while there is no secret: the cursor
// may be good, and opens at another Instance or a little later.
var ErrNoSecret = errs.Class("no secret yet")

const (
	macLength = 16
	maxLength = 1024
)

// Stream says where a stream lives and until when.
type Stream struct {
	Endpoint peridotpath.EndpointID  `json:"e"`
	ID       string                  `json:"s"`
	Profile  peridotpath.ProfileName `json:"p"`
	// DeadlineMS is the request's deadline in Unix milliseconds. A resumed
	// request keeps it: a deadline only shrinks.
	DeadlineMS int64 `json:"d"`
}

// Deadline returns the request's deadline.
func (stream *Stream) Deadline() time.Time { return time.UnixMilli(stream.DeadlineMS) }

// Signer makes and checks cursors. All instances share one secret, which SetSecret
// or Run gives it; until then it makes no cursors and opens none.
type Signer struct {
	secret   atomic.Pointer[[]byte]
	wentBack clock.Signal
}

// SetSecret sets the secret.
func (signer *Signer) SetSecret(secret []byte) { signer.secret.Store(&secret) }

// Token returns the part of a cursor that all events of a stream share. It is
// made once a stream; At adds the offset for each event. It is empty while
// there is no secret: the stream then has no cursors.
func (signer *Signer) Token(customer peridotpath.CustomerID, stream Stream) string {
	secret := signer.secret.Load()
	payload, err := json.Marshal(stream)
	if err != nil || secret == nil {
		return ""
	}
	sealed := append(mac(*secret, customer, payload), payload...)
	return base64.RawURLEncoding.EncodeToString(sealed)
}

// mac covers the Customer, so that a cursor that leaked to another Customer
// opens nothing. The offset is left out: any offset of one's own answer is
// one's own.
func mac(secret []byte, customer peridotpath.CustomerID, payload []byte) []byte {
	hash := hmac.New(sha256.New, secret)
	hash.Write([]byte(customer))
	hash.Write([]byte{0})
	hash.Write(payload)
	return hash.Sum(nil)[:macLength]
}

// At appends the cursor of the event with the given offset to buffer.
func At(buffer []byte, token string, offset int64) []byte {
	buffer = append(buffer, token...)
	buffer = append(buffer, '.')
	return strconv.AppendInt(buffer, offset, 10)
}

// Open checks a cursor and returns the stream and the offset of the last event
// that the caller has.
func (signer *Signer) Open(customer peridotpath.CustomerID, text string) (Stream, int64, error) {
	var stream Stream
	secret := signer.secret.Load()
	if secret == nil {
		return stream, 0, Error.Wrap(ErrNoSecret.New("this instance has not read it"))
	}
	if len(text) > maxLength {
		return stream, 0, Error.New("longer than %d bytes", maxLength)
	}
	token, number, found := strings.Cut(text, ".")
	if !found {
		return stream, 0, Error.New("no offset")
	}
	offset, err := strconv.ParseInt(number, 10, 64)
	if err != nil || offset < 0 {
		return stream, 0, Error.New("bad offset")
	}
	sealed, err := base64.RawURLEncoding.DecodeString(token)
	// The decoder takes several texts for the same bytes; one was given out.
	if err != nil || len(sealed) < macLength || base64.RawURLEncoding.EncodeToString(sealed) != token {
		return stream, 0, Error.New("bad encoding")
	}
	payload := sealed[macLength:]
	if !hmac.Equal(sealed[:macLength], mac(*secret, customer, payload)) {
		return stream, 0, Error.New("not given to this customer")
	}
	if err := json.Unmarshal(payload, &stream); err != nil {
		return stream, 0, Error.Wrap(err)
	}
	return stream, offset, nil
}
