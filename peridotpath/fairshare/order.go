package fairshare

import (
	"time"

	"peridotpath.example/peridotpath"
	"peridotpath.example/peridotpath/fairness"
	"peridotpath.example/peridotpath/placement"
)

// RecordServed counts a request that was served or refused by its size class within its route.
func (divider *Divider) RecordServed(route peridotpath.RouteName, prompt peridotpath.Tokens, served bool, now time.Time) {
	divider.mutex.Lock()
	defer divider.mutex.Unlock()
	if divider.served == nil {
		divider.served = map[peridotpath.RouteName]*fairness.ClassCounts[int]{}
	}
	if divider.served[route] == nil {
		divider.served[route] = &fairness.ClassCounts[int]{}
	}
	divider.served[route].Record(fairness.SizeClass(prompt), served, now)
}

// QueuedRequest is a request whose long prompt waits in the prefill queue.
type QueuedRequest struct {
	// Customer is whose request it is.
	Customer placement.CustomerHash
	// Route is the route of the request, TTFTTarget that of the route.
	Route      peridotpath.RouteName
	TTFTTarget time.Duration
	// PromptTokens is the length of the prompt, Prefill its prefill time on one engine.
	PromptTokens peridotpath.Tokens
	Prefill      time.Duration
	// QueuedAt is from when on the prompt waits, by its rank.
	QueuedAt time.Time
}

// Order returns whether the request yields in the prefill queue, and its due time there.
func (divider *Divider) Order(request *QueuedRequest, now time.Time) (overShare bool, due time.Time) {
	prompt := placement.NewQueuedPrompt(request.QueuedAt, request.Prefill)
	divider.mutex.Lock()
	defer divider.mutex.Unlock()
	if !divider.update(now) {
		return false, prompt.Due
	}
	if counts := divider.served[request.Route]; counts != nil && counts.Underserved(fairness.SizeClass(request.PromptTokens), now) {
		prompt.Favour(request.QueuedAt, request.TTFTTarget)
	}
	return divider.verdicts[request.Customer].AboveShare, prompt.Due
}
