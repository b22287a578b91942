package emulator

import (
	"reflect"
	"testing"

	"github.com/valyala/fasthttp"

	"wardtray/proxy/admission"
)

func TestParsePrompt(t *testing.T) {
	type field struct{ name, value string }
	for name, test := range map[string]struct {
		fields []field
		want   prompt
	}{
		"nothing": {nil, prompt{}},
		"all": {
			[]field{
				{admission.HeaderPromptTokens, "700"},
				{admission.HeaderAnswerTokens, "60"},
				{admission.HeaderPrefix, "system=400"},
				{admission.HeaderPrefix, "family=200"},
			},
			prompt{parts: []string{"system", "family"}, partTokens: []int{400, 200}, tokens: 700, answerTokens: 60},
		},
		"numbers that can't be read": {
			[]field{{admission.HeaderPromptTokens, "many"}, {admission.HeaderPrefix, "system"}},
			prompt{parts: []string{"system"}, partTokens: []int{0}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			header := &fasthttp.RequestHeader{}
			for _, field := range test.fields {
				header.Add(field.name, field.value)
			}
			if parsed := parsePrompt(header); !reflect.DeepEqual(parsed, test.want) {
				t.Errorf("parsed %+v, want %+v", parsed, test.want)
			}
		})
	}
}

func TestEventCountIsBounded(t *testing.T) {
	for tokens, want := range map[int]int{0: 2, 23: 2, 24: 3, 120: 7, 240: 12, 10_000: 12} {
		if events := eventCount(tokens); events != want {
			t.Errorf("%d tokens in %d events, want %d", tokens, events, want)
		}
	}
}
