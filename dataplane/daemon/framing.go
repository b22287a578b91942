package daemon

import (
	"bytes"
	"errors"
)

// errAmbiguousFraming is returned for a request whose end different HTTP parsers may find at different positions.
var errAmbiguousFraming = errors.New("its header lines leave it open where the request ends")

var (
	lengthName   = []byte("content-length")
	encodingName = []byte("transfer-encoding")
)

// hasAmbiguousFraming reports whether a request's header lines leave open where the request ends, so that two parsers
// could read the same bytes as different requests (request smuggling).
//
// The server alone does not prevent that: it chooses an interpretation that the standard allows, but the sender may
// have meant another one, and a runner would execute a request that no client sent.
func hasAmbiguousFraming(lines []byte) bool {
	hasLength, hasEncoding := false, false
	for len(lines) > 0 {
		line, rest, found := bytes.Cut(lines, []byte("\n"))
		if found && !bytes.HasSuffix(line, []byte("\r")) {
			return true
		}
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return true
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		hasLength = hasLength || bytes.EqualFold(name, lengthName)
		hasEncoding = hasEncoding || bytes.EqualFold(name, encodingName)
		lines = rest
	}
	return hasLength && hasEncoding
}
