package admission

import (
	"reflect"
	"testing"
	"time"

	"wardtray/verify/golden"
)

// Clients depend on the names of the request headers and on the field that each one sets. The names are spelled out
// here as clients send them, so that a changed constant fails the test.
func TestHeadersKeepTheirMeaning(t *testing.T) {
	headers := map[string][]string{
		"Wardtray-Lane":          {"lane"},
		"Wardtray-Model":         {"model"},
		"Wardtray-Adapter":       {"adapter"},
		"Wardtray-Request":       {"request"},
		"Wardtray-Prompt-Tokens": {"100"},
		"Wardtray-Answer-Tokens": {"10"},
		"Prompt-Prefix":          {"system=40, more=20"},
		"Wardtray-Wait":          {"1500"},
		"Wardtray-After":         {"7"},
		"Authorization":          {"Bearer key"},
	}
	body := []byte(`{"prompt":"text"}`)
	got, err := Parse(func(name string) []string { return headers[name] }, body)
	want := &Request{Route: "lane", Model: "model", Adapter: "adapter", ID: "request", PromptTokens: 100,
		AnswerTokens: 10, Parts: []string{"system", "more"}, PartTokens: []int{40, 20}, Body: body,
		Timeout: 1500 * time.Millisecond, LastEventID: 7, Secret: "key", TokensGiven: true}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("Parse returned error %v and request %+v", err, got)
	}
	for constant, name := range map[string]string{HeaderRunner: "Wardtray-Runner", HeaderEpoch: "Wardtray-Epoch",
		HeaderDaemon: "Wardtray-Daemon", HeaderTenant: "Wardtray-Tenant"} {
		if constant != name {
			t.Errorf("header name %q, want %q", constant, name)
		}
	}
}

// Clients depend on the JSON keys of the request body.
func TestBodyKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "body", golden.Marshal[Body])
}
