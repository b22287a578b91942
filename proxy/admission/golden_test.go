package admission

import (
	"reflect"
	"testing"
	"time"

	"wardtray/verify/golden"
)

// The headers of a request keep their names, which stand here as clients send them, and their meaning.
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
	read, err := Parse(func(name string) []string { return headers[name] }, body)
	wanted := &Request{Route: "lane", Model: "model", Adapter: "adapter", ID: "request", PromptTokens: 100,
		AnswerTokens: 10, Parts: []string{"system", "more"}, PartTokens: []int{40, 20}, Body: body,
		Timeout: 1500 * time.Millisecond, LastEventID: 7, Secret: "key", TokensGiven: true}
	if err != nil || !reflect.DeepEqual(read, wanted) {
		t.Errorf("%v, %+v", err, read)
	}
	for constant, name := range map[string]string{HeaderRunner: "Wardtray-Runner", HeaderEpoch: "Wardtray-Epoch",
		HeaderDaemon: "Wardtray-Daemon", HeaderTenant: "Wardtray-Tenant"} {
		if constant != name {
			t.Errorf("%s instead of %s", constant, name)
		}
	}
}

// The body keeps its keys.
func TestBodyKeepsItsKeys(t *testing.T) {
	golden.CompareJSON(t, "body", golden.Marshal[Body])
}
