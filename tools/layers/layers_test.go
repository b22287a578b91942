// Package layers_test checks that imports go downwards: each top-level folder of the repository is a layer, and its
// packages import only packages of their own layer and of the layers below it. docs/architecture.md says what each
// folder contains.
//
// Run it with -count=1, as ./check does: the test cache does not track the files that go list reads.
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

// layers lists the top-level folders from top to bottom.
var layers = []string{
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
	// The lowest layers, which import only each other.
	"features",
	"metrics",
	"strictjson",
	"randomseed",
	"apierror",
}

// goPackage is the part of go list's output on a package that the check needs. Imports excludes the imports of tests,
// which may import any layer, since many use the libraries of verify.
type goPackage struct {
	ImportPath string
	Imports    []string
}

// unknownLayerError reports a package that is in no known layer.
type unknownLayerError struct {
	importPath string
}

// Error names the package.
func (err unknownLayerError) Error() string { return err.importPath + " is in no layer" }

// upwardImportError reports an import of a package in a layer above the importer's.
type upwardImportError struct {
	importer, imported string
}

// Error names both packages.
func (err upwardImportError) Error() string {
	return fmt.Sprintf("%s imports %s, which is in a layer above", err.importer, err.imported)
}

// layerOf returns the position of a package's layer, 0 for the top. found is false for a package in no known layer,
// such as the root package and those of other modules.
func layerOf(importPath string) (layer int, found bool) {
	path, inModule := strings.CutPrefix(importPath, module+"/")
	if !inModule {
		return 0, false
	}
	folder, _, _ := strings.Cut(path, "/")
	layer = slices.Index(layers, folder)
	return layer, layer >= 0
}

// check returns an unknownLayerError if the package is in no layer, or else an upwardImportError for each such import.
func (listed goPackage) check() []error {
	layer, found := layerOf(listed.ImportPath)
	if !found {
		return []error{unknownLayerError{listed.ImportPath}}
	}
	var violations []error
	for _, imported := range listed.Imports {
		// An imported package of the module in no layer is reported when that package itself is checked.
		if importedLayer, found := layerOf(imported); found && importedLayer < layer {
			violations = append(violations, upwardImportError{listed.ImportPath, imported})
		}
	}
	return violations
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

func TestImportsGoDownwards(t *testing.T) {
	packages := listPackages(t)
	if len(packages) < len(layers) {
		t.Fatalf("go list prints %d packages, fewer than there are layers", len(packages))
	}
	for _, listed := range packages {
		for _, violation := range listed.check() {
			t.Error(violation)
		}
	}
}

func TestCheckOfAPackage(t *testing.T) {
	for name, test := range map[string]struct {
		listed goPackage
		want   []error
	}{
		"down":           {goPackage{module + "/proxy/codec", []string{"fmt", module + "/config"}}, nil},
		"same layer":     {goPackage{module + "/proxy", []string{module + "/proxy/codec"}}, nil},
		"another module": {goPackage{module + "/wire", []string{module + "tools/cmd"}}, nil},
		"up": {
			goPackage{module + "/config", []string{module + "/wire", module + "/control/node"}},
			[]error{upwardImportError{module + "/config", module + "/control/node"}},
		},
		"up from a leaf": {
			goPackage{module + "/apierror", []string{module + "/wire"}},
			[]error{upwardImportError{module + "/apierror", module + "/wire"}},
		},
		"of no layer": {goPackage{module + "/proxy", []string{module + "/process"}}, nil},
		"in no layer": {
			goPackage{module + "/process/fault", nil},
			[]error{unknownLayerError{module + "/process/fault"}},
		},
		"in the root": {goPackage{module, nil}, []error{unknownLayerError{module}}},
	} {
		if violations := test.listed.check(); !slices.Equal(violations, test.want) {
			t.Errorf("%s: %v, want %v", name, violations, test.want)
		}
	}
}
