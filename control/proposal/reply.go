// Package proposal handles operators' requests. The process that receives one forwards it to the head and returns the
// reply (Requests). The head decides on it, submits an accepted change to the chain, and acknowledges the change once
// it is delivered (Proposals).
package proposal

import (
	"encoding/json"

	"wardtray/apierror"
	"wardtray/config"
	"wardtray/wire"
)

// The outcomes of a request.
const (
	// OutcomeAccepted: the change is committed, and every serving data daemon has it.
	OutcomeAccepted = "accepted"
	// OutcomeRefused: this request has not brought the change into effect and never will. After a status of 503 another
	// request for the same operation may do so; after any other status none can.
	OutcomeRefused = "refused"
	// OutcomeUnknown: the change may or may not be in effect.
	OutcomeUnknown = "unknown"
	// OutcomePending: the change is submitted to the chain, but not delivered yet.
	OutcomePending = "pending"
	// OutcomeFound and OutcomeEmpty are the outcomes of a read: there is a configuration, or there is none yet.
	OutcomeFound = "found"
	OutcomeEmpty = "empty"
)

// The verbs of operators' requests (wire.OperatorRequest): read the configuration, look up the outcome of an operation,
// replace the complete configuration, edit named entries of it, close a zone, and open a zone.
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

// Reply is the JSON body of every reply to an operator.
type Reply struct {
	// Operation is the id that the operator gave the change.
	Operation string `json:"operation,omitempty"`
	// Outcome is one of the Outcome constants.
	Outcome string `json:"outcome"`
	// Epoch is the epoch of the configuration to which the reply refers.
	Epoch uint64 `json:"epoch"`
	// Code, Detail and Remedy give the reason for a refusal or an unknown outcome, as in apierror.Error.
	Code   string `json:"kind,omitempty"`
	Detail string `json:"detail,omitempty"`
	Remedy string `json:"remedy,omitempty"`
	// Problems lists the faults of an invalid configuration.
	Problems []config.Problem `json:"flaws,omitempty"`
	// Spec is the configuration that a read returns.
	Spec json.RawMessage `json:"spec,omitempty"`
}

// Encode returns the reply as JSON.
func (reply Reply) Encode() []byte {
	content, err := json.Marshal(reply)
	if err != nil {
		panic(err) // Only a configuration that is not JSON could fail to encode, and none is ever stored.
	}
	return content
}

// refusal returns the reply to a refused request.
func refusal(code apierror.Code, epoch uint64, operation, detail string) Reply {
	return Reply{Operation: operation, Outcome: OutcomeRefused, Epoch: epoch, Code: string(code), Detail: detail,
		Remedy: (&apierror.Error{Code: code}).Remedy()}
}

// unknownOutcome returns the reply to a request whose outcome cannot be determined.
func unknownOutcome(operation, detail string) Reply {
	reply := refusal(apierror.OutcomeUnknown, 0, operation, detail)
	reply.Outcome = OutcomeUnknown
	return reply
}
