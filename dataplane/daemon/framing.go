package daemon

import (
	"bytes"
	"errors"
)

var errAmbiguous = errors.New("its header lines leave it open where the request ends")

var (
	lengthName   = []byte("content-length")
	encodingName = []byte("transfer-encoding")
)

// ambiguous tells whether a request's header lines leave it open where the request ends: two readers could then
// take the same bytes for different requests.
//
// Why not left to the server: it decides such a case as the standard allows, but whoever sent it may have meant the
// other way, and a runner would run what nobody asked for.
func ambiguous(lines []byte) bool {
	lengthTold, encodingTold := false, false
	for len(lines) > 0 {
		line, rest, found := bytes.Cut(lines, []byte("\n"))
		if found && !bytes.HasSuffix(line, []byte("\r")) {
			return true
		}
		if len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			return true
		}
		name, _, _ := bytes.Cut(line, []byte(":"))
		lengthTold = lengthTold || bytes.EqualFold(name, lengthName)
		encodingTold = encodingTold || bytes.EqualFold(name, encodingName)
		lines = rest
	}
	return lengthTold && encodingTold
}
