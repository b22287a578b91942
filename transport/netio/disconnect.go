package netio

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// closedEvents are the poll events of a connection that the peer has closed, in order or by a reset.
//
// A read of zero bytes would not detect a close behind a request that has not been read yet; poll does. A peer that
// only shuts down its sending side looks the same and counts as closed, as with most HTTP servers.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// expiredDeadline is a deadline in the past; setting it ends a pending read.
var expiredDeadline = time.Unix(1, 0)

// Disconnected reports whether the peer has closed a connection. It makes one system call and never blocks. A
// connection without a socket of the operating system counts as open.
func Disconnected(connection net.Conn) bool {
	raw := rawConnection(connection)
	if raw == nil {
		return false
	}
	closed := false
	// Control fails on a connection that this side has closed, which has no peer any more.
	if err := raw.Control(func(descriptor uintptr) { closed = closedByPeer(descriptor) }); err != nil {
		return true
	}
	return closed
}

// watchClose calls a function as soon as the peer closes a connection. stop ends the watch and waits for a running
// call.
//
// It starts a goroutine that waits until the connection is readable but reads nothing. The runtime's poller then
// reports the close, at the cost of no system call and no timer for a request whose client stays connected. Nothing
// else may read from the connection during the watch.
func watchClose(connection net.Conn, onClose func()) (stop func()) {
	raw := rawConnection(connection)
	if raw == nil {
		return func() {}
	}
	// The server's deadline for reading the request must not end the watch. Setting a deadline fails only on a closed
	// connection, on which the wait ends by itself.
	_ = connection.SetReadDeadline(time.Time{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		closed := false
		// Read returns an error if the watch is stopped.
		_ = raw.Read(func(descriptor uintptr) bool {
			closed = closedByPeer(descriptor)
			return closed
		})
		if closed {
			onClose()
		}
	}()
	return func() {
		_ = connection.SetReadDeadline(expiredDeadline)
		<-finished
		_ = connection.SetReadDeadline(time.Time{})
	}
}

// rawConnection returns the socket of a connection, or nil if it has none.
func rawConnection(connection net.Conn) syscall.RawConn {
	socket, hasSocket := connection.(syscall.Conn)
	if !hasSocket {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// closedByPeer reports whether the peer has closed a socket. It consumes no bytes.
func closedByPeer(descriptor uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	for {
		count, err := unix.Poll(polled, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && count > 0 && polled[0].Revents&closedEvents != 0
		}
	}
}
