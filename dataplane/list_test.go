package dataplane

import (
	"errors"
	"testing"
)

func TestParseList(t *testing.T) {
	const runner = `{"runner_id":"r","address":"x","zone":"a","service":"s","state":"ready"}`
	for content, want := range map[string]int{
		"[" + runner + "]": 1,
		"[" + runner + `,{"runner_id":"r"},{"address":"x"}]`: 1,
		"[" + runner + "] and more":                          1,
		`[{"runner_id":""}]`:                                 0,
	} {
		runners, err := parseList([]byte(content))
		if err != nil || len(runners) != want {
			t.Errorf("%s: parsed as %v, error %v", content, runners, err)
		}
	}
	for _, content := range []string{"", "[", "{}", "[1]"} {
		if runners, err := parseList([]byte(content)); err == nil {
			t.Errorf("%q: parsed as %v without an error", content, runners)
		}
	}
	if _, err := parseList([]byte("[]")); !errors.Is(err, errEmptyList) {
		t.Errorf("empty list: error %v", err)
	}
}
