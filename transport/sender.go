package transport

import (
	"bufio"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"wardtray/transport/frame"
	"wardtray/wire"
)

const (
	// dialTimeout limits the establishment of a connection, writeTimeout the writing of a batch of frames.
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = time.Second
)

// sender sends the envelopes queued for one address, on its own goroutine.
type sender struct {
	transport *Transport
	address   string
	queue     chan *wire.Envelope
	// connection is nil while there is none; peerClosed is closed once the peer has closed the connection.
	connection net.Conn
	writer     *bufio.Writer
	peerClosed chan struct{}
}

// newSender returns a sender that has no connection yet.
func newSender(transport *Transport, address string, queue chan *wire.Envelope) *sender {
	return &sender{transport: transport, address: address, queue: queue}
}

// run sends queued envelopes until the transport is closed or nothing was queued for idleTimeout.
func (sender *sender) run() {
	defer sender.disconnect()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case envelope := <-sender.queue:
			idle.Reset(idleTimeout)
			sender.send(envelope)
		case <-sender.peerClosed:
			// A peer that closes its connection may be dead. A new connection attempt shows whether a process still
			// listens at its address.
			sender.disconnect()
			sender.connect()
		case <-sender.transport.context.Done():
			return
		case <-idle.C:
			if sender.transport.retire(sender.address, sender.queue) {
				return
			}
			idle.Reset(idleTimeout)
		}
	}
}

// connect dials the address and reports whether it succeeded. It reports a refused connection to the transport's owner.
func (sender *sender) connect() bool {
	transport, tried := sender.transport, time.Now()
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		LocalAddr:       transport.localAddress(),
		Control:         limitUnacknowledged,
		KeepAliveConfig: keepAlive,
	}
	connection, err := dialer.DialContext(transport.context, "tcp", sender.address)
	if err != nil {
		if errors.Is(err, unix.ECONNREFUSED) && transport.refused != nil {
			transport.refused(sender.address, tried)
		}
		return false
	}
	sender.connection = connection
	sender.writer = bufio.NewWriterSize(connection, bufferSize)
	sender.peerClosed = make(chan struct{})
	go awaitClose(connection, sender.peerClosed)
	return true
}

// disconnect closes the connection, if there is one.
func (sender *sender) disconnect() {
	if sender.connection != nil {
		_ = sender.connection.Close() // Undelivered bytes are lost in any case.
		sender.connection, sender.peerClosed = nil, nil
	}
}

// send writes one envelope, and flushes it if no other is queued. If the address can't be reached, it drops everything
// queued for the address.
func (sender *sender) send(envelope *wire.Envelope) {
	transport := sender.transport
	content, err := frame.Encode(envelope)
	if err != nil {
		transport.Counters.Dropped.Add(1)
		return
	}
	if sender.connection == nil && !sender.connect() {
		transport.Counters.Dropped.Add(uint64(1 + discard(sender.queue)))
		transport.pause(failurePause)
		return
	}
	if err := sender.write(content); err != nil {
		transport.Counters.Dropped.Add(1)
		sender.disconnect()
		return
	}
	transport.countSent(sender.address, len(content))
}

// write writes a frame to the buffer and flushes the buffer if no other envelope is queued.
func (sender *sender) write(content []byte) error {
	if sender.writer.Buffered() == 0 {
		// Setting a deadline fails only on a closed connection, on which writing fails as well.
		_ = sender.connection.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	if _, err := sender.writer.Write(content); err != nil {
		return err
	}
	if len(sender.queue) > 0 {
		return nil
	}
	return sender.writer.Flush()
}

// awaitClose waits until a connection ends and then closes a channel, so that the next message goes over a new
// connection. The peer sends nothing over it, so a read returns only at its end.
func awaitClose(connection net.Conn, closed chan<- struct{}) {
	var buffer [1]byte
	_, _ = connection.Read(buffer[:])
	_ = connection.Close() // The sender may have closed it before.
	close(closed)
}

// discard empties a queue and returns how many envelopes it held.
func discard(queue chan *wire.Envelope) int {
	discarded := 0
	for {
		select {
		case <-queue:
			discarded++
		default:
			return discarded
		}
	}
}
