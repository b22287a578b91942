package registry

import (
	"strings"
	"testing"

	"wardtray/apierror"
)

// A malformed call must be rejected with an error that names every invalid field; a duplicate or unknown key must not
// be ignored.
func TestCallsAreParsedStrictly(t *testing.T) {
	good := `{"address":"10.0.0.1:80","zone":"a","service":"s","slots":4,"state":"ready","cold":"1.5s","call":3}`
	record, err := ParseCall("r", []byte(good))
	if err != nil || record.State != Cold || record.SlowStartMilliseconds != 1500 {
		t.Fatal(record, err)
	}
	allFaults := `{"address":"here","zone":"","service":"a/b","slots":0,"state":"gone","cold":"-1s","call":1}`
	for bad, named := range map[string]string{
		allFaults: "address: zone: service: slots: state: cold:",
		`{"address":"10.0.0.1:80","address":"10.0.0.1:80"}`: "address",
		`{"addr":"10.0.0.1:80"}`:                            "'addr'",
		`{"call":-1}`:                                       "call",
		`[]`:                                                "",
		good + good:                                         "after the end",
		strings.Repeat(" ", MaximumCallBytes) + good: "at most",
	} {
		_, err := ParseCall("r", []byte(bad))
		if err == nil || !apierror.Is(err, apierror.Malformed) && !apierror.Is(err, apierror.TooLarge) {
			t.Errorf("%s: %v", bad, err)
			continue
		}
		for _, word := range strings.Fields(named) {
			if !strings.Contains(err.Error(), word) {
				t.Errorf("%s: %q is missing in the error %v", bad, word, err)
			}
		}
	}
	if _, err := ParseCall("a b", []byte(good)); err == nil {
		t.Error("an id with a blank was accepted")
	}
}
