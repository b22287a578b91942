package scheduler

import (
	"time"

	"wardtray/apierror"
	"wardtray/balancer/load"
)

// DecisionKind is the action to take for a request.
type DecisionKind string

// The kinds of decisions.
const (
	// Dispatch sends the request to a runner.
	Dispatch DecisionKind = "pass"
	// Enqueue keeps the request in the queue; this decision is not sent to its owner.
	Enqueue DecisionKind = "wait"
	// Reject responds to the client with an error.
	Reject DecisionKind = "refuse"
)

// Decision is the result of scheduling a request.
type Decision struct {
	Kind   DecisionKind `json:"Kind"`
	Runner load.Runner  `json:"Runner"`
	// CachedTokens is the number of prompt tokens that the runner probably has cached.
	CachedTokens int `json:"HeldTokens"`
	// Predicted is the predicted time until the first event, both for a dispatched and for a queued or rejected request.
	Predicted time.Duration `json:"Predicted"`
	// ErrorCode is the error code of a rejection.
	ErrorCode apierror.Code `json:"Fault"`
	// RetryAfter is the time after which the client should retry a rejected request.
	RetryAfter time.Duration `json:"RetryAfter"`
	// Reason says why a request is queued or rejected.
	Reason string `json:"Reason"`
	// Urgency is sent to the runner, from 0, the most urgent, to 9. DefaultUrgency is not sent.
	Urgency int `json:"Urgency"`
}

// The urgencies sent to runners.
const (
	// HighUrgency is for a prompt whose prefill takes a small part of its latency target.
	HighUrgency = 3
	// DefaultUrgency is the urgency that a runner assumes if none is sent.
	DefaultUrgency = 5
	// LowUrgency is for a prompt whose prefill alone exceeds its latency target.
	LowUrgency = 8
)

// highUrgencyRatio is the fraction of its latency target below which a prompt's prefill time makes it highly urgent.
const highUrgencyRatio = 0.25

// urgency returns the urgency of a request on a candidate. A runner then processes short prompts before long ones, and
// prompts that can meet their latency target before those that can't.
func urgency(requirements *Requirements, candidate *Candidate) int {
	target := requirements.LatencyTarget.Seconds()
	switch {
	case requirements.LatencyTarget <= 0:
		return DefaultUrgency
	case candidate.Prefill > target:
		return LowUrgency
	case candidate.Prefill < highUrgencyRatio*target:
		return HighUrgency
	default:
		return DefaultUrgency
	}
}
