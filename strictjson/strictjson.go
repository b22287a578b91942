// Package strict finds what a lenient JSON reader lets through: names given twice, bad UTF-8, text
// after the end, and too deep a nesting.
package strictjson

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"unicode/utf8"

	"wardtray/apierror"
)

// MaximumDepth bounds nesting.
const MaximumDepth = 16

// level is one object or list that is open.
type level struct {
	path   string
	object bool
	names  map[string]bool
	key    string
	// keyed tells that an object's next token is the value of key.
	keyed bool
	place int
}

// walker follows the tokens of one document.
type walker struct {
	// levels are the objects and lists that are open, the outermost first.
	levels []*level
}

// Check gives a Malformed fault that names the first thing wrong and its path.
func Check(content []byte) error {
	if !utf8.Valid(content) {
		return apierror.New(apierror.Malformed, "the text is not valid UTF-8")
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	walker := &walker{}
	for finished := false; !finished; {
		token, err := decoder.Token()
		if err != nil {
			return apierror.New(apierror.Malformed, "at byte %d: %v", decoder.InputOffset(), err)
		}
		if finished, err = walker.take(token); err != nil {
			return err
		}
	}
	// One whole value has ended; anything but white space behind it is not part of the document.
	if _, err := decoder.Token(); err != io.EOF {
		return apierror.New(apierror.Malformed, "there is text after the end, at byte %d", decoder.InputOffset())
	}
	return nil
}

// take follows one token; it tells whether the document's value has ended with it.
func (walker *walker) take(token json.Token) (finished bool, err error) {
	top := walker.top()
	if name, isName := token.(string); isName && top != nil && top.object && !top.keyed {
		return false, top.takeName(name)
	}
	if token == json.Delim('{') || token == json.Delim('[') {
		return false, walker.open(token == json.Delim('{'))
	}
	if token == json.Delim('}') || token == json.Delim(']') {
		walker.levels = walker.levels[:len(walker.levels)-1]
	}
	// A value has ended: the document's, or one within the object or list that is now the innermost.
	if top = walker.top(); top == nil {
		return true, nil
	}
	top.after()
	return false, nil
}

// top gives the innermost object or list that is open, nil outside of all.
func (walker *walker) top() *level {
	if len(walker.levels) == 0 {
		return nil
	}
	return walker.levels[len(walker.levels)-1]
}

// open enters an object or a list.
func (walker *walker) open(object bool) error {
	path := ""
	if top := walker.top(); top != nil {
		path = top.step()
	}
	if len(walker.levels) >= MaximumDepth {
		return apierror.New(apierror.Malformed, "%s is nested too deep", path)
	}
	walker.levels = append(walker.levels, &level{path: path, object: object, names: map[string]bool{}})
	return nil
}

// takeName takes the name of an object's next value.
func (level *level) takeName(name string) error {
	if level.names[name] {
		return apierror.New(apierror.Malformed, "%s is given twice", join(level.path, name))
	}
	level.names[name], level.key, level.keyed = true, name, true
	return nil
}

// step gives the path of the value that comes next.
func (level *level) step() string {
	if level.object {
		return join(level.path, level.key)
	}
	return level.path + "[" + strconv.Itoa(level.place) + "]"
}

// after takes the end of a value.
func (level *level) after() {
	level.keyed = false
	level.place++
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
