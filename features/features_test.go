package features

import (
	"strings"
	"testing"

	"wardtray/apierror"
)

func TestParse(t *testing.T) {
	set, err := Parse("reports,homes,")
	if err != nil || !set[LoadReports] || !set[Homes] || len(set) != 2 {
		t.Fatal(set, err)
	}
	if set, err := Parse(""); err != nil || len(set) != 0 {
		t.Fatal(set, err)
	}
	_, err = Parse("reports,nothing")
	if !apierror.Is(err, apierror.InvalidSettings) || !strings.Contains(err.Error(), `"nothing"`) {
		t.Fatal(err)
	}
}

func TestAllListsEachFeatureOnce(t *testing.T) {
	seen := map[Feature]bool{}
	for _, name := range All {
		if seen[name] {
			t.Errorf("%s is listed twice", name)
		}
		seen[name] = true
	}
}
