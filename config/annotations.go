package config

import (
	"sort"

	"github.com/mailru/easyjson"
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Annotations are what the operators' tools keep beside an entry, by name. wardtray gives them back as
// they came, and goes by none of them.
type Annotations map[string]easyjson.RawMessage

// MarshalEasyJSON writes annotations in the order of their names, so that one spec has one canonical form.
func (annotations Annotations) MarshalEasyJSON(writer *jwriter.Writer) {
	writer.RawByte('{')
	for place, name := range annotations.names() {
		if place > 0 {
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
		// The reader's text is reused, and annotations outlive it.
		read[name] = append(easyjson.RawMessage{}, lexer.Raw()...)
		lexer.WantComma()
	}
	lexer.Delim('}')
	*annotations = read
}

func (annotations Annotations) names() []string {
	names := make([]string, 0, len(annotations))
	for name := range annotations {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Lanes is a list of lanes that gives those read the worth and the purse that were left out.
type Lanes []Lane

// MarshalEasyJSON writes the lanes.
func (lanes Lanes) MarshalEasyJSON(writer *jwriter.Writer) {
	if lanes == nil {
		writer.RawString("null")
		return
	}
	writer.RawByte('[')
	for place := range lanes {
		if place > 0 {
			writer.RawByte(',')
		}
		lanes[place].MarshalEasyJSON(writer)
	}
	writer.RawByte(']')
}

// UnmarshalEasyJSON reads the lanes.
func (lanes *Lanes) UnmarshalEasyJSON(lexer *jlexer.Lexer) {
	read := Lanes{}
	lexer.Delim('[')
	for !lexer.IsDelim(']') {
		lane := Lane{Worth: 1, Purse: 1}
		lane.UnmarshalEasyJSON(lexer)
		read = append(read, lane)
		lexer.WantComma()
	}
	lexer.Delim(']')
	*lanes = read
}
