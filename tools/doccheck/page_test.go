package doccheck_test

import (
	"fmt"
	"regexp"
	"strings"
	"unicode"
)

// page is a Markdown file of the documentation.
type page struct {
	path string // path from the root of the module
	text string
}

// proseLine is a line of a page that is outside its code blocks.
type proseLine struct {
	number int // from 1
	text   string
}

// prose returns the lines outside the code blocks.
func (p page) prose() []proseLine {
	var lines []proseLine
	inCodeBlock := false
	for index, line := range strings.Split(p.text, "\n") {
		if strings.HasPrefix(strings.TrimSpace(line), "```") {
			inCodeBlock = !inCodeBlock
			continue
		}
		if !inCodeBlock {
			lines = append(lines, proseLine{number: index + 1, text: line})
		}
	}
	return lines
}

// headingPattern matches a heading.
var headingPattern = regexp.MustCompile(`^#{1,6} +(.*?) *$`)

// anchors returns the anchors of the headings. Headings with the same text share one anchor; the numbered anchors that
// renderers add for the later ones are missing.
func (p page) anchors() map[string]bool {
	anchors := map[string]bool{}
	for _, line := range p.prose() {
		if heading := headingPattern.FindStringSubmatch(line.text); heading != nil {
			anchors[anchorOf(heading[1])] = true
		}
	}
	return anchors
}

// anchorOf returns the anchor of a heading as renderers generate it: lower case, hyphens for blanks, no punctuation.
func anchorOf(heading string) string {
	return strings.Map(func(letter rune) rune {
		switch {
		case letter == ' ':
			return '-'
		case letter == '-' || letter == '_' || unicode.IsLetter(letter) || unicode.IsDigit(letter):
			return unicode.ToLower(letter)
		default:
			return -1
		}
	}, heading)
}

// tableChecker checks the tables of a page, line by line.
type tableChecker struct {
	// rows is the number of lines of the current table so far, and columns the number of cells in its head.
	rows, columns int
}

// delimiterPattern matches the line below the head of a table.
var delimiterPattern = regexp.MustCompile(`^\|( *:?-+:? *\|)+$`)

// check returns the problems of a line that is a row of a table. Any other line ends the table and has no problems.
func (table *tableChecker) check(line proseLine) []string {
	text := strings.TrimSpace(line.text)
	if !strings.HasPrefix(text, "|") {
		*table = tableChecker{}
		return nil
	}
	table.rows++
	cells := countCells(text)
	if table.rows == 1 {
		table.columns = cells
	}
	if table.rows == 2 && !delimiterPattern.MatchString(text) {
		return []string{"no line of --- below the head of a table"}
	}
	if cells != table.columns {
		return []string{fmt.Sprintf("%d cells in a table of %d columns", cells, table.columns)}
	}
	return nil
}

// countCells counts the cells of a row that begins with "|". An escaped "|" is a part of its cell, also in a code span.
func countCells(row string) int {
	row = strings.ReplaceAll(row, `\|`, "")
	return strings.Count(strings.TrimSuffix(row, "|"), "|")
}
