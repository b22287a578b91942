// Package proposal is the life of an operator's request: from the process where it came in (Requests) to the head,
// which decides on it, enters the change into the chain and acknowledges it once it is delivered (Proposals), and
// back.
package proposal

import (
	"encoding/json"

	"wardtray/apierror"
	"wardtray/config"
	"wardtray/wire"
)

// The outcomes that a reply names.
const (
	// OutcomeAccepted is a change that is committed, and that no serving data daemon can lack any more.
	OutcomeAccepted = "accepted"
	// OutcomeRefused is a change that is not, and never will be, in effect by the request that is answered. With a status
	// of 503 another request for the same operation may bring it into effect; with any other none can.
	OutcomeRefused = "refused"
	// OutcomeUnknown is a change that may be in effect or not.
	OutcomeUnknown = "unknown"
	// OutcomePending is a change that is entered and not delivered yet.
	OutcomePending = "pending"
	// OutcomeFound and OutcomeEmpty answer a read: with a spec, and where there is none yet.
	OutcomeFound = "found"
	OutcomeEmpty = "empty"
)

// The verbs of operators' requests, as wire.OperatorRequest names them: a read, the outcome of an operation, and
// changes that replace the whole configuration, edit named entries of it, close a zone and open it.
const (
	VerbGet       = "get"
	VerbOperation = "operation"
	VerbApply     = "apply"
	VerbChange    = "change"
	VerbClose     = "close"
	VerbOpen      = "open"
)

// isWrite reports whether a request asks for a change.
func isWrite(message *wire.OperatorRequest) bool {
	return message.Verb != VerbGet && message.Verb != VerbOperation
}

// Reply is the form of every reply to an operator.
type Reply struct {
	// Operation is the id that the operator gave the change.
	Operation string `json:"operation,omitempty"`
	// Outcome is one of the outcomes above.
	Outcome string `json:"outcome"`
	// Epoch is that of the spec that the reply is about.
	Epoch uint64 `json:"epoch"`
	// Code, Detail and Remedy say why a request was refused, as in apierror.Error.
	Code   string `json:"kind,omitempty"`
	Detail string `json:"detail,omitempty"`
	Remedy string `json:"remedy,omitempty"`
	// Problems are the faults of a spec.
	Problems []config.Problem `json:"flaws,omitempty"`
	// Spec is what a read found.
	Spec json.RawMessage `json:"spec,omitempty"`
}

// Encode returns a reply as it is written.
func (reply Reply) Encode() []byte {
	content, err := json.Marshal(reply)
	if err != nil {
		panic(err) // Only a spec that is no JSON could fail here, and none is ever stored.
	}
	return content
}

// refusal returns the reply to a refused request.
func refusal(code apierror.Code, epoch uint64, operation, detail string) Reply {
	return Reply{Operation: operation, Outcome: OutcomeRefused, Epoch: epoch, Code: string(code), Detail: detail,
		Remedy: (&apierror.Error{Code: code}).Remedy()}
}

// unknownOutcome returns the reply to a request of which nobody can tell what comes of it.
func unknownOutcome(operation, detail string) Reply {
	reply := refusal(apierror.OutcomeUnknown, 0, operation, detail)
	reply.Outcome = OutcomeUnknown
	return reply
}
