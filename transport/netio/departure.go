package netio

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// closedEvents are the poll events of a connection that the peer has closed, whether in order or by a reset.
//
// Why poll and not a read of zero bytes: a close can stand behind a request that nobody has read yet. A peer that only
// shuts down its sending side looks the same and counts as closed, as with most HTTP servers.
const closedEvents = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// expiredDeadline is a deadline in the past, which ends a pending read.
var expiredDeadline = time.Unix(1, 0)

// Disconnected reports whether the peer has closed a connection, by one system call that never blocks. A connection
// that is no socket of the operating system counts as open.
func Disconnected(connection net.Conn) bool {
	raw := rawConnection(connection)
	if raw == nil {
		return false
	}
	closed := false
	// Control fails on a connection that is closed on this side, which has no peer any more.
	if err := raw.Control(func(descriptor uintptr) { closed = closedByPeer(descriptor) }); err != nil {
		return true
	}
	return closed
}

// watch calls a function as soon as the peer closes a connection. stop ends the watch.
//
// Why a goroutine that waits to read, and reads nothing: the runtime's poller then reports the close without a system
// call or a timer for a request whose client stays. Meanwhile nobody else may read from the connection.
func watch(connection net.Conn, left func()) (stop func()) {
	raw := rawConnection(connection)
	if raw == nil {
		return func() {}
	}
	// The server's deadline for reading the request does not apply to the watch. Deadlines can only fail on a closed
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
			left()
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

// closedByPeer polls the state of a socket and consumes nothing.
func closedByPeer(descriptor uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	for {
		count, err := unix.Poll(polled, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && count > 0 && polled[0].Revents&closedEvents != 0
		}
	}
}
