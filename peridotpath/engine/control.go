package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/clock"
)

// ErrStaleOrder is the class of orders that an engine refused for an outdated fencing
// token.
var ErrStaleOrder = errs.Class("engine: stale order")

// Paths of an engine's API besides prompts and streams.
const (
	// PathOrders accepts an Order by POST and returns the OrderState by GET.
	PathOrders = "/orders"
	// PathCacheEvents returns CacheEvents by GET, ?after=N.
	PathCacheEvents = "/cache/events"
	// PathKV exports the prompt of a stream by GET, ?stream=ID, and imports one by POST.
	PathKV = "/kv"
	// PathCounts returns the Counts by GET.
	PathCounts = "/counts"
)

// Role determines which requests an engine accepts.
type Role string

// The roles, or their parts before the slash.
const (
	// RoleServe accepts any prompt that fits the engine's memory.
	RoleServe Role = "serve"
	// RoleDrain, as "drain/LEADER", finishes running requests and accepts no new ones.
	RoleDrain Role = "drain"
	// RoleMember, as "member/LEADER", reserves the engine's memory for a group.
	RoleMember Role = "member"
	// RoleLead, as "lead/MEMBER,MEMBER", serves with the pooled memory of the group.
	RoleLead Role = "lead"
	// RoleClose, as "close/MEMBER,MEMBER", is a leader that accepts no new requests.
	RoleClose Role = "close"
)

// Split returns the part of the role before the slash and the engines after it.
func (role Role) Split() (Role, []string) {
	name, engines, found := strings.Cut(string(role), "/")
	if !found {
		return role, nil
	}
	return Role(name), strings.Split(engines, ",")
}

// Order instructs an engine to reach a state. An order holds the complete state, so
// sending it again has no further effect.
type Order struct {
	Fencing peridotpath.FencingNumber `json:"fencing"`
	Model   string                    `json:"model"`
	Adapter string                    `json:"adapter,omitempty"`
	Version string                    `json:"version"`
	Role    Role                      `json:"role"`
	// TimeoutMS is the time after which the engine abandons the order.
	TimeoutMS peridotpath.Millis `json:"limit_ms,omitempty"`
}

// FetchOrderState returns the order that the engine follows.
func (client *Client) FetchOrderState(ctx context.Context, address netip.AddrPort) (OrderState, error) {
	var state OrderState
	err := client.control(ctx, http.MethodGet, "http://"+address.String()+PathOrders, &state)
	return state, err
}

// weightLoadPollInterval is the interval of polling an engine that loads weights.
const weightLoadPollInterval = 500 * time.Millisecond

// SendOrder sends an order and returns once the engine has executed it, including the
// load of its weights. If ctx ends between two polls of the load, SendOrder returns nil.
func (client *Client) SendOrder(ctx context.Context, address netip.AddrPort, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return ErrBadRequest.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+PathOrders, bytes.NewReader(body))
	if err != nil {
		return ErrNotConnected.Wrap(err)
	}
	client.setSender(request)
	response, err := client.do(request)
	if err != nil {
		return ErrFailed.Wrap(err)
	}
	response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return client.awaitWeights(ctx, address)
	case http.StatusConflict:
		return ErrStaleOrder.New("fencing number %d", order.Fencing)
	default:
		return ErrFailed.New("order: status %d", response.StatusCode)
	}
}

func (client *Client) awaitWeights(ctx context.Context, address netip.AddrPort) error {
	for {
		state, err := client.FetchOrderState(ctx, address)
		if err != nil || !state.Loading {
			return err
		}
		if !clock.SleepContext(ctx, weightLoadPollInterval) {
			// The engine has accepted the order, and later reads of its state show
			// whether it still loads.
			return nil
		}
	}
}

// OrderState is the order that an engine follows.
type OrderState struct {
	Order
	// Loading is set while the engine loads weights and accepts no requests.
	Loading bool `json:"loading"`
	// HighestFencing is the highest fencing token received.
	HighestFencing peridotpath.FencingNumber `json:"highest_fencing"`
}

// CacheEvent reports that a prompt prefix was added to or evicted from an engine's
// prefix cache.
type CacheEvent struct {
	// Sequence increases by one with each event; a gap means a lost event.
	Sequence uint64 `json:"sequence"`
	Evicted  bool   `json:"evicted,omitempty"`
	// Prefix is the xxhash of the prompt's text up to the end of a block.
	Prefix uint64             `json:"prefix"`
	Tokens peridotpath.Tokens `json:"tokens"`
}

// CacheEvents is the response to a poll of an engine's cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the value of after for the next poll.
	Next uint64 `json:"next"`
}

// KV is the KV cache of a prompt prefix in transfer between engines.
type KV struct {
	// Prefixes are the hashes of the prefix's blocks, shortest first.
	Prefixes []uint64           `json:"prefixes"`
	Tokens   peridotpath.Tokens `json:"tokens"`
}

// Count holds what an engine or a plain service did for one request.
type Count struct {
	Runs      int `json:"runs"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Refused   int `json:"refused"`
}

// Counts holds what an engine or a plain service has done since its start.
type Counts struct {
	Total Count `json:"total"`
	// Requests holds the counts by request id, or by idempotency key if a plain
	// service received one.
	Requests map[string]Count `json:"requests"`
}
