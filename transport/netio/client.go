package netio

import (
	"io"

	"github.com/valyala/fasthttp"
)

// fromHTTP is one request of the server's, as a Client.
type fromHTTP struct{ context *fasthttp.RequestCtx }

// FromHTTP is the client behind one HTTP request.
func FromHTTP(context *fasthttp.RequestCtx) Client { return fromHTTP{context} }

// Method gives the request's method.
func (client fromHTTP) Method() string { return string(client.context.Method()) }

// Authority gives the Host header.
func (client fromHTTP) Authority() string { return string(client.context.Request.Header.Host()) }

// Target gives the bytes as they came: cleaning them up would change what was asked.
func (client fromHTTP) Target() string {
	return string(client.context.Request.Header.RequestURI())
}

// Header gives every value of a header.
func (client fromHTTP) Header(name string) []string {
	var values []string
	for _, value := range client.context.Request.Header.PeekAll(name) {
		values = append(values, string(value))
	}
	return values
}

// Headers calls a function for every line of the request's head.
func (client fromHTTP) Headers(each func(name, value string)) {
	for name, value := range client.context.Request.Header.All() {
		each(string(name), string(value))
	}
}

// Body gives the whole body, which the server has read.
func (client fromHTTP) Body() []byte { return client.context.PostBody() }

// Left looks at the connection itself.
func (client fromHTTP) Left() bool { return Left(client.context.Conn()) }

// Watch lets a goroutine of its own wait for the end of the connection.
func (client fromHTTP) Watch(left func()) (stop func()) {
	return watch(client.context.Conn(), left)
}

// Last closes the connection after this answer.
func (client fromHTTP) Last() { client.context.SetConnectionClose() }

func (client fromHTTP) head(status int, headers []Header) {
	client.context.ResetBody()
	client.context.SetStatusCode(status)
	for _, header := range headers {
		// A header may be there several times, and all of them count.
		client.context.Response.Header.Add(header.Name, header.Value)
	}
}

// Answer gives a whole answer.
func (client fromHTTP) Answer(status int, headers []Header, body []byte) {
	client.head(status, headers)
	client.context.SetBody(body)
}

// Stream hands the source to the server, which reads it and writes out each piece at once: without a
// thread or a pipe between, an event costs one write.
func (client fromHTTP) Stream(status int, headers []Header, source io.ReadCloser) {
	client.head(status, headers)
	client.context.SetBodyStream(source, -1)
}
