package main

import (
	"bytes"
	"strings"
	"testing"
	"text/tabwriter"

	"wardtray/control/operator"
	"wardtray/coordination/quota"
	"wardtray/dataplane/daemon"
)

// Each tenant has a line for all daemons together and one for each that had to do with it.
func TestTenantsAreShownTogetherAndEach(t *testing.T) {
	fleet := operator.FleetStatus{Datas: []daemon.Status{
		{Address: "d1", Tenants: map[string]quota.Usage{"a": {Used: 10, Refused: 2, Balance: 5, Demand: 3}}},
		{Address: "d2", Tenants: map[string]quota.Usage{"a": {Used: 1}, "b": {Refused: 7}}},
	}}
	var output bytes.Buffer
	writer := tabwriter.NewWriter(&output, 0, 1, 1, ' ', 0)
	showTenants(writer, fleet)
	if err := writer.Flush(); err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, line := range strings.Split(strings.TrimSpace(output.String()), "\n")[1:] {
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	want := "a all 11 2 5 3|a d1 10 2 5 3|a d2 1 0 0 0|b all 0 7 0 0|b d2 0 7 0 0"
	if got := strings.Join(lines, "|"); got != want {
		t.Errorf("%s instead of %s", got, want)
	}
}

// The keys of an explanation are those that daemons of any version write, whatever the Go fields are called.
func TestExplanationIsReadByItsKeys(t *testing.T) {
	var output strings.Builder
	content := `{"step":{"Kind":"pass","Runner":{"ID":"r-1","Address":"127.0.0.1:9"},"Reason":"cheapest"},
		"prices":{"TokenSeconds":0.000002,"PlaceSeconds":3},"bid":{"Worth":4,"Patience":5000000000,"InPurse":true},
		"quotes":[{"Offer":{"ID":"r-1","Zone":"bangor","HeldTokens":7},"Net":1.5}]}`
	if err := explained(&output, []byte(content)); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"pass to r-1 at 127.0.0.1:9 (cheapest)", "2 microseconds a token, 3.00 s a place", "worth 4, patience 5s, within its purse true", "bangor", "+1.5000"} {
		if !strings.Contains(output.String(), part) {
			t.Errorf("%q is missing in:\n%s", part, output.String())
		}
	}
}
