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

func parse(t *testing.T, needs Needs, arguments ...string) (*Settings, error) {
	t.Helper()
	return Parse("x", "x", needs, arguments, func(int) { t.Fatal("the parser wanted to end the process") })
}

var proper = []string{"--address", "127.0.0.1:1", "--http", "127.0.0.1:2", "--zone", "a", "--seed", "127.0.0.1:1", "--seed", "127.0.0.2:1"}

func TestEveryFlawIsNamedAtOnce(t *testing.T) {
	_, err := parse(t, Needs{Platform: true}, "--address", "here", "--http", "127.0.0.1:0", "--seed", "x", "--seed", "x", "--platform", "ftp://y", "--drain", "soon", "--log", "loud")
	if !apierror.Is(err, apierror.BadSettings) {
		t.Fatal(err)
	}
	for _, flaw := range []string{"address:", "http:", "zone:", "seeds[0]:", "seeds[1]:", "twice", "platform:", "drain:", "log:", "remedy"} {
		if !strings.Contains(err.Error(), flaw) {
			t.Errorf("%q is not named in %v", flaw, err)
		}
	}
}

func TestFlagsGoOverTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "startup.json")
	text := `{"address":"127.0.0.9:9","http":"127.0.0.1:2","zone":"b","seeds":["127.0.0.1:1"],"platform":"http://127.0.0.1:3/x","drain":"5s"}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	read, err := parse(t, Needs{Platform: true}, "--startup", path, "--address", "127.0.0.1:1")
	if err != nil || read.Address != "127.0.0.1:1" || read.Zone != "b" || read.DrainTime() != 5*time.Second || read.Founders[0] != "127.0.0.1:1" {
		t.Fatalf("%+v %v", read, err)
	}
	for name, bad := range map[string]string{"unknown": `{"adress":"x"}`, "twice": `{"zone":"a","zone":"b"}`, "type": `{"seeds":"x"}`, "cut": `{"zone":`} {
		if err := os.WriteFile(path, []byte(bad), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := parse(t, Needs{Platform: true}, append([]string{"--startup", path}, proper...)...); !apierror.Is(err, apierror.BadSettings) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestEachProgramHasItsOwnNeeds(t *testing.T) {
	if _, err := parse(t, Needs{Folder: true}, proper...); !apierror.Is(err, apierror.BadSettings) {
		t.Error("wtcore without a folder")
	}
	if _, err := parse(t, Needs{Folder: true}, append([]string{"--folder", t.TempDir()}, proper...)...); err != nil {
		t.Error(err)
	}
	if _, err := parse(t, Needs{Platform: true}, append([]string{"--folder", "x"}, proper...)...); !apierror.Is(err, apierror.BadSettings) {
		t.Error("wtdata with a folder")
	}
	if _, err := parse(t, Needs{Platform: true}, append([]string{"--platform", "http://127.0.0.1:3/x"}, proper...)...); err != nil {
		t.Error(err)
	}
}

func TestLengthsOfTime(t *testing.T) {
	usual := &Settings{}
	lengths := func(settings *Settings) []time.Duration {
		return []time.Duration{settings.ContactTime(), settings.AcknowledgeTime(), settings.CatchUpTime(), settings.GraceTime(), settings.WithoutCoreTime()}
	}
	if want := []time.Duration{3 * time.Second, 4 * time.Second, 4 * time.Second, 8 * time.Second, 5 * time.Minute}; !slices.Equal(lengths(usual), want) {
		t.Errorf("%v instead of %v by default", lengths(usual), want)
	}
	path := filepath.Join(t.TempDir(), "startup.json")
	text := `{"contact":"1s","acknowledge":"2s","catch_up":"3s","grace":"4s","without_core":"0s"}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	core, err := parse(t, Needs{Folder: true}, append([]string{"--startup", path, "--folder", t.TempDir(), "--catch-up", "5s"}, proper...)...)
	if err != nil {
		t.Fatal(err)
	}
	if want := []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 4 * time.Second, 0}; !slices.Equal(lengths(core), want) {
		t.Errorf("%v instead of %v", lengths(core), want)
	}
	if _, err := parse(t, Needs{Platform: true}, append([]string{"--platform", "http://127.0.0.1:3/x", "--without-core", "0s"}, proper...)...); err != nil {
		t.Error(err)
	}
	text = `{"contact":"0s","acknowledge":"-1s","catch_up":"soon","grace":"2h","without_core":"-1s"}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err = parse(t, Needs{Folder: true}, append([]string{"--startup", path, "--folder", t.TempDir()}, proper...)...)
	for _, flaw := range []string{"contact:", "acknowledge:", "catch_up:", "grace:", "without_core:"} {
		if err == nil || !strings.Contains(err.Error(), flaw) {
			t.Errorf("%q is not named in %v", flaw, err)
		}
	}
}
