package scheduler

import (
	"time"

	"wardtray/apierror"
	"wardtray/balancer/load"
)

// DecisionKind is what is to be done with a request.
type DecisionKind string

// The kinds of decisions.
const (
	// Dispatch sends the request to a runner.
	Dispatch DecisionKind = "pass"
	// Enqueue keeps the request in the queue; its owner is not notified of it.
	Enqueue DecisionKind = "wait"
	// Reject responds with an error.
	Reject DecisionKind = "refuse"
)

// Decision is what to do next with a request.
type Decision struct {
	Kind   DecisionKind `json:"Kind"`
	Runner load.Runner  `json:"Runner"`
	// CachedTokens are the tokens that the runner probably has cached.
	CachedTokens int `json:"HeldTokens"`
	// Predicted is the predicted time until the first event, or until a queued request's turn.
	Predicted time.Duration `json:"Predicted"`
	// ErrorCode is the code of a rejection.
	ErrorCode apierror.Code `json:"Fault"`
	// RetryAfter is when another try may succeed after a rejection.
	RetryAfter time.Duration `json:"RetryAfter"`
	// Reason says why a request is queued or rejected.
	Reason string `json:"Reason"`
	// Urgency is sent to the runner, from 0, the most urgent, to 9; the default stands for sending none.
	Urgency int `json:"Urgency"`
}

// The urgencies sent to runners.
const (
	// AheadUrgency is that of a prompt that is read in a small part of its latency target.
	AheadUrgency = 3
	// DefaultUrgency is the urgency of a request whose runner is sent none.
	DefaultUrgency = 5
	// BehindUrgency is that of a prompt whose reading alone outlasts its latency target.
	BehindUrgency = 8
)

// aheadRatio is the part of its latency target within which a prompt that goes ahead is read.
const aheadRatio = 0.25

// urgency lets short prompts go ahead of long ones that wait at a runner, and all prompts that can be in time ahead of
// those that can't.
func urgency(requirements *Requirements, candidate *Candidate) int {
	target := requirements.LatencyTarget.Seconds()
	switch {
	case requirements.LatencyTarget <= 0:
		return DefaultUrgency
	case candidate.Prefill > target:
		return BehindUrgency
	case candidate.Prefill < aheadRatio*target:
		return AheadUrgency
	default:
		return DefaultUrgency
	}
}
