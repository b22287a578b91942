package connpool

import (
	"bufio"
	"context"
	"errors"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/transport/netio"
)

const (
	// maximumIdleTime is the maximum idle time after which a connection is still reused, whatever its runner announced.
	maximumIdleTime = 15 * time.Second
	// idleMargin is subtracted from the idle timeout that a runner announced: a connection is not reused in this last part
	// of it.
	idleMargin = 500 * time.Millisecond
	// maximumAnnouncedSeconds is the maximum of an announced idle timeout, in seconds; longer ones are reduced to it.
	maximumAnnouncedSeconds = 3600
	// readBufferSize is the size of a connection's read buffer, in bytes.
	readBufferSize = 8 << 10
	// maximumDocumentSize is the maximum size of the body of a response to Get, in bytes.
	maximumDocumentSize = 64 << 10
)

// Identity is a runner's identity document.
type Identity struct {
	RunnerID string   `json:"runner_id"`
	Service  string   `json:"service"`
	Model    string   `json:"model"`
	Weights  string   `json:"weights"`
	Adapters []string `json:"adapters"`
}

// Connection is a connection to a runner whose identity was verified. It has one user at a time, until it is returned
// to the pool or closed.
type Connection struct {
	netio.Conn
	// Reader buffers the bytes received from the runner.
	Reader *bufio.Reader
	// Identity is the identity that the runner returned over this connection.
	Identity  Identity
	pool      *Pool
	address   string
	idleSince time.Time
	// idleTimeout is the time for which the runner keeps the connection open while idle, as it last announced; 0 if it
	// announced nothing.
	idleTimeout time.Duration
	// closeAnnounced is set once the runner has announced that it closes the connection after its response.
	closeAnnounced bool
	// lastActive is the time at which the last byte arrived from the runner, a request was sent, or the connection was
	// taken from the pool, whichever is latest.
	lastActive atomic.Pointer[time.Time]
	// awaitingResponse is set from the sending of a request until the first event of its response.
	awaitingResponse atomic.Bool
	wait             readWait
	// unbindContext undoes Bind and reports whether the context had not closed the connection; nil if the connection is
	// not bound.
	unbindContext func() bool
}

// Bind closes the connection if the context ends before the connection is returned to the pool or closed.
func (connection *Connection) Bind(ctx context.Context) {
	connection.unbindContext = connection.Conn.Bind(ctx)
}

// unbind undoes Bind and reports whether the context had not closed the connection.
func (connection *Connection) unbind() bool {
	unbindContext := connection.unbindContext
	connection.unbindContext = nil
	return unbindContext == nil || unbindContext()
}

// RequestSent records that a request was sent over the connection.
func (connection *Connection) RequestSent() {
	connection.touch()
	connection.awaitingResponse.Store(true)
}

// ResponseStarted records that the first event of the response has arrived.
func (connection *Connection) ResponseStarted() { connection.awaitingResponse.Store(false) }

// touch records activity at the current time.
func (connection *Connection) touch() {
	now := connection.pool.environment.Now()
	connection.lastActive.Store(&now)
}

// inactivity returns the time since the last activity.
func (connection *Connection) inactivity(now time.Time) time.Duration {
	return now.Sub(*connection.lastActive.Load())
}

// reusable reports whether an idle connection may carry another request to an address. If the runner closes it at the
// same time, it is uncertain whether a request sent over it was executed.
func (connection *Connection) reusable(address string, now time.Time) bool {
	return connection.address == address &&
		now.Sub(connection.idleSince) < connection.reuseWindow() &&
		connection.Idle()
}

// reuseWindow returns the maximum idle time after which the connection is still reused.
func (connection *Connection) reuseWindow() time.Duration {
	if connection.idleTimeout == 0 {
		return maximumIdleTime
	}
	// The runner measures its timeout from its own last byte, so it closes a little earlier or later than expected here.
	// It is uncertain whether a request sent at that moment is executed.
	return min(maximumIdleTime, connection.idleTimeout-idleMargin)
}

// Read reads from the connection and records activity if it read any bytes. During a wait that AwaitResponse has begun
// it goes on reading after a stall.
func (connection *Connection) Read(buffer []byte) (int, error) {
	for {
		count, err := connection.Conn.Read(buffer)
		if count > 0 {
			connection.touch()
		}
		timedOut := count == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if !timedOut || !connection.wait.resume(connection.Conn, connection.pool.environment.Now) {
			return count, err
		}
	}
}

// SetDeadline sets the deadline of all further reads and writes, and ends a wait that AwaitResponse has begun.
func (connection *Connection) SetDeadline(deadline time.Time) error {
	return connection.wait.begin(connection.Conn, nil, deadline, deadline)
}

// AwaitResponse sets the deadline of all further reads and writes. If a read waits until stall, before the deadline,
// the connection notifies the handler and goes on reading. It notifies the handler at most once, and earlier if the
// runner is suspected to be unresponsive.
func (connection *Connection) AwaitResponse(handler StallHandler, stall, deadline time.Time) error {
	return connection.wait.begin(connection.Conn, handler, stall, deadline)
}

// Interrupt ends the read of the wait that AwaitResponse has begun for this handler. It does nothing if that wait has
// ended.
func (connection *Connection) Interrupt(handler StallHandler) {
	connection.wait.interrupt(connection.Conn, handler)
}

// suspect notifies the handler of a pending wait at once, instead of at its stall time.
func (connection *Connection) suspect() { connection.wait.suspect(connection.Conn) }

// Close aborts the connection and removes it from the pool.
func (connection *Connection) Close() error {
	connection.pool.runners.get(connection.Identity.RunnerID).release(connection)
	connection.unbind()
	return connection.Conn.Close()
}

// Get requests a small document over this connection and returns its body. For a 4xx status it returns an error with
// the code apierror.NotAnswered, after which the connection remains usable; any other failure has the code
// apierror.Unreachable.
func (connection *Connection) Get(path string, timeout time.Duration) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodGet)
	request.SetRequestURI(path)
	request.Header.SetHost(connection.RemoteAddr().String())
	if err := connection.SetDeadline(connection.pool.environment.Now().Add(timeout)); err != nil {
		return nil, apierror.Wrap(err, apierror.Unreachable, "setting a deadline")
	}
	if err := connection.exchange(request, response); err != nil {
		return nil, apierror.Wrap(err, apierror.Unreachable, "requesting %s", path)
	}
	if foreign := connection.pool.IsForeign; foreign != nil && foreign(response) {
		return nil, apierror.New(apierror.Unreachable, "the response to a client's request arrived in place of %s", path)
	}
	connection.closeAnnounced = connection.closeAnnounced || response.ConnectionClose()
	if idleTimeout := KeepAlive(response); idleTimeout > 0 {
		connection.idleTimeout = idleTimeout
	}
	status := response.StatusCode()
	if status >= fasthttp.StatusBadRequest && status < fasthttp.StatusInternalServerError {
		return nil, apierror.New(apierror.NotAnswered, "%s responds with status %d", path, status)
	}
	if status != fasthttp.StatusOK {
		return nil, apierror.New(apierror.Unreachable, "%s responds with status %d", path, status)
	}
	return append([]byte{}, response.Body()...), nil
}

// exchange sends a request and reads its response.
func (connection *Connection) exchange(request *fasthttp.Request, response *fasthttp.Response) error {
	writer := bufio.NewWriter(connection)
	if err := request.Write(writer); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	return response.ReadLimitBody(connection.Reader, maximumDocumentSize)
}

// KeepAlive returns the idle timeout that a response announces in its Keep-Alive header, or 0 if it announces none. A
// timeout of zero seconds returns 1 ms.
func KeepAlive(response *fasthttp.Response) time.Duration {
	_, limit, found := strings.Cut(string(response.Header.Peek("Keep-Alive")), "timeout=")
	if !found {
		return 0
	}
	limit, _, _ = strings.Cut(limit, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(limit))
	if err != nil || seconds < 0 {
		return 0
	}
	// A timeout of zero seconds is an announcement too and must differ from none.
	return max(time.Millisecond, time.Duration(min(seconds, maximumAnnouncedSeconds))*time.Second)
}
