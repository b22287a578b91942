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

// Clients receive codes and remedies, so neither may change.
func TestCodesKeepTheirTexts(t *testing.T) {
	var lines strings.Builder
	for _, code := range slices.Sorted(maps.Keys(remedies)) {
		fmt.Fprintf(&lines, "%s %s\n", string(code), (&Error{Code: code}).Remedy())
	}
	golden.Compare(t, "kinds.txt", lines.String())
}

// Every declared code has a remedy, so that the golden file, which is written from the remedies, lists every code.
func TestEveryCodeHasARemedy(t *testing.T) {
	declared := declaredCodes(t)
	if len(declared) != len(remedies) {
		t.Errorf("%d codes are declared, %d have a remedy", len(declared), len(remedies))
	}
	for _, code := range declared {
		if remedies[code] == "" {
			t.Errorf("%s has no remedy", code)
		}
	}
}

// declaredCodes returns the constants of type Code. It parses the source, since they can't be listed at run time.
func declaredCodes(t *testing.T) []Code {
	t.Helper()
	entries, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	var codes []Code
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), ".go") || strings.HasSuffix(entry.Name(), "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), entry.Name(), nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if declared, isValue := node.(*ast.ValueSpec); isValue {
				codes = append(codes, codesOf(declared)...)
			}
			return true
		})
	}
	return codes
}

// codesOf returns the codes that one declaration defines.
func codesOf(declared *ast.ValueSpec) []Code {
	if named, isName := declared.Type.(*ast.Ident); !isName || named.Name != "Code" {
		return nil
	}
	var codes []Code
	for _, value := range declared.Values {
		if literal, isLiteral := value.(*ast.BasicLit); isLiteral {
			if text, err := strconv.Unquote(literal.Value); err == nil {
				codes = append(codes, Code(text))
			}
		}
	}
	return codes
}
