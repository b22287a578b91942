package admission

import (
	"time"

	"wardtray/transport/netio"
)

// Limits of a request, documented for clients in docs/interface.md.
const (
	// MaximumBody is the maximum size of the body, in bytes.
	MaximumBody = 2 << 20
	// MaximumParts is the maximum number of parts of a prompt's prefix.
	MaximumParts = 512
	// MaximumPartName is the maximum length of the name of one part, in bytes.
	MaximumPartName = 128
	// MaximumTokens is the maximum of every token count.
	MaximumTokens = 4_000_000
	// MaximumName is the maximum length of a header value that is a name or an id, in bytes.
	MaximumName = 256
	// MaximumAttempt is the maximum number of a client attempt, MaximumTerm the maximum term.
	MaximumAttempt = 1_000_000
	MaximumTerm    = 1 << 53
	// MaximumTimeoutMilliseconds is the maximum timeout that a client may set, in milliseconds.
	MaximumTimeoutMilliseconds = 3_600_000
)

// Request is a validated request. It is immutable once its codec has returned it.
type Request struct {
	// ID is the client's id of the request, by which retries are recognised.
	ID string
	// Route is the name of the route. If it is empty, Authority and Target select the route.
	Route string
	// Model and Adapter are the requested model and its adapter; Adapter may be empty.
	Model, Adapter string
	// PromptTokens is the length of the prompt, AnswerTokens the maximum length of the answer, both in tokens.
	PromptTokens, AnswerTokens int
	// Parts are the names of the parts of the prompt's prefix, in order; PartTokens are their lengths in tokens.
	Parts      []string
	PartTokens []int
	// Body is the body as received.
	Body []byte
	// Authority is the host of the request's URL; Target is its path and query as received.
	Authority, Target string
	// Method is the HTTP method; empty if the codec supports only one.
	Method string
	// ForwardedHeaders are the headers that are forwarded to the runner unchanged.
	ForwardedHeaders []netio.Header
	// Timeout is the time for which the client waits for the complete answer, from the arrival of the request; 0: not
	// given.
	Timeout time.Duration
	// LastEventID is the id of the last event of this stream that the client has received; 0: none.
	LastEventID int
	// Secret is the secret that identifies the tenant; empty: none was sent.
	Secret string
	// TokensGiven reports whether the client stated the token counts; otherwise they are estimates.
	TokensGiven bool
	// Attempt is the number of the client attempt, 1 for the first; 0: not given, so that the request may be a retry.
	// Term is the newest term that the client knew when it made the first attempt; 0: none.
	Attempt int
	Term    uint64
	// SingleUse reports whether the id is unique to this client attempt: no retry carries it, so the request needs no
	// deduplication entry.
	SingleUse bool
}
