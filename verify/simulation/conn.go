package simulation

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"wardtray/apierror"
	"wardtray/transport/netio"
	"wardtray/verify/histories"
)

// retransmitInterval is the interval at which a dial or a transfer over a broken path is tried again.
const retransmitInterval = 60 * time.Millisecond

var (
	errReset       = errors.New("connection reset by peer")
	errRefused     = errors.New("connection refused")
	errNotAccepted = errors.New("the peer's machine acknowledges nothing")
)

// packet is a write in flight, or the end of a stream.
type packet struct {
	content []byte
	sent    time.Time
	end     bool
}

// conn is one end of a connection. It delivers bytes in order and loses none while it is open: cut links, powered-off
// machines and freezes only delay them, and a crash resets the connection.
type conn struct {
	world    *World
	owner    *Host
	peer     *conn
	remote   string
	timeouts netio.Timeouts
	// inFlight are the packets that the other machine has not received yet; transferring means that an event for the first
	// of them is scheduled.
	inFlight     []packet
	transferring bool
	received     []byte
	// receivedAt is the time at which the oldest unread bytes arrived.
	receivedAt time.Time
	// sentAt is the time at which the oldest unread bytes were written.
	sentAt   time.Time
	finished bool
	closed   bool
	err      error
	deadline time.Time
	reader   *coroutine
	// boundContext is the context that ends reads and writes when it ends; nil: none.
	boundContext context.Context
	// run is the run that a runner's end is serving, server the coroutine that serves it.
	run    *histories.Run
	server *coroutine
}

type address string

func (address address) Network() string { return "sim" }
func (address address) String() string  { return string(address) }

// transitTime draws the time that a packet takes.
func (network *network) transitTime() time.Duration {
	return network.Delay/4 + time.Duration(network.world.random.Int63n(int64(network.Jitter)/4+1))
}

// dial opens a connection from the running coroutine. While there is no path both ways, it retries until the dial
// timeout.
func (network *network) dial(
	ctx context.Context,
	from *Host,
	target string,
	timeouts netio.Timeouts,
) (netio.Conn, error) {
	world := network.world
	to, started, coroutine := world.byName[target], world.Now, world.coroutines.current
	defer func() { coroutine.decidedAt = world.Now }()
	for to != nil && !(world.topology.passes(from, to) && world.topology.passes(to, from)) {
		if world.Now.Sub(started) >= timeouts.Dial {
			return nil, apierror.Wrap(os.ErrDeadlineExceeded, apierror.Unreachable, "dialing %s", target)
		}
		world.coroutines.wait(ctx, min(retransmitInterval, timeouts.Dial), nil)
		if err := ctx.Err(); err != nil {
			return nil, apierror.Wrap(err, apierror.Unreachable, "dialing %s", target)
		}
	}
	world.coroutines.wait(ctx, 2*network.transitTime(), nil)
	if err := ctx.Err(); err != nil {
		return nil, apierror.Wrap(err, apierror.Unreachable, "dialing %s", target)
	}
	if to == nil || !to.up || to.runner == nil {
		return nil, apierror.Wrap(errRefused, apierror.Unreachable, "dialing %s", target)
	}
	near := &conn{world: world, owner: from, remote: target, timeouts: timeouts}
	far := &conn{world: world, owner: to, remote: from.Address, peer: near}
	near.peer = far
	from.conns, to.conns = append(from.conns, near), append(to.conns, far)
	engine := to.runner.engine
	world.coroutines.spawn(to, func() { engine.serve(far) })
	return near, nil
}

// fail ends this end with an error, cancels its run and wakes its readers.
func (conn *conn) fail(err error) {
	if conn.err == nil {
		conn.err = err
	}
	conn.cancelRun()
	conn.inFlight = nil
	conn.world.coroutines.wake(conn.reader)
	conn.world.coroutines.wake(conn.server)
	for index, other := range conn.owner.conns {
		if other == conn {
			conn.owner.conns = append(conn.owner.conns[:index], conn.owner.conns[index+1:]...)
			break
		}
	}
}

// reset resets the other end, if there is a path to its machine.
func (conn *conn) reset() {
	world, peer := conn.world, conn.peer
	if !world.topology.passes(conn.owner, peer.owner) {
		return
	}
	world.After(world.network.transitTime(), func() { peer.fail(errReset) })
}

// resetBothEnds resets both ends independently, each after its own random transit time. The reset of an end may come
// before, during or after a write of that end.
func (conn *conn) resetBothEnds() {
	world := conn.world
	world.After(world.network.transitTime(), func() { conn.fail(errReset) })
	world.After(world.network.transitTime(), func() { conn.peer.fail(errReset) })
}

// crash ends this end together with its process; reachable means that its machine still sends a reset.
func (conn *conn) crash(reachable bool) {
	conn.closed = true
	conn.inFlight = nil
	if reachable {
		conn.reset()
	}
}

// bindRun sets the run that this end works on, which is cancelled when the connection ends.
func (conn *conn) bindRun(run *histories.Run) {
	conn.run = run
	if conn.err != nil || conn.peer.closed {
		conn.cancelRun()
	}
}

// cancelRun records that nobody waits for this end's run any more.
func (conn *conn) cancelRun() {
	if conn.run != nil && conn.run.Canceled.IsZero() {
		conn.run.Canceled = conn.world.Now
	}
}

// startTransfer schedules the transfer of the first packet in flight.
func (conn *conn) startTransfer() {
	if conn.transferring || len(conn.inFlight) == 0 {
		return
	}
	conn.transferring = true
	conn.world.After(conn.world.network.transitTime(), conn.transfer)
}

// transfer delivers the first packet in flight, or tries again later while there is no path both ways.
func (conn *conn) transfer() {
	conn.transferring = false
	if len(conn.inFlight) == 0 {
		return
	}
	world, peer, first := conn.world, conn.peer, conn.inFlight[0]
	if !world.topology.passes(conn.owner, peer.owner) || !world.topology.passes(peer.owner, conn.owner) {
		if conn.timeouts.Unacknowledged > 0 && world.Now.Sub(first.sent) >= conn.timeouts.Unacknowledged {
			conn.fail(errNotAccepted)
			return
		}
		conn.transferring = true
		world.After(retransmitInterval, conn.transfer)
		return
	}
	conn.inFlight = conn.inFlight[1:]
	if peer.closed || peer.err != nil {
		conn.fail(errReset)
		return
	}
	if len(peer.received) == 0 {
		peer.receivedAt, peer.sentAt = world.Now, first.sent
	}
	peer.received, peer.finished = append(peer.received, first.content...), peer.finished || first.end
	world.coroutines.wake(peer.reader)
	conn.startTransfer()
}

// Read returns the bytes that have arrived, and parks the coroutine until there are any.
func (conn *conn) Read(into []byte) (int, error) {
	coroutine := conn.world.coroutines.current
	defer func() { coroutine.decidedAt = conn.world.Now }()
	for {
		if conn.closed || conn.contextEnded() {
			return 0, net.ErrClosed
		}
		if len(conn.received) > 0 {
			count := copy(into, conn.received)
			conn.received = conn.received[count:]
			return count, nil
		}
		if conn.err != nil {
			return 0, conn.err
		}
		if conn.finished {
			return 0, io.EOF
		}
		if !conn.deadline.IsZero() && !conn.owner.localTime().Before(conn.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		conn.reader = conn.world.coroutines.current
		conn.reader.isReady = conn.contextEnded
		conn.reader.park()
		conn.reader.isReady = nil
		conn.reader = nil
	}
}

// Write hands bytes to the machine's network stack, which sends them when it can.
func (conn *conn) Write(content []byte) (int, error) {
	if conn.closed || conn.contextEnded() {
		return 0, net.ErrClosed
	}
	if conn.err != nil {
		return 0, conn.err
	}
	conn.inFlight = append(conn.inFlight, packet{content: append([]byte{}, content...), sent: conn.world.Now})
	conn.startTransfer()
	return len(content), nil
}

// Close aborts a daemon's connection: packets in flight are dropped. A runner's end closes gracefully, after all that
// was written.
func (conn *conn) Close() error {
	if conn.closed {
		return net.ErrClosed
	}
	conn.closed = true
	conn.peer.cancelRun()
	conn.world.coroutines.wake(conn.reader)
	if conn.owner.runner != nil {
		conn.inFlight = append(conn.inFlight, packet{sent: conn.world.Now, end: true})
		conn.startTransfer()
		return nil
	}
	conn.inFlight = nil
	conn.reset()
	return nil
}

// Bind ends reads and writes when a context ends; the caller closes the connection then.
func (conn *conn) Bind(ctx context.Context) (release func() bool) {
	conn.boundContext = ctx
	return func() bool {
		bound := !conn.contextEnded()
		conn.boundContext = nil
		return bound
	}
}

// contextEnded reports whether the context that the connection is bound to has ended.
func (conn *conn) contextEnded() bool {
	return conn.boundContext != nil && conn.boundContext.Err() != nil
}

// Idle reports whether the connection is open and has no unread bytes, so that it can be reused.
func (conn *conn) Idle() bool {
	return !conn.closed && !conn.contextEnded() && conn.err == nil && !conn.finished && len(conn.received) == 0
}

// SetDeadline sets the deadline of reads, by the owner's clock.
func (conn *conn) SetDeadline(at time.Time) error {
	conn.deadline = at
	if at.IsZero() {
		return nil
	}
	left := at.Sub(conn.owner.localTime())
	// The owner's clock may run half a percent slower than simulated time.
	conn.world.After(max(0, left+left/100+time.Millisecond), func() {
		if conn.deadline.Equal(at) {
			conn.world.coroutines.wake(conn.reader)
		}
	})
	return nil
}

// SetReadDeadline is SetDeadline: writes never block.
func (conn *conn) SetReadDeadline(at time.Time) error { return conn.SetDeadline(at) }

// SetWriteDeadline does nothing: writes never block.
func (conn *conn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr returns the address of the owner's machine.
func (conn *conn) LocalAddr() net.Addr { return address(conn.owner.Address) }

// RemoteAddr returns the address of the other machine.
func (conn *conn) RemoteAddr() net.Addr { return address(conn.remote) }
