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

const retryEvery = 60 * time.Millisecond

var (
	errReset       = errors.New("connection reset by the other side")
	errRefused     = errors.New("connection refused")
	errNotAccepted = errors.New("the other side's machine takes nothing")
)

// packet is bytes on their way, or the end of a stream.
type packet struct {
	content []byte
	sent    time.Time
	end     bool
}

// conn is one end of a connection. It keeps order and loses nothing while it stands: a cut, a dark
// machine and a freeze only hold bytes up; a crash resets it.
type conn struct {
	world  *World
	owner  *Host
	peer   *conn
	remote string
	terms  netio.Timeouts
	// inFlight are the packets that the other machine has not taken yet.
	inFlight []packet
	pumping  bool
	received []byte
	// receivedAt is when the oldest bytes that were not read yet came.
	receivedAt time.Time
	// sentAt is when those bytes were written.
	sentAt   time.Time
	finished bool
	closed   bool
	err      error
	deadline time.Time
	reader   *coroutine
	// boundContext ends the connection with it; nil: nothing does.
	boundContext context.Context
	// run is what a runner's end serves now, and server the coroutine that does.
	run    *histories.Run
	server *coroutine
}

type address string

func (address address) Network() string { return "sim" }
func (address address) String() string  { return string(address) }

func (network *network) transitTime() time.Duration {
	return network.Delay/4 + time.Duration(network.world.random.Int63n(int64(network.Jitter)/4+1))
}

// dial makes a connection from the running coroutine.
func (network *network) dial(ctx context.Context, from *Host, target string, terms netio.Timeouts) (netio.Conn, error) {
	world := network.world
	to, started, coroutine := world.byName[target], world.Now, world.coroutines.current
	defer func() { coroutine.decided = world.Now }()
	for to != nil && !(world.topology.passes(from, to) && world.topology.passes(to, from)) {
		if world.Now.Sub(started) >= terms.Dial {
			return nil, apierror.Wrap(os.ErrDeadlineExceeded, apierror.Unreachable, "dialing %s", target)
		}
		world.coroutines.wait(ctx, min(retryEvery, terms.Dial), nil)
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
	near := &conn{world: world, owner: from, remote: target, terms: terms}
	far := &conn{world: world, owner: to, remote: from.Address, peer: near}
	near.peer = far
	from.conns, to.conns = append(from.conns, near), append(to.conns, far)
	engine := to.runner.engine
	world.coroutines.spawn(to, func() { engine.serve(far) })
	return near, nil
}

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

// reset tells the other side that this end is no more, if that can be told.
func (conn *conn) reset() {
	world, peer := conn.world, conn.peer
	if !world.topology.passes(conn.owner, peer.owner) {
		return
	}
	world.After(world.network.transitTime(), func() { peer.fail(errReset) })
}

// resetBothEnds has both ends learn of a reset when it comes to them, before, while or after they write.
func (conn *conn) resetBothEnds() {
	world := conn.world
	world.After(world.network.transitTime(), func() { conn.fail(errReset) })
	world.After(world.network.transitTime(), func() { conn.peer.fail(errReset) })
}

// crash ends this end with its process; reachable is whether its machine still answers for it.
func (conn *conn) crash(reachable bool) {
	conn.closed = true
	conn.inFlight = nil
	if reachable {
		conn.reset()
	}
}

// bindRun notes which run this end works on, so that the run is told when its connection ends.
func (conn *conn) bindRun(run *histories.Run) {
	conn.run = run
	if conn.err != nil || conn.peer.closed {
		conn.cancelRun()
	}
}

// cancelRun notes that whoever waited for this end's run does no more.
func (conn *conn) cancelRun() {
	if conn.run != nil && conn.run.Canceled.IsZero() {
		conn.run.Canceled = conn.world.Now
	}
}

// startTransfer carries packets over, in order.
func (conn *conn) startTransfer() {
	if conn.pumping || len(conn.inFlight) == 0 {
		return
	}
	conn.pumping = true
	conn.world.After(conn.world.network.transitTime(), conn.transfer)
}

func (conn *conn) transfer() {
	conn.pumping = false
	if len(conn.inFlight) == 0 {
		return
	}
	world, peer, first := conn.world, conn.peer, conn.inFlight[0]
	if !world.topology.passes(conn.owner, peer.owner) || !world.topology.passes(peer.owner, conn.owner) {
		if conn.terms.Unacknowledged > 0 && world.Now.Sub(first.sent) >= conn.terms.Unacknowledged {
			conn.fail(errNotAccepted)
			return
		}
		conn.pumping = true
		world.After(retryEvery, conn.transfer)
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

// Read returns what has arrived, and parks until something has.
func (conn *conn) Read(into []byte) (int, error) {
	coroutine := conn.world.coroutines.current
	defer func() { coroutine.decided = conn.world.Now }()
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
		if !conn.deadline.IsZero() && !conn.owner.local().Before(conn.deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		conn.reader = conn.world.coroutines.current
		conn.reader.arrive = conn.contextEnded
		conn.reader.park()
		conn.reader.arrive = nil
		conn.reader = nil
	}
}

// Write hands bytes to the machine's own system, which sends them as it can.
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

// Close aborts a daemon's connection: what was not taken yet is not sent any more. A runner's own end
// closes as systems do, after all that was written.
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

// Bind has reads and writes end with a context; who uses the connection closes it then.
func (conn *conn) Bind(ctx context.Context) (release func() bool) {
	conn.boundContext = ctx
	return func() bool {
		stands := !conn.contextEnded()
		conn.boundContext = nil
		return stands
	}
}

// contextEnded reports whether the context that the connection is bound to has ended.
func (conn *conn) contextEnded() bool {
	return conn.boundContext != nil && conn.boundContext.Err() != nil
}

// Idle reports whether nothing has come that was not asked for.
func (conn *conn) Idle() bool {
	return !conn.closed && !conn.contextEnded() && conn.err == nil && !conn.finished && len(conn.received) == 0
}

// SetDeadline bounds reading, by the owner's own clock.
func (conn *conn) SetDeadline(at time.Time) error {
	conn.deadline = at
	if at.IsZero() {
		return nil
	}
	left := at.Sub(conn.owner.local())
	// The owner's clock may go half a percent slower than the world's.
	conn.world.After(max(0, left+left/100+time.Millisecond), func() {
		if conn.deadline.Equal(at) {
			conn.world.coroutines.wake(conn.reader)
		}
	})
	return nil
}

// SetReadDeadline is SetDeadline: writing never waits.
func (conn *conn) SetReadDeadline(at time.Time) error { return conn.SetDeadline(at) }

// SetWriteDeadline does nothing: writing never waits.
func (conn *conn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr and RemoteAddr name the two machines.
func (conn *conn) LocalAddr() net.Addr { return address(conn.owner.Address) }

// RemoteAddr names the other machine.
func (conn *conn) RemoteAddr() net.Addr { return address(conn.remote) }
