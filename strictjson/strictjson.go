// Package strictjson rejects documents that lenient JSON parsers accept: those with repeated keys, invalid UTF-8, text
// after the end of the document, or too deep nesting.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"unicode/utf8"

	"wardtray/apierror"
)

// MaximumDepth bounds the nesting of objects and arrays.
const MaximumDepth = 16

// Check returns a Malformed error for the first violation in a document, with its path or position, or nil if there is
// none.
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
		if finished, err = walker.next(token); err != nil {
			return err
		}
	}
	// One complete value has ended; anything but white space after it is not part of the document.
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return apierror.New(apierror.Malformed, "there is text after the end, at byte %d", decoder.InputOffset())
	}
	return nil
}

// walker tracks the position in one document, token by token.
type walker struct {
	// levels holds the open objects and arrays, the outermost first.
	levels []*level
}

// next handles one token, and reports whether the document's value ends with it.
func (walker *walker) next(token json.Token) (finished bool, err error) {
	innermost := walker.innermost()
	if key, isString := token.(string); isString && innermost != nil && innermost.wantsKey() {
		return false, innermost.setKey(key)
	}
	switch token {
	case json.Delim('{'), json.Delim('['):
		return false, walker.open(token == json.Delim('{'))
	case json.Delim('}'), json.Delim(']'):
		walker.levels = walker.levels[:len(walker.levels)-1]
	}
	// A value has ended: that of the document, or one within the innermost open object or array.
	if innermost = walker.innermost(); innermost == nil {
		return true, nil
	}
	innermost.endValue()
	return false, nil
}

// innermost returns the innermost object or array that is open, or nil.
func (walker *walker) innermost() *level {
	if len(walker.levels) == 0 {
		return nil
	}
	return walker.levels[len(walker.levels)-1]
}

// open enters an object or an array.
func (walker *walker) open(isObject bool) error {
	path := ""
	if innermost := walker.innermost(); innermost != nil {
		path = innermost.valuePath()
	}
	if len(walker.levels) >= MaximumDepth {
		return apierror.New(apierror.Malformed, "%s is nested too deep", path)
	}
	walker.levels = append(walker.levels, &level{path: path, isObject: isObject, keys: map[string]bool{}})
	return nil
}

// level is an object or array that is open.
type level struct {
	path     string
	isObject bool
	// keys holds the keys of an object read so far.
	keys map[string]bool
	// key is the last key read of an object, and hasKey reports whether its value comes next.
	key    string
	hasKey bool
	// index is the number of values read so far.
	index int
}

// wantsKey reports whether the next token is a key, or the end of the object.
func (level *level) wantsKey() bool { return level.isObject && !level.hasKey }

// setKey sets the key of an object's next value.
func (level *level) setKey(key string) error {
	if level.keys[key] {
		return apierror.New(apierror.Malformed, "%s is given twice", join(level.path, key))
	}
	level.keys[key] = true
	level.key, level.hasKey = key, true
	return nil
}

// valuePath returns the path of the next value.
func (level *level) valuePath() string {
	if level.isObject {
		return join(level.path, level.key)
	}
	return level.path + "[" + strconv.Itoa(level.index) + "]"
}

// endValue ends a value.
func (level *level) endValue() {
	level.hasKey = false
	level.index++
}

// join appends a key to the path of its object.
func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
