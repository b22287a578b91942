package netio

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// httpClient implements Client for one request to a fasthttp server.
type httpClient struct{ request *fasthttp.RequestCtx }

// FromHTTP returns the Client of a request to a fasthttp server.
func FromHTTP(request *fasthttp.RequestCtx) Client { return httpClient{request} }

// Method returns the HTTP method.
func (client httpClient) Method() string { return string(client.request.Method()) }

// Authority returns the Host header.
func (client httpClient) Authority() string { return string(client.request.Request.Header.Host()) }

// Target returns the request target exactly as received: normalizing it would change what the client requested.
func (client httpClient) Target() string {
	return string(client.request.Request.Header.RequestURI())
}

// Header returns all values of a header.
func (client httpClient) Header(name string) []string {
	lines := client.request.Request.Header.PeekAll(name)
	if len(lines) == 0 {
		return nil
	}
	values := make([]string, 0, len(lines))
	for _, value := range lines {
		values = append(values, string(value))
	}
	return values
}

// Headers calls a function for each header line, in order.
func (client httpClient) Headers(each func(name, value string)) {
	for name, value := range client.request.Request.Header.All() {
		each(string(name), string(value))
	}
}

// Body returns the complete body, which the server has already read.
func (client httpClient) Body() []byte { return client.request.PostBody() }

// Disconnected polls the socket of the connection.
func (client httpClient) Disconnected() bool { return Disconnected(client.request.Conn()) }

// OnDisconnect starts a goroutine that waits for the close of the connection.
func (client httpClient) OnDisconnect(onClose func()) (stop func()) {
	return watchClose(client.request.Conn(), onClose)
}

// ConnectedAt returns when the server began to serve the connection.
func (client httpClient) ConnectedAt() time.Time { return client.request.ConnTime() }

// CloseAfterResponse makes the server close the connection after this response.
func (client httpClient) CloseAfterResponse() { client.request.SetConnectionClose() }

// writeHead sets the status and the headers of the response.
func (client httpClient) writeHead(status int, headers []Header) {
	client.request.ResetBody()
	client.request.SetStatusCode(status)
	for _, header := range headers {
		// A header may occur several times; Add keeps all of its values.
		client.request.Response.Header.Add(header.Name, header.Value)
	}
}

// Respond sends a complete response.
func (client httpClient) Respond(status int, headers []Header, body []byte) {
	client.writeHead(status, headers)
	client.request.SetBody(body)
}

// Stream passes the source to the server, which writes each chunk as it is read. Without a goroutine or a pipe in
// between, an event costs one write.
func (client httpClient) Stream(status int, headers []Header, source io.ReadCloser) {
	client.writeHead(status, headers)
	client.request.SetBodyStream(source, -1)
}
