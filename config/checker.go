package config

import (
	"fmt"
	"strings"
	"time"
)

// checker collects the problems of a document. Each of its methods checks one value and reports problems by its path.
type checker struct {
	problems []Problem
}

// report adds a problem.
func (checker *checker) report(path, format string, values ...any) {
	checker.problems = append(checker.problems, Problem{Path: path, Detail: fmt.Sprintf(format, values...)})
}

// length checks the number of entries of a list.
func (checker *checker) length(path string, length, least, most int) {
	if length < least || length > most {
		checker.report(path, "has %d entries; wants %d to %d", length, least, most)
	}
}

// name checks the name of an entry, and that no earlier entry of its list has the same name.
func (checker *checker) name(path, name string, seen map[string]bool) {
	if !isName(name) {
		checker.report(path+".name", "wants 1 to %d of the letters a-z and A-Z, 0-9, '-', '_' and '.'", maximumName)
		return
	}
	if seen[name] {
		checker.report(path+".name", "%q is there twice", name)
	}
	seen[name] = true
}

// text checks a required string.
func (checker *checker) text(path, value string) {
	if value == "" || len(value) > maximumText {
		checker.report(path, "wants 1 to %d bytes", maximumText)
	}
}

// distinct checks a list of required strings without duplicates.
func (checker *checker) distinct(path string, list []string) {
	seen := map[string]bool{}
	for i, value := range list {
		valuePath := fmt.Sprintf("%s[%d]", path, i)
		checker.text(valuePath, value)
		if seen[value] {
			checker.report(valuePath, "%q is there twice", value)
		}
		seen[value] = true
	}
}

// atMost checks a number from 0 to a bound.
func (checker *checker) atMost(path string, value, most int) {
	if value < 0 || value > most {
		checker.report(path, "wants 0 to %d", most)
	}
}

// duration checks a duration.
func (checker *checker) duration(path string, value Duration, least, most time.Duration) {
	if duration := time.Duration(value); duration < least || duration > most {
		checker.report(path, "wants %v to %v", least, most)
	}
}

// annotations checks the names of annotations and their total size.
func (checker *checker) annotations(path string, annotations Annotations) {
	size := 0
	for _, name := range annotations.names() {
		checker.text(path+"."+name, name)
		size += len(name) + len(annotations[name])
	}
	if size > maximumAnnotations {
		checker.report(path, "takes %d bytes; at most %d", size, maximumAnnotations)
	}
}

// isPath reports whether a text can be the path of a request.
func isPath(path string) bool {
	return strings.HasPrefix(path, "/") && len(path) <= maximumPath && isVisible(path)
}

// isVisible reports whether a text has neither blanks nor control characters, so that it can be part of a request line
// or a header.
func isVisible(text string) bool {
	for _, octet := range []byte(text) {
		if octet <= ' ' || octet == 0x7f {
			return false
		}
	}
	return true
}

// isName reports whether a text can be used in headers, paths and command lines without escapes.
func isName(text string) bool {
	for _, character := range text {
		if !isNameCharacter(character) {
			return false
		}
	}
	return len(text) >= 1 && len(text) <= maximumName
}

func isNameCharacter(character rune) bool {
	switch {
	case character >= 'a' && character <= 'z', character >= 'A' && character <= 'Z', character >= '0' && character <= '9':
		return true
	default:
		return character == '-' || character == '_' || character == '.'
	}
}
