package cursor_test

import (
	"fmt"

	"peridotpath.example/peridotpath/cursor"
)

// One instance issues the cursors of a stream; another verifies the last one that the
// caller received.
func Example() {
	secret := []byte("what all instances read from the key-value service")
	first, second := &cursor.Signer{}, &cursor.Signer{}
	first.SetSecret(secret)
	second.SetSecret(secret)

	token := first.StreamToken("airline", cursor.Stream{Endpoint: "engine-7", ID: "stream-1", Profile: "counter-lookup"})
	var last []byte
	for offset := range int64(3) {
		last = cursor.Append(last[:0], token, offset)
	}

	stream, offset, err := second.Verify("airline", string(last))
	fmt.Println(stream.Endpoint, stream.ID, offset, err)
	_, _, err = second.Verify("hotel", string(last))
	fmt.Println(err)
	// Output:
	// engine-7 stream-1 2 <nil>
	// cursor: not given to this customer
}
