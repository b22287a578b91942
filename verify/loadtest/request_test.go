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
			Route:         "chat",
			LatencyTarget: 4 * time.Second,
			Opening:       2,
			OpeningTokens: 400,
			Own:           120,
			Answer:        60,
			Text:          "Diolch yn fawr",
		},
		Family: 3,
		ID:     "q1-7",
	}
}

func TestPartsOfAPrompt(t *testing.T) {
	drawn := testRequest()
	want := []Part{{"chat-system", 400}, {"chat-3-1", 400}}
	if got := drawn.Parts(); !slices.Equal(got, want) {
		t.Errorf("%v instead of %v", got, want)
	}
	if got := drawn.PromptTokens(); got != 920 {
		t.Errorf("%d prompt tokens instead of 920", got)
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
		t.Errorf("%v instead of %v", got, want)
	}
	drawn.Wait = 1500 * time.Millisecond
	if got := drawn.Headers("m")[admission.HeaderWait]; !slices.Equal(got, []string{"1500"}) {
		t.Errorf("waits %v instead of 1500", got)
	}
}

func TestBodyOfARequest(t *testing.T) {
	body := map[string]string{}
	if err := json.Unmarshal(testRequest().Body(), &body); err != nil || body["prompt"] != "Diolch yn fawr" {
		t.Errorf("%v, %v", body, err)
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
			t.Errorf("waits %v, deadline %v: %v instead of %v", trial.wait, trial.deadline, got, trial.want)
		}
	}
}

// A run ends with its client where its route says so, or may run again.
func TestNewAnswerKnowsWhetherTheRunIsCancelled(t *testing.T) {
	sent := time.Unix(5, 0)
	for _, trial := range []struct{ once, cancel, want bool }{
		{false, false, true},
		{false, true, true},
		{true, false, false},
		{true, true, true},
	} {
		drawn := testRequest()
		drawn.Kind.Once, drawn.Kind.Cancel = trial.once, trial.cancel
		answer := drawn.NewAnswer("a", sent)
		if answer.Cancels != trial.want || answer.Once != trial.once {
			t.Errorf("once %v, cancel %v: cancels %v", trial.once, trial.cancel, answer.Cancels)
		}
		if answer.Request != "q1-7" || answer.Route != "chat" || answer.Zone != "a" || !answer.Sent.Equal(sent) {
			t.Errorf("%+v", answer)
		}
	}
}
