package config

import (
	"fmt"
	"time"

	"github.com/mailru/easyjson/jlexer"
	"github.com/mailru/easyjson/jwriter"
)

// Duration is a duration that JSON documents hold as a string in the form of time.ParseDuration, such as "1.5s".
type Duration time.Duration

// MarshalEasyJSON writes the duration as a string.
func (duration Duration) MarshalEasyJSON(writer *jwriter.Writer) {
	writer.String(time.Duration(duration).String())
}

// UnmarshalEasyJSON reads the duration from a string; anything else is an error of the lexer.
func (duration *Duration) UnmarshalEasyJSON(lexer *jlexer.Lexer) {
	text := lexer.String()
	if !lexer.Ok() {
		return
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		lexer.AddError(fmt.Errorf("%q is no length of time; write it as in 1.5s", text))
		return
	}
	*duration = Duration(parsed)
}
