package engine

import "peridotpath.example/peridotpath"

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

// The roles.
const (
	// RoleServe takes any prompt that fits.
	RoleServe Role = "serve"
	// RoleGroup keeps the engine's memory for a group; it takes no prompt of its own.
	RoleGroup Role = "group"
)

// Order tells an engine what to be. It is absolute, so repeating it is harmless.
type Order struct {
	Fencing peridotpath.FencingNumber `json:"fencing"`
	Model   string                    `json:"model"`
	Adapter string                    `json:"adapter,omitempty"`
	Version string                    `json:"version"`
	Role    Role                      `json:"role"`
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
