package linearizability

import "time"

// statement is the content of an observation of the configuration, without its time.
type statement struct {
	kind, operation, answer string
	base, result            uint64
	hasBase                 bool
}

// statement returns the statement of a call's answer.
func (call Call) statement() statement {
	stated := statement{kind: call.Kind, operation: call.Operation, answer: call.Answer}
	if call.Answer == AnswerDone {
		stated.result = call.Result
	}
	if call.Answer == AnswerStale {
		stated.base, stated.hasBase = call.Base, call.HasBase
	}
	return stated
}

// extremes are the indices of the observation that ended first and of the one that started last.
type extremes struct {
	firstEnded, lastStarted int
}

// decisive removes observations that are implied by others with the same statement. Each statement holds during one
// contiguous period (while an epoch is current, before an operation is accepted, or after it). An observation is
// consistent with that period if it ended after the period began and started before the period ended. So the
// observation that ended first and the one that started last decide for all. A base is stale both before and after the
// epoch that it names, which are two periods; so all observations of a stale base are kept.
func decisive(observations []Call) []Call {
	byStatement := map[statement]extremes{}
	for index, observation := range observations {
		stated := observation.statement()
		found, isKnown := byStatement[stated]
		if !isKnown {
			found = extremes{index, index}
		}
		if endsBefore(observation.End, observations[found.firstEnded].End) {
			found.firstEnded = index
		}
		if observation.Start > observations[found.lastStarted].Start {
			found.lastStarted = index
		}
		byStatement[stated] = found
	}
	var kept []Call
	for index, observation := range observations {
		found := byStatement[observation.statement()]
		if observation.Answer == AnswerStale || index == found.firstEnded || index == found.lastStarted {
			kept = append(kept, observation)
		}
	}
	return kept
}

// endsBefore reports whether one end is before another; Never is after all others.
func endsBefore(end, other time.Duration) bool {
	return end != Never && (other == Never || end < other)
}
