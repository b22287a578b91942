// Package doccheck_test checks the pages of the documentation against the repository: every relative link leads to an
// existing file and heading, every name in backticks that looks like a Go identifier, a test or a path of this module
// exists, and the rows of each table have as many cells as its head.
package doccheck_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// repositoryRoot is the root of the module, relative to this folder, in which go test runs the tests.
const repositoryRoot = "../.."

// readPages returns the README and every page below docs/.
func readPages(t *testing.T, root string) []page {
	t.Helper()
	var pages []page
	read := func(path string) {
		text, err := os.ReadFile(filepath.Join(root, path))
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, page{path: path, text: string(text)})
	}
	read("README.md")
	for _, pattern := range []string{"docs/*.md", "docs/*/*.md"} {
		paths, err := filepath.Glob(filepath.Join(root, pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			relative, err := filepath.Rel(root, path)
			if err != nil {
				t.Fatal(err)
			}
			read(relative)
		}
	}
	return pages
}

func TestPagesNameWhatExists(t *testing.T) {
	checker := checker{root: repositoryRoot, declared: parseModule(t, repositoryRoot)}
	for _, page := range readPages(t, repositoryRoot) {
		for _, problem := range checker.check(page) {
			t.Error(problem)
		}
	}
}

// TestCheck checks the checker itself on a small module, so that it neither misses a problem nor reports a valid
// reference.
func TestCheck(t *testing.T) {
	root := t.TempDir()
	writeFile(t, root, "go.mod", "module example\n")
	writeFile(t, root, "docs/other.md", "# Other [1 of 2] a/b\n\n## Part\n")
	writeFile(t, root, "lease/lease.go", "package lease\n\n"+
		"import \"net/http\"\n\nvar server http.Server\n\nconst Term = 1\n\n"+
		"type Base struct{ Granted int }\n\ntype Lessee struct{ Base }\n\n"+
		"func (l *Lessee) Renew() {}\n\ntype Alias = Lessee\n\ntype Grantor interface{ Grant() }\n")
	writeFile(t, root, "lease/lease_test.go", "package lease\n\nfunc TestRenew() {}\n")
	checker := checker{root: root, declared: parseModule(t, root)}

	tests := []struct {
		name, text string
		problems   []string
	}{
		{"link", "[a](other.md) [b](other.md#part) [c](https://example.org/x#y) [d](#here)\n\n## Here", nil},
		{"missing link", "first\n\n[a](gone.md)", []string{"docs/page.md:3: link gone.md leads to no file"}},
		{"heading", "[a](other.md#other-1-of-2-ab) [b](#one-and-two)\n\n## One *and* `two`", nil},
		{
			"missing heading",
			"[a](other.md#gone) [b](#gone)\n\n```\n# gone\n```",
			[]string{
				"docs/page.md:1: link other.md#gone leads to no heading",
				"docs/page.md:1: link #gone leads to no heading",
			},
		},
		{"table", "| a | b |\n| --- | --- |\n| 1 \\| 2 | `3 \\| 4` |\n\n| c |\n| --- |\n| 5 |", nil},
		{
			"rows of other lengths",
			"| a | b |\n| --- | --- |\n| 1 |\n| 1 | 2 |\n| 1 | 2 | 3 |",
			[]string{
				"docs/page.md:3: 1 cells in a table of 2 columns",
				"docs/page.md:5: 3 cells in a table of 2 columns",
			},
		},
		{
			"table without a line below its head",
			"| a | b |\n| 1 | 2 |",
			[]string{"docs/page.md:2: no line of --- below the head of a table"},
		},
		{"constant", "`lease.Term`", nil},
		{"method, call and pointer", "`lease.Lessee.Renew`, `lease.Lessee.Renew()`", nil},
		{"embedded field and alias", "`lease.Lessee.Granted`, `lease.Alias.Renew`, `lease.Grantor.Grant`", nil},
		{"type without a package", "`Lessee.Renew`", nil},
		{
			"missing identifier",
			"`lease.Lessor`",
			[]string{"docs/page.md:1: lease.Lessor is not declared"},
		},
		{
			"missing members",
			"`lease.Lessee.Ask` and `Lessee.Ask`",
			[]string{
				"docs/page.md:1: lease.Lessee.Ask is not declared",
				"docs/page.md:1: Lessee.Ask is not declared",
			},
		},
		{"other packages and files", "`http.Server`, `lease.go`, `README.md`", nil},
		{"missing package", "`gone.Lessor`", []string{"docs/page.md:1: gone.Lessor is not declared"}},
		{"missing file", "`gone.go`", []string{"docs/page.md:1: file gone.go does not exist"}},
		{"key of a document", "`limits.body_bytes`", nil},
		{"test", "`TestRenew`, `TestRenew/case`", nil},
		{"missing test", "`TestGone`", []string{"docs/page.md:1: test TestGone does not exist"}},
		{"pattern of tests", "`go test -run TestRen`", nil},
		{"beginning of a test", "`TestRen`", []string{"docs/page.md:1: test TestRen does not exist"}},
		{"test in a command", "`go test -run TestGone`", []string{"docs/page.md:1: test TestGone does not exist"}},
		{"path", "`lease`, `lease/lease.go`, `lease/*.go`, `./lease/...`, `lease.Term`", nil},
		{"missing path", "`lease/gone.go`", []string{"docs/page.md:1: path lease/gone.go does not exist"}},
		{
			"path with an identifier",
			"`lease/lease.Gone`",
			[]string{"docs/page.md:1: lease/lease.Gone is not declared"},
		},
		{"code block", "```\nlease.Gone `lease.Gone`\n```\n", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var problems []string
			for _, found := range checker.check(page{path: "docs/page.md", text: test.text}) {
				problems = append(problems, found.String())
			}
			if !slices.Equal(problems, test.problems) {
				t.Errorf("problems are %q, want %q", problems, test.problems)
			}
		})
	}
}

// writeFile writes a file, and the folders above it, below root.
func writeFile(t *testing.T, root, path, text string) {
	t.Helper()
	full := filepath.Join(root, path)
	if err := os.MkdirAll(filepath.Dir(full), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(full, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
