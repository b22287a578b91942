// Package netio abstracts the environment of the request path: the clock, goroutines, connections to runners and the
// client's side of an exchange.
//
// A process uses the real environment (Real) and the requests of its HTTP server (FromHTTP); the simulator supplies its
// own implementations. The request path itself neither reads the clock, nor starts goroutines, nor dials.
package netio

import (
	"context"
	"io"
	"net"
	"time"
)

// Conn is a connection to a runner. Close aborts it: bytes that the peer's machine has not acknowledged by then are
// never delivered.
type Conn interface {
	net.Conn
	// Idle reports whether the peer has neither closed the connection nor sent bytes that are still unread.
	Idle() bool
	// Bind closes the connection as soon as the context ends. release undoes Bind; it returns false if the context had
	// already ended.
	Bind(ctx context.Context) (release func() bool)
}

// Timeouts are the time limits of a connection to a runner.
type Timeouts struct {
	// Dial limits the establishment of the connection.
	Dial time.Duration
	// Unacknowledged is the time for which sent bytes may stay unacknowledged before the connection is aborted.
	Unacknowledged time.Duration
}

// Environment holds the functions that the request path uses for time, concurrency and connections.
type Environment struct {
	// Now returns the current time.
	Now func() time.Time
	// Go runs a function concurrently with the caller.
	Go func(work func())
	// Wait returns after a duration, or earlier once the channel is closed or the context ends.
	Wait func(ctx context.Context, length time.Duration, woken <-chan struct{})
	// Dial connects to an address within the timeouts. It fails with apierror.Unreachable, also if the context ends before
	// the connection is established.
	Dial func(ctx context.Context, address string, timeouts Timeouts) (Conn, error)
}

// Header is one header line of a response.
type Header struct{ Name, Value string }

// Client is the client's side of one exchange: it provides the request and receives the response.
type Client interface {
	// Method returns the HTTP method.
	Method() string
	// Authority returns the host to which the request is addressed.
	Authority() string
	// Target returns the path with its query, as received.
	Target() string
	// Header returns all values of a header, in order.
	Header(name string) []string
	// Headers calls a function for each header line, in order.
	Headers(each func(name, value string))
	// Body returns the complete request body.
	Body() []byte
	// Respond sends a complete response.
	Respond(status int, headers []Header, body []byte)
	// Stream starts a response whose body is copied from source as it arrives. If source fails, the response is aborted,
	// so that the client can't take it for complete. source is always closed at the end.
	Stream(status int, headers []Header, source io.ReadCloser)
	// Disconnected reports whether the client has closed its connection, even if bytes before the close are still unread.
	// It polls the connection, which costs a system call.
	Disconnected() bool
	// OnDisconnect calls a function once, on another goroutine, as soon as the client closes its connection. stop ends the
	// watch: once it has returned, no call is running or will be made.
	OnDisconnect(onClose func()) (stop func())
	// ConnectedAt returns the time at which the server accepted the client's connection.
	ConnectedAt() time.Time
	// CloseAfterResponse makes the server close the connection after the response, so that no other request arrives over
	// it.
	CloseAfterResponse()
}
