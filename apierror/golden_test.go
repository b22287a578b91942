package apierror

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"wardtray/verify/golden"
)

// The kinds travel to callers, and so do the remedies; both keep their words.
func TestKindsKeepTheirWords(t *testing.T) {
	var lines strings.Builder
	for _, kind := range slices.Sorted(maps.Keys(remedies)) {
		fmt.Fprintf(&lines, "%s %s\n", kind, (&Error{Code: kind}).Remedy())
	}
	golden.Compare(t, "kinds.txt", lines.String())
}

// Every kind that is declared has a remedy, so that the golden file names all of them.
func TestEveryKindHasARemedy(t *testing.T) {
	declared := declaredKinds(t)
	if len(declared) != len(remedies) {
		t.Errorf("%d kinds are declared, %d have a remedy", len(declared), len(remedies))
	}
	for _, kind := range declared {
		if remedies[kind] == "" {
			t.Errorf("%s has no remedy", kind)
		}
	}
}

// declaredKinds reads the constants of type Kind from the source, since they can't be listed at run time.
func declaredKinds(t *testing.T) []Code {
	t.Helper()
	names, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	var kinds []Code
	for _, entry := range names {
		if !strings.HasSuffix(entry.Name(), ".go") || strings.HasSuffix(entry.Name(), "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), entry.Name(), nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if declared, isValue := node.(*ast.ValueSpec); isValue {
				kinds = append(kinds, kindsOf(declared)...)
			}
			return true
		})
	}
	return kinds
}

// kindsOf gives the kinds that one declaration makes.
func kindsOf(declared *ast.ValueSpec) []Code {
	if named, isName := declared.Type.(*ast.Ident); !isName || named.Name != "Code" {
		return nil
	}
	var kinds []Code
	for _, value := range declared.Values {
		if literal, isLiteral := value.(*ast.BasicLit); isLiteral {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				kinds = append(kinds, Code(text))
			}
		}
	}
	return kinds
}
