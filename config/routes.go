package config

import (
	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// The defaults of a route that are not the zero value.
const (
	defaultValue            = 1
	defaultConcurrencyLimit = 1
)

// Routes is a list of routes. Decoding it sets the defaults of omitted keys.
type Routes []Route

// MarshalEasyJSON writes the routes.
func (routes Routes) MarshalEasyJSON(writer *jwriter.Writer) {
	if routes == nil {
		writer.RawString("null")
		return
	}
	writer.RawByte('[')
	for i := range routes {
		if i > 0 {
			writer.RawByte(',')
		}
		routes[i].MarshalEasyJSON(writer)
	}
	writer.RawByte(']')
}

// UnmarshalEasyJSON reads the routes.
func (routes *Routes) UnmarshalEasyJSON(lexer *jlexer.Lexer) {
	read := Routes{}
	lexer.Delim('[')
	for !lexer.IsDelim(']') {
		route := Route{Value: defaultValue, ConcurrencyLimit: defaultConcurrencyLimit}
		route.UnmarshalEasyJSON(lexer)
		read = append(read, route)
		lexer.WantComma()
	}
	lexer.Delim(']')
	*routes = read
}
