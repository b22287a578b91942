package admission

import (
	"strings"
	"testing"
	"time"

	"wardtray/apierror"
)

// validHeaders returns a new copy of the headers of a valid request.
func validHeaders() map[string][]string {
	return map[string][]string{
		HeaderRoute:        {"l"},
		HeaderModel:        {"m"},
		HeaderRequest:      {"r"},
		HeaderPromptTokens: {"100"},
		HeaderAnswerTokens: {"10"},
		HeaderPrefix:       {"system=40, rheolau=20", "more=40"},
	}
}

// parse parses a request with these headers and body.
func parse(headers map[string][]string, body string) (*Request, error) {
	return Parse(func(name string) []string { return headers[name] }, []byte(body))
}

func TestParseValidRequest(t *testing.T) {
	request, err := parse(validHeaders(), `{"prompt":"Shwmae, ŵyn a llŷn"}`)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Join(request.Parts, " ") != "system rheolau more" || request.PartTokens[1] != 20 {
		t.Fatalf("parsed parts %v with token counts %v", request.Parts, request.PartTokens)
	}
}

func TestParseWaitAndAfter(t *testing.T) {
	headers := validHeaders()
	if plain, err := parse(headers, `{"prompt":"x"}`); err != nil || plain.Timeout != 0 || plain.LastEventID != 0 {
		t.Fatal(plain, err)
	}
	headers[HeaderTimeout], headers[HeaderLastEventID] = []string{"1500"}, []string{"7"}
	request, err := parse(headers, `{"prompt":"x"}`)
	if err != nil || request.Timeout != 1500*time.Millisecond || request.LastEventID != 7 {
		t.Fatal(request, err)
	}
}

// Each request has one fault in its headers or its body, and must be rejected with the code for that fault.
func TestParseRejectsMalformed(t *testing.T) {
	changes := map[string]map[string][]string{
		"no route":             {HeaderRoute: nil},
		"route twice":          {HeaderRoute: {"a", "b"}},
		"bad bytes":            {HeaderModel: {"\xff"}},
		"control":              {HeaderRequest: {"a\x01"}},
		"delete":               {HeaderRequest: {"a\x7f"}},
		"long":                 {HeaderRequest: {strings.Repeat("x", 300)}},
		"no count":             {HeaderPromptTokens: nil},
		"zero":                 {HeaderAnswerTokens: {"0"}},
		"negative":             {HeaderPromptTokens: {"-5"}},
		"absurd":               {HeaderPromptTokens: {"99999999999999999999"}},
		"words":                {HeaderPromptTokens: {"many"}},
		"prefix too long":      {HeaderPrefix: {"a=101"}},
		"prefix without count": {HeaderPrefix: {"a"}},
		"prefix without name":  {HeaderPrefix: {"=5"}},
		"empty part":           {HeaderPrefix: {"a=1,,b=1"}},
		"wait of no length":    {HeaderTimeout: {"0"}},
		"wait in words":        {HeaderTimeout: {"long"}},
		"wait too long":        {HeaderTimeout: {"3600001"}},
		"after nothing":        {HeaderLastEventID: {"0"}},
		"after twice":          {HeaderLastEventID: {"1", "2"}},
		"many parts": {
			HeaderPrefix:       {strings.TrimSuffix(strings.Repeat("a=1,", MaximumParts+1), ",")},
			HeaderPromptTokens: {"4000"},
		},
	}
	for name, change := range changes {
		changed := validHeaders()
		for header, values := range change {
			changed[header] = values
		}
		if _, err := parse(changed, `{"prompt":"x"}`); !apierror.Is(err, apierror.Malformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for name, body := range map[string]string{
		"nothing":       "",
		"cut short":     `{"prompt":"x`,
		"no prompt":     `{}`,
		"empty":         `{"prompt":""}`,
		"wrong type":    `{"prompt":5}`,
		"unknown field": `{"prompt":"x","y":1}`,
		"twice":         `{"prompt":"x","prompt":"y"}`,
		"bad bytes":     "{\"prompt\":\"\xc3\x28\"}",
		"more":          `{"prompt":"x"} x`,
		"null":          `null`,
	} {
		if _, err := parse(validHeaders(), body); !apierror.Is(err, apierror.Malformed) {
			t.Errorf("body %s: %v", name, err)
		}
	}
	if _, err := parse(validHeaders(), `{"prompt":"`+strings.Repeat("x", MaximumBody)+`"}`); !apierror.Is(
		err,
		apierror.TooLarge,
	) {
		t.Errorf("body larger than the limit: %v", err)
	}
}

// For any headers and body, Parse must not panic, and an accepted prefix must fit into its prompt.
func FuzzParse(fuzz *testing.F) {
	fuzz.Add("l", "100", "system=40, more=20", []byte(`{"prompt":"x"}`))
	fuzz.Add("l", "-1", "=,=", []byte(`{"prompt":5}`))
	fuzz.Fuzz(func(t *testing.T, route, count, prefix string, body []byte) {
		headers := validHeaders()
		headers[HeaderRoute] = []string{route}
		headers[HeaderPromptTokens] = []string{count}
		headers[HeaderPrefix] = []string{prefix}
		request, err := Parse(func(name string) []string { return headers[name] }, body)
		if err != nil {
			return
		}
		total := 0
		for _, tokens := range request.PartTokens {
			total += tokens
		}
		if total > request.PromptTokens || len(request.Parts) != len(request.PartTokens) {
			t.Fatal("the prefix has more tokens than the prompt, or parts without a token count")
		}
	})
}
