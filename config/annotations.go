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

// Routes is a list of routes that gives those read the worth and the concurrency limit that were left out.
type Routes []Route

// MarshalEasyJSON writes the routes.
func (routes Routes) MarshalEasyJSON(writer *jwriter.Writer) {
	if routes == nil {
		writer.RawString("null")
		return
	}
	writer.RawByte('[')
	for place := range routes {
		if place > 0 {
			writer.RawByte(',')
		}
		routes[place].MarshalEasyJSON(writer)
	}
	writer.RawByte(']')
}

// UnmarshalEasyJSON reads the routes.
func (routes *Routes) UnmarshalEasyJSON(lexer *jlexer.Lexer) {
	read := Routes{}
	lexer.Delim('[')
	for !lexer.IsDelim(']') {
		route := Route{Value: 1, ConcurrencyLimit: 1}
		route.UnmarshalEasyJSON(lexer)
		read = append(read, route)
		lexer.WantComma()
	}
	lexer.Delim(']')
	*routes = read
}
