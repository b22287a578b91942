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
		"none":    {Observed{KindChange, true, 0, ""}, AnswerNothing},
		"unknown": {Observed{KindChange, true, http.StatusGatewayTimeout, proposal.OutcomeUnknown}, AnswerNothing},
		"no head": {
			Observed{KindChange, true, http.StatusServiceUnavailable, proposal.OutcomeRefused}, AnswerUnavailable,
		},
		"accepted":         {Observed{KindChange, true, http.StatusOK, proposal.OutcomeAccepted}, AnswerDone},
		"found":            {Observed{KindRead, false, http.StatusOK, proposal.OutcomeFound}, AnswerDone},
		"nothing yet":      {Observed{KindRead, false, http.StatusNotFound, proposal.OutcomeEmpty}, AnswerDone},
		"under way":        {Observed{KindLookup, false, http.StatusAccepted, proposal.OutcomePending}, AnswerNothing},
		"stale":            {Observed{KindChange, true, http.StatusConflict, proposal.OutcomeRefused}, AnswerStale},
		"not valid":        {Observed{KindChange, true, http.StatusBadRequest, proposal.OutcomeRefused}, AnswerRefused},
		"behind its epoch": {Observed{KindChange, false, http.StatusConflict, proposal.OutcomeRefused}, AnswerRefused},
	} {
		if answer := test.observed.Answer(); answer != test.want {
			t.Errorf("%s: %s instead of %s", name, answer, test.want)
		}
	}
}

func TestSendingsOfAHistory(t *testing.T) {
	t.Parallel()
	started := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return started.Add(time.Duration(seconds) * time.Second) }
	history := &histories.History{
		Runs: []*histories.Run{{Request: "a", Started: true}, {Request: "a"}, {Request: "b", Started: true}},
		Answers: []*histories.Answer{
			{Request: "a", Once: true, RequestSent: true, Attempt: 1, Sent: at(1), Got: at(2), Done: true},
			{Request: "a", Once: true, RequestSent: true, Attempt: 2, Sent: at(3), Got: at(4), Ran: "ran"},
			{Request: "c", Once: true, RequestSent: true, Attempt: 1, Sent: at(5), Got: at(6), ConnectionLost: true},
			{Request: "d", Once: true, RequestSent: true, Attempt: 1, Sent: at(7), Got: at(8), Ran: "did not run"},
			{Request: "e", Once: true}, {Request: "b", RequestSent: true},
		},
	}
	want := []Sending{
		{Span: seconds(1, 2), Request: "a", Number: 1, Outcome: OutcomeRan, Runs: 1},
		{Span: seconds(3, 4), Request: "a", Number: 2, Outcome: OutcomeRanBefore, Runs: 1},
		{Span: Span{Start: 5 * time.Second, End: Never}, Request: "c", Number: 1, Outcome: OutcomeUnknown},
		{Span: seconds(7, 8), Request: "d", Number: 1, Outcome: OutcomeDidNotRun},
	}
	sendings := SendingsOf(history, started)
	if len(sendings) != len(want) {
		t.Fatalf("%d sendings instead of %d", len(sendings), len(want))
	}
	for index := range want {
		if sendings[index] != want[index] {
			t.Errorf("%+v instead of %+v", sendings[index], want[index])
		}
	}
}

// seconds is a span of seconds.
func seconds(start, end int) Span {
	return Span{Start: time.Duration(start) * time.Second, End: time.Duration(end) * time.Second}
}
