package netio

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wardtray/apierror"
)

// errNotTCP is returned for a dialed connection that is not a *net.TCPConn, which the network "tcp" rules out.
var errNotTCP = errors.New("not a TCP connection")

// Real returns the environment of a process. It dials from the local address; if local is nil, the operating system
// selects one.
func Real(local net.Addr) Environment {
	return Environment{
		Now:  time.Now,
		Go:   func(work func()) { go work() },
		Wait: wait,
		Dial: func(ctx context.Context, address string, timeouts Timeouts) (Conn, error) {
			return dial(ctx, local, address, timeouts)
		},
	}
}

// dial connects to an address and sets the connection's socket options.
func dial(ctx context.Context, local net.Addr, address string, timeouts Timeouts) (Conn, error) {
	control := func(_, _ string, raw syscall.RawConn) error { return controlSocket(raw, timeouts) }
	dialer := net.Dialer{Timeout: timeouts.Dial, LocalAddr: local, Control: control}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Unreachable, "dialing %s", address)
	}
	tcpConnection, isTCP := connection.(*net.TCPConn)
	if !isTCP {
		_ = connection.Close() // It has carried no request.
		return nil, apierror.Wrap(errNotTCP, apierror.Unreachable, "dialing %s", address)
	}
	return tcpConn{tcpConnection}, nil
}

// controlSocket sets the options of a socket before it connects.
func controlSocket(raw syscall.RawConn, timeouts Timeouts) error {
	var optionErr error
	controlErr := raw.Control(func(descriptor uintptr) { optionErr = setOptions(int(descriptor), timeouts) })
	if controlErr != nil {
		return controlErr
	}
	return optionErr
}

// wait returns after a duration, or earlier once the channel is closed or the context ends.
func wait(ctx context.Context, length time.Duration, woken <-chan struct{}) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-woken:
	case <-ctx.Done():
	}
}

// setOptions makes every close an abort and limits how long sent bytes may stay unacknowledged.
//
// Otherwise the kernel would keep retransmitting the unacknowledged bytes of a closed socket or a killed process. A
// cancelled request would then reach its runner when a network partition heals, long after the zone was closed or the
// runner was drained.
func setOptions(descriptor int, timeouts Timeouts) error {
	abort := &unix.Linger{Onoff: 1, Linger: 0}
	if err := unix.SetsockoptLinger(descriptor, unix.SOL_SOCKET, unix.SO_LINGER, abort); err != nil {
		return err
	}
	milliseconds := int(timeouts.Unacknowledged.Milliseconds())
	return unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
}

// tcpConn is a Conn over TCP.
type tcpConn struct{ *net.TCPConn }

// Bind closes the connection when the context ends, unless the connection is released before.
func (conn tcpConn) Bind(ctx context.Context) (release func() bool) {
	// The close is an abort; an error means that the connection is already closed.
	return context.AfterFunc(ctx, func() { _ = conn.Close() })
}

// Idle peeks into the socket's receive buffer and consumes no bytes.
func (conn tcpConn) Idle() bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, peekErr := unix.Recvfrom(int(descriptor), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}
