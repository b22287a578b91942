package main

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// standIn answers as a wtcore does, by a table of paths.
func standIn(t *testing.T, answers map[string]string) string {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		fmt.Fprint(writer, answers[request.Method+" "+request.URL.Path])
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

const present = `{"zones":[{"name":"a","closed":false}],"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],"lanes":[{"name":"l","pool":"p","worth":1,"patience":"1s","purse":0.5,"repeatable":false}]}`

func TestExitCodes(t *testing.T) {
	address := standIn(t, map[string]string{
		"GET /v1/spec":            `{"outcome":"found","epoch":4,"spec":` + present + `}`,
		"PUT /v1/spec":            `{"outcome":"refused","epoch":4,"kind":"invalid_spec","detail":"1 faults","remedy":"mend it","flaws":[{"path":"lanes[0].purse","detail":"wants more"}]}`,
		"PATCH /v1/spec":          `{"outcome":"accepted","epoch":9}`,
		"POST /v1/zones/a/close":  `{"outcome":"accepted","epoch":5,"operation":"x"}`,
		"POST /v1/zones/a/open":   `{"outcome":"unknown","kind":"outcome_unknown","detail":"no answer","remedy":"ask"}`,
		"GET /v1/operations/late": `{"outcome":"pending","epoch":6}`,
	})
	for name, step := range map[string]struct {
		arguments []string
		input     string
		code      int
		says      string
	}{
		"get":            {[]string{"get"}, "", exitFine, `"patience": "1s"`},
		"refused":        {[]string{"apply", "-"}, present, exitRefused, "lanes[0].purse: wants more"},
		"changed":        {[]string{"change", "-", "--epoch", "9"}, `{"remove":{"lanes":["l"]}}`, exitFine, "accepted, epoch 9"},
		"wrong epoch":    {[]string{"change", "-", "--epoch", "x"}, "{}", exitUsage, ""},
		"same":           {[]string{"diff", "-"}, present, exitFine, "against epoch 4"},
		"differs":        {[]string{"diff", "-"}, strings.Replace(present, `"worth":1`, `"worth":2`, 1), exitRefused, "+ lane l"},
		"accepted":       {[]string{"close", "a"}, "", exitFine, "accepted, epoch 5"},
		"json":           {[]string{"--json", "close", "a"}, "", exitFine, `"outcome": "accepted"`},
		"unknown":        {[]string{"open", "a"}, "", exitUnknown, "outcome_unknown"},
		"pending":        {[]string{"operation", "late"}, "", exitUnknown, "pending"},
		"no such file":   {[]string{"apply", "/nowhere/spec.json"}, "", exitUsage, ""},
		"wrong base":     {[]string{"apply", "-", "--base", "x"}, present, exitUsage, ""},
		"broken spec":    {[]string{"diff", "-"}, "{", exitRefused, ""},
		"no command":     {nil, "", exitUsage, "usage:"},
		"unknown flag":   {[]string{"--nope"}, "", exitUsage, ""},
		"missing":        {[]string{"close"}, "", exitUsage, ""},
		"help":           {[]string{"--help"}, "", exitFine, "Exit codes"},
		"help of a part": {[]string{"apply", "--help"}, "", exitFine, "--base"},
	} {
		var output, errors bytes.Buffer
		code := run(append([]string{"--core", address}, step.arguments...), strings.NewReader(step.input), &output, &errors)
		if code != step.code || !strings.Contains(output.String(), step.says) {
			t.Errorf("%s: code %d, output %s, errors %s", name, code, output.String(), errors.String())
		}
		if code != exitFine && step.says == "" && errors.Len() == 0 {
			t.Errorf("%s: nothing said", name)
		}
	}
	var output, errors bytes.Buffer
	if code := run([]string{"--core", "127.0.0.1:1", "get"}, strings.NewReader(""), &output, &errors); code != exitUnreachable || !strings.Contains(errors.String(), "remedy") {
		t.Errorf("nobody there: %d %s", code, errors.String())
	}
}
