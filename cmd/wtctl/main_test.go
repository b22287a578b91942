package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// fakeCore starts a server that stands in for a wtcore, with a fixed response for each method and path, and returns its
// address.
func fakeCore(t *testing.T, responses map[string]string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if _, err := io.WriteString(writer, responses[request.Method+" "+request.URL.Path]); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

const present = `{"zones":[{"name":"a","closed":false}],"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],"lanes":[{"name":"l","pool":"p","worth":1,"patience":"1s","purse":0.5,"repeatable":false}]}`

// Each outcome of a command sets the exit code that scripts branch on, and prints the output or an error.
func TestRunReturnsTheExitCodeOfTheOutcome(t *testing.T) {
	address := fakeCore(t, map[string]string{
		"GET /v1/spec":            `{"outcome":"found","epoch":4,"spec":` + present + `}`,
		"PUT /v1/spec":            `{"outcome":"refused","epoch":4,"kind":"invalid_spec","detail":"1 faults","remedy":"mend it","flaws":[{"path":"lanes[0].purse","detail":"wants more"}]}`,
		"PATCH /v1/spec":          `{"outcome":"accepted","epoch":9}`,
		"POST /v1/zones/a/close":  `{"outcome":"accepted","epoch":5,"operation":"x"}`,
		"POST /v1/zones/a/open":   `{"outcome":"unknown","kind":"outcome_unknown","detail":"no answer","remedy":"ask"}`,
		"GET /v1/operations/late": `{"outcome":"pending","epoch":6}`,
	})
	for name, test := range map[string]struct {
		arguments []string
		input     string
		code      exitCode
		output    string
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
		t.Run(name, func(t *testing.T) {
			var output, errors bytes.Buffer
			arguments := append([]string{"--core", address}, test.arguments...)
			code := run(arguments, strings.NewReader(test.input), &output, &errors)
			if code != test.code || !strings.Contains(output.String(), test.output) {
				t.Errorf("code %d, output %s, errors %s", code, output.String(), errors.String())
			}
			if code != exitFine && test.output == "" && errors.Len() == 0 {
				t.Error("a failed command prints neither output nor an error")
			}
		})
	}
}

func TestRunWithoutAnyCore(t *testing.T) {
	var output, errors bytes.Buffer
	code := run([]string{"--core", "127.0.0.1:1", "get"}, strings.NewReader(""), &output, &errors)
	if code != exitUnreachable || !strings.Contains(errors.String(), "remedy") {
		t.Errorf("code %d, errors %s", code, errors.String())
	}
}

func TestOutputThatCannotBeWrittenIsAnError(t *testing.T) {
	address := fakeCore(t, map[string]string{"POST /v1/zones/a/close": `{"outcome":"accepted","epoch":5}`})
	var errors bytes.Buffer
	arguments := []string{"--core", address, "close", "a"}
	code := run(arguments, strings.NewReader(""), &limitedWriter{writes: 1}, &errors)
	if code != exitRefused || !strings.Contains(errors.String(), errFull.Error()) {
		t.Errorf("code %d, errors %s", code, errors.String())
	}
}

// A command that needs the present spec and can't read it reports that. It must not print an empty spec, compare with
// one, or send a change with base epoch 0.
func TestCommandsThatCannotReadThePresentSpec(t *testing.T) {
	for outcome, want := range map[string]struct {
		reply  string
		code   exitCode
		output string
	}{
		"refused": {`{"outcome":"refused","kind":"no_majority","detail":"no head","remedy":"wait"}`, exitRefused, "no_majority"},
		"unknown": {`{"outcome":"unknown","kind":"outcome_unknown","detail":"no answer in time"}`, exitUnreachable, ""},
	} {
		address := fakeCore(t, map[string]string{
			"GET /v1/spec":   want.reply,
			"PUT /v1/spec":   `{"outcome":"accepted","epoch":1}`,
			"PATCH /v1/spec": `{"outcome":"accepted","epoch":1}`,
		})
		for _, arguments := range [][]string{{"get"}, {"diff", "-"}, {"apply", "-"}, {"change", "-"}} {
			var output, errors bytes.Buffer
			code := run(append([]string{"--core", address}, arguments...), strings.NewReader(present), &output, &errors)
			if code != want.code || !strings.Contains(output.String(), want.output) {
				t.Errorf("%s, %s: code %d, output %q, errors %q", arguments[0], outcome, code, output.String(), errors.String())
			}
			if want.output == "" && (output.Len() > 0 || !strings.Contains(errors.String(), "no answer in time")) {
				t.Errorf("%s, %s: output %q, errors %q", arguments[0], outcome, output.String(), errors.String())
			}
		}
	}
}

// An outcome that this version does not know, as from a newer control plane, or a missing one must not be taken for
// success.
func TestExitOfAnOutcomeThatIsNotKnown(t *testing.T) {
	for _, reply := range []string{`{"outcome":"postponed"}`, `{}`} {
		address := fakeCore(t, map[string]string{"POST /v1/zones/a/close": reply})
		var output, errors bytes.Buffer
		code := run([]string{"--core", address, "close", "a"}, strings.NewReader(""), &output, &errors)
		if code != exitUnknown {
			t.Errorf("%s: code %d", reply, code)
		}
	}
}
