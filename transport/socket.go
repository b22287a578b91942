package transport

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unacknowledgedTimeout is the time for which sent bytes may stay unacknowledged before a connection is aborted. The
// peer may have lost power or be behind a network partition, and only a new connection reaches it soon after it has
// recovered.
const unacknowledgedTimeout = time.Second

// keepAlive ends idle connections whose peer is dead.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: 3 * time.Second, Count: 3}

// detectDeadPeer sets the socket options that end an inbound connection once its peer is dead. Without them a dead peer
// is only detected later, by the read deadline, so errors are ignored.
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

// limitUnacknowledged sets unacknowledgedTimeout on a socket. Its signature is that of net.Dialer.Control.
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
