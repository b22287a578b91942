package config

import (
	"maps"
	"slices"

	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Annotations are named values that operators' tools attach to an entry. wardtray returns them unchanged and does not
// interpret them.
type Annotations map[string]easyjson.RawMessage

// MarshalEasyJSON writes the annotations in the order of their names, so that a document has one canonical form.
func (annotations Annotations) MarshalEasyJSON(writer *jwriter.Writer) {
	writer.RawByte('{')
	for i, name := range annotations.names() {
		if i > 0 {
			writer.RawByte(',')
		}
		writer.String(name)
		writer.RawByte(':')
		writer.Raw(annotations[name], nil)
	}
	writer.RawByte('}')
}

// UnmarshalEasyJSON reads annotations.
func (annotations *Annotations) UnmarshalEasyJSON(lexer *jlexer.Lexer) {
	read := Annotations{}
	lexer.Delim('{')
	for !lexer.IsDelim('}') {
		name := lexer.String()
		lexer.WantColon()
		// The lexer reuses its buffer, so the value is copied.
		read[name] = append(easyjson.RawMessage{}, lexer.Raw()...)
		lexer.WantComma()
	}
	lexer.Delim('}')
	*annotations = read
}

// with returns a copy with the annotations of a change merged in. They replace those of the same name; null removes
// an annotation.
func (annotations Annotations) with(change Annotations) Annotations {
	merged := Annotations{}
	maps.Copy(merged, annotations)
	for name, value := range change {
		if string(value) == "null" {
			delete(merged, name)
			continue
		}
		merged[name] = value
	}
	return merged
}

// names returns the names in ascending order.
func (annotations Annotations) names() []string { return slices.Sorted(maps.Keys(annotations)) }
