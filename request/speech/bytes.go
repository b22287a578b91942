package speech

import (
	"bufio"
	"bytes"

	"github.com/valyala/fasthttp"
)

// Bytes gives a request as it goes out.
func Bytes(outgoing *fasthttp.Request) []byte {
	content := &bytes.Buffer{}
	// Why: writing to memory can't fail.
	writer := bufio.NewWriter(content)
	_ = outgoing.Write(writer)
	_ = writer.Flush()
	return content.Bytes()
}
