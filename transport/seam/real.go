package seam

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"wardtray/process/fault"
)

// Real is the world of a process whose connections leave from an address; nil leaves that to the system.
func Real(local net.Addr) World {
	return World{Now: time.Now, Go: func(work func()) { go work() }, Wait: wait, Dial: func(address string, terms Terms) (Conn, error) {
		dialer := net.Dialer{Timeout: terms.Dial, LocalAddr: local, Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			outer := raw.Control(func(descriptor uintptr) { err = keep(int(descriptor), terms) })
			if outer != nil {
				return outer
			}
			return err
		}}
		raw, err := dialer.Dial("tcp", address)
		if err != nil {
			return nil, fault.Wrap(err, fault.Unreachable, "dialing %s", address)
		}
		return tcp{raw.(*net.TCPConn)}, nil
	}}
}

// wait returns after a length of time, or as soon as a channel is closed.
func wait(length time.Duration, woken <-chan struct{}) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-woken:
	}
}

// keep sets the terms on a socket.
//
// The system goes on sending what a closed, or killed, sender left behind. Work that was given up
// would reach its runner when a cut heals, long after the zone was closed or the runner left. With no time to
// linger every end is an abort, and bytes that are not taken in time end the connection.
func keep(descriptor int, terms Terms) error {
	if err := unix.SetsockoptLinger(descriptor, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0}); err != nil {
		return err
	}
	return unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(terms.Untaken.Milliseconds()))
}

type tcp struct{ *net.TCPConn }

// Quiet looks into the socket without taking anything out.
func (conn tcp) Quiet() bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peeked := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = peeked == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

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
