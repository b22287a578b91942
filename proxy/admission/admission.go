// Package intake reads a request whole and checks it before anything else happens to it.
package admission

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/mailru/easyjson"

	"wardtray/apierror"
	"wardtray/strictjson"
	"wardtray/transport/netio"
)

//go:generate go tool easyjson -disallow_unknown_fields -output_filename admission_easyjson.go admission.go

// Limits of a request; docs/interface.md tells them to callers.
const (
	MaximumBody   = 2 << 20
	MaximumParts  = 512
	MaximumPart   = 128
	MaximumTokens = 4_000_000
	MaximumName   = 256
	// MaximumWait bounds how long a client may say that it waits, in milliseconds.
	MaximumWait = 3_600_000
)

// Names of the headers.
const (
	HeaderRoute   = "Wardtray-Lane"
	HeaderModel   = "Wardtray-Model"
	HeaderAdapter = "Wardtray-Adapter"
	HeaderRequest = "Wardtray-Request"
	HeaderPrompt  = "Wardtray-Prompt-Tokens"
	HeaderAnswer  = "Wardtray-Answer-Tokens"
	HeaderPrefix  = "Prompt-Prefix"
	HeaderRunner  = "Wardtray-Runner"
	HeaderEpoch   = "Wardtray-Epoch"
	HeaderDaemon  = "Wardtray-Daemon"
	HeaderWait    = "Wardtray-Wait"
	HeaderAfter   = "Wardtray-After"
	HeaderTenant  = "Wardtray-Tenant"
	// HeaderAuthorization carries a tenant's key, as in "Bearer KEY".
	HeaderAuthorization = "Authorization"
)

const schemeBearer = "Bearer"

// Credential gives the secret of an Authorization header of a scheme; found is false where it has another form.
func Credential(value, scheme string) (secret string, found bool) {
	named, secret, found := strings.Cut(value, " ")
	secret = strings.TrimSpace(secret)
	return secret, found && strings.EqualFold(named, scheme) && secret != ""
}

// Body is the JSON body of a request.
//
//easyjson:json
type Body struct {
	Prompt string `json:"prompt"`
}

// Request is a checked request.
type Request struct {
	ID, Route, Model, Adapter  string
	PromptTokens, AnswerTokens int
	Parts                      []string
	PartTokens                 []int
	Body                       []byte
	// Authority and Target choose the route where Route is empty; Target is the path with its query, as sent.
	Authority, Target string
	Method            string
	// Passed are the headers that go on to the runner as they came.
	Passed []netio.Header
	// Wait is how long the client waits for the whole answer; 0: not told.
	Wait time.Duration
	// After is the id of the last event that the client has of this stream already; 0: none.
	After int
	// Key is the secret by which a tenant is known; empty: none came. TokensTold says that the request itself told how many
	// tokens it has.
	Key        string
	TokensTold bool
	// Fresh says that the id stands for this try alone, so that nothing needs to be remembered of it.
	Fresh bool
}

// Header gives one header's value; found more than once, it gives all.
type Header func(name string) []string

// Parse checks headers and body and gives the first fault found.
func Parse(header Header, body []byte) (*Request, error) {
	request := &Request{}
	for _, text := range []struct {
		name     string
		to       *string
		required bool
	}{
		{HeaderRoute, &request.Route, true}, {HeaderModel, &request.Model, true},
		{HeaderAdapter, &request.Adapter, false}, {HeaderRequest, &request.ID, true},
	} {
		value, err := one(header, text.name, text.required)
		if err != nil {
			return nil, err
		}
		*text.to = value
	}
	var wait int
	for _, count := range []struct {
		name     string
		to       *int
		most     int
		required bool
	}{{HeaderPrompt, &request.PromptTokens, MaximumTokens, true}, {HeaderAnswer, &request.AnswerTokens, MaximumTokens, true},
		{HeaderWait, &wait, MaximumWait, false}, {HeaderAfter, &request.After, MaximumTokens, false}} {
		value, err := one(header, count.name, count.required)
		if err != nil {
			return nil, err
		}
		if value == "" {
			continue
		}
		number, err := strconv.Atoi(value)
		if err != nil || number < 1 || number > count.most {
			return nil, apierror.New(apierror.Malformed, "%s: %q is no count from 1 to %d", count.name, clip(value), count.most)
		}
		*count.to = number
	}
	request.TokensTold = true
	key, err := one(header, HeaderAuthorization, false)
	if err != nil {
		return nil, err
	}
	if secret, found := Credential(key, schemeBearer); found {
		request.Key = secret
	}
	request.Wait = time.Duration(wait) * time.Millisecond
	if err := request.prefix(header(HeaderPrefix)); err != nil {
		return nil, err
	}
	if len(body) > MaximumBody {
		return nil, apierror.New(apierror.TooLarge, "a body of %d bytes; at most %d", len(body), MaximumBody)
	}
	if err := strictjson.Check(body); err != nil {
		return nil, err
	}
	parsed := &Body{}
	if err := easyjson.Unmarshal(body, parsed); err != nil {
		return nil, apierror.New(apierror.Malformed, "body: %v", err)
	}
	if parsed.Prompt == "" {
		return nil, apierror.New(apierror.Malformed, "body: prompt is missing or empty")
	}
	request.Body = body
	return request, nil
}

func one(header Header, name string, required bool) (string, error) {
	values := header(name)
	if len(values) > 1 {
		return "", apierror.New(apierror.Malformed, "%s: given %d times", name, len(values))
	}
	if len(values) == 0 || values[0] == "" {
		if required {
			return "", apierror.New(apierror.Malformed, "%s: missing", name)
		}
		return "", nil
	}
	if len(values[0]) > MaximumName || !utf8.ValidString(values[0]) || strings.ContainsFunc(values[0], func(letter rune) bool { return letter < ' ' || letter == 0x7f }) {
		return "", apierror.New(apierror.Malformed, "%s: wants 1 to %d bytes of UTF-8 without control characters", name, MaximumName)
	}
	return values[0], nil
}

// prefix reads the parts: "name=tokens" pairs, split by commas, in order, over one header or several.
func (request *Request) prefix(values []string) error {
	total := 0
	for _, value := range values {
		for _, pair := range strings.Split(value, ",") {
			pair = strings.TrimSpace(pair)
			name, count, found := strings.Cut(pair, "=")
			tokens, err := strconv.Atoi(count)
			if !found || err != nil || name == "" || len(name) > MaximumPart || !utf8.ValidString(name) || tokens < 1 || tokens > MaximumTokens {
				return apierror.New(apierror.Malformed, "%s: %q is no name=tokens", HeaderPrefix, clip(pair))
			}
			if len(request.Parts) >= MaximumParts {
				return apierror.New(apierror.Malformed, "%s: more than %d parts", HeaderPrefix, MaximumParts)
			}
			total += tokens
			request.Parts, request.PartTokens = append(request.Parts, name), append(request.PartTokens, tokens)
		}
	}
	if total > request.PromptTokens {
		return apierror.New(apierror.Malformed, "%s: its parts have %d tokens, the prompt only %d", HeaderPrefix, total, request.PromptTokens)
	}
	return nil
}

func clip(text string) string {
	if len(text) > 64 {
		return fmt.Sprintf("%.64s...", strings.ToValidUTF8(text, "?"))
	}
	return strings.ToValidUTF8(text, "?")
}
