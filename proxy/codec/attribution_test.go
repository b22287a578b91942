package codec

import (
	"testing"

	"github.com/valyala/fasthttp"

	"wardtray/proxy/admission"
)

func TestAttribute(t *testing.T) {
	for name, test := range map[string]struct {
		ids  []string
		want Attribution
	}{
		"none":            {nil, Unnamed},
		"own":             {[]string{"a"}, Own},
		"own twice":       {[]string{"a", "a"}, Own},
		"another":         {[]string{"b"}, Foreign},
		"two others":      {[]string{"b", "c"}, Foreign},
		"own and another": {[]string{"b", "a"}, Mixed},
		"empty":           {[]string{""}, Foreign},
	} {
		ids := make([][]byte, 0, len(test.ids))
		for _, id := range test.ids {
			ids = append(ids, []byte(id))
		}
		if got := Attribute(ids, "a"); got != test.want {
			t.Errorf("%s: attribution %d, want %d", name, got, test.want)
		}
	}
}

// A runner may echo the id of the request. A response with the id of another request is a late one and must not be
// relayed to this client, whatever its status. Runners that echo no id are matched by the order of their responses.
func TestNativeResponsesNameTheirRequest(t *testing.T) {
	request := &admission.Request{ID: "a"}
	for name, test := range map[string]struct {
		ids    []string
		status int
		body   string
		want   Disposition
	}{
		"unnamed stream":        {nil, 200, "", Streams},
		"its own stream":        {[]string{"a"}, 200, "", Streams},
		"another's stream":      {[]string{"b"}, 200, "", Stray},
		"its own rejection":     {[]string{"a"}, 503, `{"started":false}`, NotExecuted},
		"another's rejection":   {[]string{"b"}, 503, `{"started":false}`, Stray},
		"two requests' at once": {[]string{"a", "b"}, 503, `{"started":false}`, Unclear},
	} {
		response := &fasthttp.Response{}
		response.SetStatusCode(test.status)
		response.SetBodyString(test.body)
		for _, id := range test.ids {
			response.Header.Add(admission.HeaderRequest, id)
		}
		if got := (Native{}).Classify(response, request, Attempt{}).Disposition; got != test.want {
			t.Errorf("%s: disposition %q, want %q", name, got, test.want)
		}
		if answers := (Native{}).RespondsToClient(response); answers != (len(test.ids) > 0) {
			t.Errorf("%s: RespondsToClient returned %t", name, answers)
		}
	}
}
