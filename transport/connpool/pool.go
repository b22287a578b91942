package connpool

import (
	"bufio"
	"context"
	"encoding/json"
	"sort"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/transport/netio"
)

const (
	// dialTimeout limits the establishment of a connection, identityTimeout the request for the runner's identity.
	dialTimeout     = 400 * time.Millisecond
	identityTimeout = 500 * time.Millisecond
	// unacknowledgedTimeout is the time for which sent bytes may stay unacknowledged before a connection is aborted.
	unacknowledgedTimeout = time.Second
	// activeWindow is the time after its last activity during which a connection counts as active.
	activeWindow = time.Second
)

// Counters counts a pool's operations since its creation.
type Counters struct {
	// Dials counts attempts to establish a connection, Reused the idle connections that were reused.
	Dials, Reused atomic.Uint64
	// WrongIdentity counts connections on which another runner responded. Unreachable counts failed dials and identity
	// requests, except those that failed because the caller's context ended.
	WrongIdentity, Unreachable atomic.Uint64
	// Aborted counts connections that the pool aborted, in use or idle.
	Aborted atomic.Uint64
}

// Pool holds the connections to all runners. It is safe for concurrent use. New creates one.
type Pool struct {
	environment netio.Environment
	// identityPath is the path of a runner's identity document; if it is empty, identities are not verified.
	identityPath string
	runners      runnerTable
	Counters     Counters
	// IsForeign reports whether a response belongs to a client's request and so can't answer the pool's own request for
	// a document. If nil, no response is foreign. The owner sets it before first use.
	IsForeign func(response *fasthttp.Response) bool
}

// New returns an empty pool, which requests the identity of runners at identityPath. If that is empty, identities are
// not verified, and every request has to name its intended runner.
func New(environment netio.Environment, identityPath string) *Pool {
	return &Pool{environment: environment, identityPath: identityPath}
}

// Take returns a connection to the runner with this identity at this address. If it fails, no byte of a request has
// been sent.
func (pool *Pool) Take(runner, address string) (*Connection, error) {
	return pool.TakeWithin(context.Background(), runner, address, 0)
}

// TakeWithin is Take limited by a context and a timeout in addition to the pool's own timeouts; 0 means no additional
// timeout.
func (pool *Pool) TakeWithin(
	ctx context.Context, runner, address string, timeout time.Duration,
) (*Connection, error) {
	if connection := pool.runners.get(runner).takeIdle(address, pool.environment.Now); connection != nil {
		pool.Counters.Reused.Add(1)
		connection.touch()
		return connection, nil
	}
	connection, err := pool.dial(ctx, runner, address, timeout)
	if err != nil {
		return nil, err
	}
	// The entry may have been removed while the connection was established, so it is looked up again.
	pool.runners.get(runner).addBusy(connection)
	return connection, nil
}

// dial establishes a connection and verifies the runner's identity.
func (pool *Pool) dial(ctx context.Context, runner, address string, timeout time.Duration) (*Connection, error) {
	pool.Counters.Dials.Add(1)
	dialLimit, identityLimit := dialTimeout, identityTimeout
	if timeout > 0 {
		dialLimit = min(dialLimit, timeout)
	}
	started := pool.environment.Now()
	timeouts := netio.Timeouts{Dial: dialLimit, Unacknowledged: unacknowledgedTimeout}
	raw, err := pool.environment.Dial(ctx, address, timeouts)
	if err != nil {
		pool.countUnreachable(ctx)
		return nil, apierror.Wrap(err, apierror.Unreachable, "runner %s at %s", runner, address)
	}
	connection := &Connection{Conn: raw, pool: pool, address: address}
	connection.Reader = bufio.NewReaderSize(connection, readBufferSize)
	connection.touch()
	if pool.identityPath == "" {
		connection.Identity = Identity{RunnerID: runner}
		return connection, nil
	}
	if timeout > 0 {
		identityLimit = min(identityLimit, timeout-pool.environment.Now().Sub(started))
	}
	if err := pool.identify(ctx, connection, runner, identityLimit); err != nil {
		_ = raw.Close() // It has carried no request, and is not used any more.
		return nil, err
	}
	return connection, nil
}

// identify requests the identity of the runner at the other end of a connection and verifies that it is the given one.
func (pool *Pool) identify(ctx context.Context, connection *Connection, runner string, timeout time.Duration) error {
	connection.Bind(ctx)
	content, err := connection.Get(pool.identityPath, timeout)
	if !connection.unbind() && err == nil {
		err = apierror.New(apierror.Unreachable, "the caller's context ended")
	}
	if err == nil {
		err = json.Unmarshal(content, &connection.Identity)
		err = apierror.Wrap(err, apierror.WrongIdentity, "the identity document is not valid JSON")
	}
	address := connection.address
	if err != nil {
		pool.countUnreachable(ctx)
		return apierror.Wrap(err, apierror.Unreachable, "requesting the identity of runner %s at %s", runner, address)
	}
	if other := connection.Identity.RunnerID; other != runner {
		pool.Counters.WrongIdentity.Add(1)
		return apierror.New(apierror.WrongIdentity, "runner %s responds at %s instead of runner %s", other, address, runner)
	}
	return nil
}

// countUnreachable counts a runner that could not be reached, unless the caller's context has ended.
func (pool *Pool) countUnreachable(ctx context.Context) {
	if ctx.Err() == nil {
		pool.Counters.Unreachable.Add(1)
	}
}

// Release returns a connection to the pool after its last response was read completely. idleTimeout is the time for
// which the runner keeps the connection open while idle, as announced by that response; 0 means that the response
// announced nothing, so that an earlier announcement stays valid. Connections that can't be reused are closed.
func (pool *Pool) Release(connection *Connection, idleTimeout time.Duration) {
	_ = connection.SetDeadline(time.Time{}) // It fails only on a closed connection, which the next Take detects.
	open := connection.unbind()
	if idleTimeout > 0 {
		connection.idleTimeout = idleTimeout
	}
	connection.idleSince = pool.environment.Now()
	reusable := open && !connection.closeAnnounced
	pool.runners.get(connection.Identity.RunnerID).putIdle(connection, reusable)
}

// AbortInactive aborts the inactive connections of a runner that has terminated, so that requests that wait for its
// responses fail at once.
//
// Connections in use that were active during the last second are kept: a process that has closed its port may still end
// its streams in order, and aborting them would lose responses that were nearly complete.
func (pool *Pool) AbortInactive(runner string) {
	pool.runners.get(runner).abortInactive(pool.environment.Now(), pool.abort)
}

// abort closes a connection while it may be in use.
func (pool *Pool) abort(connection *Connection) {
	pool.Counters.Aborted.Add(1)
	_ = connection.Conn.Close() // An aborted connection has nothing left to report.
}

// Unresponsive returns the runners, in order, from which a response is awaited on a connection without activity for at
// least threshold, and which respond on no other connection. They may be unreachable, or only busy.
func (pool *Pool) Unresponsive(threshold time.Duration) []string {
	now := pool.environment.Now()
	var unresponsive []string
	pool.runners.each(func(runner string, connections *runnerConnections) {
		if connections.unresponsive(now, threshold) {
			unresponsive = append(unresponsive, runner)
		}
	})
	sort.Strings(unresponsive)
	return unresponsive
}

// SuspectWaiting notifies the stall handlers of the requests that have waited at least threshold for the start of a
// runner's response. Their connections stay open, as the runner may still respond.
func (pool *Pool) SuspectWaiting(runner string, threshold time.Duration) {
	now := pool.environment.Now()
	pool.runners.get(runner).suspect(func(connection *Connection) bool {
		return connection.awaitingResponse.Load() && connection.inactivity(now) >= threshold
	})
}

// Suspect closes the idle connections of a runner that does not respond, and notifies the stall handlers of the
// requests on its inactive connections. Connections in use stay open: silence does not show that the runner has stopped
// working on their requests.
func (pool *Pool) Suspect(runner string) {
	now, connections := pool.environment.Now(), pool.runners.get(runner)
	connections.closeIdle(func() {})
	connections.suspect(func(connection *Connection) bool { return connection.inactivity(now) >= activeWindow })
}

// Remove closes the idle connections of a runner that is no longer listed, and removes its entry if none is in use.
func (pool *Pool) Remove(runner string) {
	pool.runners.get(runner).closeIdle(func() { pool.runners.remove(runner) })
}
