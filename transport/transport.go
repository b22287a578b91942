// Package transport carries envelopes between processes over TCP.
//
// Sending never blocks: each address has a bounded queue and one connection. What can't be sent is dropped and counted,
// as the state machines above expect of a network.
package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	// queueLength is how many envelopes wait for one address.
	queueLength = 256
	// bufferSize is the size of a connection's read or write buffer, in bytes.
	bufferSize = 4 << 10
	// maximumInbound and maximumOutbound limit the connections of each direction.
	maximumInbound  = 4096
	maximumOutbound = 4096
	// idleTimeout is after how long without an envelope an outbound connection is closed.
	idleTimeout = time.Minute
	// failurePause is how long an address, or the listener, is left alone after a failure.
	failurePause = 100 * time.Millisecond
)

// Transport is the endpoint of one process. It is safe for concurrent use.
type Transport struct {
	address  string
	zone     string
	listener net.Listener
	receive  func(envelope *wire.Envelope)
	refused  func(address string, tried time.Time)
	context  context.Context
	stop     context.CancelFunc
	mutex    sync.Mutex
	// queues are what waits to be sent, by address; a goroutine for each sends it.
	queues map[string]chan *wire.Envelope
	// zones are the zones of processes, by their addresses, as learned from what they sent.
	zones    sync.Map
	inbound  atomic.Int64
	Counters Counters
}

// New returns a transport that is not listening yet. receive handles what arrives; refused is called with an address at
// which nobody listens and the moment when it was tried. Both are called concurrently.
func New(
	address, zone string,
	receive func(envelope *wire.Envelope),
	refused func(address string, tried time.Time),
) *Transport {
	running, stop := context.WithCancel(context.Background())
	return &Transport{
		address: address,
		zone:    zone,
		receive: receive,
		refused: refused,
		context: running,
		stop:    stop,
		queues:  map[string]chan *wire.Envelope{},
	}
}

// Listen opens the port and starts to receive.
func (transport *Transport) Listen() error {
	listener, err := ListenTCP(transport.context, transport.address)
	if err != nil {
		return err
	}
	transport.listener = listener
	go transport.accept()
	return nil
}

// Close ends all connections.
func (transport *Transport) Close() {
	transport.stop()
	if transport.listener != nil {
		_ = transport.listener.Close() // Nothing can be done about a listener that won't close at the end.
	}
}

// Send queues messages for sending and drops those for which there is no room.
func (transport *Transport) Send(messages []statemachine.Message) {
	for _, message := range messages {
		if !transport.enqueue(message) {
			transport.Counters.Dropped.Add(1)
		}
	}
}

// enqueue adds a message to its address's queue and reports whether there was room.
func (transport *Transport) enqueue(message statemachine.Message) bool {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	queue := transport.queues[message.To]
	if queue == nil {
		if len(transport.queues) >= maximumOutbound || transport.context.Err() != nil {
			return false
		}
		queue = make(chan *wire.Envelope, queueLength)
		transport.queues[message.To] = queue
		go newSender(transport, message.To, queue).run()
	}
	select {
	case queue <- message.Envelope:
		return true
	default:
		return false
	}
}

// retire removes the queue of an address and reports whether it was empty.
func (transport *Transport) retire(address string, queue chan *wire.Envelope) bool {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(transport.queues, address)
	return true
}

// pause waits for a duration, or until the transport is closed.
func (transport *Transport) pause(length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-transport.context.Done():
	}
}

// countSent counts an envelope that was sent to an address.
func (transport *Transport) countSent(address string, size int) {
	transport.Counters.Sent.Add(1)
	transport.Counters.BytesOut.Add(uint64(size))
	if zone, found := transport.zones.Load(address); found && zone != transport.zone {
		transport.Counters.BytesOtherZone.Add(uint64(size))
	}
}

// localAddress returns the address that outbound connections are bound to, so that they leave from the process's own;
// nil if it has none.
func (transport *Transport) localAddress() net.Addr {
	host, _, err := net.SplitHostPort(transport.address)
	if err != nil {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(host)}
}
