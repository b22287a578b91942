package main

import (
	"strings"
	"testing"
)

// The keys of an explanation are those that daemons of any version write, whatever the Go fields are called.
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
			t.Errorf("%q is missing in:\n%s", part, output.String())
		}
	}
}
