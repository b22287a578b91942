package placement

import (
	"time"

	"wardtray/balancer/kvblock"
)

// sequenceRequest describes a request to a batchRunner.
type sequenceRequest struct {
	keys       []kvblock.BlockKey
	partTokens []int
	// urgency orders requests: the smallest is prefilled first.
	urgency int
	// prompt and answer are the numbers of tokens of the complete prompt and of the answer.
	prompt, answer int
	// expires is the deadline after which the runner ends the request.
	expires time.Time
	// firstEvent is called at the first event, with the number of prompt tokens that were cached. finished is called
	// once, at the end of the request.
	firstEvent func(cached int)
	finished   func(outcome sequenceOutcome)
}

// sequenceOutcome is the outcome of a request at a batchRunner.
type sequenceOutcome struct {
	// started reports whether the prompt was completely prefilled when the request ended, complete whether the answer was
	// complete as well.
	started, complete bool
	// longestPause is the longest time between two events.
	longestPause time.Duration
}

// sequence is a queued or running request at a batchRunner.
type sequence struct {
	sequenceRequest
	// arrival is the number of the request in order of acceptance.
	arrival int
	// prefilled is the number of prompt tokens that were prefilled or cached, cached the number that were cached at
	// admission, written the number of answer tokens produced so far.
	prefilled, cached, written int
	// decoding reports whether the prompt is completely prefilled.
	decoding  bool
	lastEvent time.Time
	// longestPause is the longest time between two events so far.
	longestPause time.Duration
	// ended reports whether finished was called.
	ended bool
}

// contextTokens returns the memory that the sequence uses, in tokens.
func (sequence *sequence) contextTokens() int { return sequence.prompt + sequence.written }

// complete reports whether the answer is complete.
func (sequence *sequence) complete() bool {
	return sequence.decoding && sequence.written >= sequence.answer
}

// before reports whether the sequence precedes another: the more urgent is first, then the one that arrived earlier.
func (sequence *sequence) before(other *sequence) bool {
	if sequence.urgency != other.urgency {
		return sequence.urgency < other.urgency
	}
	return sequence.arrival < other.arrival
}

// writeToken adds an answer token; an event is sent after every stride tokens and after the last token.
func (sequence *sequence) writeToken(now time.Time, stride int) {
	sequence.written++
	if sequence.written%stride == 0 || sequence.written >= sequence.answer {
		sequence.longestPause = max(sequence.longestPause, now.Sub(sequence.lastEvent))
		sequence.lastEvent = now
	}
}

// addPrefilled records prefilled prompt tokens, and reports whether the sequence has thereby produced its first answer
// token.
func (sequence *sequence) addPrefilled(now time.Time, tokens int) (first bool) {
	sequence.prefilled += tokens
	if sequence.prefilled < sequence.prompt || sequence.ended {
		return false
	}
	if !sequence.decoding && sequence.written == 0 {
		sequence.lastEvent = now
		sequence.written = 1
		first = true
	}
	sequence.decoding = true
	return first
}

// evict removes the sequence from memory: the next prefill includes the answer tokens produced so far.
func (sequence *sequence) evict() {
	sequence.prompt += sequence.written
	sequence.prefilled = 0
	sequence.decoding = false
}

// expired reports whether the sequence is past its deadline.
func (sequence *sequence) expired(now time.Time) bool { return now.After(sequence.expires) }

// end ends the sequence and calls finished with the outcome.
func (sequence *sequence) end(complete bool) {
	sequence.ended = true
	sequence.finished(sequenceOutcome{
		started:      sequence.decoding,
		complete:     complete,
		longestPause: sequence.longestPause,
	})
}
