// Package membership polls the platform's membership list over HTTP. The list contains the live
// and the leaving instances and endpoints. It lags behind their actual state, and the last list
// stays active while the membership service is unreachable.
package membership

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/outbound"
)

// Error is the class of this package's errors.
var Error = errs.Class("membership")

// Path is the URL path of the list.
const Path = "/members"

const (
	fetchTimeout = 2 * time.Second
	maxListBytes = 16 << 20
)

// List is a version of the membership list.
type List struct {
	Revision  uint64                 `json:"revision"`
	Instances []peridotpath.Instance `json:"instances"`
	Endpoints []peridotpath.Endpoint `json:"endpoints"`
}

// Fetch fetches the list from the membership service at address.
func Fetch(ctx context.Context, address netip.AddrPort) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+Path, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	response, err := outbound.Do(request)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, Error.New("fetch: status %d", response.StatusCode)
	}
	list := &List{}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(list); err != nil {
		return nil, Error.New("fetch: %v", err)
	}
	return list, nil
}
