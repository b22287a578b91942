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

// packageName matches valid names of Debian packages (Debian policy, section 5.6.7).
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

// ciScript returns the text of a script in the folder .ci, without lines that are comments.
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
		t.Errorf("packages are not sorted or contain duplicates: %q", packages)
	}
	for _, name := range packages {
		if !packageName.MatchString(name) {
			t.Errorf("%q is not a valid package name", name)
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

// CI must install only the listed packages, or the list would not suffice for a clean build: .ci/run has exactly one
// install command, which names no package, and neither script names one elsewhere.
func TestCINamesNoPackageItself(t *testing.T) {
	script := ciScript(t, "run")
	const install = `apt-get install -y --no-install-recommends "${missing[@]}"`
	if !strings.Contains(script, install) {
		t.Fatalf(".ci/run lacks %s", install)
	}
	rest := strings.Replace(script, install, "", 1)
	for _, installer := range []string{"install", "apk", "dnf", "dpkg -i", "pip", "curl", "wget"} {
		if strings.Contains(rest, installer+" ") {
			t.Errorf(".ci/run has a second install command: %q", installer)
		}
	}
	for _, name := range systemPackages(t) {
		word := regexp.MustCompile(`(^|[^\w.+-])` + regexp.QuoteMeta(name) + `($|[^\w.+-])`)
		for _, script := range []string{script, ciScript(t, "packages")} {
			if word.MatchString(script) {
				t.Errorf("a script in .ci names the package %s", name)
			}
		}
	}
}
