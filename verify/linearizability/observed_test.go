package linearizability

import (
	"net/http"
	"testing"
	"time"

	"wardtray/control/proposal"
	"wardtray/verify/histories"
)

func TestAnswersOfOperatorsCalls(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		observed Observed
		want     string
	}{
		"no response": {Observed{KindChange, true, 0, ""}, AnswerUnknown},
		"unknown":     {Observed{KindChange, true, http.StatusGatewayTimeout, proposal.OutcomeUnknown}, AnswerUnknown},
		"no head": {
			Observed{KindChange, true, http.StatusServiceUnavailable, proposal.OutcomeRefused}, AnswerUnavailable,
		},
		"accepted":             {Observed{KindChange, true, http.StatusOK, proposal.OutcomeAccepted}, AnswerDone},
		"found":                {Observed{KindRead, false, http.StatusOK, proposal.OutcomeFound}, AnswerDone},
		"no configuration yet": {Observed{KindRead, false, http.StatusNotFound, proposal.OutcomeEmpty}, AnswerDone},
		"pending":              {Observed{KindLookup, false, http.StatusAccepted, proposal.OutcomePending}, AnswerUnknown},
		"stale":                {Observed{KindChange, true, http.StatusConflict, proposal.OutcomeRefused}, AnswerStale},
		"invalid":              {Observed{KindChange, true, http.StatusBadRequest, proposal.OutcomeRefused}, AnswerRefused},
		"epoch too low":        {Observed{KindChange, false, http.StatusConflict, proposal.OutcomeRefused}, AnswerRefused},
	} {
		if answer := test.observed.Answer(); answer != test.want {
			t.Errorf("%s: %s instead of %s", name, answer, test.want)
		}
	}
}

func TestClientAttemptsOfAHistory(t *testing.T) {
	t.Parallel()
	started := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return started.Add(time.Duration(seconds) * time.Second) }
	history := &histories.History{
		Runs: []*histories.Run{{Request: "a", Started: true}, {Request: "a"}, {Request: "b", Started: true}},
		Answers: []*histories.ClientAttempt{
			{Request: "a", AtMostOnce: true, RequestSent: true, Attempt: 1, Sent: at(1), Got: at(2), Done: true},
			{Request: "a", AtMostOnce: true, RequestSent: true, Attempt: 2, Sent: at(3), Got: at(4), Ran: "ran"},
			{Request: "c", AtMostOnce: true, RequestSent: true, Attempt: 1, Sent: at(5), Got: at(6), ConnectionLost: true},
			{Request: "d", AtMostOnce: true, RequestSent: true, Attempt: 1, Sent: at(7), Got: at(8), Ran: "did not run"},
			{Request: "e", AtMostOnce: true}, {Request: "b", RequestSent: true},
		},
	}
	want := []ClientAttempt{
		{Span: spanOf(1, 2), Request: "a", Number: 1, Outcome: OutcomeRan, Runs: 1},
		{Span: spanOf(3, 4), Request: "a", Number: 2, Outcome: OutcomeRanBefore, Runs: 1},
		{Span: Span{Start: 5 * time.Second, End: Never}, Request: "c", Number: 1, Outcome: OutcomeUnknown},
		{Span: spanOf(7, 8), Request: "d", Number: 1, Outcome: OutcomeDidNotRun},
	}
	attempts := ClientAttemptsOf(history, started)
	if len(attempts) != len(want) {
		t.Fatalf("%d attempts instead of %d", len(attempts), len(want))
	}
	for index := range want {
		if attempts[index] != want[index] {
			t.Errorf("%+v instead of %+v", attempts[index], want[index])
		}
	}
}

// spanOf returns a span from its start and end in seconds.
func spanOf(start, end int) Span {
	return Span{Start: time.Duration(start) * time.Second, End: time.Duration(end) * time.Second}
}
