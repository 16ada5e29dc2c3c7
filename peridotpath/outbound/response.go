package outbound

import (
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// The final statuses of HTTP/1.1. An informational status precedes a response and is none itself.
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// checkResponse returns an error if the bytes of a server form no final response of HTTP/1.x. net/http
// accepts any three digits as a status, any version, names with blanks, and ignores a transfer coding in
// HTTP/1.0. Such a response says nothing: the server may have run the request.
func checkResponse(response *http.Response, head *responseHead) error {
	switch status := response.StatusCode; {
	case response.ProtoMajor != 1:
		return ErrNoResponse.New("version %q in the response, expected HTTP/1.x", response.Proto)
	case status < minFinalStatus || status > maxFinalStatus:
		return ErrNoResponse.New("status %03d in the response, expected %d to %d", status, minFinalStatus, maxFinalStatus)
	case head.hasTransferCoding && !response.ProtoAtLeast(1, 1):
		return ErrNoResponse.New("transfer coding in a response of %s, expected HTTP/1.1", response.Proto)
	case status == http.StatusNoContent && announcesBody(response):
		return ErrNoResponse.New("status %d in the response, which announces a body", status)
	}
	if err := head.checkMemory(); err != nil {
		return err
	}
	return CheckNames(response.Header)
}

// CheckNames returns an error of class ErrNoResponse if the name of a field is no token. What the field
// would mean is not known: it may frame the body, or say whether the request has run.
func CheckNames(header http.Header) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrNoResponse.New("field name %.64q in the response, expected a token", name)
		}
	}
	return nil
}

// announcesBody reports whether the headers promise a body. net/http drops that of a status without
// one, so that a response with a wrong status would look complete.
func announcesBody(response *http.Response) bool {
	length := strings.TrimSpace(response.Header.Get("Content-Length"))
	return length != "" && length != "0" || len(response.TransferEncoding) > 0
}
