package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wardtray/verify/histories"
	"wardtray/verify/linearizability"
)

func TestReportPrintsFiguresEventsAndVerdict(t *testing.T) {
	history := histories.New()
	history.Answers = []*histories.ClientAttempt{
		{Route: "chat", Done: true, First: 10 * time.Millisecond},
		{Route: "chat", Status: 503, Kind: "waitlist_full"},
	}
	sent := history.Started.Add(time.Second)
	history.Orders = []*histories.OperatorRequest{{
		Operation: "first", Verb: "apply", Outcome: "accepted", Epoch: 1, Sent: sent, Got: sent.Add(30 * time.Millisecond),
	}}
	history.Faults = []histories.Fault{{At: history.Started.Add(9060 * time.Millisecond), What: "runner 3 killed"}}
	want := `requests 2: done 1, refused 1, unknown 0, broken off 0, lost with a killed daemon 0
prompt tokens found in runners' caches: 75%; repeats: 0
worst cases: a change ignored 0s after its acknowledgement (2 s), work to a leaving runner 0s (3 s), ` +
		`to a closed zone 0s (5 s), first answer after return 0s (12 s), 0 repeats to 0 requests in 10 s
  chat       done     1   first event: median 10ms, 95% 10ms, worst 10ms
  refused or unknown: chat waitlist_full           1
  order first        apply  accepted   epoch 1 in 30ms
  at   9.06s runner 3 killed
histories: 4 calls of operators and 2 requests that run at most once judged in 12ms
`
	clean := fmt.Sprintf("verdict: clean, all %d rules held\n", len(histories.Rules))
	report := newReport(history, 0.75, nil)
	report.Linearizability = linearizability.Verdict{Calls: 4, Requests: 2, Took: 12 * time.Millisecond}
	if text := printed(report); text != want+clean || !report.Clean() {
		t.Errorf("report\n%s\ninstead of\n%s", text, want+clean)
	}
	report.Violations = []histories.Violation{{Rule: "down", Detail: "for 13 s"}}
	broken := "BROKEN down: for 13 s\nverdict: 1 violations\n"
	if text := printed(report); text != want+broken || report.Clean() {
		t.Errorf("report\n%s\ninstead of\n%s", text, want+broken)
	}
}

func TestReportPrintsTheFirstViolations(t *testing.T) {
	violations := make([]histories.Violation, maximumViolations+5)
	text := printed(newReport(histories.New(), 0, violations))
	if count := strings.Count(text, "BROKEN"); count != maximumViolations {
		t.Errorf("the report has %d violations", count)
	}
	if !strings.HasSuffix(text, "verdict: 45 violations\n") {
		t.Errorf("the last line of the report is wrong:\n%s", text)
	}
}

func printed(report Report) string {
	text := &strings.Builder{}
	report.Print(text)
	return text.String()
}
