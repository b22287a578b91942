package main

import (
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A renamed Go field must not change the JSON keys of an explanation: wtctl reads the responses of daemons of other
// versions.
func TestExplanationIsReadByItsKeys(t *testing.T) {
	var output strings.Builder
	content := `{"step":{"Kind":"pass","Runner":{"ID":"r-1","Address":"127.0.0.1:9"},"Reason":"cheapest"},
		"prices":{"TokenSeconds":0.000002,"PlaceSeconds":3},"bid":{"Worth":4,"Patience":5000000000,"InPurse":true},
		"quotes":[{"Offer":{"ID":"r-1","Zone":"bangor","HeldTokens":7},"Net":1.5}]}`
	if err := printExplanation(&printer{writer: &output}, []byte(content)); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"pass to r-1 at 127.0.0.1:9 (cheapest)", "2 microseconds a token, 3.00 s a place",
		"worth 4, patience 5s, within its purse true", "bangor", "+1.5000"} {
		if !strings.Contains(output.String(), part) {
			t.Errorf("output lacks %q:\n%s", part, output.String())
		}
	}
}

// Each flag sets one header of the explained request; a flag that is not given sets none.
func TestExplainSendsItsFlagsAsHeaders(t *testing.T) {
	names := []string{"Wardtray-Lane", "Wardtray-Model", "Wardtray-Request", "Wardtray-Prompt-Tokens",
		"Wardtray-Answer-Tokens", "Wardtray-Adapter", "Prompt-Prefix", "Authorization"}
	var got map[string]string
	daemon := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		got = map[string]string{"path": request.Method + " " + request.URL.Path}
		for _, name := range names {
			if value := request.Header.Get(name); value != "" {
				got[name] = value
			}
		}
		if _, err := io.WriteString(writer, `{"step":{"Kind":"refuse","Reason":"full"}}`); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(daemon.Close)
	required := map[string]string{"path": "POST /v1/explain", "Wardtray-Lane": "l", "Wardtray-Model": "m",
		"Wardtray-Request": "explain", "Wardtray-Prompt-Tokens": "1000", "Wardtray-Answer-Tokens": "1"}
	all := maps.Clone(required)
	maps.Copy(all, map[string]string{"Wardtray-Prompt-Tokens": "9", "Wardtray-Adapter": "cy", "Prompt-Prefix": "a=4",
		"Authorization": "Bearer k"})
	for name, test := range map[string]struct {
		flags []string
		want  map[string]string
	}{
		"required ones": {nil, required},
		"all":           {[]string{"--adapter", "cy", "--key", "k", "--prompt-tokens", "9", "--prefix", "a=4"}, all},
	} {
		arguments := append([]string{"explain", strings.TrimPrefix(daemon.URL, "http://"), "--lane", "l", "--model", "m"},
			test.flags...)
		var output, errors strings.Builder
		code := run(arguments, strings.NewReader(""), &output, &errors)
		if code != exitFine || !maps.Equal(got, test.want) || !strings.Contains(output.String(), "refuse (full)") {
			t.Errorf("%s: code %d, request %v, output %q, errors %q", name, code, got, output.String(), errors.String())
		}
	}
}
