package deploy_test

import (
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// packageName is the form of package names in Debian's policy, section 5.6.7.
var packageName = regexp.MustCompile(`^[a-z0-9][a-z0-9+.-]+$`)

// systemPackages returns the list of packages from system.toml.
func systemPackages(t *testing.T) []string {
	t.Helper()
	content, err := os.ReadFile("system.toml")
	if err != nil {
		t.Fatal(err)
	}
	var system struct {
		Packages []string `toml:"packages"`
	}
	if err := toml.Unmarshal(content, &system); err != nil {
		t.Fatal(err)
	}
	return system.Packages
}

// ciScript returns a script of the folder .ci without its comments.
func ciScript(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile("../.ci/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return regexp.MustCompile(`(?m)^\s*#.*$`).ReplaceAllString(string(content), "")
}

func TestPackagesAreWellFormed(t *testing.T) {
	packages := systemPackages(t)
	if len(packages) == 0 {
		t.Fatal("system.toml names no packages at its top level")
	}
	if !slices.IsSorted(packages) || len(slices.Compact(slices.Clone(packages))) != len(packages) {
		t.Errorf("not sorted, or named twice: %q", packages)
	}
	for _, name := range packages {
		if !packageName.MatchString(name) {
			t.Errorf("%q is no name of a package", name)
		}
	}
}

func TestCIReadsTheSameList(t *testing.T) {
	output, err := exec.CommandContext(t.Context(), "../.ci/packages").Output()
	if err != nil {
		t.Fatal(err)
	}
	if read, listed := strings.Fields(string(output)), systemPackages(t); !slices.Equal(read, listed) {
		t.Fatalf(".ci/packages reads %q, a TOML parser %q", read, listed)
	}
}

// Nothing is installed but what the list holds: .ci/run has one command that installs, without a name in it, and
// neither script names a package.
func TestCINamesNoPackageItself(t *testing.T) {
	script := ciScript(t, "run")
	const install = `apt-get install -y --no-install-recommends "${missing[@]}"`
	if !strings.Contains(script, install) {
		t.Fatalf(".ci/run wants %s", install)
	}
	rest := strings.Replace(script, install, "", 1)
	for _, installer := range []string{"install", "apk", "dnf", "dpkg -i", "pip", "curl", "wget"} {
		if strings.Contains(rest, installer+" ") {
			t.Errorf(".ci/run has a second installer: %q", installer)
		}
	}
	for _, name := range systemPackages(t) {
		word := regexp.MustCompile(`(^|[^\w.+-])` + regexp.QuoteMeta(name) + `($|[^\w.+-])`)
		for _, script := range []string{script, ciScript(t, "packages")} {
			if word.MatchString(script) {
				t.Errorf("%s stands in a script of .ci", name)
			}
		}
	}
}
