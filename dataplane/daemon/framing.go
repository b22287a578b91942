package daemon

import (
	"bytes"
	"errors"
)

// errAmbiguous is the error of a request whose end depends on who reads it.
var errAmbiguous = errors.New("its header lines leave it open where the request ends")

var (
	lengthName   = []byte("content-length")
	encodingName = []byte("transfer-encoding")
)

// ambiguous reports whether a request's header lines leave open where the request ends, so that two readers could take
// the same bytes for different requests.
//
// Why this is not left to the server: it decides as the standard allows, but the sender may have meant the other
// interpretation, and a runner would execute a request that nobody sent.
func ambiguous(lines []byte) bool {
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
