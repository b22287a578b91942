package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedTimeout is for how long sent bytes may stay unacknowledged before a connection is aborted: the peer may
// be without power or behind a network partition, and only a new connection reaches it soon after it is back.
const unacknowledgedTimeout = time.Second

// keepAlive ends connections on which nothing is sent while the peer is dead.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: 3 * time.Second, Count: 3}

// detectDeadPeer sets the socket options by which an inbound connection ends once its peer is dead. Without them that
// is only noticed later, so an error is of no consequence.
func detectDeadPeer(connection net.Conn) {
	tcpConnection, isTCP := connection.(*net.TCPConn)
	if !isTCP {
		return
	}
	_ = tcpConnection.SetKeepAliveConfig(keepAlive)
	if raw, err := tcpConnection.SyscallConn(); err == nil {
		_ = limitUnacknowledged("", "", raw)
	}
}

// limitUnacknowledged sets unacknowledgedTimeout on a socket. Its first arguments are those of net.Dialer.Control.
func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	controlErr := raw.Control(func(descriptor uintptr) {
		milliseconds := int(unacknowledgedTimeout.Milliseconds())
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
	if controlErr != nil {
		return controlErr
	}
	return optionErr
}
