package process

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"wardtray/apierror"
)

func parse(t *testing.T, needs Requirements, arguments ...string) (*Settings, error) {
	t.Helper()
	return Parse("x", "x", needs, arguments, func(int) { t.Fatal("the parser tried to end the process") })
}

// valid are the flags that every program requires, with valid values.
var valid = []string{"--address", "127.0.0.1:1", "--http", "127.0.0.1:2", "--zone", "a",
	"--seed", "127.0.0.1:1", "--seed", "127.0.0.2:1"}

// withValid returns arguments followed by the flags that every program requires.
func withValid(arguments ...string) []string { return append(arguments, valid...) }

func writeFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestEveryProblemIsNamedAtOnce(t *testing.T) {
	_, err := parse(t, Requirements{Platform: true}, "--address", "here", "--http", "127.0.0.1:0",
		"--seed", "x", "--seed", "x", "--platform", "ftp://y", "--drain", "soon", "--log", "loud")
	if !apierror.Is(err, apierror.InvalidSettings) {
		t.Fatal(err)
	}
	for _, problem := range []string{"address:", "http:", "zone:", "seeds[0]:", "seeds[1]:", "twice",
		"platform:", "drain:", "log:", "remedy"} {
		if !strings.Contains(err.Error(), problem) {
			t.Errorf("%q is not named in %v", problem, err)
		}
	}
}

func TestFlagsOverrideTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "startup.json")
	writeFile(t, path, `{"address":"127.0.0.9:9","http":"127.0.0.1:2","zone":"b","seeds":["127.0.0.1:1"],
"platform":"http://127.0.0.1:3/x","drain":"5s"}`)
	read, err := parse(t, Requirements{Platform: true}, "--startup", path, "--address", "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if read.Address != "127.0.0.1:1" || read.Zone != "b" || read.DrainTime() != 5*time.Second ||
		read.Founders[0] != "127.0.0.1:1" {
		t.Fatalf("%+v", read)
	}
}

func TestInvalidFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "startup.json")
	for name, content := range map[string]string{"unknown key": `{"addresses":"x"}`, "repeated key": `{"zone":"a","zone":"b"}`,
		"wrong type": `{"seeds":"x"}`, "cut short": `{"zone":`} {
		writeFile(t, path, content)
		_, err := parse(t, Requirements{Platform: true}, withValid("--startup", path)...)
		if !apierror.Is(err, apierror.InvalidSettings) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestEachProgramHasItsOwnNeeds(t *testing.T) {
	if _, err := parse(t, Requirements{Folder: true}, valid...); !apierror.Is(err, apierror.InvalidSettings) {
		t.Error("wtcore accepts settings without a folder")
	}
	if _, err := parse(t, Requirements{Folder: true}, withValid("--folder", t.TempDir())...); err != nil {
		t.Error(err)
	}
	_, err := parse(t, Requirements{Platform: true}, withValid("--folder", "x")...)
	if !apierror.Is(err, apierror.InvalidSettings) {
		t.Error("wtdata accepts settings with a folder")
	}
	if _, err := parse(t, Requirements{Platform: true}, withValid("--platform", "http://127.0.0.1:3/x")...); err != nil {
		t.Error(err)
	}
}

// durations returns the durations that two tests compare.
func durations(settings *Settings) []time.Duration {
	return []time.Duration{settings.ContactTime(), settings.AcknowledgeTime(), settings.CatchUpTime(),
		settings.GraceTime(), settings.WithoutCoreTime()}
}

func TestDefaultDurations(t *testing.T) {
	want := []time.Duration{3 * time.Second, 4 * time.Second, 4 * time.Second, 8 * time.Second, 5 * time.Minute}
	if got := durations(&Settings{}); !slices.Equal(got, want) {
		t.Errorf("default durations %v instead of %v", got, want)
	}
}

func TestDurations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "startup.json")
	writeFile(t, path, `{"contact":"1s","acknowledge":"2s","catch_up":"3s","grace":"4s","without_core":"0s"}`)
	arguments := withValid("--startup", path, "--folder", t.TempDir(), "--catch-up", "5s")
	core, err := parse(t, Requirements{Folder: true}, arguments...)
	if err != nil {
		t.Fatal(err)
	}
	want := []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 4 * time.Second, 0}
	if got := durations(core); !slices.Equal(got, want) {
		t.Errorf("%v instead of %v", got, want)
	}
	arguments = withValid("--platform", "http://127.0.0.1:3/x", "--without-core", "0s")
	if _, err := parse(t, Requirements{Platform: true}, arguments...); err != nil {
		t.Error(err)
	}
}

func TestInvalidDurations(t *testing.T) {
	path := filepath.Join(t.TempDir(), "startup.json")
	writeFile(t, path, `{"contact":"0s","acknowledge":"-1s","catch_up":"soon","grace":"2h","without_core":"-1s"}`)
	_, err := parse(t, Requirements{Folder: true}, withValid("--startup", path, "--folder", t.TempDir())...)
	for _, problem := range []string{"contact:", "acknowledge:", "catch_up:", "grace:", "without_core:"} {
		if err == nil || !strings.Contains(err.Error(), problem) {
			t.Errorf("%q is not named in %v", problem, err)
		}
	}
}
