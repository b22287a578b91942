package netio

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// departed are the states of a connection whose other side has closed it, whether in order or by a reset.
//
// Why the state and not a read of no bytes: a close can stand behind a request that nobody has read yet. Who only ends
// its sending side looks the same, and is taken for one that has left, as most HTTP servers do.
const departed = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR

// Left tells whether the other side of a connection has closed it, by one system call that never waits. What is no
// connection of the system's is taken to stand.
func Left(connection net.Conn) bool {
	raw := rawConnection(connection)
	if raw == nil {
		return false
	}
	left := false
	// A connection that is closed on this side has nobody on the other.
	if err := raw.Control(func(descriptor uintptr) { left = closedByPeer(descriptor) }); err != nil {
		return true
	}
	return left
}

// watch calls a function as soon as the other side of a connection closes it.
//
// Why a goroutine that waits to read, and reads nothing: the runtime's poller then tells of the end without a system
// call or a timer for a request whose client stays. Meanwhile nobody else may read from the connection.
func watch(connection net.Conn, left func()) (stop func()) {
	raw := rawConnection(connection)
	if raw == nil {
		return func() {}
	}
	// The server's bound on reading the request has no meaning for the wait.
	_ = connection.SetReadDeadline(time.Time{})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		closed := false
		// It ends with an error where the watch is stopped.
		_ = raw.Read(func(descriptor uintptr) bool {
			closed = closedByPeer(descriptor)
			return closed
		})
		if closed {
			left()
		}
	}()
	return func() {
		_ = connection.SetReadDeadline(time.Unix(1, 0))
		<-finished
		_ = connection.SetReadDeadline(time.Time{})
	}
}

// rawConnection gives the system's connection, or nil where there is none.
func rawConnection(connection net.Conn) syscall.RawConn {
	holder, held := connection.(syscall.Conn)
	if !held {
		return nil
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// closedByPeer looks at the state of a connection and takes nothing out of it.
func closedByPeer(descriptor uintptr) bool {
	polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
	for {
		count, err := unix.Poll(polled, 0)
		if err != unix.EINTR {
			return err == nil && count > 0 && polled[0].Revents&departed != 0
		}
	}
}
