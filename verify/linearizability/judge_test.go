package linearizability

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"
)

// at is a span of a second from a second on; while one that is not answered begins.
func at(second int) Span {
	return Span{Start: time.Duration(second) * time.Second, End: time.Duration(second+1) * time.Second}
}

func unanswered(second int) Span { return Span{Start: time.Duration(second) * time.Second, End: Never} }

// changeOn is a change on a base that was answered, with the epoch that the answer names.
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

func TestJudgeConfiguration(t *testing.T) {
	t.Parallel()
	first := changeOn(at(0), "a", 0, AnswerDone, 1)
	numbered := Call{Span: at(2), Kind: KindChange, Operation: "b", Base: 1, HasBase: true, Epoch: 9, HasEpoch: true,
		Answer: AnswerDone, Result: 9}
	for name, test := range map[string]struct {
		calls []Call
		known map[string]uint64
		broke bool
	}{
		"one after the other": {
			[]Call{first, changeOn(at(2), "b", 1, AnswerDone, 2), read(at(4), 2)}, nil, false,
		},
		"an epoch of the caller's":   {[]Call{first, numbered, read(at(4), 9)}, nil, false},
		"two on one base":            {[]Call{first, changeOn(at(2), "b", 0, AnswerDone, 2)}, nil, true},
		"a read of before":           {[]Call{first, read(at(2), 0)}, nil, true},
		"a read while it is changed": {[]Call{first, read(at(0), 0), read(at(0), 1)}, nil, false},
		"a read of what is undone": {
			[]Call{read(at(0), 1), read(at(2), 0), changeOn(at(0), "a", 0, AnswerDone, 1)}, nil, true,
		},
		"a copy gets the same":         {[]Call{first, changeOn(at(2), "a", 0, AnswerDone, 1)}, nil, false},
		"a copy gets another epoch":    {[]Call{first, changeOn(at(2), "a", 0, AnswerDone, 2)}, nil, true},
		"a copy is refused":            {[]Call{first, changeOn(at(2), "a", 0, AnswerStale, 1)}, nil, true},
		"refused as stale, and is":     {[]Call{first, changeOn(at(2), "b", 0, AnswerStale, 1)}, nil, false},
		"refused as stale, and is not": {[]Call{first, changeOn(at(2), "b", 1, AnswerStale, 1)}, nil, true},
		"refused for what it says":     {[]Call{first, changeOn(at(2), "b", 1, AnswerRefused, 1)}, nil, false},
		"no answer, and no effect": {
			[]Call{changeOn(unanswered(0), "a", 0, AnswerNothing, 0), read(at(2), 0)}, nil, false,
		},
		"no answer, and seen": {
			[]Call{changeOn(unanswered(0), "a", 0, AnswerNothing, 0), read(at(2), 0), read(at(4), 1)},
			map[string]uint64{"a": 1}, false,
		},
		"no answer, and seen at its end": {
			[]Call{changeOn(unanswered(0), "a", 0, AnswerNothing, 0), changeOn(at(5), "a", 0, AnswerDone, 1), read(at(2), 1)},
			nil, false,
		},
		"in effect, and nobody's": {[]Call{first, read(at(2), 2)}, nil, true},
		"unavailable, and in effect": {
			[]Call{changeOn(at(0), "a", 0, AnswerUnavailable, 0), read(at(2), 1)}, map[string]uint64{"a": 1}, true,
		},
		"looked up": {
			[]Call{first, lookUp(at(2), "a", AnswerDone, 1), lookUp(at(2), "b", AnswerRefused, 0)}, nil, false,
		},
		"looked up and not found": {[]Call{first, lookUp(at(2), "a", AnswerRefused, 0)}, nil, true},
		"looked up before it is there": {
			[]Call{lookUp(at(0), "a", AnswerDone, 1), changeOn(at(2), "a", 0, AnswerDone, 1)}, nil, true,
		},
	} {
		verdict := Judge(Recording{Calls: test.calls, Known: test.known}, time.Minute)
		if verdict.IsLinearizable() == test.broke || verdict.Calls > len(test.calls) {
			t.Errorf("%s: %v", name, verdict)
		}
	}
}

func TestJudgeExecutions(t *testing.T) {
	t.Parallel()
	sending := func(span Span, number int, outcome string, runs int) Sending {
		return Sending{Span: span, Request: "r", Number: number, Outcome: outcome, Runs: runs}
	}
	for name, test := range map[string]struct {
		sendings []Sending
		broke    bool
	}{
		"once": {[]Sending{sending(at(0), 1, OutcomeRan, 1)}, false},
		"twice": {
			[]Sending{sending(at(0), 1, OutcomeRan, 2), sending(at(2), 2, OutcomeRan, 2)}, true,
		},
		"refused, then run": {
			[]Sending{sending(at(0), 1, OutcomeDidNotRun, 1), sending(at(2), 2, OutcomeRan, 1)}, false,
		},
		"refused, then the earlier one": {
			[]Sending{sending(at(0), 2, OutcomeDidNotRun, 1), sending(at(2), 1, OutcomeRan, 1)}, true,
		},
		"run, then refused as not run": {
			[]Sending{sending(at(0), 1, OutcomeRan, 1), sending(at(2), 2, OutcomeDidNotRun, 1)}, true,
		},
		"refused beside a later one that ran": {
			[]Sending{sending(at(0), 2, OutcomeRan, 1), sending(at(2), 1, OutcomeDidNotRun, 1)}, false,
		},
		"unknown, then known to have run": {
			[]Sending{sending(unanswered(0), 1, OutcomeUnknown, 1), sending(at(2), 2, OutcomeRanBefore, 1)}, false,
		},
		"unknown, then run": {
			[]Sending{sending(unanswered(0), 1, OutcomeUnknown, 1), sending(at(2), 2, OutcomeRan, 1)}, false,
		},
		"known to have run, and never did": {[]Sending{sending(at(0), 1, OutcomeRanBefore, 0)}, true},
		"unknown, and seen by no runner": {
			[]Sending{sending(at(0), 1, OutcomeUnknown, 0), sending(at(2), 2, OutcomeRanBefore, 0)}, true,
		},
		"undeclared": {
			[]Sending{sending(at(0), 0, OutcomeDidNotRun, 1), sending(at(2), 0, OutcomeRan, 1)}, false,
		},
		"undeclared, twice": {
			[]Sending{sending(at(0), 0, OutcomeRan, 2), sending(at(2), 0, OutcomeRan, 2)}, true,
		},
	} {
		verdict := Judge(Recording{Sendings: test.sendings}, time.Minute)
		if verdict.IsLinearizable() == test.broke || verdict.Requests != 1 {
			t.Errorf("%s: %v", name, verdict)
		}
	}
}

func TestRecordingIsReadBack(t *testing.T) {
	t.Parallel()
	recording := Recording{
		Calls:    []Call{changeOn(unanswered(1), "a", 3, AnswerNothing, 0), read(at(2), 4)},
		Sendings: []Sending{{Span: at(0), Request: "r", Number: 2, Daemon: "d", Outcome: OutcomeRan, Runs: 1}},
		Known:    map[string]uint64{"a": 4},
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
		t.Error("read what is no recording")
	}
}

func TestVerdictIsDrawn(t *testing.T) {
	t.Parallel()
	verdict := Judge(Recording{Calls: []Call{read(at(0), 0)},
		Sendings: []Sending{{Span: at(0), Request: "drawn", Number: 1, Outcome: OutcomeRan, Runs: 1}}}, time.Minute)
	var calls, sendings bytes.Buffer
	if err := verdict.DrawConfiguration(&calls); err != nil || !strings.Contains(calls.String(), "read") {
		t.Errorf("%v, %d bytes", err, calls.Len())
	}
	if err := verdict.DrawExecutions(&sendings); err != nil || !strings.Contains(sendings.String(), "drawn") {
		t.Errorf("%v, %d bytes", err, sendings.Len())
	}
}
