package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"peridotpath.example/peridotpath/outbound"
)

type (
	// Call is the request body of every call over HTTP, with the fields that the call
	// needs. Key is the prefix of a list or watch. Delete distinguishes a swap that
	// deletes from one that writes an empty value. The stand-in server uses the same
	// protocol; an adapter to a service with another one replaces this file.
	Call struct {
		Key    string  `json:"key,omitempty"`
		Expect Version `json:"expect,omitempty"`
		Value  []byte  `json:"value,omitempty"`
		Delete bool    `json:"delete,omitempty"`
		Lease  LeaseID `json:"lease,omitzero"`
		After  Version `json:"after,omitempty"`
		WaitMS int64   `json:"wait_ms,omitempty"`
		TTLMS  int64   `json:"ttl_ms,omitempty"`
	}
	// Reply is the response body: the result fields of the call, or the Error with a
	// status other than 200.
	Reply struct {
		Entry   Entry   `json:"entry"`
		Entries []Entry `json:"entries,omitempty"`
		Version Version `json:"version,omitempty"`
		Lease   LeaseID `json:"lease,omitzero"`
		Error   string  `json:"error,omitempty"`
		// Era is set in every reply.
		Era Era `json:"era,omitempty"`
	}
)

// PathPrefix precedes the name of a call in the URL path.
const PathPrefix = "/kv/"

// The names of the calls, which follow PathPrefix.
const (
	CallGet     = "get"
	CallList    = "list"
	CallSwap    = "swap"
	CallGrant   = "grant"
	CallRenew   = "renew"
	CallRelease = "release"
	CallWatch   = "watch"
)

const (
	// callTimeout bounds one call; a watch adds it to its own wait.
	callTimeout = 3 * time.Second
	// maxReplyBytes bounds one response body: a list of about forty-five values of maximum size,
	// which base64 enlarges by a third.
	maxReplyBytes = 64 << 20
)

// Connect returns a Store that calls the service at address, guarded by eras.
func Connect(address netip.AddrPort, eras *EraTracker) *Store {
	client := &client{base: "http://" + address.String() + PathPrefix, observeEra: eras.Observe}
	return eras.Guard(&Store{
		Get: client.get, List: client.list, Swap: client.swap,
		Grant: client.grant, Renew: client.renew, Release: client.release,
		Watch: client.watch,
	})
}

type client struct {
	base       string
	observeEra func(Era)
}

func (client *client) get(ctx context.Context, key string) (Entry, error) {
	reply, err := client.call(ctx, CallGet, Call{Key: key}, callTimeout)
	return reply.Entry, err
}

func (client *client) list(ctx context.Context, prefix string) ([]Entry, Version, error) {
	reply, err := client.call(ctx, CallList, Call{Key: prefix}, callTimeout)
	return reply.Entries, reply.Version, err
}

func (client *client) swap(ctx context.Context, key string, expect Version, value []byte, lease LeaseID) (Version, error) {
	call := Call{Key: key, Expect: expect, Value: value, Delete: value == nil, Lease: lease}
	reply, err := client.call(ctx, CallSwap, call, callTimeout)
	if err == nil && reply.Version == 0 {
		return 0, missingNumberError(CallSwap)
	}
	return reply.Version, err
}

func (client *client) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	reply, err := client.call(ctx, CallGrant, Call{TTLMS: ttl.Milliseconds()}, callTimeout)
	if err == nil && reply.Lease.IsUnset() {
		return LeaseID{}, missingNumberError(CallGrant)
	}
	return reply.Lease, err
}

// missingNumberError returns the error for a successful reply without a version or lease number,
// which another server may send to a misdirected request. If it passed as success, a
// request would run although its claim is not stored.
func missingNumberError(call string) error {
	return ErrUnavailable.New("%s: answer has no number", call)
}

func (client *client) renew(ctx context.Context, lease LeaseID) error {
	_, err := client.call(ctx, CallRenew, Call{Lease: lease}, callTimeout)
	return err
}

func (client *client) release(ctx context.Context, lease LeaseID) error {
	_, err := client.call(ctx, CallRelease, Call{Lease: lease}, callTimeout)
	return err
}

func (client *client) watch(ctx context.Context, prefix string, after Version, wait time.Duration) ([]Entry, Version, error) {
	call := Call{Key: prefix, After: after, WaitMS: wait.Milliseconds()}
	reply, err := client.call(ctx, CallWatch, call, wait+callTimeout)
	return reply.Entries, reply.Version, err
}

// call sends one call. The class of the error tells whether a write may have been applied.
func (client *client) call(ctx context.Context, name string, call Call, timeout time.Duration) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(call)
	if err != nil {
		return Reply{}, ErrInvalid.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, client.base+name, bytes.NewReader(body))
	if err != nil {
		return Reply{}, ErrInvalid.Wrap(err)
	}
	response, err := outbound.Do(request)
	if outbound.ErrNotSent.Has(err) {
		return Reply{}, ErrNotSent.Wrap(err)
	}
	if err != nil {
		return Reply{}, ErrUnavailable.Wrap(err)
	}
	defer response.Body.Close()
	reply, err := decodeReply(response)
	if !ErrUnavailable.Has(err) {
		client.observeEra(reply.Era)
	}
	return reply, err
}

func decodeReply(response *http.Response) (Reply, error) {
	var reply Reply
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return Reply{}, ErrUnavailable.Wrap(err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return reply, nil
	case http.StatusConflict:
		return reply, ErrConflict.New("%s", reply.Error)
	case http.StatusGone:
		return reply, ErrLeaseExpired.New("%s", reply.Error)
	case http.StatusBadRequest:
		return reply, ErrInvalid.New("%s", reply.Error)
	default:
		return reply, ErrUnavailable.New("status %d: %s", response.StatusCode, reply.Error)
	}
}
