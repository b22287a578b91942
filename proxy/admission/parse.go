// Package admission reads a request of the product's own interface and checks it completely, before anything else
// happens to it. Every error it returns is an apierror of kind Malformed or TooLarge and names the header or the part
// of the body that is wrong; the first one found is returned.
package admission

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"wardtray/apierror"
)

// nameHeader is a header whose value is a text that goes into a request.
type nameHeader struct {
	name     string
	target   *string
	required bool
}

// countHeader is a header whose value is a number from 1 to maximum.
type countHeader struct {
	name     string
	target   *int
	maximum  int
	required bool
}

// Parse checks the headers and the body of a request and returns it, or the first error found.
func Parse(header Header, body []byte) (*Request, error) {
	request := &Request{TokensGiven: true}
	if err := request.parseNames(header); err != nil {
		return nil, err
	}
	if err := request.parseCounts(header); err != nil {
		return nil, err
	}
	authorization, err := header.single(HeaderAuthorization, false)
	if err != nil {
		return nil, err
	}
	if secret, found := Credential(authorization, schemeBearer); found {
		request.Secret = secret
	}
	if err := request.parsePrefix(header(HeaderPrefix)); err != nil {
		return nil, err
	}
	if err := checkBody(body); err != nil {
		return nil, err
	}
	request.Body = body
	return request, nil
}

// parseNames reads the headers that name something.
func (request *Request) parseNames(header Header) error {
	for _, wanted := range []nameHeader{
		{HeaderRoute, &request.Route, true},
		{HeaderModel, &request.Model, true},
		{HeaderAdapter, &request.Adapter, false},
		{HeaderRequest, &request.ID, true},
	} {
		value, err := header.single(wanted.name, wanted.required)
		if err != nil {
			return err
		}
		*wanted.target = value
	}
	return nil
}

// parseCounts reads the headers that hold a number.
func (request *Request) parseCounts(header Header) error {
	waitMilliseconds, term := 0, 0
	for _, wanted := range []countHeader{
		{HeaderPrompt, &request.PromptTokens, MaximumTokens, true},
		{HeaderAnswer, &request.AnswerTokens, MaximumTokens, true},
		{HeaderWait, &waitMilliseconds, MaximumTimeoutMilliseconds, false},
		{HeaderAfter, &request.LastEventID, MaximumTokens, false},
		{HeaderAttempt, &request.Attempt, MaximumAttempt, false},
		{HeaderTerm, &term, MaximumTerm, false},
	} {
		if err := wanted.parse(header); err != nil {
			return err
		}
	}
	request.Timeout = time.Duration(waitMilliseconds) * time.Millisecond
	request.Term = uint64(term)
	return nil
}

// parse stores the number, and leaves the target as it is where an optional header is missing.
func (wanted countHeader) parse(header Header) error {
	value, err := header.single(wanted.name, wanted.required)
	if err != nil || value == "" {
		return err
	}
	number, err := strconv.Atoi(value)
	if err != nil || number < 1 || number > wanted.maximum {
		return apierror.New(apierror.Malformed, "%s: %q is no count from 1 to %d", wanted.name, clip(value), wanted.maximum)
	}
	*wanted.target = number
	return nil
}

// parsePrefix reads the parts of the prompt's prefix: "name=tokens" pairs separated by commas, in order, over one
// header or several. Together they can't be longer than the prompt.
func (request *Request) parsePrefix(values []string) error {
	total := 0
	for _, value := range values {
		for _, pair := range strings.Split(value, ",") {
			name, tokens, err := parsePart(strings.TrimSpace(pair))
			if err != nil {
				return err
			}
			if len(request.Parts) >= MaximumParts {
				return apierror.New(apierror.Malformed, "%s: more than %d parts", HeaderPrefix, MaximumParts)
			}
			total += tokens
			request.Parts = append(request.Parts, name)
			request.PartTokens = append(request.PartTokens, tokens)
		}
	}
	if total > request.PromptTokens {
		return apierror.New(apierror.Malformed, "%s: its parts have %d tokens, the prompt only %d",
			HeaderPrefix, total, request.PromptTokens)
	}
	return nil
}

// parsePart reads one "name=tokens" pair.
func parsePart(pair string) (name string, tokens int, err error) {
	name, count, found := strings.Cut(pair, "=")
	tokens, err = strconv.Atoi(count)
	validName := name != "" && len(name) <= MaximumPart && utf8.ValidString(name)
	if !found || err != nil || !validName || tokens < 1 || tokens > MaximumTokens {
		return "", 0, apierror.New(apierror.Malformed, "%s: %q is no name=tokens", HeaderPrefix, clip(pair))
	}
	return name, tokens, nil
}

// clippedLength bounds what an error repeats of an invalid value, in characters.
const clippedLength = 64

// clip shortens a value for an error and replaces bytes that are not UTF-8.
func clip(text string) string {
	if len(text) > clippedLength {
		return fmt.Sprintf("%.*s...", clippedLength, strings.ToValidUTF8(text, "?"))
	}
	return strings.ToValidUTF8(text, "?")
}
