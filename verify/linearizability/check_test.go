package linearizability

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"
)

// at returns a span of one second that starts at a second.
func at(second int) Span {
	return Span{Start: time.Duration(second) * time.Second, End: time.Duration(second+1) * time.Second}
}

// unanswered returns a span without an end that starts at a second.
func unanswered(second int) Span { return Span{Start: time.Duration(second) * time.Second, End: Never} }

// changeOn returns a change on a base, with its answer and the epoch that the answer names.
func changeOn(span Span, operation string, base uint64, answer string, result uint64) Call {
	return Call{Span: span, Kind: KindChange, Operation: operation, Base: base, HasBase: true, Answer: answer,
		Result: result}
}

func read(span Span, result uint64) Call {
	return Call{Span: span, Kind: KindRead, Answer: AnswerDone, Result: result}
}

func lookUp(span Span, operation, answer string, result uint64) Call {
	return Call{Span: span, Kind: KindLookup, Operation: operation, Answer: answer, Result: result}
}

func TestCheckConfiguration(t *testing.T) {
	t.Parallel()
	first := changeOn(at(0), "a", 0, AnswerDone, 1)
	numbered := Call{Span: at(2), Kind: KindChange, Operation: "b", Base: 1, HasBase: true, Epoch: 9, HasEpoch: true,
		Answer: AnswerDone, Result: 9}
	for name, test := range map[string]struct {
		calls    []Call
		known    map[string]uint64
		violates bool
	}{
		"one after the other": {
			[]Call{first, changeOn(at(2), "b", 1, AnswerDone, 2), read(at(4), 2)}, nil, false,
		},
		"an epoch chosen by the caller": {[]Call{first, numbered, read(at(4), 9)}, nil, false},
		"two on one base":               {[]Call{first, changeOn(at(2), "b", 0, AnswerDone, 2)}, nil, true},
		"a stale read":                  {[]Call{first, read(at(2), 0)}, nil, true},
		"reads during a change":         {[]Call{first, read(at(0), 0), read(at(0), 1)}, nil, false},
		"a read of an older epoch after a newer one": {
			[]Call{read(at(0), 1), read(at(2), 0), changeOn(at(0), "a", 0, AnswerDone, 1)}, nil, true,
		},
		"sent again, same outcome":  {[]Call{first, changeOn(at(2), "a", 0, AnswerDone, 1)}, nil, false},
		"sent again, another epoch": {[]Call{first, changeOn(at(2), "a", 0, AnswerDone, 2)}, nil, true},
		"sent again, refused":       {[]Call{first, changeOn(at(2), "a", 0, AnswerStale, 1)}, nil, true},
		"refused as stale, rightly": {[]Call{first, changeOn(at(2), "b", 0, AnswerStale, 1)}, nil, false},
		"refused as stale, wrongly": {[]Call{first, changeOn(at(2), "b", 1, AnswerStale, 1)}, nil, true},
		"refused for its content":   {[]Call{first, changeOn(at(2), "b", 1, AnswerRefused, 1)}, nil, false},
		"no answer, no effect": {
			[]Call{changeOn(unanswered(0), "a", 0, AnswerUnknown, 0), read(at(2), 0)}, nil, false,
		},
		"no answer, effect read later": {
			[]Call{changeOn(unanswered(0), "a", 0, AnswerUnknown, 0), read(at(2), 0), read(at(4), 1)},
			map[string]uint64{"a": 1}, false,
		},
		"no answer, effect read before it is sent again": {
			[]Call{changeOn(unanswered(0), "a", 0, AnswerUnknown, 0), changeOn(at(5), "a", 0, AnswerDone, 1), read(at(2), 1)},
			nil, false,
		},
		"an epoch without a change": {[]Call{first, read(at(2), 2)}, nil, true},
		"unavailable, but in effect": {
			[]Call{changeOn(at(0), "a", 0, AnswerUnavailable, 0), read(at(2), 1)}, map[string]uint64{"a": 1}, true,
		},
		"looked up": {
			[]Call{first, lookUp(at(2), "a", AnswerDone, 1), lookUp(at(2), "b", AnswerRefused, 0)}, nil, false,
		},
		"looked up, not found although accepted": {[]Call{first, lookUp(at(2), "a", AnswerRefused, 0)}, nil, true},
		"looked up, found before it was sent": {
			[]Call{lookUp(at(0), "a", AnswerDone, 1), changeOn(at(2), "a", 0, AnswerDone, 1)}, nil, true,
		},
	} {
		verdict := Check(Recording{Calls: test.calls, Known: test.known}, time.Minute)
		if verdict.IsLinearizable() == test.violates || verdict.Calls > len(test.calls) {
			t.Errorf("%s: %v", name, verdict)
		}
	}
}

func TestCheckExecutions(t *testing.T) {
	t.Parallel()
	attempt := func(span Span, number int, outcome string, runs int) ClientAttempt {
		return ClientAttempt{Span: span, Request: "r", Number: number, Outcome: outcome, Runs: runs}
	}
	for name, test := range map[string]struct {
		attempts []ClientAttempt
		violates bool
	}{
		"once": {[]ClientAttempt{attempt(at(0), 1, OutcomeRan, 1)}, false},
		"twice": {
			[]ClientAttempt{attempt(at(0), 1, OutcomeRan, 2), attempt(at(2), 2, OutcomeRan, 2)}, true,
		},
		"refused, then run": {
			[]ClientAttempt{attempt(at(0), 1, OutcomeDidNotRun, 1), attempt(at(2), 2, OutcomeRan, 1)}, false,
		},
		"refused, then an earlier attempt runs": {
			[]ClientAttempt{attempt(at(0), 2, OutcomeDidNotRun, 1), attempt(at(2), 1, OutcomeRan, 1)}, true,
		},
		"run, then refused as not run": {
			[]ClientAttempt{attempt(at(0), 1, OutcomeRan, 1), attempt(at(2), 2, OutcomeDidNotRun, 1)}, true,
		},
		"an earlier attempt refused after a later one ran": {
			[]ClientAttempt{attempt(at(0), 2, OutcomeRan, 1), attempt(at(2), 1, OutcomeDidNotRun, 1)}, false,
		},
		"unknown, then reported as run before": {
			[]ClientAttempt{attempt(unanswered(0), 1, OutcomeUnknown, 1), attempt(at(2), 2, OutcomeRanBefore, 1)}, false,
		},
		"unknown, then run": {
			[]ClientAttempt{attempt(unanswered(0), 1, OutcomeUnknown, 1), attempt(at(2), 2, OutcomeRan, 1)}, false,
		},
		"reported as run before, but never ran": {[]ClientAttempt{attempt(at(0), 1, OutcomeRanBefore, 0)}, true},
		"reported as run before, but seen by no runner": {
			[]ClientAttempt{attempt(at(0), 1, OutcomeUnknown, 0), attempt(at(2), 2, OutcomeRanBefore, 0)}, true,
		},
		"without numbers, once": {
			[]ClientAttempt{attempt(at(0), 0, OutcomeDidNotRun, 1), attempt(at(2), 0, OutcomeRan, 1)}, false,
		},
		"without numbers, twice": {
			[]ClientAttempt{attempt(at(0), 0, OutcomeRan, 2), attempt(at(2), 0, OutcomeRan, 2)}, true,
		},
	} {
		verdict := Check(Recording{ClientAttempts: test.attempts}, time.Minute)
		if verdict.IsLinearizable() == test.violates || verdict.Requests != 1 {
			t.Errorf("%s: %v", name, verdict)
		}
	}
}

func TestRecordingIsReadBack(t *testing.T) {
	t.Parallel()
	recording := Recording{
		Calls:          []Call{changeOn(unanswered(1), "a", 3, AnswerUnknown, 0), read(at(2), 4)},
		ClientAttempts: []ClientAttempt{{Span: at(0), Request: "r", Number: 2, Daemon: "d", Outcome: OutcomeRan, Runs: 1}},
		Known:          map[string]uint64{"a": 4},
	}
	var written bytes.Buffer
	if err := recording.Write(&written); err != nil {
		t.Fatal(err)
	}
	returned, err := Read(&written)
	if err != nil || !reflect.DeepEqual(returned, recording) {
		t.Errorf("%+v, %v", returned, err)
	}
	if _, err := Read(strings.NewReader(`{"unknown":1}`)); err == nil {
		t.Error("a document with an unknown field was accepted")
	}
}

func TestVerdictIsDrawn(t *testing.T) {
	t.Parallel()
	verdict := Check(Recording{Calls: []Call{read(at(0), 0)},
		ClientAttempts: []ClientAttempt{{Span: at(0), Request: "drawn", Number: 1, Outcome: OutcomeRan, Runs: 1}}},
		time.Minute)
	var calls, executions bytes.Buffer
	if err := verdict.DrawConfiguration(&calls); err != nil || !strings.Contains(calls.String(), "read") {
		t.Errorf("%v, %d bytes", err, calls.Len())
	}
	if err := verdict.DrawExecutions(&executions); err != nil || !strings.Contains(executions.String(), "drawn") {
		t.Errorf("%v, %d bytes", err, executions.Len())
	}
}
