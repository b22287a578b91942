package codec

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"wardtray/apierror"
	"wardtray/balancer/load"
	"wardtray/proxy/admission"
	"wardtray/verify/golden"
)

// goldenRun is one attempt with every field set that is sent.
func goldenRun() (*admission.Request, Attempt) {
	request := &admission.Request{ID: "request", Route: "lane", Model: "model", Adapter: "adapter", PromptTokens: 100,
		AnswerTokens: 10, Parts: []string{"system", "more"}, PartTokens: []int{40, 20}, Body: []byte(`{"prompt":"text"}`)}
	return request, Attempt{Runner: load.Runner{ID: "runner", Address: "127.0.0.1:8001"}, Daemon: "daemon", Epoch: 7,
		Remaining: 1500 * time.Millisecond, LastEventID: 3, Tenant: "tenant"}
}

// What goes out to a runner, and the head of an answer, keep their headers.
func TestHeadersKeepTheirNames(t *testing.T) {
	request, run := goldenRun()
	outgoing := strings.ReplaceAll(string(Native{}.EncodeRequest(request, run)), "\r\n", "\n")
	golden.Compare(t, "outgoing.txt", outgoing+"\n")
	status, headers := Native{}.ResponseHeaders(nil, request, run)
	var lines strings.Builder
	fmt.Fprintln(&lines, status)
	for _, header := range headers {
		fmt.Fprintf(&lines, "%s: %s\n", header.Name, header.Value)
	}
	golden.Compare(t, "head.txt", lines.String())
}

// Each kind of refusal keeps its HTTP status.
func TestRefusalsKeepTheirStatuses(t *testing.T) {
	var lines strings.Builder
	for _, kind := range slices.Sorted(maps.Keys(statuses)) {
		fmt.Fprintf(&lines, "%s %d\n", kind, statuses[kind])
	}
	golden.Compare(t, "statuses.txt", lines.String())
}

// A refusal keeps its keys, and the event that ends a broken stream its form.
func TestRefusalKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "refusal", golden.Marshal[Refusal])
	broken := Native{}.ErrorEvent(
		4,
		Refusal{Code: apierror.RunFailed, Detail: "detail", Ran: "yes", RetryAfter: time.Second},
	)
	golden.Compare(t, "broken.txt", string(broken))
}

// A load report keeps its keys, and the paths of a runner stay.
func TestReportKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "report", golden.Marshal[load.Report])
	if (Native{}).IdentityPath() != "/identity" || (Native{}).LoadPath() != "/pressure" {
		t.Errorf("asked at %s and %s", Native{}.IdentityPath(), Native{}.LoadPath())
	}
}
