package loadtest

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"wardtray/proxy/admission"
	"wardtray/verify/histories"
)

// Drawn is one request drawn from a mix.
type Drawn struct {
	Kind Kind
	// Family says which of the kind's openings the prompt has.
	Family int
	// ID is the request's identity; whoever draws a request gives it one.
	ID string
	// Wait is how long its client waits; 0: not told.
	Wait time.Duration
	// Attempt is the number of the sending, 1 for the first, and Term the newest term that the client knew when it sent
	// the request for the first time; 0: not told.
	Attempt int
	Term    uint64
}

// Part is a part of a prompt that other prompts share: its name, and how many tokens it has.
type Part struct {
	Name   string
	Tokens int
}

// TimeLimit is how long the request may be held; 0: not told.
func (drawn Drawn) TimeLimit() time.Duration {
	if drawn.Wait > 0 && (drawn.Kind.Deadline == 0 || drawn.Wait < drawn.Kind.Deadline) {
		return drawn.Wait
	}
	return drawn.Kind.Deadline
}

// Parts returns the parts of the prompt's opening. The first is the same in all families.
func (drawn Drawn) Parts() []Part {
	parts := make([]Part, 0, drawn.Kind.Opening)
	for index := range drawn.Kind.Opening {
		name := fmt.Sprintf("%s-%d-%d", drawn.Kind.Route, drawn.Family, index)
		if index == 0 {
			name = drawn.Kind.Route + "-system"
		}
		parts = append(parts, Part{Name: name, Tokens: drawn.Kind.OpeningTokens})
	}
	return parts
}

// PromptTokens returns the tokens of the whole prompt.
func (drawn Drawn) PromptTokens() int {
	return drawn.Kind.Opening*drawn.Kind.OpeningTokens + drawn.Kind.Own
}

// Headers returns the request's headers, for a backend of a model.
func (drawn Drawn) Headers(model string) map[string][]string {
	headers := map[string][]string{
		admission.HeaderRoute:   {drawn.Kind.Route},
		admission.HeaderModel:   {model},
		admission.HeaderRequest: {drawn.ID},
		admission.HeaderPrompt:  {strconv.Itoa(drawn.PromptTokens())},
		admission.HeaderAnswer:  {strconv.Itoa(drawn.Kind.Answer)},
	}
	if drawn.Wait > 0 {
		headers[admission.HeaderWait] = []string{strconv.FormatInt(drawn.Wait.Milliseconds(), 10)}
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
		panic(err) // A map of strings always marshals.
	}
	return content
}

// NewAnswer returns the record of an answer to the request, sent from a zone, of which nothing has come yet.
func (drawn Drawn) NewAnswer(zone string, sent time.Time) *histories.Answer {
	return &histories.Answer{
		Request:       drawn.ID,
		Route:         drawn.Kind.Route,
		Once:          drawn.Kind.Once,
		LatencyTarget: drawn.Kind.LatencyTarget,
		Zone:          zone,
		Sent:          sent,
		Resumable:     drawn.Kind.Resumable,
		Undeclared:    drawn.Attempt == 0,
		Attempt:       drawn.Attempt,
		Cancels:       drawn.Kind.Cancel || !drawn.Kind.Once,
		Bound:         drawn.TimeLimit(),
	}
}
