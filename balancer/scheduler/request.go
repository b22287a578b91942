package scheduler

import (
	"context"
	"time"

	"wardtray/balancer/kvblock"
)

// QueuedRequest is a request to be scheduled. For each Schedule its owner receives one Decision from Decisions. After a
// Dispatch the request counts for the runner's load and for its route's concurrency limit until Release.
type QueuedRequest struct {
	Requirements Requirements
	Route        string
	// ConcurrencyLimit is the fraction of the backend's capacity that the route may occupy under load.
	ConcurrencyLimit float64
	// Keys are the keys of the prompt's parts, and PartTokens the number of tokens of each.
	Keys       []kvblock.BlockKey
	PartTokens []int
	// Decisions receives the decision; it must be buffered.
	Decisions chan Decision

	// enqueued is the time when the request was first scheduled.
	enqueued time.Time
	// decided reports whether a decision was sent for the last Schedule, waited whether a cycle has kept the request
	// queued since the previous decision.
	decided, waited bool
	// counted reports whether the traffic statistics include the request, answered whether its first event has arrived
	// since the last dispatch.
	counted, answered bool
	// dispatched is the time of the last dispatch.
	dispatched time.Time
}

// Requirements are the properties of a request that determine its priority and the runners that it may use.
type Requirements struct {
	// Value is the weight of the request in the queue.
	Value float64 `json:"Worth"`
	// LatencyTarget is the time to the first event up to which the response has its full value.
	LatencyTarget time.Duration `json:"Patience"`
	// Waited is the time for which the request has been queued.
	Waited time.Duration `json:"Waited"`
	// Deadline is the maximum time for which the client waits, from the arrival of the request; 0 if not given.
	Deadline     time.Duration `json:"Deadline"`
	PromptTokens int           `json:"PromptTokens"`
	// MaxResponseTokens is the maximum number of tokens in the response; 0 if not given.
	MaxResponseTokens int `json:"AnswerTokens"`
	// Rank is the rank of the route under load, 0 first. The priority does not depend on it, but on Value.
	Rank int `json:"Rank"`
	// TenantRank is the rank of the tenant under load, 0 first; it takes precedence over WithinLimit and Value.
	TenantRank int `json:"TenantRank"`
	// Resumed says that part of the response was already relayed and the request asks for the rest.
	Resumed bool   `json:"Resumed"`
	Zone    string `json:"Zone"`
	// WithinLimit is false if the route already uses up its concurrency limit.
	WithinLimit bool `json:"InPurse"`
	// ExcludedRunners is the set of the IDs of runners that this request must not be sent to again.
	ExcludedRunners map[string]bool `json:"Shut"`
}

// Await waits for a decision or until the context is done. It reports whether there is a decision.
func Await(ctx context.Context, decisions <-chan Decision) (decision Decision, decided bool) {
	select {
	case decision = <-decisions:
		return decision, true
	case <-ctx.Done():
		return Decision{}, false
	}
}

// sharedTokens returns the number of tokens in all parts of the prompt but the last, which only this request has.
func (request *QueuedRequest) sharedTokens() int {
	shared := 0
	for _, tokens := range request.PartTokens[:max(0, len(request.PartTokens)-1)] {
		shared += tokens
	}
	return shared
}

// deadlineRatio is the fraction of its deadline for which a request may be queued; the runner needs the rest.
const deadlineRatio = 0.45

// maxWait returns the time for which the request may be queued. A response after the latency target still has some
// value, up to the deadline.
func (requirements *Requirements) maxWait() time.Duration {
	return max(requirements.LatencyTarget, time.Duration(deadlineRatio*float64(requirements.Deadline)))
}

// urgencyFactor returns a factor that grows from 1 to 2 while the request is queued for its latency target.
func (requirements *Requirements) urgencyFactor() float64 {
	target := max(requirements.LatencyTarget, time.Millisecond)
	return 1 + min(1, float64(requirements.Waited)/float64(target))
}

// The steps of priority. Each exceeds the sum of all less significant terms.
const (
	withinLimitStep = 10_000
	tenantRankStep  = 2 * withinLimitStep
)

// priority returns the sort key of a queued request; the greatest goes first. The tenant's rank is most significant.
// Then requests of routes beyond their concurrency limits go after those of all other routes, so that no route starves.
func (requirements *Requirements) priority() float64 {
	priority := requirements.Value*requirements.urgencyFactor() - tenantRankStep*float64(requirements.TenantRank)
	if requirements.WithinLimit {
		priority += withinLimitStep
	}
	return priority
}
