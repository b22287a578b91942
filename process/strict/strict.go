// Package strict finds what a lenient JSON reader lets through: names given twice, bad UTF-8, text
// after the end, and too deep a nesting.
package strict

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"unicode/utf8"

	"wardtray/process/fault"
)

// MaximumDepth bounds nesting.
const MaximumDepth = 16

type level struct {
	path   string
	object bool
	names  map[string]bool
	key    string
	// keyed tells that an object's next token is the value of key.
	keyed bool
	place int
}

// Check gives a Malformed fault that names the first thing wrong and its path.
func Check(content []byte) error {
	if !utf8.Valid(content) {
		return fault.New(fault.Malformed, "the text is not valid UTF-8")
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.UseNumber()
	var levels []*level
	for {
		token, err := decoder.Token()
		if err != nil {
			return fault.New(fault.Malformed, "at byte %d: %v", decoder.InputOffset(), err)
		}
		here := ""
		if len(levels) > 0 {
			top := levels[len(levels)-1]
			here = top.step()
			if name, isName := token.(string); top.object && !top.keyed && isName {
				if top.names[name] {
					return fault.New(fault.Malformed, "%s is given twice", join(top.path, name))
				}
				top.names[name], top.key, top.keyed = true, name, true
				continue
			}
		}
		delimiter, isDelimiter := token.(json.Delim)
		opening := isDelimiter && (delimiter == '{' || delimiter == '[')
		closing := isDelimiter && !opening
		if closing {
			levels = levels[:len(levels)-1]
		}
		if opening {
			if len(levels) >= MaximumDepth {
				return fault.New(fault.Malformed, "%s is nested too deep", here)
			}
			levels = append(levels, &level{path: here, object: delimiter == '{', names: map[string]bool{}})
			continue
		}
		if len(levels) > 0 {
			levels[len(levels)-1].after()
			continue
		}
		// One whole value has ended; anything but white space behind it is not part of the document.
		if _, err := decoder.Token(); err != io.EOF {
			return fault.New(fault.Malformed, "there is text after the end, at byte %d", decoder.InputOffset())
		}
		return nil
	}
}

func (level *level) step() string {
	if level.object {
		return join(level.path, level.key)
	}
	return level.path + "[" + strconv.Itoa(level.place) + "]"
}

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
