// Package transport carries envelopes between processes over TCP. Sending never blocks: each
// address has a bounded queue and one connection, and what can't be carried is dropped and
// counted, as the state machines above expect of a network.
package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wardtray/apierror"
	"wardtray/coordination/statemachine"
	"wardtray/transport/frame"
	"wardtray/wire"
)

const (
	queueLength     = 256
	bufferLength    = 4 << 10
	maximumInbound  = 4096
	maximumOutbound = 4096
	dialBound       = 500 * time.Millisecond
	writeBound      = time.Second
	idleBound       = time.Minute
	pauseAfterFail  = 100 * time.Millisecond
	// untakenBound is for how long sent bytes may stay untaken before a connection is given up: the peer may be
	// without power or behind a cut, and only a new connection finds it soon after it is back.
	untakenBound = time.Second
)

// alive ends connections on which nothing is sent while the peer is gone.
var alive = net.KeepAliveConfig{Enable: true, Idle: 15 * time.Second, Interval: 3 * time.Second, Count: 3}

// Counters are what the transport counts.
type Counters struct {
	Sent, Dropped, Received, BadFrames, BytesOut, BytesIn, BytesOtherZone atomic.Uint64
}

// Transport is one process's end.
type Transport struct {
	address  string
	zone     string
	listener net.Listener
	receive  func(envelope *wire.Envelope)
	refused  func(address string, tried time.Time)
	context  context.Context
	stop     context.CancelFunc
	mutex    sync.Mutex
	senders  map[string]chan *wire.Envelope
	zones    sync.Map
	inbound  atomic.Int64
	Counters Counters
}

// New makes an end that is not listening yet. refused hears where nobody listened when it was tried at a moment.
func New(address, zone string, receive func(envelope *wire.Envelope), refused func(address string, tried time.Time)) *Transport {
	running, stop := context.WithCancel(context.Background())
	return &Transport{address: address, zone: zone, receive: receive, refused: refused, context: running, stop: stop, senders: map[string]chan *wire.Envelope{}}
}

// Listen opens the port and begins to receive.
func (transport *Transport) Listen() error {
	listener, err := ListenTCP(transport.address)
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

func (transport *Transport) accept() {
	for {
		connection, err := transport.listener.Accept()
		if err != nil {
			if transport.context.Err() != nil {
				return
			}
			// Out of descriptors, say; trying again at once would only burn a core.
			transport.pause(pauseAfterFail)
			continue
		}
		if transport.inbound.Add(1) > maximumInbound {
			transport.inbound.Add(-1)
			_ = connection.Close()
			continue
		}
		go transport.read(connection)
	}
}

func (transport *Transport) pause(length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-transport.context.Done():
	}
}

func (transport *Transport) read(connection net.Conn) {
	defer transport.inbound.Add(-1)
	defer connection.Close()
	release := context.AfterFunc(transport.context, func() { _ = connection.Close() })
	defer release()
	if raw, fine := connection.(*net.TCPConn); fine {
		_ = raw.SetKeepAliveConfig(alive)
		if inner, err := raw.SyscallConn(); err == nil {
			// Without it such a connection is only noticed later to be dead.
			_ = patience("", "", inner)
		}
	}
	reader := bufio.NewReaderSize(connection, bufferLength)
	for {
		// A sender is never silent for longer than its own idle bound unless it is gone.
		_ = connection.SetReadDeadline(time.Now().Add(2 * idleBound))
		envelope, size, err := frame.Decode(reader)
		if err != nil {
			if apierror.Is(err, apierror.BadFrame) && transport.context.Err() == nil {
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

// Send hands parcels over for carrying.
func (transport *Transport) Send(parcels []statemachine.Message) {
	for _, parcel := range parcels {
		if !transport.offer(parcel) {
			transport.Counters.Dropped.Add(1)
		}
	}
}

func (transport *Transport) offer(parcel statemachine.Message) bool {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	queue := transport.senders[parcel.To]
	if queue == nil {
		if len(transport.senders) >= maximumOutbound || transport.context.Err() != nil {
			return false
		}
		queue = make(chan *wire.Envelope, queueLength)
		transport.senders[parcel.To] = queue
		go transport.write(parcel.To, queue)
	}
	select {
	case queue <- parcel.Envelope:
		return true
	default:
		return false
	}
}

// patience bounds how long sent bytes may stay untaken.
func patience(_, _ string, raw syscall.RawConn) error {
	var err error
	outer := raw.Control(func(descriptor uintptr) {
		err = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(untakenBound.Milliseconds()))
	})
	if outer != nil {
		return outer
	}
	return err
}

// sender is one address's own thread: its connection, and the messages that wait for it.
type sender struct {
	transport *Transport
	address   string
	queue     chan *wire.Envelope
	// hung tells that the present connection was ended by the peer.
	hung       chan struct{}
	connection net.Conn
	writer     *bufio.Writer
}

func (transport *Transport) write(address string, queue chan *wire.Envelope) {
	sender := &sender{transport: transport, address: address, queue: queue}
	defer sender.shut()
	idle := time.NewTimer(idleBound)
	defer idle.Stop()
	for {
		select {
		case envelope := <-queue:
			idle.Reset(idleBound)
			sender.carry(envelope)
		case <-sender.hung:
			// A peer that ends its connection may be dead, and whether anybody listens there now tells that for sure.
			sender.shut()
			sender.dial()
		case <-transport.context.Done():
			return
		case <-idle.C:
			if transport.retire(address, queue) {
				return
			}
			idle.Reset(idleBound)
		}
	}
}

func (sender *sender) shut() {
	if sender.connection != nil {
		_ = sender.connection.Close()
		sender.connection, sender.hung = nil, nil
	}
}

// dial tells whether there is a connection now.
func (sender *sender) dial() bool {
	transport, tried := sender.transport, time.Now()
	dialer := net.Dialer{Timeout: dialBound, LocalAddr: transport.local(), Control: patience, KeepAliveConfig: alive}
	connection, err := dialer.DialContext(transport.context, "tcp", sender.address)
	if err != nil {
		if errors.Is(err, unix.ECONNREFUSED) && transport.refused != nil {
			transport.refused(sender.address, tried)
		}
		return false
	}
	hung := make(chan struct{})
	sender.connection, sender.writer, sender.hung = connection, bufio.NewWriterSize(connection, bufferLength), hung
	go watch(connection, hung)
	return true
}

func (sender *sender) carry(envelope *wire.Envelope) {
	transport := sender.transport
	content, err := frame.Encode(envelope)
	if err != nil {
		transport.Counters.Dropped.Add(1)
		return
	}
	if sender.connection == nil && !sender.dial() {
		transport.Counters.Dropped.Add(uint64(1 + flush(sender.queue)))
		transport.pause(pauseAfterFail)
		return
	}
	if sender.writer.Buffered() == 0 {
		_ = sender.connection.SetWriteDeadline(time.Now().Add(writeBound))
	}
	_, err = sender.writer.Write(content)
	if err == nil && len(sender.queue) == 0 {
		err = sender.writer.Flush()
	}
	if err != nil {
		transport.Counters.Dropped.Add(1)
		sender.shut()
		return
	}
	transport.count(sender.address, len(content))
}

// watch notices that the other side has gone, so that the next message goes over a new connection.
func watch(connection net.Conn, hung chan<- struct{}) {
	var nothing [1]byte
	_, _ = connection.Read(nothing[:])
	_ = connection.Close()
	close(hung)
}

func (transport *Transport) count(address string, size int) {
	transport.Counters.Sent.Add(1)
	transport.Counters.BytesOut.Add(uint64(size))
	if zone, found := transport.zones.Load(address); found && zone != transport.zone {
		transport.Counters.BytesOtherZone.Add(uint64(size))
	}
}

// local makes connections leave from the process's own address.
func (transport *Transport) local() net.Addr {
	host, _, err := net.SplitHostPort(transport.address)
	if err != nil {
		return nil
	}
	return &net.TCPAddr{IP: net.ParseIP(host)}
}

func (transport *Transport) retire(address string, queue chan *wire.Envelope) bool {
	transport.mutex.Lock()
	defer transport.mutex.Unlock()
	if len(queue) > 0 {
		return false
	}
	delete(transport.senders, address)
	return true
}

func flush(queue chan *wire.Envelope) int {
	dropped := 0
	for {
		select {
		case <-queue:
			dropped++
		default:
			return dropped
		}
	}
}
