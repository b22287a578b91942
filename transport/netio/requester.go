package netio

import (
	"io"

	"github.com/valyala/fasthttp"
)

// fromHTTP is one request of the server's, as a Requester.
type fromHTTP struct{ context *fasthttp.RequestCtx }

// FromHTTP is the requester behind one HTTP request.
func FromHTTP(context *fasthttp.RequestCtx) Requester { return fromHTTP{context} }

// Method gives the request's method.
func (requester fromHTTP) Method() string { return string(requester.context.Method()) }

// Authority gives the Host header.
func (requester fromHTTP) Authority() string { return string(requester.context.Request.Header.Host()) }

// Target gives the bytes as they came: cleaning them up would change what was asked.
func (requester fromHTTP) Target() string {
	return string(requester.context.Request.Header.RequestURI())
}

// Header gives every value of a header.
func (requester fromHTTP) Header(name string) []string {
	var values []string
	for _, value := range requester.context.Request.Header.PeekAll(name) {
		values = append(values, string(value))
	}
	return values
}

// Headers calls a function for every line of the request's head.
func (requester fromHTTP) Headers(each func(name, value string)) {
	for name, value := range requester.context.Request.Header.All() {
		each(string(name), string(value))
	}
}

// Body gives the whole body, which the server has read.
func (requester fromHTTP) Body() []byte { return requester.context.PostBody() }

// Left looks at the connection itself.
func (requester fromHTTP) Left() bool { return Left(requester.context.Conn()) }

// Watch lets a goroutine of its own wait for the end of the connection.
func (requester fromHTTP) Watch(left func()) (stop func()) {
	return watch(requester.context.Conn(), left)
}

// Last closes the connection after this answer.
func (requester fromHTTP) Last() { requester.context.SetConnectionClose() }

func (requester fromHTTP) head(status int, headers []Header) {
	requester.context.ResetBody()
	requester.context.SetStatusCode(status)
	for _, header := range headers {
		// A header may be there several times, and all of them count.
		requester.context.Response.Header.Add(header.Name, header.Value)
	}
}

// Answer gives a whole answer.
func (requester fromHTTP) Answer(status int, headers []Header, body []byte) {
	requester.head(status, headers)
	requester.context.SetBody(body)
}

// Stream hands the source to the server, which reads it and writes out each piece at once: without a
// thread or a pipe between, an event costs one write.
func (requester fromHTTP) Stream(status int, headers []Header, source io.ReadCloser) {
	requester.head(status, headers)
	requester.context.SetBodyStream(source, -1)
}
