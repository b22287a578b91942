package admission

import (
	"strings"
	"unicode/utf8"

	"wardtray/apierror"
)

// Headers of a request from a client, and of the one that is sent to a runner.
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
	// HeaderAttempt has the number of the sending, 1 for the first, and HeaderTerm the newest term that the client knew
	// when it sent the request for the first time, as responses state it.
	HeaderAttempt = "Wardtray-Attempt"
	HeaderTerm    = "Wardtray-Term"
	// HeaderAuthorization carries a tenant's key, as in "Bearer KEY".
	HeaderAuthorization = "Authorization"
)

// schemeBearer is the authorization scheme of a tenant's key.
const schemeBearer = "Bearer"

const (
	// firstPrintable is the first character of ASCII that is no control character, and deleteCharacter the last that
	// is one.
	firstPrintable  = ' '
	deleteCharacter = 0x7f
)

// Credential returns the secret of an Authorization header; found is false where its scheme is another or it has no
// secret.
func Credential(value, scheme string) (secret string, found bool) {
	actualScheme, secret, found := strings.Cut(value, " ")
	secret = strings.TrimSpace(secret)
	return secret, found && strings.EqualFold(actualScheme, scheme) && secret != ""
}

// Header returns the values of one header, one for each time that it was sent.
type Header func(name string) []string

// single returns the value of a header that may be sent once, and an apierror.Malformed where it was sent more often,
// is missing though required, or is not a valid name.
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

func isValidName(value string) bool {
	return len(value) <= MaximumName && utf8.ValidString(value) && !strings.ContainsFunc(value, isControl)
}

func isControl(character rune) bool {
	return character < firstPrintable || character == deleteCharacter
}
