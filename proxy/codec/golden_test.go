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

// goldenAttempt returns a request and an attempt with every field set that is sent to a runner.
func goldenAttempt() (*admission.Request, Attempt) {
	request := &admission.Request{ID: "request", Route: "lane", Model: "model", Adapter: "adapter", PromptTokens: 100,
		AnswerTokens: 10, Parts: []string{"system", "more"}, PartTokens: []int{40, 20}, Body: []byte(`{"prompt":"text"}`)}
	return request, Attempt{Runner: load.Runner{ID: "runner", Address: "127.0.0.1:8001"}, Daemon: "daemon", Epoch: 7,
		Remaining: 1500 * time.Millisecond, LastEventID: 3, Tenant: "tenant"}
}

// Runners depend on the bytes of an outgoing request, and clients on the head of a response.
func TestHeadersKeepTheirNames(t *testing.T) {
	request, attempt := goldenAttempt()
	outgoing := strings.ReplaceAll(string(Native{}.EncodeRequest(request, attempt)), "\r\n", "\n")
	golden.Compare(t, "outgoing.txt", outgoing+"\n")
	status, headers := Native{}.ResponseHeaders(nil, request, attempt)
	var lines strings.Builder
	fmt.Fprintln(&lines, status)
	for _, header := range headers {
		fmt.Fprintf(&lines, "%s: %s\n", header.Name, header.Value)
	}
	golden.Compare(t, "head.txt", lines.String())
}

// Clients depend on the HTTP status of each error code.
func TestRefusalsKeepTheirStatuses(t *testing.T) {
	var lines strings.Builder
	for _, code := range slices.Sorted(maps.Keys(statuses)) {
		fmt.Fprintf(&lines, "%s %d\n", code, statuses[code])
	}
	golden.Compare(t, "statuses.txt", lines.String())
}

// Clients depend on the JSON keys of a refusal and on the format of the event that ends an incomplete stream.
func TestRefusalKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "refusal", golden.Marshal[Refusal])
	errorEvent := Native{}.ErrorEvent(
		4,
		Refusal{Code: apierror.RunFailed, Detail: "detail", Ran: "yes", RetryAfter: time.Second},
	)
	golden.Compare(t, "broken.txt", string(errorEvent))
}

// Runners depend on the JSON keys of a load report and on the paths of their endpoints.
func TestReportKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "report", golden.Marshal[load.Report])
	if (Native{}).IdentityPath() != "/identity" || (Native{}).LoadPath() != "/pressure" {
		t.Errorf("identity path %s, load path %s", Native{}.IdentityPath(), Native{}.LoadPath())
	}
}
