package daemon

import "testing"

func TestAmbiguous(t *testing.T) {
	for lines, want := range map[string]bool{
		"Host: h\r\nContent-Length: 3\r\n\r\n":                           false,
		"Host: h\r\nTransfer-Encoding: chunked\r\n\r\n":                  false,
		"Host: h\r\nX-Content-Length: 3\r\nTransfer-Encoding: x\r\n\r\n": false,
		"": false,
		"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n":            true,
		"transfer-encoding: chunked\r\nHost: h\r\nCONTENT-LENGTH: 3\r\n\r\n": true,
		"Host: h\nContent-Length: 3\r\n\r\n":                                 true,
		"Host: h\r\nContent-Length: 3\r\n\n":                                 true,
		"Transfer-Encoding:\r\n chunked\r\n\r\n":                             true,
		"X: y\r\n\tz\r\n\r\n":                                                true,
	} {
		if got := hasAmbiguousFraming([]byte(lines)); got != want {
			t.Errorf("%q: ambiguous is %v", lines, got)
		}
	}
}
