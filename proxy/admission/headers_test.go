package admission

import "testing"

func TestCredential(t *testing.T) {
	for value, want := range map[string]string{
		"Bearer key":   "key",
		"bearer  key ": "key",
		"Bearer a b":   "a b",
		"Bearer ":      "",
		"Bearer":       "",
		"Basic key":    "",
		"":             "",
	} {
		secret, found := Credential(value, schemeBearer)
		if found != (want != "") || found && secret != want {
			t.Errorf("%q: secret %q, found %v, want %q", value, secret, found, want)
		}
	}
}
