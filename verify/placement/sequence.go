package placement

import (
	"time"

	"wardtray/balancer/kvblock"
)

// sequenceRequest is what a batchRunner has to know of a request.
type sequenceRequest struct {
	keys       []kvblock.BlockKey
	partTokens []int
	// urgency orders requests: the smaller is read first.
	urgency int
	// prompt and answer are the tokens of the whole prompt and of the answer.
	prompt, answer int
	// expires is the moment after which the runner ends the request.
	expires time.Time
	// firstEvent is called at the first event, with the prompt tokens that were cached. finished is called once, at the
	// end of the request, with what became of it.
	firstEvent func(cached int)
	finished   func(result sequenceResult)
}

// sequenceResult is what became of a request at a batchRunner.
type sequenceResult struct {
	// started means that the prompt was read at the end; complete that the whole answer was written as well.
	started, complete bool
	// worstPause is the longest time between two events.
	worstPause time.Duration
}

// sequence is one request at a batchRunner, queued or running.
type sequence struct {
	sequenceRequest
	// arrival is the number of the request in the order of acceptance.
	arrival int
	// read are the tokens of the prompt that were read or cached, cached those of them that were cached at admission,
	// written those of the answer.
	read, cached, written int
	// decoding means that the whole prompt was read.
	decoding  bool
	lastEvent time.Time
	// worstPause is the longest time between two events so far.
	worstPause time.Duration
	// ended means that finished was called.
	ended bool
}

// contextTokens are the tokens that the sequence takes in memory.
func (sequence *sequence) contextTokens() int { return sequence.prompt + sequence.written }

// complete reports whether the whole answer was written.
func (sequence *sequence) complete() bool {
	return sequence.decoding && sequence.written >= sequence.answer
}

// before reports whether the sequence is to be read before another: the more urgent first, then the earlier.
func (sequence *sequence) before(other *sequence) bool {
	if sequence.urgency != other.urgency {
		return sequence.urgency < other.urgency
	}
	return sequence.arrival < other.arrival
}

// writeToken adds a token; an event goes out with each stride of them, and with the last.
func (sequence *sequence) writeToken(now time.Time, stride int) {
	sequence.written++
	if sequence.written%stride == 0 || sequence.written >= sequence.answer {
		sequence.worstPause = max(sequence.worstPause, now.Sub(sequence.lastEvent))
		sequence.lastEvent = now
	}
}

// readTokens counts prompt tokens that were read; it reports whether the sequence has written its first token with
// them.
func (sequence *sequence) readTokens(now time.Time, tokens int) (first bool) {
	sequence.read += tokens
	if sequence.read < sequence.prompt || sequence.ended {
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

// evict takes the sequence out of memory: what was written is read anew with the prompt.
func (sequence *sequence) evict() {
	sequence.prompt += sequence.written
	sequence.read = 0
	sequence.decoding = false
}

// expired reports whether the sequence is past its deadline.
func (sequence *sequence) expired(now time.Time) bool { return now.After(sequence.expires) }

// end tells whoever sent the request what became of it.
func (sequence *sequence) end(complete bool) {
	sequence.ended = true
	sequence.finished(sequenceResult{
		started:    sequence.decoding,
		complete:   complete,
		worstPause: sequence.worstPause,
	})
}
