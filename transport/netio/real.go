package netio

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wardtray/apierror"
)

// Real is the world of a process whose connections leave from an address; nil leaves that to the system.
func Real(local net.Addr) Environment {
	return Environment{Now: time.Now, Go: func(work func()) { go work() }, Wait: wait, Dial: func(ctx context.Context, address string, terms Timeouts) (Conn, error) {
		dialer := net.Dialer{Timeout: terms.Dial, LocalAddr: local, Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			outer := raw.Control(func(descriptor uintptr) { err = keep(int(descriptor), terms) })
			if outer != nil {
				return outer
			}
			return err
		}}
		raw, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, apierror.Wrap(err, apierror.Unreachable, "dialing %s", address)
		}
		return tcp{raw.(*net.TCPConn)}, nil
	}}
}

// wait returns after a length of time, or as soon as a channel is closed or a context ends.
func wait(ctx context.Context, length time.Duration, woken <-chan struct{}) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-woken:
	case <-ctx.Done():
	}
}

// keep sets the terms on a socket.
//
// The system goes on sending what a closed, or killed, sender left behind. Work that was given up
// would reach its runner when a cut heals, long after the zone was closed or the runner left. With no time to
// linger every end is an abort, and bytes that are not taken in time end the connection.
func keep(descriptor int, terms Timeouts) error {
	if err := unix.SetsockoptLinger(descriptor, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0}); err != nil {
		return err
	}
	return unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(terms.Untaken.Milliseconds()))
}

type tcp struct{ *net.TCPConn }

// Bind closes the connection at the end of a context, unless it is released before.
func (conn tcp) Bind(ctx context.Context) (release func() bool) {
	return context.AfterFunc(ctx, func() { _ = conn.Close() })
}

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
