package outbound_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/outbound"
	"peridotpath.example/peridotpath/outbound/rawtest"
)

// checkIsResponse checks whether the bytes of a server are taken for a response.
func checkIsResponse(t *testing.T, bytes string, isOne bool) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+rawtest.Respond(t, bytes).String(), nil)
	is.NoErr(err)
	request.Close = true
	response, err := outbound.Do(request)
	if err == nil {
		response.Body.Close()
	}
	is.Equal(err == nil, isOne)
	is.Equal(outbound.ErrNoResponse.Has(err), !isOne) // the server may have run the request
}

// net/http takes any three digits for a status, and ignores the chunks of HTTP/1.0. A status line with a
// wrong byte is then relayed as an answer, with the chunks' sizes in its body, or decides about a write or an order
// as if the server had said so.
func TestResponsesWithoutFinalStatusAreNone(t *testing.T) {
	const rest = " X\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		response string
		isOne    bool
	}{
		{"HTTP/1.1 000" + rest, false},
		{"HTTP/1.1 001" + rest, false},
		{"HTTP/1.1 099" + rest, false},
		{"HTTP/1.1 +50" + rest, false},
		{"HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: y\r\n\r\n", false},
		{"HTTP/1.1 600" + rest, false},
		{"HTTP/1.1 999" + rest, false},
		{"HTTP/5.1 200" + rest, false},
		{"HTTP/0.1 200" + rest, false},
		{"HTTP/1.1 204 X\r\nContent-Length: 3\r\n\r\nabc", false},
		{"HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false},
		{"HTTP/1.1 200" + rest, true},
		{"HTTP/1.0 200" + rest, true},
		{"HTTP/1.1 204 X\r\n\r\n", true},
		{"HTTP/1.1 204" + rest, true},
		{"HTTP/1.1 304 X\r\nContent-Length: 3\r\n\r\n", true},
		{"HTTP/1.0 200 X\r\n\r\nuntil the end", true},
		{"HTTP/1.0 200 X\r\nX-Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n", true},
		{"HTTP/1.0 200 X\r\nContent-Length: 29\r\n\r\n\r\nTransfer-Encoding: chunked\r\n", true},
		{"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true},
		{"HTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", false},
		{"HTTP/1.0 200 X\r\nContent-Length: 3\r\ntransfer-encoding:chunked\r\n\r\nabc", false},
		{"HTTP/1.0 200 X\nTransfer-Encoding: chunked\n\n3\r\nabc\r\n0\r\n\r\n", false},
		{"HTTP/1.0 200 X\r\nX-Long: " + strings.Repeat("x", 8000) + "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		{"HTTP/1.1 103 X\r\nLink: y\r\n\r\nHTTP/1.0 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		{"HTTP/1.0  100  X\r\n\r\nHTTP/1.0  200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		{"HTTP/1.0 100 X\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.0 200 X\r\n\r\nuntil the end", true},
		{"HTTP/1.1 599" + rest, true},
		{"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200" + rest, true},
		{"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000" + rest, false},
	}
	for _, test := range tests {
		t.Run(test.response, func(t *testing.T) {
			checkIsResponse(t, test.response, test.isOne)
		})
	}
}

// net/http takes a name with a blank in it for one that it does not know: a line that frames the body has
// no effect, and what the server sent as chunks is relayed as a body, or its refusal is believed.
func TestResponsesWithMalformedFieldNamesAreNone(t *testing.T) {
	const chunks = "\r\n\r\n4\r\ndone\r\n0\r\n\r\n"
	tests := []struct {
		name, response string
		isOne          bool
	}{
		{"blank before the colon", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked" + chunks, false},
		{"blanks before the colon", "HTTP/1.1 200 OK\r\nContent-Length  : 4\r\n\r\ndone", false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked" + chunks, false},
		{"blank in a name beside a length", "HTTP/1.1 200 OK\r\nX Loa d: 1\r\nContent-Length: 4\r\n\r\ndone", false},
		{"blank in a name of a failure", "HTTP/1.1 503 Full\r\nX-No te: 1\r\nContent-Length: 0\r\n\r\n", false},
		{"blank in a name after an informational response", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n", false},
		{"tab before the colon", "HTTP/1.1 200 OK\r\nContent-Length\t: 4\r\n\r\ndone", false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX-\x01Load: 1\r\nContent-Length: 4\r\n\r\ndone", false},
		{"zero byte in a name", "HTTP/1.1 200 OK\r\nX-\x00Load: 1\r\nContent-Length: 4\r\n\r\ndone", false},
		{"deletion in a name", "HTTP/1.1 200 OK\r\nX-\x7fLoad: 1\r\nContent-Length: 4\r\n\r\ndone", false},
		{"carriage return in a name", "HTTP/1.1 200 OK\r\nX-\rLoad: 1\r\nContent-Length: 4\r\n\r\ndone", false},
		{"byte above ASCII in a name", "HTTP/1.1 200 OK\r\nX-\xe7Load: 1\r\nContent-Length: 4\r\n\r\ndone", false},
		{"separator in a name", "HTTP/1.1 200 OK\r\nX-(Load): 1\r\nContent-Length: 4\r\n\r\ndone", false},
		{"blank before the first name", "HTTP/1.1 200 OK\r\n Content-Length: 4\r\n\r\ndone", false},
		{"no colon", "HTTP/1.1 200 OK\r\nContent-Length\r\n\r\ndone", false},
		{"no name", "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 4\r\n\r\ndone", false},
		{"every byte of a token", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 4\r\n\r\ndone", true},
		{"blanks around a value", "HTTP/1.1 200 OK\r\nContent-Length: \t4 \r\n\r\ndone", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			checkIsResponse(t, test.response, test.isOne)
		})
	}
}

// A peer, the store or an engine stops anywhere within its answer: a reply that generated code reads whole is taken
// for whole.
func TestReplyThatStopsIsNone(t *testing.T) {
	const reply = "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 4\r\n\r\nword"
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nword\r\n0\r\n\r\n"
	for _, whole := range []string{reply, chunked} {
		for length := range len(whole) {
			text, err := readReply(t, whole[:length])
			if err == nil {
				t.Errorf("%q is read whole of %q, expected an error", text, whole[:length])
			}
		}
		text, err := readReply(t, whole)
		is.New(t).NoErr(err)
		is.New(t).Equal(text, "word")
	}
}

func readReply(t *testing.T, bytes string) (text string, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+rawtest.Respond(t, bytes).String(), nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Close = true
	response, err := outbound.Doer{MaxReply: 64}.Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}
