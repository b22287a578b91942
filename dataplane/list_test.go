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
			t.Errorf("%s: %v, %v", content, runners, err)
		}
	}
	for _, content := range []string{"", "[", "{}", "[1]"} {
		if runners, err := parseList([]byte(content)); err == nil {
			t.Errorf("%q: %v", content, runners)
		}
	}
	if _, err := parseList([]byte("[]")); !errors.Is(err, errEmptyList) {
		t.Errorf("an empty list: %v", err)
	}
}
