package admission

import (
	"strings"
	"unicode/utf8"

	"wardtray/apierror"
)

// Headers of requests from clients and to runners.
const (
	HeaderRoute        = "Wardtray-Lane"
	HeaderModel        = "Wardtray-Model"
	HeaderAdapter      = "Wardtray-Adapter"
	HeaderRequest      = "Wardtray-Request"
	HeaderPromptTokens = "Wardtray-Prompt-Tokens"
	HeaderAnswerTokens = "Wardtray-Answer-Tokens"
	HeaderPrefix       = "Prompt-Prefix"
	HeaderRunner       = "Wardtray-Runner"
	HeaderEpoch        = "Wardtray-Epoch"
	HeaderDaemon       = "Wardtray-Daemon"
	HeaderTimeout      = "Wardtray-Wait"
	HeaderLastEventID  = "Wardtray-After"
	HeaderTenant       = "Wardtray-Tenant"
	// HeaderAttempt is the number of the client attempt, 1 for the first. HeaderTerm is the newest term that the client
	// knew from responses when it made the first attempt.
	HeaderAttempt = "Wardtray-Attempt"
	HeaderTerm    = "Wardtray-Term"
	// HeaderAuthorization carries a tenant's key, as in "Bearer KEY".
	HeaderAuthorization = "Authorization"
)

// schemeBearer is the authorization scheme of a tenant's key.
const schemeBearer = "Bearer"

const (
	// firstPrintable is the first ASCII character that is not a control character; deleteCharacter is the only control
	// character above it.
	firstPrintable  = ' '
	deleteCharacter = 0x7f
)

// Credential returns the secret of an Authorization header value. found is false if the scheme differs or the secret is
// empty.
func Credential(value, scheme string) (secret string, found bool) {
	actualScheme, secret, found := strings.Cut(value, " ")
	secret = strings.TrimSpace(secret)
	return secret, found && strings.EqualFold(actualScheme, scheme) && secret != ""
}

// Header returns the values of the header with the given name, one for each header line.
type Header func(name string) []string

// single returns the value of a header that may occur once. It returns an apierror.Malformed if the header occurs more
// often, is required and missing, or has an invalid value.
func (header Header) single(name string, required bool) (string, error) {
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
	if !isValidName(values[0]) {
		return "", apierror.New(apierror.Malformed, "%s: wants 1 to %d bytes of UTF-8 without control characters",
			name, MaximumName)
	}
	return values[0], nil
}

// isValidName reports whether a value is UTF-8 without control characters and not longer than MaximumName.
func isValidName(value string) bool {
	return len(value) <= MaximumName && utf8.ValidString(value) && !strings.ContainsFunc(value, isControl)
}

func isControl(character rune) bool {
	return character < firstPrintable || character == deleteCharacter
}
