package connpool

import (
	"bufio"
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/transport/netio"
)

const (
	// maximumIdleTime is for how long an idle connection may be reused, whatever its runner announced.
	maximumIdleTime = 15 * time.Second
	// idleMargin is how long before the end of the time that its runner announced a connection is no longer reused.
	idleMargin = 500 * time.Millisecond
	// maximumAnnouncedSeconds is the longest idle timeout that an announcement counts for.
	maximumAnnouncedSeconds = 3600
	readBufferSize          = 8 << 10
	// maximumDocumentSize is the largest body of a document, in bytes.
	maximumDocumentSize = 64 << 10
)

// Identity is how a runner identifies itself.
type Identity struct {
	RunnerID string   `json:"runner_id"`
	Service  string   `json:"service"`
	Model    string   `json:"model"`
	Weights  string   `json:"weights"`
	Adapters []string `json:"adapters"`
}

// Connection is a connection to a runner whose identity was checked. One user has it at a time, until it is
// returned to the pool or closed.
type Connection struct {
	netio.Conn
	// Reader buffers what arrives from the runner.
	Reader *bufio.Reader
	// Identity is the runner's, as returned over this connection.
	Identity  Identity
	pool      *Pool
	address   string
	idleSince time.Time
	// idleTimeout is for how long the runner keeps the connection open while idle, by its latest announcement; 0 if it
	// announced nothing.
	idleTimeout time.Duration
	// closeAnnounced is set once the runner has announced to close the connection after its response.
	closeAnnounced bool
	// lastActive is when a byte last arrived from the runner, a request was sent, or the connection was taken.
	lastActive atomic.Pointer[time.Time]
	// awaitingResponse is set while a request was sent and no event of its response has arrived; retryable, if that
	// request may be sent to another runner instead.
	awaitingResponse, retryable atomic.Bool
	// unbindContext detaches the connection from the context whose end would close it; nil if there is none.
	unbindContext func() bool
}

// Bind closes the connection when the context ends, until it is returned to the pool or closed.
func (connection *Connection) Bind(ctx context.Context) {
	connection.unbindContext = connection.Conn.Bind(ctx)
}

// unbind undoes Bind and reports whether the connection was still open, as far as its context is concerned.
func (connection *Connection) unbind() bool {
	unbindContext := connection.unbindContext
	connection.unbindContext = nil
	return unbindContext == nil || unbindContext()
}

// RequestSent records that a request was sent over the connection, and whether it may be retried at another runner.
func (connection *Connection) RequestSent(retryable bool) {
	connection.touch()
	connection.retryable.Store(retryable)
	connection.awaitingResponse.Store(true)
}

// ResponseStarted records that the first event of the response has arrived.
func (connection *Connection) ResponseStarted() { connection.awaitingResponse.Store(false) }

// touch records activity at this moment.
func (connection *Connection) touch() {
	now := connection.pool.environment.Now()
	connection.lastActive.Store(&now)
}

// inactivity returns how long ago the connection was last active.
func (connection *Connection) inactivity(now time.Time) time.Duration {
	return now.Sub(*connection.lastActive.Load())
}

// reusable reports whether an idle connection may carry another request to an address. If the runner had closed it, a
// request sent over it might or might not have been executed.
func (connection *Connection) reusable(address string, now time.Time) bool {
	return connection.address == address &&
		now.Sub(connection.idleSince) < connection.reuseWindow() &&
		connection.Idle()
}

// reuseWindow returns for how long the connection may be idle and still be reused.
func (connection *Connection) reuseWindow() time.Duration {
	if connection.idleTimeout == 0 {
		return maximumIdleTime
	}
	// The runner counts from its own last byte and closes a little earlier or later. A request sent at that moment
	// might or might not be executed.
	return min(maximumIdleTime, connection.idleTimeout-idleMargin)
}

// Read reads from the connection and records activity if bytes arrived.
func (connection *Connection) Read(buffer []byte) (int, error) {
	count, err := connection.Conn.Read(buffer)
	if count > 0 {
		connection.touch()
	}
	return count, err
}

// Close aborts the connection.
func (connection *Connection) Close() error {
	connection.pool.runners.get(connection.Identity.RunnerID).release(connection)
	connection.unbind()
	return connection.Conn.Close()
}

// Get requests a small document over this connection and returns its body. A status of 4xx returns an error with the
// code apierror.NotAnswered, after which the connection may be used further; any other failure has the code
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
		return nil, apierror.Wrap(err, apierror.Unreachable, "asking %s", path)
	}
	if foreign := connection.pool.IsForeign; foreign != nil && foreign(response) {
		return nil, apierror.New(apierror.Unreachable, "an answer to a request came in the place of %s", path)
	}
	connection.closeAnnounced = connection.closeAnnounced || response.ConnectionClose()
	if idleTimeout := KeepAlive(response); idleTimeout > 0 {
		connection.idleTimeout = idleTimeout
	}
	status := response.StatusCode()
	if status >= fasthttp.StatusBadRequest && status < fasthttp.StatusInternalServerError {
		return nil, apierror.New(apierror.NotAnswered, "%s answers %d", path, status)
	}
	if status != fasthttp.StatusOK {
		return nil, apierror.New(apierror.Unreachable, "%s answers %d", path, status)
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

// KeepAlive returns for how long a runner keeps the connection open while idle, as its response announces in the header
// Keep-Alive; 0 if it announces nothing.
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
	// A timeout of zero seconds is an announcement too, and must not read as none.
	return max(time.Millisecond, time.Duration(min(seconds, maximumAnnouncedSeconds))*time.Second)
}
