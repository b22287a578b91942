package scheduler

import (
	"context"
	"time"

	"wardtray/balancer/kvblock"
)

// QueuedRequest is a request at the scheduler. Its owner receives one Decision from Decisions; after a Dispatch it
// occupies a slot on the runner and one of its route's concurrency until Release.
type QueuedRequest struct {
	Requirements Requirements
	Route        string
	// ConcurrencyLimit is the part of the backend's capacity that the route may occupy under load.
	ConcurrencyLimit float64
	// Keys are the keys of the prompt's parts, and PartTokens the number of tokens of each.
	Keys       []kvblock.BlockKey
	PartTokens []int
	// Decisions receives the decision; it must have room for one.
	Decisions chan Decision

	// enqueued is when the request was first scheduled.
	enqueued time.Time
	// decided is whether a decision was sent for the last Schedule, waited whether the request was queued before it.
	decided, waited bool
	// counted is whether the traffic statistics contain it, answered whether its first event has come.
	counted, answered bool
	dispatched        time.Time
}

// Requirements are what a request asks for, and its priority.
type Requirements struct {
	// Value is the weight of the request in the queue.
	Value float64 `json:"Worth"`
	// LatencyTarget is the time within which the first event earns its full value.
	LatencyTarget time.Duration `json:"Patience"`
	// Waited is how long the request has been queued.
	Waited time.Duration `json:"Waited"`
	// Deadline is how long the client waits at all, from when the request came; 0: not told.
	Deadline     time.Duration `json:"Deadline"`
	PromptTokens int           `json:"PromptTokens"`
	// AnswerTokens is the most that the response may hold; 0: not told.
	AnswerTokens int `json:"AnswerTokens"`
	// Rank orders routes under load, 0 first.
	Rank int `json:"Rank"`
	// TenantRank orders tenants under load, 0 first; it takes precedence over Rank.
	TenantRank int `json:"TenantRank"`
	// Resumed says that part of the response was relayed already and the rest is wanted.
	Resumed bool   `json:"Resumed"`
	Zone    string `json:"Zone"`
	// WithinLimit is false when the route already occupies its share of the backend.
	WithinLimit bool `json:"InPurse"`
	// ExcludedRunners names runners that this request must not be sent to again.
	ExcludedRunners map[string]bool `json:"Shut"`
}

// Await waits for a decision or for the end of a context; it reports whether there is a decision.
func Await(ctx context.Context, decisions <-chan Decision) (decision Decision, decided bool) {
	select {
	case decision = <-decisions:
		return decision, true
	case <-ctx.Done():
		return Decision{}, false
	}
}

// sharedTokens counts the tokens of all parts of the prompt but the last, which is its own.
func (request *QueuedRequest) sharedTokens() int {
	shared := 0
	for _, tokens := range request.PartTokens[:max(0, len(request.PartTokens)-1)] {
		shared += tokens
	}
	return shared
}

// deadlineRatio is the part of its deadline for which a request is queued at most; the runner needs the rest.
const deadlineRatio = 0.45

// maxWait is how long the request may be queued. Past its latency target it still earns something, up to its deadline.
func (requirements *Requirements) maxWait() time.Duration {
	return max(requirements.LatencyTarget, time.Duration(deadlineRatio*float64(requirements.Deadline)))
}

// urgencyFactor grows from 1 to 2 with the part of its latency target that the request has used up.
func (requirements *Requirements) urgencyFactor() float64 {
	target := max(requirements.LatencyTarget, time.Millisecond)
	return 1 + min(1, float64(requirements.Waited)/float64(target))
}

// The steps of priority: each is more than all that counts less can add up to.
const (
	withinLimitStep = 10_000
	tenantRankStep  = 2 * withinLimitStep
)

// priority orders queued requests; the greater goes first. Tenants go by their ranks first. A route beyond its
// concurrency limit comes after all routes within theirs, so that none starves.
func (requirements *Requirements) priority() float64 {
	priority := requirements.Value*requirements.urgencyFactor() - tenantRankStep*float64(requirements.TenantRank)
	if requirements.WithinLimit {
		priority += withinLimitStep
	}
	return priority
}
