package loadtest

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"
	"time"

	"wardtray/proxy/admission"
)

func testRequest() Drawn {
	return Drawn{
		Kind: Kind{
			Route:            "chat",
			LatencyTarget:    4 * time.Second,
			PrefixParts:      2,
			PrefixPartTokens: 400,
			UniqueTokens:     120,
			Answer:           60,
			Text:             "Diolch yn fawr",
		},
		Prefix: 3,
		ID:     "q1-7",
	}
}

func TestPartsOfAPrompt(t *testing.T) {
	drawn := testRequest()
	want := []Part{{"chat-system", 400}, {"chat-3-1", 400}}
	if got := drawn.Parts(); !slices.Equal(got, want) {
		t.Errorf("parts %v, want %v", got, want)
	}
	if got := drawn.PromptTokens(); got != 920 {
		t.Errorf("%d prompt tokens, want 920", got)
	}
}

func TestHeadersOfARequest(t *testing.T) {
	drawn := testRequest()
	want := map[string][]string{
		"Wardtray-Lane":          {"chat"},
		"Wardtray-Model":         {"m"},
		"Wardtray-Request":       {"q1-7"},
		"Wardtray-Prompt-Tokens": {"920"},
		"Wardtray-Answer-Tokens": {"60"},
		"Prompt-Prefix":          {"chat-system=400", "chat-3-1=400"},
	}
	if got := drawn.Headers("m"); !reflect.DeepEqual(got, want) {
		t.Errorf("headers %v, want %v", got, want)
	}
	drawn.Wait = 1500 * time.Millisecond
	if got := drawn.Headers("m")[admission.HeaderTimeout]; !slices.Equal(got, []string{"1500"}) {
		t.Errorf("time limit %v, want 1500", got)
	}
}

func TestBodyOfARequest(t *testing.T) {
	body := map[string]string{}
	if err := json.Unmarshal(testRequest().Body(), &body); err != nil || body["prompt"] != "Diolch yn fawr" {
		t.Errorf("body %v, error %v", body, err)
	}
}

func TestTimeLimit(t *testing.T) {
	for _, trial := range []struct{ wait, deadline, want time.Duration }{
		{0, 0, 0},
		{2, 0, 2},
		{0, 3, 3},
		{2, 3, 2},
		{4, 3, 3},
	} {
		drawn := Drawn{Kind: Kind{Deadline: trial.deadline}, Wait: trial.wait}
		if got := drawn.TimeLimit(); got != trial.want {
			t.Errorf("client time limit %v, deadline %v: limit %v, want %v", trial.wait, trial.deadline, got, trial.want)
		}
	}
}

// A run ends when its client disconnects if the route is idempotent or cancels runs on disconnection.
func TestNewAnswerKnowsWhetherTheRunIsCancelled(t *testing.T) {
	sent := time.Unix(5, 0)
	for _, trial := range []struct{ once, cancel, want bool }{
		{false, false, true},
		{false, true, true},
		{true, false, false},
		{true, true, true},
	} {
		drawn := testRequest()
		drawn.Kind.AtMostOnce, drawn.Kind.Cancel = trial.once, trial.cancel
		attempt := drawn.NewAnswer("a", sent)
		if attempt.CancelsOnDisconnect != trial.want || attempt.AtMostOnce != trial.once {
			t.Errorf("at most once %v, cancel %v: recorded as cancelled on disconnection %v", trial.once, trial.cancel,
				attempt.CancelsOnDisconnect)
		}
		if attempt.Request != "q1-7" || attempt.Route != "chat" || attempt.Zone != "a" || !attempt.Sent.Equal(sent) {
			t.Errorf("recorded %+v", attempt)
		}
	}
}
