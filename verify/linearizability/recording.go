package linearizability

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"time"
)

// Never is the end of a call without an answer: it may take effect at any time after its start.
const Never time.Duration = -1

// Recording is the history of a fleet as its callers observed it.
type Recording struct {
	// Calls are the operators' calls.
	Calls []Call `json:"calls"`
	// ClientAttempts are the client attempts of at-most-once requests.
	ClientAttempts []ClientAttempt `json:"sendings"`
	// Known is the epoch of each operation in the fleet's final state.
	Known map[string]uint64 `json:"known"`
}

// Span holds when a call was made and when it was answered, as durations since the beginning of the recording.
type Span struct {
	Start time.Duration `json:"start"`
	// End is Never if there was no answer.
	End time.Duration `json:"end"`
}

// The kinds of operators' calls.
const (
	KindRead   = "read"
	KindLookup = "lookup"
	KindChange = "change"
)

// The answers to operators' calls.
const (
	// AnswerDone means a read that returned an epoch, a change that was accepted under an epoch, or a lookup that found
	// such a change.
	AnswerDone = "done"
	// AnswerRefused means a change that was refused for its content, or a lookup that found nothing.
	AnswerRefused = "refused"
	// AnswerStale means a change that was refused because its base is not the current epoch.
	AnswerStale = "stale"
	// AnswerUnavailable means a refusal because there is no head, disk or capacity: this call never has an effect.
	AnswerUnavailable = "unavailable"
	// AnswerUnknown means that there was no answer, or one that states no outcome.
	AnswerUnknown = "nothing"
)

// Call is one call of an operator and its answer.
type Call struct {
	Span
	// Caller identifies the caller in drawings of the history.
	Caller    int    `json:"caller"`
	Kind      string `json:"kind"`
	Operation string `json:"operation,omitempty"`
	// Base and Epoch are the epochs that a change names; HasBase and HasEpoch report whether it names them.
	Base     uint64 `json:"base,omitempty"`
	HasBase  bool   `json:"has_base,omitempty"`
	Epoch    uint64 `json:"epoch,omitempty"`
	HasEpoch bool   `json:"has_epoch,omitempty"`
	// Answer is one of the Answer constants, Result the epoch that the answer names.
	Answer string `json:"answer"`
	Result uint64 `json:"result,omitempty"`
	// previousEpoch is, for an accepted change, the epoch of the change accepted before it. Epochs only rise, so the order
	// of accepted changes is known.
	previousEpoch uint64
}

// The outcomes of client attempts.
const (
	// OutcomeRan means a complete response: the request ran through this attempt.
	OutcomeRan = "ran"
	// OutcomeRanBefore means that another attempt of the request ran.
	OutcomeRanBefore = "ran before"
	// OutcomeDidNotRun promises that neither this attempt nor one with a smaller number runs.
	OutcomeDidNotRun = "did not run"
	// OutcomeUnknown means that the response states no outcome, or that there was none.
	OutcomeUnknown = "unknown"
)

// ClientAttempt is one client attempt of an at-most-once request.
type ClientAttempt struct {
	Span
	Request string `json:"request"`
	// Number is the attempt number that the client states; 0 if it states none.
	Number  int    `json:"number"`
	Daemon  string `json:"daemon"`
	Outcome string `json:"outcome"`
	// Runs is the number of runs of the request at runners, through whichever attempt.
	Runs int `json:"runs"`
}

// Write writes a recording as indented JSON.
func (recording Recording) Write(target io.Writer) error {
	encoder := json.NewEncoder(target)
	encoder.SetIndent("", " ")
	return encoder.Encode(recording)
}

// WriteFile writes a recording to a file.
func (recording Recording) WriteFile(path string) error { return writeFile(path, recording.Write) }

// writeFile creates a file, writes its contents and closes it.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}

// Read reads a recording from JSON. Unknown fields are an error.
func Read(source io.Reader) (Recording, error) {
	recording := Recording{}
	decoder := json.NewDecoder(source)
	decoder.DisallowUnknownFields()
	return recording, decoder.Decode(&recording)
}
