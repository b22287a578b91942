// Package layers_test checks that the rooms of the repository, its top-level folders, form layers: what one imports
// stands below it. docs/style.md describes the rooms. Run it with -count=1, as ./check does: the cache of tests does
// not know which files go list reads.
package layers_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"slices"
	"strings"
	"testing"
)

// module is the path of the module.
const module = "wardtray"

// rooms lists the rooms from top to bottom. A package may import packages of its own room and of those below.
var rooms = []string{
	"cmd",
	"tools",
	"deploy",
	"verify",
	"platform",
	"service",
	"control",
	"dataplane",
	"proxy",
	"balancer",
	"transport",
	"coordination",
	"config",
	"wire",
	// The leaves, which import nothing but each other.
	"features",
	"metrics",
	"strictjson",
	"randomseed",
	"apierror",
}

// goPackage is what the check needs of a package, as go list prints it. Imports are those of the package itself: tests
// may import any room, since many use the libraries of verify.
type goPackage struct {
	ImportPath string
	Imports    []string
}

// roomOf returns the room of a package of the module. It is empty for the root and for other modules' packages.
func roomOf(importPath string) string {
	path, inModule := strings.CutPrefix(importPath, module+"/")
	if !inModule {
		return ""
	}
	room, _, _ := strings.Cut(path, "/")
	return room
}

// violations returns the packages that stand in no room, and the imports that run up, a line each.
func violations(packages []goPackage) []string {
	var found []string
	for _, importer := range packages {
		layer := slices.Index(rooms, roomOf(importer.ImportPath))
		if layer < 0 {
			found = append(found, importer.ImportPath+" stands in no room")
			continue
		}
		for _, imported := range importer.Imports {
			// An imported package in no room is a violation by itself.
			if importedLayer := slices.Index(rooms, roomOf(imported)); importedLayer >= 0 && importedLayer < layer {
				found = append(found, fmt.Sprintf("%s imports %s, which stands above it", importer.ImportPath, imported))
			}
		}
	}
	return found
}

// listPackages returns all packages of the module.
func listPackages(t *testing.T) []goPackage {
	t.Helper()
	command := exec.CommandContext(t.Context(), "go", "list", "-json=ImportPath,Imports", module+"/...")
	var problems strings.Builder
	command.Stderr = &problems
	output, err := command.Output()
	if err != nil {
		t.Fatalf("%v: %s", err, problems.String())
	}
	var packages []goPackage
	decoder := json.NewDecoder(strings.NewReader(string(output)))
	for {
		var listed goPackage
		err := decoder.Decode(&listed)
		if errors.Is(err, io.EOF) {
			return packages
		}
		if err != nil {
			t.Fatal(err)
		}
		packages = append(packages, listed)
	}
}

func TestNoImportRunsUp(t *testing.T) {
	packages := listPackages(t)
	if len(packages) < len(rooms) {
		t.Fatalf("go list knows %d packages, less than there are rooms", len(packages))
	}
	for _, violation := range violations(packages) {
		t.Error(violation)
	}
}

func TestViolations(t *testing.T) {
	for name, test := range map[string]struct {
		listed goPackage
		want   string
	}{
		"down":           {goPackage{module + "/proxy/codec", []string{"fmt", module + "/config"}}, ""},
		"same room":      {goPackage{module + "/proxy", []string{module + "/proxy/codec"}}, ""},
		"another module": {goPackage{module + "/wire", []string{module + "tools/cmd"}}, ""},
		"up":             {goPackage{module + "/config", []string{module + "/control/node"}}, "stands above it"},
		"up from a leaf": {goPackage{module + "/apierror", []string{module + "/wire"}}, "stands above it"},
		"of no room":     {goPackage{module + "/proxy", []string{module + "/process"}}, ""},
		"in no room":     {goPackage{module + "/process/fault", nil}, "stands in no room"},
		"in the root":    {goPackage{module, nil}, "stands in no room"},
	} {
		found := strings.Join(violations([]goPackage{test.listed}), "\n")
		if (found == "") != (test.want == "") || !strings.Contains(found, test.want) {
			t.Errorf("%s: %q", name, found)
		}
	}
}
