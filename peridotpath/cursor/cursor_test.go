package cursor_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/cursor"
)

var stream = cursor.Stream{Endpoint: "lipi-model-1", ID: "s1", Profile: "line", DeadlineMS: 946684800000}

func newSigner() *cursor.Signer {
	signer := &cursor.Signer{}
	signer.SetSecret([]byte("secret"))
	return signer
}

// A cursor is valid at any instance, and only for the customer that it was issued to.
func TestCursorIsValidForItsCustomerOnly(t *testing.T) {
	is := is.New(t)
	text := string(cursor.Append(nil, newSigner().StreamToken("volunteers", stream), 7))
	have, offset, err := newSigner().Verify("volunteers", text)
	is.NoErr(err)
	is.Equal(have, stream)
	is.Equal(offset, int64(7))
	for i := range text[:strings.IndexByte(text, '.')] {
		changed := []byte(text)
		changed[i] ^= 1
		if _, _, err := newSigner().Verify("volunteers", string(changed)); err == nil {
			t.Errorf("want a cursor changed at byte %d refused", i)
		}
	}
	_, _, err = newSigner().Verify("scholars", text)
	is.True(cursor.Error.Has(err)) // a cursor that leaked to another customer
	_, _, err = (&cursor.Signer{}).Verify("volunteers", text)
	is.True(cursor.Error.Has(err)) // the secret is not loaded yet
}

// FuzzVerify checks that only issued cursors are accepted.
func FuzzVerify(f *testing.F) {
	signer := newSigner()
	good := signer.StreamToken("volunteers", stream)
	for _, seed := range []string{good + ".7", good, good + ".-1", "." + good, "", ".", "AAAA.1", good + ".99999999999999999999"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		have, offset, err := signer.Verify("volunteers", text)
		if err != nil {
			return
		}
		token, _, _ := strings.Cut(text, ".")
		if have != stream || token != good || offset < 0 {
			t.Errorf("want %q refused, have %v at %d", text, have, offset)
		}
	})
}
