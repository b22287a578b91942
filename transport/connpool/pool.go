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
	dialTimeout     = 400 * time.Millisecond
	identityTimeout = 500 * time.Millisecond
	// unacknowledgedTimeout is for how long sent bytes may stay unacknowledged before a connection is aborted.
	unacknowledgedTimeout = time.Second
	// activeWindow is for how long after its last byte a connection counts as one on which the runner responds.
	activeWindow = time.Second
)

// Counters count what a pool has done since it was created.
type Counters struct {
	// Dials counts new connections that were tried, Reused the times that an idle connection was taken.
	Dials, Reused atomic.Uint64
	// WrongIdentity counts connections on which another runner answered, Unreachable failed dials and identity
	// requests that the caller did not give up itself.
	WrongIdentity, Unreachable atomic.Uint64
	// Aborted counts connections that the pool aborted under their users.
	Aborted atomic.Uint64
}

// Pool holds the connections to all runners. It is safe for concurrent use.
type Pool struct {
	environment netio.Environment
	// identityPath is the path at which runners return their identity; if empty they are not asked.
	identityPath string
	runners      runnerTable
	Counters     Counters
	// IsForeign reports whether a response belongs to a client's request, so that it can't be that to the pool's
	// own request for a document. If nil, no response is taken for foreign.
	IsForeign func(response *fasthttp.Response) bool
}

// New returns an empty pool. Runners are asked for their identity at identityPath; if that is empty, every request has
// to name the runner that it is meant for.
func New(environment netio.Environment, identityPath string) *Pool {
	return &Pool{environment: environment, identityPath: identityPath}
}

// Take returns a connection to the runner of this identity at this address. If it fails, no byte of a request has been
// sent.
func (pool *Pool) Take(runner, address string) (*Connection, error) {
	return pool.TakeWithin(context.Background(), runner, address, 0)
}

// TakeWithin is Take for a caller that waits no longer than the context lasts, and than timeout; 0 means no timeout
// beyond the pool's own.
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
	// The runner's entry may have been removed while the connection was established, so it is looked up again.
	pool.runners.get(runner).addBusy(connection)
	return connection, nil
}

// dial establishes a connection and checks the runner's identity.
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

// identify asks the runner at the other end of a connection for its identity and requires it to be the given runner.
func (pool *Pool) identify(ctx context.Context, connection *Connection, runner string, timeout time.Duration) error {
	connection.Bind(ctx)
	content, err := connection.Get(pool.identityPath, timeout)
	if !connection.unbind() && err == nil {
		err = apierror.New(apierror.Unreachable, "nobody waits for it any more")
	}
	if err == nil {
		err = json.Unmarshal(content, &connection.Identity)
		err = apierror.Wrap(err, apierror.WrongIdentity, "the identity is no JSON")
	}
	address := connection.address
	if err != nil {
		pool.countUnreachable(ctx)
		return apierror.Wrap(err, apierror.Unreachable, "asking runner %s at %s who it is", runner, address)
	}
	if other := connection.Identity.RunnerID; other != runner {
		pool.Counters.WrongIdentity.Add(1)
		return apierror.New(apierror.WrongIdentity, "%s answers at %s instead of %s", other, address, runner)
	}
	return nil
}

// countUnreachable counts a runner that could not be reached, unless the caller has given up waiting for it.
func (pool *Pool) countUnreachable(ctx context.Context) {
	if ctx.Err() == nil {
		pool.Counters.Unreachable.Add(1)
	}
}

// Release returns a connection to the pool after its last response was read completely. idleTimeout is for how long the
// runner keeps it open while idle, as announced by that response; 0 means that it announced nothing, and what an
// earlier response announced still holds. Connections that can't be reused are closed.
func (pool *Pool) Release(connection *Connection, idleTimeout time.Duration) {
	_ = connection.SetDeadline(time.Time{}) // It fails only on a closed connection, which the next Take finds out.
	open := connection.unbind()
	if idleTimeout > 0 {
		connection.idleTimeout = idleTimeout
	}
	connection.idleSince = pool.environment.Now()
	reusable := open && !connection.closeAnnounced
	pool.runners.get(connection.Identity.RunnerID).putIdle(connection, reusable)
}

// AbortInactive aborts the connections of a runner that seems to have failed, so that whoever waits for its response
// learns of it at once.
//
// Why not those on which it responded a moment ago: a runner that shuts down, or only fails to report its load, ends
// its streams in order, and cutting them would lose responses that were nearly complete.
func (pool *Pool) AbortInactive(runner string) {
	pool.runners.get(runner).abortInactive(pool.environment.Now(), pool.abort)
}

// abort closes a connection under its user.
func (pool *Pool) abort(connection *Connection) {
	pool.Counters.Aborted.Add(1)
	_ = connection.Conn.Close() // An aborted connection has nothing left to report.
}

// Unresponsive returns the runners, in order, on whose connections no byte has arrived for at least threshold
// although somebody waits for the start of a response: they may be unreachable, or only busy.
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

// AbortRetryable aborts the connections of a runner on which a retryable request has waited at least threshold for
// the start of its response.
//
// Why only retryable ones: others have nothing to gain, and the runner may still respond.
func (pool *Pool) AbortRetryable(runner string, threshold time.Duration) {
	pool.runners.get(runner).abortRetryable(pool.environment.Now(), threshold, pool.abort)
}

// Remove closes the idle connections of a runner that is no longer listed.
func (pool *Pool) Remove(runner string) {
	pool.runners.get(runner).closeIdle(func() { pool.runners.remove(runner) })
}
