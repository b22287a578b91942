package linearizability

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"time"
)

// Never is the end of a call that was not answered: it may take effect at any time.
const Never time.Duration = -1

// Recording is the history of a fleet as its callers saw it.
type Recording struct {
	// Calls are the operators'.
	Calls []Call `json:"calls"`
	// Sendings are those of requests that run at most once.
	Sendings []Sending `json:"sendings"`
	// Known is the epoch of each operation that the fleet has in the end.
	Known map[string]uint64 `json:"known"`
}

// Span is when a call was made, and when it was answered, since the beginning of the recording.
type Span struct {
	Start time.Duration `json:"start"`
	// End is Never where there was no answer.
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
	// AnswerDone is a read with its epoch, and a change or a lookup of one that is accepted under it.
	AnswerDone = "done"
	// AnswerRefused is a change that is judged and not accepted, and a lookup that finds nothing.
	AnswerRefused = "refused"
	// AnswerStale is a change refused because its base is not the present epoch.
	AnswerStale = "stale"
	// AnswerUnavailable is a refusal for want of a head, a disk or room: this call has and will have no effect.
	AnswerUnavailable = "unavailable"
	// AnswerNothing says nothing of the configuration: there was no answer, or one that names no outcome.
	AnswerNothing = "nothing"
)

// Call is one call of an operator.
type Call struct {
	Span
	// Caller tells callers apart where the history is drawn.
	Caller    int    `json:"caller"`
	Kind      string `json:"kind"`
	Operation string `json:"operation,omitempty"`
	// Base and Epoch are what a change names, where it does.
	Base     uint64 `json:"base,omitempty"`
	HasBase  bool   `json:"has_base,omitempty"`
	Epoch    uint64 `json:"epoch,omitempty"`
	HasEpoch bool   `json:"has_epoch,omitempty"`
	// Answer is one of those above, Result the epoch that it names.
	Answer string `json:"answer"`
	Result uint64 `json:"result,omitempty"`
	// follows is, of an accepted change, the epoch of the one that was accepted before it. Epochs only rise, so that the
	// order of accepted changes is known.
	follows uint64
}

// The outcomes of sendings.
const (
	// OutcomeRan is a complete response: the request ran through this sending.
	OutcomeRan = "ran"
	// OutcomeRanBefore says that another sending of the request ran.
	OutcomeRanBefore = "ran before"
	// OutcomeDidNotRun promises that neither this sending nor one with a smaller number runs.
	OutcomeDidNotRun = "did not run"
	// OutcomeUnknown says nothing.
	OutcomeUnknown = "unknown"
)

// Sending is one sending of a request that runs at most once.
type Sending struct {
	Span
	Request string `json:"request"`
	// Number is that of the sending; 0: its caller states none.
	Number  int    `json:"number"`
	Daemon  string `json:"daemon"`
	Outcome string `json:"outcome"`
	// Runs is how many runs of the request runners have seen, however they began.
	Runs int `json:"runs"`
}

// Write writes a recording as JSON.
func (recording Recording) Write(target io.Writer) error {
	encoder := json.NewEncoder(target)
	encoder.SetIndent("", " ")
	return encoder.Encode(recording)
}

// WriteFile writes a recording into a file.
func (recording Recording) WriteFile(path string) error { return writeFile(path, recording.Write) }

// writeFile has a file written.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path) //nolint:gosec // The caller names the file.
	if err != nil {
		return err
	}
	return errors.Join(write(file), file.Close())
}

// Read reads a recording.
func Read(source io.Reader) (Recording, error) {
	recording := Recording{}
	decoder := json.NewDecoder(source)
	decoder.DisallowUnknownFields()
	return recording, decoder.Decode(&recording)
}
