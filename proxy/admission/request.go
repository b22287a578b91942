package admission

import (
	"time"

	"wardtray/transport/netio"
)

// Limits of a request, which docs/interface.md states for clients.
const (
	// MaximumBody bounds the body in bytes.
	MaximumBody = 2 << 20
	// MaximumParts bounds the number of parts of a prompt's prefix.
	MaximumParts = 512
	// MaximumPart bounds the name of one part in bytes.
	MaximumPart = 128
	// MaximumTokens bounds every count of tokens.
	MaximumTokens = 4_000_000
	// MaximumName bounds the value of a header that names something, in bytes.
	MaximumName = 256
	// MaximumAttempt bounds the number of a sending, and MaximumTerm a term.
	MaximumAttempt = 1_000_000
	MaximumTerm    = 1 << 53
	// MaximumTimeoutMilliseconds bounds how long a client may say that it waits, in milliseconds.
	MaximumTimeoutMilliseconds = 3_600_000
)

// Request is a request that was read and checked. It is not changed any more once its codec has returned it.
type Request struct {
	// ID is the client's name for the request, by which it is recognised when it is sent again.
	ID string
	// Route is the name of the route; where it is empty, Authority and Target choose one.
	Route string
	// Model and Adapter name what the client wants to be served by; Adapter may be empty.
	Model, Adapter string
	// PromptTokens is the length of the prompt, AnswerTokens the most that the answer may have, both in tokens.
	PromptTokens, AnswerTokens int
	// Parts name the parts of the prompt's prefix in their order, and PartTokens has the length of each in tokens.
	Parts      []string
	PartTokens []int
	// Body is the body as it was received.
	Body []byte
	// Authority is the host of the request's URL, Target its path and query as they were received.
	Authority, Target string
	// Method is the HTTP method; empty where the codec knows one only.
	Method string
	// ForwardedHeaders are the headers that are forwarded to the runner as they were received.
	ForwardedHeaders []netio.Header
	// Timeout is how long the client waits for the complete answer, counted from the request's arrival; 0: not given.
	Timeout time.Duration
	// LastEventID is the id of the last event that the client already has of this stream; 0: none.
	LastEventID int
	// Secret is the secret that identifies a tenant; empty: none was sent.
	Secret string
	// TokensGiven says that the client itself gave the numbers of tokens; otherwise they are estimates.
	TokensGiven bool
	// Attempt is the number of the sending, 1 for the first; 0: the client does not say, so that it may have sent the
	// request before. Term is the newest term that it knew when it sent the request for the first time; 0: none.
	Attempt int
	Term    uint64
	// SingleUse says that the id belongs to this attempt of the client alone, so that the request is never sent again
	// under it and nothing has to be remembered.
	SingleUse bool
}
