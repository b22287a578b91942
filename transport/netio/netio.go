// Package seam is all through which the request path meets the world: a clock, work beside one's own,
// connections to runners, and the client's side of an answer. The process gives the real ones, the
// simulator its own; below the hosts nothing else tells the time, starts a tick or dials.
package netio

import (
	"context"
	"io"
	"net"
	"time"
)

// Conn is a connection to a runner. Closing it is an abort: what the other machine has not taken
// by then never reaches it.
type Conn interface {
	net.Conn
	// Quiet tells whether the other side has neither closed nor sent anything unasked.
	Quiet() bool
	// Bind closes the connection as soon as a context ends. release undoes that; it tells whether the connection was
	// left alone until then.
	Bind(ctx context.Context) (release func() bool)
}

// Timeouts are what a connection has to keep.
type Timeouts struct {
	// Dial is how long making the connection may take.
	Dial time.Duration
	// Untaken is for how long bytes may be on their way before the connection is aborted.
	Untaken time.Duration
}

// Environment is what a process is given of the world.
type Environment struct {
	Now func() time.Time
	// Go begins work beside the caller's.
	Go func(work func())
	// Wait lets a length of time pass, or less where a channel is closed or a context ends meanwhile.
	Wait func(ctx context.Context, length time.Duration, woken <-chan struct{})
	// Dial makes a connection that keeps the terms, unless the context ends before it stands.
	Dial func(ctx context.Context, address string, terms Timeouts) (Conn, error)
}

// Header is one line of an answer's head.
type Header struct{ Name, Value string }

// Client is the side of a request that asked.
type Client interface {
	Method() string
	// Authority is the host that the request names.
	Authority() string
	// Target is the path with its query, as sent.
	Target() string
	// Header gives every value of a header, in order.
	Header(name string) []string
	// Headers gives every header, in order.
	Headers(each func(name, value string))
	Body() []byte
	// Answer gives a whole answer at once.
	Answer(status int, headers []Header, body []byte)
	// Stream begins an answer whose body is read from a source and passed on as it comes. A source that
	// fails ends the answer so that it does not look whole; it is closed at the end, whatever that is.
	Stream(status int, headers []Header, source io.ReadCloser)
	// Left tells whether the client has closed its connection by now, also behind bytes that nobody has read yet.
	// It looks at the connection itself, which costs a system call.
	Left() bool
	// Watch calls a function once, beside the caller's work, as soon as the client closes its connection. stop ends
	// the watch: when it returns no call is under way or will be made.
	Watch(left func()) (stop func())
	// Last says that no other request should come over this connection.
	Last()
}
