package transport

import (
	"bufio"
	"context"
	"net"
	"time"

	"wardtray/apierror"
	"wardtray/transport/frame"
)

// accept accepts inbound connections until the transport is closed.
func (transport *Transport) accept() {
	for {
		connection, err := transport.listener.Accept()
		if err != nil {
			if transport.context.Err() != nil {
				return
			}
			// The process may be out of file descriptors; retrying at once would only use up a core.
			transport.pause(failurePause)
			continue
		}
		if transport.inbound.Add(1) > maximumInbound {
			transport.inbound.Add(-1)
			_ = connection.Close() // It has carried no envelope.
			continue
		}
		go transport.read(connection)
	}
}

// read receives envelopes over one inbound connection until it ends.
func (transport *Transport) read(connection net.Conn) {
	defer transport.inbound.Add(-1)
	defer func() { _ = connection.Close() }() // Nothing is written to it, so nothing can be lost.
	release := context.AfterFunc(transport.context, func() { _ = connection.Close() })
	defer release()
	detectDeadPeer(connection)
	reader := bufio.NewReaderSize(connection, bufferSize)
	for {
		// A sender closes its connection after idleTimeout, so a connection that is silent for longer is dead. Setting a
		// deadline fails only on a closed connection, on which reading fails as well.
		_ = connection.SetReadDeadline(time.Now().Add(2 * idleTimeout))
		envelope, size, err := frame.Decode(reader)
		if err != nil {
			if apierror.Is(err, apierror.InvalidFrame) && transport.context.Err() == nil {
				transport.Counters.BadFrames.Add(1)
			}
			return
		}
		transport.Counters.Received.Add(1)
		transport.Counters.BytesIn.Add(uint64(size))
		if envelope.From != "" && envelope.Zone != "" {
			transport.zones.Store(envelope.From, envelope.Zone)
		}
		transport.receive(envelope)
	}
}
