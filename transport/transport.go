// Package transport carries envelopes between processes over TCP.
//
// Sending never blocks: each address has a bounded queue and one connection. Envelopes that can't be sent are dropped
// and counted; the state machines that use the transport expect a lossy network.
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
	// queueLength is the maximum number of envelopes queued for one address.
	queueLength = 256
	// bufferSize is the size of a connection's read buffer and of its write buffer, in bytes.
	bufferSize = 4 << 10
	// maximumInbound and maximumOutbound limit the connections of each direction.
	maximumInbound  = 4096
	maximumOutbound = 4096
	// idleTimeout is the time without an envelope after which an outbound connection is closed.
	idleTimeout = time.Minute
	// failurePause is the delay before an address is dialed, or the listener accepts, again after a failure.
	failurePause = 100 * time.Millisecond
)

// Transport is the network endpoint of one process. It is safe for concurrent use.
type Transport struct {
	address  string
	zone     string
	listener net.Listener
	receive  func(envelope *wire.Envelope)
	refused  func(address string, tried time.Time)
	context  context.Context
	stop     context.CancelFunc
	mutex    sync.Mutex
	// queues holds the envelopes to be sent, by address. Each address has a sender goroutine.
	queues map[string]chan *wire.Envelope
	// zones maps the addresses of processes to their zones, as stated in received envelopes.
	zones    sync.Map
	inbound  atomic.Int64
	Counters Counters
}

// New returns a transport that does not listen yet. It calls receive with each received envelope, and refused with an
// address that refused a connection and the time at which the attempt began; refused may be nil. Both are called
// concurrently.
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

// Listen opens the port and starts to accept connections.
func (transport *Transport) Listen() error {
	listener, err := ListenTCP(transport.context, transport.address)
	if err != nil {
		return err
	}
	transport.listener = listener
	go transport.accept()
	return nil
}

// Close closes the listener and all connections.
func (transport *Transport) Close() {
	transport.stop()
	if transport.listener != nil {
		_ = transport.listener.Close() // The process can't react to a failed close.
	}
}

// Send queues messages for sending. It drops and counts those whose queue is full.
func (transport *Transport) Send(messages []statemachine.Message) {
	for _, message := range messages {
		if !transport.enqueue(message) {
			transport.Counters.Dropped.Add(1)
		}
	}
}

// enqueue adds a message to the queue of its address and reports whether there was room.
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

// retire removes the queue of an address if it is empty, and reports whether it was.
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

// countSent counts a sent envelope and its size in bytes.
func (transport *Transport) countSent(address string, size int) {
	transport.Counters.Sent.Add(1)
	transport.Counters.BytesOut.Add(uint64(size))
	if zone, found := transport.zones.Load(address); found && zone != transport.zone {
		transport.Counters.BytesOtherZone.Add(uint64(size))
	}
}

// localAddress returns the local address of outbound connections, which is the process's own IP address, or nil if it
// has none.
func (transport *Transport) localAddress() net.Addr {
	host, _, err := net.SplitHostPort(transport.address)
	if err != nil {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(host)}
}
