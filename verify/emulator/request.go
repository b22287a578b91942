package emulator

import (
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"wardtray/proxy/admission"
)

// prompt describes a request's prompt and the length of its answer, as the headers state them.
type prompt struct {
	// parts are the names of the parts of the prompt's prefix, partTokens the number of tokens of each.
	parts      []string
	partTokens []int
	// tokens is the number of tokens of the complete prompt, answerTokens that of the answer.
	tokens, answerTokens int
}

// parsePrompt parses the prompt headers of a request. An invalid number counts as 0; the checks of the histories find
// faulty headers.
func parsePrompt(header *fasthttp.RequestHeader) prompt {
	parsed := prompt{
		tokens:       parseNumber(header.Peek(admission.HeaderPromptTokens)),
		answerTokens: parseNumber(header.Peek(admission.HeaderAnswerTokens)),
	}
	for _, value := range header.PeekAll(admission.HeaderPrefix) {
		part, tokens, _ := strings.Cut(string(value), "=")
		parsed.parts = append(parsed.parts, part)
		parsed.partTokens = append(parsed.partTokens, parseNumber([]byte(tokens)))
	}
	return parsed
}

func parseNumber(text []byte) int {
	value, err := strconv.Atoi(string(text))
	if err != nil {
		return 0
	}
	return value
}
