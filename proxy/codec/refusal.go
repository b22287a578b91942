package codec

import (
	"encoding/json"
	"time"

	"wardtray/apierror"
)

// Refusal is every response that is not a stream of the runner's: why the request has none, or no more of one.
type Refusal struct {
	// Code is the error code, Detail says what happened and Remedy what the client can do; Remedy is set on encoding.
	Code   apierror.Code `json:"kind"`
	Detail string        `json:"detail"`
	Remedy string        `json:"remedy"`
	// Ran says whether the request ran: one of "did not run", "unknown" and "ran".
	Ran string `json:"ran"`
	// RetryMS is Retry in milliseconds; it is set on encoding.
	RetryMS int64 `json:"retry_after_ms,omitempty"`
	// RetryAfter is after what time another attempt of the client may succeed; 0: not known.
	RetryAfter time.Duration `json:"-"`
	// DidNotRun is the promise that nothing ran and nothing will.
	DidNotRun bool `json:"-"`
	// DeadlinePassed says that the deadline of the request has passed.
	DeadlinePassed bool `json:"-"`
	// Term is what the client is to state of the requests that it sends for the first time from now on; 0: nothing.
	Term uint64 `json:"-"`
}

// encodingFailed is sent where a refusal can't be encoded.
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
