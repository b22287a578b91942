// Package admission parses and validates requests of wardtray's native interface before any other processing. Its
// errors are apierrors with the code Malformed or TooLarge and name the invalid header or part of the body; only the
// first error found is returned.
package admission

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"wardtray/apierror"
)

// nameHeader describes a header whose value is copied to target.
type nameHeader struct {
	name     string
	target   *string
	required bool
}

// countHeader describes a header whose value is a number from 1 to maximum; it is stored in target.
type countHeader struct {
	name     string
	target   *int
	maximum  int
	required bool
}

// Parse validates the headers and the body of a request. It returns the request, or the first error found.
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

// parseNames parses the headers that identify the route, the model, the adapter and the request.
func (request *Request) parseNames(header Header) error {
	for _, named := range []nameHeader{
		{HeaderRoute, &request.Route, true},
		{HeaderModel, &request.Model, true},
		{HeaderAdapter, &request.Adapter, false},
		{HeaderRequest, &request.ID, true},
	} {
		value, err := header.single(named.name, named.required)
		if err != nil {
			return err
		}
		*named.target = value
	}
	return nil
}

// parseCounts parses the headers whose values are numbers.
func (request *Request) parseCounts(header Header) error {
	waitMilliseconds, term := 0, 0
	for _, counted := range []countHeader{
		{HeaderPromptTokens, &request.PromptTokens, MaximumTokens, true},
		{HeaderAnswerTokens, &request.AnswerTokens, MaximumTokens, true},
		{HeaderTimeout, &waitMilliseconds, MaximumTimeoutMilliseconds, false},
		{HeaderLastEventID, &request.LastEventID, MaximumTokens, false},
		{HeaderAttempt, &request.Attempt, MaximumAttempt, false},
		{HeaderTerm, &term, MaximumTerm, false},
	} {
		if err := counted.parse(header); err != nil {
			return err
		}
	}
	request.Timeout = time.Duration(waitMilliseconds) * time.Millisecond
	request.Term = uint64(term)
	return nil
}

// parse stores the number in the target. If an optional header is missing, the target keeps its value.
func (counted countHeader) parse(header Header) error {
	value, err := header.single(counted.name, counted.required)
	if err != nil || value == "" {
		return err
	}
	number, err := strconv.Atoi(value)
	if err != nil || number < 1 || number > counted.maximum {
		return apierror.New(apierror.Malformed, "%s: %q is no count from 1 to %d",
			counted.name, clip(value), counted.maximum)
	}
	*counted.target = number
	return nil
}

// parsePrefix parses the parts of the prompt's prefix: comma-separated "name=tokens" pairs, in order, in one or several
// header lines. Together they can't have more tokens than the prompt.
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

// parsePart parses one "name=tokens" pair.
func parsePart(pair string) (name string, tokens int, err error) {
	name, count, found := strings.Cut(pair, "=")
	tokens, err = strconv.Atoi(count)
	validName := name != "" && len(name) <= MaximumPartName && utf8.ValidString(name)
	if !found || err != nil || !validName || tokens < 1 || tokens > MaximumTokens {
		return "", 0, apierror.New(apierror.Malformed, "%s: %q is no name=tokens", HeaderPrefix, clip(pair))
	}
	return name, tokens, nil
}

// clippedLength is the maximum length of an invalid value quoted in an error, in characters.
const clippedLength = 64

// clip shortens a value for an error message and replaces invalid UTF-8 with question marks.
func clip(text string) string {
	if len(text) > clippedLength {
		return fmt.Sprintf("%.*s...", clippedLength, strings.ToValidUTF8(text, "?"))
	}
	return strings.ToValidUTF8(text, "?")
}
