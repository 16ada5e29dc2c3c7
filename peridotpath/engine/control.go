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

// ErrStale says that an engine refused an order with an old fencing number.
var ErrStale = errs.Class("engine: stale order")

// Paths of what an engine offers besides prompts and streams.
const (
	// PathOrders takes an Order by POST and shows the OrderState by GET.
	PathOrders = "/orders"
	// PathCacheEvents gives a CacheEvents by GET, ?after=N.
	PathCacheEvents = "/cache/events"
	// PathKV exports the prompt of a stream by GET, ?stream=ID, and imports one by POST.
	PathKV = "/kv"
	// PathCounts gives what the engine ran, by request id.
	PathCounts = "/counts"
)

// Role says what work an engine takes.
type Role string

// The roles, or what stands before the slash in them.
const (
	// RoleServe takes any prompt that fits.
	RoleServe Role = "serve"
	// RoleDrain, as "drain/LEADER", finishes what runs and takes nothing new.
	RoleDrain Role = "drain"
	// RoleMember, as "member/LEADER", keeps the engine's memory for a group.
	RoleMember Role = "member"
	// RoleLead, as "lead/MEMBER,MEMBER", serves with the memory of the members too.
	RoleLead Role = "lead"
	// RoleClose, as "close/MEMBER,MEMBER", is a leader that takes nothing new.
	RoleClose Role = "close"
)

// Split returns the role's first part and the engines that it names.
func (role Role) Split() (Role, []string) {
	first, rest, found := strings.Cut(string(role), "/")
	if !found {
		return role, nil
	}
	return Role(first), strings.Split(rest, ",")
}

// Order tells an engine what to be. It is absolute, so repeating it is harmless.
type Order struct {
	Fencing peridotpath.FencingNumber `json:"fencing"`
	Model   string                    `json:"model"`
	Adapter string                    `json:"adapter,omitempty"`
	Version string                    `json:"version"`
	Role    Role                      `json:"role"`
	// LimitMS is how long the order may take; the engine gives it up after that.
	LimitMS peridotpath.Millis `json:"limit_ms,omitempty"`
}

// Orders reads what the engine was told to be.
func (client *Client) Orders(ctx context.Context, address netip.AddrPort) (OrderState, error) {
	var state OrderState
	err := client.control(ctx, http.MethodGet, "http://"+address.String()+PathOrders, &state)
	return state, err
}

// orderPoll is how often an engine that loads weights is asked whether it is done.
const orderPoll = 500 * time.Millisecond

// Order gives an order and returns once the engine has carried it out.
func (client *Client) Order(ctx context.Context, address netip.AddrPort, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return ErrBadRequest.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+PathOrders, bytes.NewReader(body))
	if err != nil {
		return ErrUnreached.Wrap(err)
	}
	client.name(request)
	response, err := client.do(request)
	if err != nil {
		return ErrFailed.Wrap(err)
	}
	response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
		return client.awaitWeights(ctx, address)
	case http.StatusConflict:
		return ErrStale.New("fencing number %d", order.Fencing)
	default:
		return ErrFailed.New("order: status %d", response.StatusCode)
	}
}

func (client *Client) awaitWeights(ctx context.Context, address netip.AddrPort) error {
	for {
		state, err := client.Orders(ctx, address)
		if err != nil || !state.Loading {
			return err
		}
		if !clock.SleepContext(ctx, orderPoll) {
			// The order stands; that the engine still loads shows in its state.
			return nil
		}
	}
}

// OrderState is the order that an engine follows.
type OrderState struct {
	Order
	// Loading says that the engine takes no work until its weights are in.
	Loading bool `json:"loading"`
	// Highest is the highest fencing number seen.
	Highest peridotpath.FencingNumber `json:"highest_fencing"`
}

// CacheEvent says that a prompt prefix came into or left an engine's cache.
type CacheEvent struct {
	// Sequence grows by one with each event; a gap is a lost event.
	Sequence uint64 `json:"sequence"`
	Evicted  bool   `json:"evicted,omitempty"`
	// Prefix is the xxhash of the prompt's text from its start to the end of a block.
	Prefix uint64             `json:"prefix"`
	Tokens peridotpath.Tokens `json:"tokens"`
}

// CacheEvents is one reading of an engine's cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the sequence to ask for next time.
	Next uint64 `json:"next"`
}

// KV is a prompt prefix on its way from one engine to another.
type KV struct {
	// Prefixes are the hashes of the prefix's blocks, shortest first.
	Prefixes []uint64           `json:"prefixes"`
	Tokens   peridotpath.Tokens `json:"tokens"`
}

// Count is what an engine or a plain service did for one request.
type Count struct {
	Runs      int `json:"runs"`
	Finished  int `json:"finished"`
	Cancelled int `json:"cancelled"`
	Refused   int `json:"refused"`
}

// Counts is what an engine or a plain service did so far.
type Counts struct {
	Total Count `json:"total"`
	// Requests holds a Count by request id, or by idempotency key where a plain
	// service got one.
	Requests map[string]Count `json:"requests"`
}
