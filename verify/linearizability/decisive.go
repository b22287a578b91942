package linearizability

import "time"

// statement is what a look says of the configuration, whenever it was made.
type statement struct {
	kind, operation, answer string
	base, result            uint64
	hasBase                 bool
}

// statement returns what a call says.
func (call Call) statement() statement {
	said := statement{kind: call.Kind, operation: call.Operation, answer: call.Answer}
	if call.Answer == AnswerDone {
		said.result = call.Result
	}
	if call.Answer == AnswerStale {
		said.base, said.hasBase = call.Base, call.HasBase
	}
	return said
}

// extremes are the places of the look that ended first and of the one that began last.
type extremes struct {
	firstEnded, lastStarted int
}

// decisive leaves out looks that another one of the same statement makes superfluous. Each statement holds during one
// stretch of the configuration's life (while an epoch is the present one, before an operation is accepted, after it),
// and a look agrees with that stretch if it ended after the stretch began and started before it ended: so the look
// that ended first and the one that started last decide for all. A base is stale before and after the epoch that it
// names, which are two stretches; those looks are all kept.
func decisive(looks []Call) []Call {
	byStatement := map[statement]extremes{}
	for place, look := range looks {
		said := look.statement()
		found, isKnown := byStatement[said]
		if !isKnown {
			found = extremes{place, place}
		}
		if endsBefore(look.End, looks[found.firstEnded].End) {
			found.firstEnded = place
		}
		if look.Start > looks[found.lastStarted].Start {
			found.lastStarted = place
		}
		byStatement[said] = found
	}
	var kept []Call
	for place, look := range looks {
		found := byStatement[look.statement()]
		if look.Answer == AnswerStale || place == found.firstEnded || place == found.lastStarted {
			kept = append(kept, look)
		}
	}
	return kept
}

// endsBefore reports whether one end came before another; no answer comes last.
func endsBefore(end, other time.Duration) bool {
	return end != Never && (other == Never || end < other)
}
