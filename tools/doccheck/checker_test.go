package doccheck_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

var (
	linkPattern     = regexp.MustCompile(`\]\(([^()\s]+)\)`)
	codeSpanPattern = regexp.MustCompile("`([^`]+)`")
	testPattern     = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z]\w*`)
	// pathPattern matches a path of at least two elements, or one that begins with "./". checkPath ignores a match whose
	// first element is not a folder of the module.
	pathPattern = regexp.MustCompile(`^(?:\./)?[\w.-]+(?:/[\w.*-]+)+/?$`)
	// identifierPattern matches package.Identifier, package.Type.Member and Type.Member, with a path before the package.
	identifierPattern = regexp.MustCompile(`^(?:[\w-]+/)*(\w+)\.([A-Za-z]\w*)(?:\.([A-Za-z]\w*))?(?:\(\))?$`)
)

// fileExtensions are the extensions that distinguish a file name, such as a.go, from an identifier, such as a.Go.
var fileExtensions = []string{
	".go", ".md", ".json", ".toml", ".txt", ".mod", ".sum", ".proto", ".patch", ".conf", ".yml", ".yaml", ".sh",
	".log", ".lock", ".html", ".csv", ".jsonl", ".gz", ".service", ".map", ".key",
}

// problem is a fault of a page: a reference to something that does not exist, or a malformed table.
type problem struct {
	// path and line locate the fault: the path from the root, the line counted from 1.
	path string
	line int
	text string
}

// String formats the problem as compilers format errors: path:line: text.
func (problem problem) String() string {
	return fmt.Sprintf("%s:%d: %s", problem.path, problem.line, problem.text)
}

// checker checks pages against the files and the declarations of a module.
type checker struct {
	root     string
	declared *declarations
}

// check returns the problems of a page, in the order of its lines.
func (c checker) check(checked page) []problem {
	var problems []problem
	table := &tableChecker{}
	for _, line := range checked.prose() {
		texts := c.checkLinks(checked, line.text)
		for _, span := range codeSpanPattern.FindAllStringSubmatch(line.text, -1) {
			texts = append(texts, c.checkSpan(span[1])...)
		}
		texts = append(texts, table.check(line)...)
		for _, text := range texts {
			problems = append(problems, problem{path: checked.path, line: line.number, text: text})
		}
	}
	return problems
}

// checkLinks checks that the file and the heading to which each link of a line leads exist.
func (c checker) checkLinks(checked page, line string) []string {
	var problems []string
	for _, link := range linkPattern.FindAllStringSubmatch(line, -1) {
		target, anchor, _ := strings.Cut(link[1], "#")
		if strings.Contains(target, "://") || strings.HasPrefix(target, "mailto:") {
			continue
		}
		path := checked.path
		if target != "" {
			path = filepath.Join(filepath.Dir(checked.path), target)
		}
		if target != "" && !c.exists(path) {
			problems = append(problems, fmt.Sprintf("link %s leads to no file", target))
			continue
		}
		if anchor != "" && !c.hasAnchor(checked, path, anchor) {
			problems = append(problems, fmt.Sprintf("link %s leads to no heading", link[1]))
		}
	}
	return problems
}

// hasAnchor reports whether the page at a path has a heading with an anchor. The checked page itself is not read from
// disk.
func (c checker) hasAnchor(checked page, path, anchor string) bool {
	if path != checked.path {
		text, err := os.ReadFile(filepath.Join(c.root, path))
		if err != nil {
			return false
		}
		checked = page{path: path, text: string(text)}
	}
	return checked.anchors()[anchor]
}

// checkSpan checks the text of one code span: the tests that it names, and the identifier or path if it is one.
func (c checker) checkSpan(span string) []string {
	var problems []string
	for _, test := range testPattern.FindAllString(span, -1) {
		// A pattern of go test -run may be a prefix of a test's name.
		isPattern := strings.Contains(span, "-run ") && c.declared.hasTestPrefix(test)
		if !c.declared.tests[test] && !isPattern {
			problems = append(problems, fmt.Sprintf("test %s does not exist", test))
		}
	}
	switch {
	case isFile(span):
		problems = append(problems, c.checkPath(span)...)
	case identifierPattern.MatchString(span):
		parts := identifierPattern.FindStringSubmatch(span)
		if !c.declared.resolves(parts[1], parts[2], parts[3]) {
			problems = append(problems, span+" is not declared")
		}
	default:
		problems = append(problems, c.checkPath(span)...)
	}
	return problems
}

// isFile reports whether a span ends with one of fileExtensions.
func isFile(span string) bool {
	for _, extension := range fileExtensions {
		if strings.HasSuffix(span, extension) {
			return true
		}
	}
	return false
}

// checkPath checks a span that is the name of a Go file, or a path whose first element is a folder of the module. It
// ignores other spans.
func (c checker) checkPath(span string) []string {
	if strings.HasSuffix(span, ".go") && !strings.ContainsAny(span, "/* ") && !c.declared.files[span] {
		return []string{fmt.Sprintf("file %s does not exist", span)}
	}
	path := strings.TrimSuffix(strings.TrimPrefix(span, "./"), "/...")
	first, _, _ := strings.Cut(path, "/")
	isDirectory := false
	if info, err := os.Stat(filepath.Join(c.root, first)); err == nil {
		isDirectory = info.IsDir()
	}
	if !pathPattern.MatchString(span) && !strings.HasSuffix(span, "/...") || !isDirectory || c.exists(path) {
		return nil
	}
	return []string{fmt.Sprintf("path %s does not exist", span)}
}

// exists reports whether a file or folder matches a path from the root, which may contain wildcards (filepath.Glob).
func (c checker) exists(path string) bool {
	found, err := filepath.Glob(filepath.Join(c.root, path))
	return err == nil && len(found) > 0
}
