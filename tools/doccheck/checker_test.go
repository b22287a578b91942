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
	// pathPattern matches a path of several elements, or one that begins with "./"; its first element is looked up.
	pathPattern = regexp.MustCompile(`^(?:\./)?[\w.-]+(?:/[\w.*-]+)+/?$`)
	// identifierPattern matches package.Identifier, package.Type.Member and Type.Member, with a path before the package.
	identifierPattern = regexp.MustCompile(`^(?:[\w-]+/)*(\w+)\.([A-Za-z]\w*)(?:\.([A-Za-z]\w*))?(?:\(\))?$`)
)

// fileExtensions are the endings that tell a file from an identifier of a package.
var fileExtensions = []string{
	".go", ".md", ".json", ".toml", ".txt", ".mod", ".sum", ".proto", ".patch", ".conf", ".yml", ".yaml", ".sh",
	".log", ".lock", ".html", ".csv", ".jsonl", ".gz", ".service", ".map", ".key",
}

// checker checks pages against the files and the declarations of a module.
type checker struct {
	root     string
	declared *declarations
}

// check returns what a page names and the module does not have, a line each: file, line, and the reference.
func (c checker) check(checked page) []string {
	var problems []string
	inCodeBlock := false
	for index, line := range strings.Split(checked.text, "\n") {
		if strings.HasPrefix(strings.TrimSpace(line), "```") {
			inCodeBlock = !inCodeBlock
			continue
		}
		if inCodeBlock {
			continue
		}
		for _, problem := range c.checkLine(filepath.Dir(checked.path), line) {
			problems = append(problems, fmt.Sprintf("%s:%d: %s", checked.path, index+1, problem))
		}
	}
	return problems
}

// checkLine checks the links and code spans of a line of a page in the given folder.
func (c checker) checkLine(folder, line string) []string {
	var problems []string
	for _, link := range linkPattern.FindAllStringSubmatch(line, -1) {
		target, _, _ := strings.Cut(link[1], "#")
		isExternal := strings.Contains(target, "://") || strings.HasPrefix(target, "mailto:")
		if target != "" && !isExternal && !c.exists(filepath.Join(folder, target)) {
			problems = append(problems, fmt.Sprintf("link %s leads to no file", target))
		}
	}
	for _, span := range codeSpanPattern.FindAllStringSubmatch(line, -1) {
		problems = append(problems, c.checkSpan(span[1])...)
	}
	return problems
}

// checkSpan checks the text of one code span: the tests that it names, or the identifier or path that it is.
func (c checker) checkSpan(span string) []string {
	var problems []string
	for _, test := range testPattern.FindAllString(span, -1) {
		// The pattern of a -run flag may be the beginning of a name.
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

// isFile reports whether a span ends as the name of a file does.
func isFile(span string) bool {
	for _, extension := range fileExtensions {
		if strings.HasSuffix(span, extension) {
			return true
		}
	}
	return false
}

// checkPath checks a span that is the name of a Go file, or a path whose first element is a folder of the module. Other
// spans have no problem.
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

// exists reports whether a file or folder matches a path from the root, in which * stands for any part of a name.
func (c checker) exists(path string) bool {
	found, err := filepath.Glob(filepath.Join(c.root, path))
	return err == nil && len(found) > 0
}
