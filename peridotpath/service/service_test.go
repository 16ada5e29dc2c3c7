package service_test

import (
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotpath.example/peridotpath/service"
)

// A service's success bears the field of a refusal, as after a wrong byte: the call is made again at
// another replica, and runs twice.
func TestSuccessThatDeniesTheRunIsNoRefusal(t *testing.T) {
	for _, test := range []struct {
		status    int
		notRun    string
		isRefused bool
	}{
		{http.StatusServiceUnavailable, "true", true},
		{http.StatusTooManyRequests, "true", true},
		{http.StatusServiceUnavailable, service.NotRunLeaving, true},
		{http.StatusOK, "true", false},
		{http.StatusOK, service.NotRunLeaving, false},
		{http.StatusCreated, "true", false},
	} {
		is := is.New(t)
		client := &service.Client{Do: func(*http.Request) (*http.Response, error) {
			header := http.Header{}
			header.Set(service.HeaderNotRun, test.notRun)
			return &http.Response{StatusCode: test.status, Header: header, Body: io.NopCloser(strings.NewReader("done"))}, nil
		}}
		call := &service.Request{Method: http.MethodPost, Target: "/", Header: http.Header{}}
		_, err := client.Send(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), call) //nolint:bodyclose // there is no response
		is.Equal(service.ErrRefused.Has(err), test.isRefused)
		is.Equal(service.ErrFailed.Has(err), !test.isRefused)
	}
}
