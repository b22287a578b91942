package codec

import (
	"encoding/json"
	"time"

	"wardtray/apierror"
)

// Refusal is an error response to a client: the reason why the request gets no stream, or why its stream ends early.
type Refusal struct {
	// Code is the error code, Detail describes what happened and Remedy what the client can do; encode sets Remedy.
	Code   apierror.Code `json:"kind"`
	Detail string        `json:"detail"`
	Remedy string        `json:"remedy"`
	// Ran states whether the request ran: "did not run", "unknown" or "ran".
	Ran string `json:"ran"`
	// RetryMS is RetryAfter in milliseconds; encode sets it.
	RetryMS int64 `json:"retry_after_ms,omitempty"`
	// RetryAfter is the time after which a retry may succeed; 0: not known.
	RetryAfter time.Duration `json:"-"`
	// DidNotRun guarantees that the request did not run and will not.
	DidNotRun bool `json:"-"`
	// DeadlinePassed reports whether the deadline of the request has passed.
	DeadlinePassed bool `json:"-"`
	// Term is the term that the client is to send with the requests that it makes from now on; 0: none.
	Term uint64 `json:"-"`
}

// encodingFailed is sent if a refusal can't be encoded.
const encodingFailed = `{"kind":"internal"}`

// encode returns the JSON of a refusal with its remedy.
func (refusal Refusal) encode() []byte {
	refusal.RetryMS = refusal.RetryAfter.Milliseconds()
	refusal.Remedy = (&apierror.Error{Code: refusal.Code}).Remedy()
	content, err := json.Marshal(refusal)
	if err != nil {
		return []byte(encodingFailed)
	}
	return content
}
