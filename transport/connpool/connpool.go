// Package link holds the connections to runners. Before any work goes over a new connection the
// runner is asked who it is, and connections are kept by that identity; so an address that now
// belongs to another runner never gets the former one's work.
package connpool

import (
	"bufio"
	"context"
	"encoding/json"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/transport/netio"
)

const (
	dialBound     = 400 * time.Millisecond
	untakenBound  = time.Second
	identityBound = 500 * time.Millisecond
	idleBound     = 15 * time.Second
	idleCount     = 16
	readerSize    = 8 << 10
	keepMargin    = 500 * time.Millisecond
	maximumBody   = 64 << 10
	// greatestKeep is the longest time, in seconds, that a runner's word of it is taken for.
	greatestKeep = 3600
)

// Identity is what a runner says it is.
type Identity struct {
	RunnerID string   `json:"runner_id"`
	Service  string   `json:"service"`
	Model    string   `json:"model"`
	Weights  string   `json:"weights"`
	Adapters []string `json:"adapters"`
}

// Connection is one checked connection.
type Connection struct {
	netio.Conn
	Reader   *bufio.Reader
	Identity Identity
	links    *Pool
	address  string
	idle     time.Time
	// keep is how long the runner lets it stay idle, by its latest word; 0: not told. ends says that it may not.
	keep time.Duration
	ends bool
	// heard is when it last carried a byte from the runner, or was taken for a request.
	heard atomic.Pointer[time.Time]
	// waits tells that a request went out over it and no event of its answer has come; again, that this request
	// may be begun anew at another runner.
	waits, again atomic.Bool
	// release lets go of the context whose end would close the connection; nil: there is none.
	release func() bool
}

// Bind closes the connection at the end of a context, whatever its user waits for, up to its Close or its Keep.
func (connection *Connection) Bind(ctx context.Context) {
	connection.release = connection.Conn.Bind(ctx)
}

// unbind tells whether the connection was left alone by the context that it was bound to.
func (connection *Connection) unbind() bool {
	release := connection.release
	connection.release = nil
	return release == nil || release()
}

// Sent says that a request has gone out over the connection, and whether it may be begun anew elsewhere.
func (connection *Connection) Sent(again bool) {
	connection.touch()
	connection.again.Store(again)
	connection.waits.Store(true)
}

// Answered says that the first event has come.
func (connection *Connection) Answered() { connection.waits.Store(false) }

// livelyBound is for how long after its last byte a connection counts as one over which the runner still answers.
const livelyBound = time.Second

func (connection *Connection) touch() {
	now := connection.links.environment.Now()
	connection.heard.Store(&now)
}

// silence is how long ago the connection last carried a byte from the runner, or was taken for a request.
func (connection *Connection) silence(now time.Time) time.Duration {
	return now.Sub(*connection.heard.Load())
}

// Read notes that the runner answers.
func (connection *Connection) Read(into []byte) (int, error) {
	count, err := connection.Conn.Read(into)
	if count > 0 {
		connection.touch()
	}
	return count, err
}

// Counters are what the links count.
type Counters struct {
	Dials, Reused, WrongIdentity, Unreachable, Lost atomic.Uint64
}

// shelf holds the connections of one runner: the idle ones, and those with work under way.
type shelf struct {
	mutex sync.Mutex
	idle  []*Connection
	busy  []*Connection
}

// Pool holds the connections of all runners.
type Pool struct {
	environment netio.Environment
	// identity is the path at which runners say who they are; empty: they are not asked.
	identity string
	shelves  sync.Map
	Counters Counters
	// Foreign tells whether an answer belongs to a request, so that it can't be the one to a question of Get; nil: that
	// can't be told.
	Foreign func(response *fasthttp.Response) bool
}

// New makes an empty set of connections into a world, on which runners are asked at a path who they are.
// With no path every request has to state whom it means.
func New(environment netio.Environment, identity string) *Pool {
	return &Pool{environment: environment, identity: identity}
}

func (links *Pool) shelf(runner string) *shelf {
	found, _ := links.shelves.LoadOrStore(runner, &shelf{})
	return found.(*shelf)
}

// Take gives a connection to the runner of this identity at this address, or a fault that says that
// no byte of work has been sent.
func (links *Pool) Take(runner, address string) (*Connection, error) {
	return links.TakeWithin(context.Background(), runner, address, 0)
}

// TakeWithin does the same for somebody who waits no longer than a context lasts, and than a bound; 0: who has no bound
// of its own.
func (links *Pool) TakeWithin(ctx context.Context, runner, address string, bound time.Duration) (*Connection, error) {
	shelf := links.shelf(runner)
	shelf.mutex.Lock()
	for len(shelf.idle) > 0 {
		last := len(shelf.idle) - 1
		connection := shelf.idle[last]
		shelf.idle = shelf.idle[:last]
		// A connection that the other side has closed would leave us in doubt about work sent over it.
		if connection.address == address && links.environment.Now().Sub(connection.idle) < connection.idleBound() && connection.Quiet() {
			shelf.busy = append(shelf.busy, connection)
			shelf.mutex.Unlock()
			links.Counters.Reused.Add(1)
			connection.touch()
			return connection, nil
		}
		_ = connection.Conn.Close()
	}
	shelf.mutex.Unlock()
	connection, err := links.dial(ctx, runner, address, bound)
	if err != nil {
		return nil, err
	}
	// The shelf may have been forgotten while the connection was being made.
	shelf = links.shelf(runner)
	shelf.mutex.Lock()
	defer shelf.mutex.Unlock()
	shelf.busy = append(shelf.busy, connection)
	return connection, nil
}

// idleBound is how long the connection may have been idle to be used again.
func (connection *Connection) idleBound() time.Duration {
	if connection.keep == 0 {
		return idleBound
	}
	// The runner counts from its own last byte and closes a little before or after; a request sent at that
	// moment would be in doubt.
	return min(idleBound, connection.keep-keepMargin)
}

func (links *Pool) dial(ctx context.Context, runner, address string, bound time.Duration) (*Connection, error) {
	links.Counters.Dials.Add(1)
	dialing, asking := dialBound, identityBound
	if bound > 0 {
		dialing = min(dialing, bound)
	}
	started := links.environment.Now()
	raw, err := links.environment.Dial(ctx, address, netio.Timeouts{Dial: dialing, Untaken: untakenBound})
	if err != nil {
		links.countUnreachable(ctx)
		return nil, apierror.Wrap(err, apierror.Unreachable, "runner %s at %s", runner, address)
	}
	connection := &Connection{Conn: raw, links: links, address: address}
	connection.Reader = bufio.NewReaderSize(connection, readerSize)
	connection.touch()
	if links.identity == "" {
		connection.Identity = Identity{RunnerID: runner}
		return connection, nil
	}
	if bound > 0 {
		asking = min(asking, bound-links.environment.Now().Sub(started))
	}
	connection.Bind(ctx)
	content, err := connection.Get(links.identity, asking)
	if !connection.unbind() && err == nil {
		err = apierror.New(apierror.Unreachable, "nobody waits for it any more")
	}
	if err == nil {
		err = apierror.Wrap(json.Unmarshal(content, &connection.Identity), apierror.WrongIdentity, "the identity is no JSON")
	}
	if err != nil {
		links.countUnreachable(ctx)
		_ = raw.Close()
		return nil, apierror.Wrap(err, apierror.Unreachable, "asking runner %s at %s who it is", runner, address)
	}
	if connection.Identity.RunnerID != runner {
		links.Counters.WrongIdentity.Add(1)
		_ = raw.Close()
		return nil, apierror.New(apierror.WrongIdentity, "%s answers at %s instead of %s", connection.Identity.RunnerID, address, runner)
	}
	return connection, nil
}

// countUnreachable counts a runner that could not be reached, unless nobody wanted to reach it any more.
func (links *Pool) countUnreachable(ctx context.Context) {
	if ctx.Err() == nil {
		links.Counters.Unreachable.Add(1)
	}
}

// Keep puts a connection back whose last answer has been read whole; the runner lets it stay idle for so
// long (0: that answer did not tell, and what an earlier one told holds).
func (links *Pool) Keep(connection *Connection, idle time.Duration) {
	_ = connection.SetDeadline(time.Time{})
	stands := connection.unbind()
	if idle > 0 {
		connection.keep = idle
	}
	connection.idle = links.environment.Now()
	shelf := links.shelf(connection.Identity.RunnerID)
	shelf.mutex.Lock()
	defer shelf.mutex.Unlock()
	if !shelf.rest(connection) || !stands || connection.ends || len(shelf.idle) >= idleCount || connection.Reader.Buffered() > 0 {
		_ = connection.Conn.Close()
		return
	}
	shelf.idle = append(shelf.idle, connection)
}

// rest takes a connection off the busy ones; it tells whether it was still among them.
func (shelf *shelf) rest(connection *Connection) bool {
	for place, busy := range shelf.busy {
		if busy == connection {
			shelf.busy = append(shelf.busy[:place], shelf.busy[place+1:]...)
			return true
		}
	}
	return false
}

// Close aborts a connection.
func (connection *Connection) Close() error {
	shelf := connection.links.shelf(connection.Identity.RunnerID)
	shelf.mutex.Lock()
	shelf.rest(connection)
	shelf.mutex.Unlock()
	connection.unbind()
	return connection.Conn.Close()
}

// Lose aborts the connections of a runner that seems to be gone, so that whoever waits for its answer
// learns of it at once.
//
// Why not those over which it answered a moment ago: a runner that leaves, or that only fails to tell its
// load, ends its streams in order, and cutting them would lose what was nearly done.
func (links *Pool) Lose(runner string) {
	shelf, now := links.shelf(runner), links.environment.Now()
	shelf.mutex.Lock()
	defer shelf.mutex.Unlock()
	var lively []*Connection
	for _, connection := range shelf.busy {
		if connection.silence(now) < livelyBound {
			lively = append(lively, connection)
			continue
		}
		links.abort(connection)
	}
	for _, connection := range shelf.idle {
		links.abort(connection)
	}
	shelf.idle, shelf.busy = nil, lively
}

// abort ends a connection under its user.
func (links *Pool) abort(connection *Connection) {
	links.Counters.Lost.Add(1)
	_ = connection.Conn.Close()
}

// Silent lists the runners for whose first event somebody has waited for so long without a byte on any of
// the runner's connections: they may be dark, or only busy.
func (links *Pool) Silent(bound time.Duration) []string {
	now := links.environment.Now()
	var silent []string
	links.shelves.Range(func(runner, held any) bool {
		if held.(*shelf).silent(now, bound) {
			silent = append(silent, runner.(string))
		}
		return true
	})
	sort.Strings(silent)
	return silent
}

func (shelf *shelf) silent(now time.Time, bound time.Duration) bool {
	shelf.mutex.Lock()
	defer shelf.mutex.Unlock()
	waited := false
	for _, connection := range shelf.busy {
		quiet := connection.silence(now) >= bound
		if !quiet && !connection.waits.Load() {
			return false
		}
		waited = waited || quiet && connection.waits.Load()
	}
	return waited
}

// Hurry aborts the connections of a runner on which requests wait for a first event that may be begun anew
// elsewhere.
//
// Why only those: one that can't be repeated has nothing to gain, and the runner may answer yet.
func (links *Pool) Hurry(runner string, bound time.Duration) {
	shelf, now := links.shelf(runner), links.environment.Now()
	shelf.mutex.Lock()
	defer shelf.mutex.Unlock()
	for _, connection := range shelf.busy {
		if connection.waits.Load() && connection.again.Load() && connection.silence(now) >= bound {
			links.abort(connection)
		}
	}
}

// Forget closes what is kept idle of a runner that is no longer listed.
func (links *Pool) Forget(runner string) {
	shelf := links.shelf(runner)
	shelf.mutex.Lock()
	defer shelf.mutex.Unlock()
	for _, connection := range shelf.idle {
		_ = connection.Conn.Close()
	}
	shelf.idle = nil
	if len(shelf.busy) == 0 {
		links.shelves.Delete(runner)
	}
}

// Get asks for a small document over this connection.
func (connection *Connection) Get(path string, bound time.Duration) ([]byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod("GET")
	request.SetRequestURI(path)
	request.Header.SetHost(connection.RemoteAddr().String())
	if err := connection.SetDeadline(connection.links.environment.Now().Add(bound)); err != nil {
		return nil, apierror.Wrap(err, apierror.Unreachable, "setting a deadline")
	}
	writer := bufio.NewWriter(connection)
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	if err == nil {
		err = response.ReadLimitBody(connection.Reader, maximumBody)
	}
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Unreachable, "asking %s", path)
	}
	if foreign := connection.links.Foreign; foreign != nil && foreign(response) {
		return nil, apierror.New(apierror.Unreachable, "an answer to a request came in the place of %s", path)
	}
	connection.ends = connection.ends || response.ConnectionClose()
	if keep := KeepAlive(response); keep > 0 {
		connection.keep = keep
	}
	if status := response.StatusCode(); status >= 400 && status < 500 {
		return nil, apierror.New(apierror.NotAnswered, "%s answers %d", path, status)
	}
	if response.StatusCode() != 200 {
		return nil, apierror.New(apierror.Unreachable, "%s answers %d", path, response.StatusCode())
	}
	return append([]byte{}, response.Body()...), nil
}

// KeepAlive gives how long a connection may stay idle behind an answer; 0: not told.
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
	// No time at all is told as well; longer than the greatest says nothing more.
	return max(time.Millisecond, time.Duration(min(seconds, greatestKeep))*time.Second)
}
