package loadtest

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"wardtray/proxy/admission"
	"wardtray/verify/histories"
)

// Drawn is a request that Mix.Draw generated.
type Drawn struct {
	Kind Kind
	// Prefix is the index of the prompt's prefix among the prefixes of its kind.
	Prefix int
	// ID is the request's identifier, set by the caller of Mix.Draw.
	ID string
	// Wait is the time limit that the client declares; 0: none.
	Wait time.Duration
	// Attempt is the number of the client attempt, 1 for the first, and Term the newest term that the client knew at its
	// first attempt. The client doesn't declare a value that is 0.
	Attempt int
	Term    uint64
}

// Part is a part of a prompt prefix, which prompts may share: its name and its number of tokens.
type Part struct {
	Name   string
	Tokens int
}

// TimeLimit returns the shorter of the client's time limit and the route's deadline; 0: there is neither.
func (drawn Drawn) TimeLimit() time.Duration {
	if drawn.Wait > 0 && (drawn.Kind.Deadline == 0 || drawn.Wait < drawn.Kind.Deadline) {
		return drawn.Wait
	}
	return drawn.Kind.Deadline
}

// Parts returns the parts of the prompt's prefix. The first part is the same in all prefixes of a kind.
func (drawn Drawn) Parts() []Part {
	parts := make([]Part, 0, drawn.Kind.PrefixParts)
	for index := range drawn.Kind.PrefixParts {
		name := fmt.Sprintf("%s-%d-%d", drawn.Kind.Route, drawn.Prefix, index)
		if index == 0 {
			name = drawn.Kind.Route + "-system"
		}
		parts = append(parts, Part{Name: name, Tokens: drawn.Kind.PrefixPartTokens})
	}
	return parts
}

// PromptTokens returns the number of tokens of the complete prompt.
func (drawn Drawn) PromptTokens() int {
	return drawn.Kind.PrefixParts*drawn.Kind.PrefixPartTokens + drawn.Kind.UniqueTokens
}

// Headers returns the request's headers, with the name of the model.
func (drawn Drawn) Headers(model string) map[string][]string {
	headers := map[string][]string{
		admission.HeaderRoute:        {drawn.Kind.Route},
		admission.HeaderModel:        {model},
		admission.HeaderRequest:      {drawn.ID},
		admission.HeaderPromptTokens: {strconv.Itoa(drawn.PromptTokens())},
		admission.HeaderAnswerTokens: {strconv.Itoa(drawn.Kind.Answer)},
	}
	if drawn.Wait > 0 {
		headers[admission.HeaderTimeout] = []string{strconv.FormatInt(drawn.Wait.Milliseconds(), 10)}
	}
	if drawn.Attempt > 0 {
		headers[admission.HeaderAttempt] = []string{strconv.Itoa(drawn.Attempt)}
	}
	if drawn.Term > 0 {
		headers[admission.HeaderTerm] = []string{strconv.FormatUint(drawn.Term, 10)}
	}
	for _, part := range drawn.Parts() {
		headers[admission.HeaderPrefix] = append(headers[admission.HeaderPrefix],
			part.Name+"="+strconv.Itoa(part.Tokens))
	}
	return headers
}

// Body returns the request's body.
func (drawn Drawn) Body() []byte {
	content, err := json.Marshal(map[string]string{"prompt": drawn.Kind.Text})
	if err != nil {
		panic(err) // Marshalling a map of strings can't fail.
	}
	return content
}

// NewAnswer returns a record for the answer to the request, which a client in a zone sent. The record contains nothing
// of the answer yet.
func (drawn Drawn) NewAnswer(zone string, sent time.Time) *histories.ClientAttempt {
	return &histories.ClientAttempt{
		Request:             drawn.ID,
		Route:               drawn.Kind.Route,
		AtMostOnce:          drawn.Kind.AtMostOnce,
		LatencyTarget:       drawn.Kind.LatencyTarget,
		Zone:                zone,
		Sent:                sent,
		Resumable:           drawn.Kind.Resumable,
		Undeclared:          drawn.Attempt == 0,
		Attempt:             drawn.Attempt,
		CancelsOnDisconnect: drawn.Kind.Cancel || !drawn.Kind.AtMostOnce,
		Deadline:            drawn.TimeLimit(),
	}
}
