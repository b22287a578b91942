package proxy

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wardtray/balancer/scheduler"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
	"wardtray/transport/connpool"
	"wardtray/transport/netio"
)

// freezeAtSend freezes the daemon for a duration between its decision and the write, at the moment when it announces an
// at-most-once request to the zone. meanwhile runs during the freeze.
func freezeAtSend(daemon *testDaemon, length time.Duration, meanwhile func()) {
	var frozenFor atomic.Int64
	clock := daemon.Environment.Now
	daemon.Environment.Now = func() time.Time { return clock().Add(time.Duration(frozenFor.Load())) }
	daemon.Announce = func(_ dedup.Key, dropped bool) {
		if !dropped && frozenFor.Load() == 0 {
			frozenFor.Store(int64(length))
			meanwhile()
		}
	}
}

// After a freeze between the decision and the write, everything that the decision depends on is checked again: nothing
// is sent under an expired lease or a changed configuration, or after the deadline.
func TestFreezeBetweenDecisionAndWrite(t *testing.T) {
	const closed = `{"zones":[{"name":"a","closed":true}],
"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],
"lanes":[{"name":"once","pool":"p","worth":1,"patience":"2s","purse":1,"repeatable":false},
{"name":"short","pool":"p","worth":1,"patience":"2s","purse":1,"repeatable":false,"deadline":"150ms"}]}`
	for name, trial := range map[string]struct {
		route  string
		change func(daemon *testDaemon)
	}{
		"the lease has run out": {"once", func(daemon *testDaemon) {
			expired := *daemon.snapshot
			expired.ExpiresAt = daemon.Environment.Now().Add(-time.Second)
			daemon.snapshot = &expired
		}},
		"the zone was closed": {"once", func(daemon *testDaemon) {
			daemon.snapshot = newSnapshot(t, 2, closed)
		}},
		"the deadline has passed": {"short", func(*testDaemon) {}},
	} {
		runner := startRunner(t, "r1", events(1, done(1), true))
		daemon := newDaemon(t, runner)
		freezeAtSend(daemon, 400*time.Millisecond, func() { trial.change(daemon) })
		status, body := daemon.post(t, trial.route)
		if status == 200 || runner.reached.Load() != 0 {
			t.Errorf("%s: %d %s, the runner saw %d", name, status, body, runner.reached.Load())
		}
	}
}

// A pooled connection that its runner closes, or over which it sends something, while the daemon is frozen between
// taking the connection and writing, is not written to. Otherwise the outcome of the request would be unknown.
func TestConnectionEndsDuringAFreeze(t *testing.T) {
	for name, ends := range map[string]func(connection net.Conn){
		"closed": func(connection net.Conn) { _ = connection.Close() },
		"reset": func(connection net.Conn) {
			tcp, isTCP := connection.(*net.TCPConn)
			if !isTCP {
				t.Errorf("a %T", connection)
				return
			}
			abort(tcp)
		},
		"a surplus answer": func(connection net.Conn) { respond(connection, 503, `{"started":false}`) },
	} {
		kept := make(chan net.Conn, 4)
		runner := startRunner(t, "r1", func(connection net.Conn, request *http.Request) {
			events(1, done(1), true)(connection, request)
			kept <- connection
		})
		daemon := newDaemon(t, runner)
		if status, body := daemon.post(t, "once"); status != 200 {
			t.Fatalf("%s: %d %s", name, status, body)
		}
		freezeAtSend(daemon, time.Second/2, func() {
			ends(<-kept)
			time.Sleep(30 * time.Millisecond)
		})
		// There is no other runner, and nothing was sent to this one.
		if status, body := daemon.post(t, "once"); status != 503 || !strings.Contains(body, scheduler.DidNotRun) ||
			runner.reached.Load() != 1 {
			t.Errorf("%s: %d %s, the runner saw %d", name, status, body, runner.reached.Load())
		}
	}
}

// startEarlyResponder starts a runner that answers each request as soon as it has read the head, and closes the
// connection.
func startEarlyResponder(t *testing.T, id string, answer func(connection net.Conn)) *scriptedRunner {
	t.Helper()
	listener := listen(t)
	runner := &scriptedRunner{id: id, address: listener.Addr().String()}
	go acceptAll(listener, func(connection net.Conn) { runner.serveEarly(t, connection, answer) })
	return runner
}

func (runner *scriptedRunner) serveEarly(t *testing.T, connection net.Conn, answer func(connection net.Conn)) {
	t.Helper()
	defer closeQuietly(connection)
	// Small buffers on both sides keep most of a long body at its sender.
	tcp, isTCP := connection.(*net.TCPConn)
	if !isTCP || tcp.SetReadBuffer(smallBuffer) != nil {
		t.Errorf("no small buffer for a %T", connection)
	}
	reader := bufio.NewReaderSize(connection, smallBuffer)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if runner.answeredIdentity(connection, request) {
			continue
		}
		runner.reached.Add(1)
		answer(connection)
		return
	}
}

const smallBuffer = 4 << 10

// smallBuffers makes the daemon send with small buffers.
func smallBuffers(daemon *testDaemon) {
	environment := netio.Real(nil)
	dial := environment.Dial
	environment.Dial = func(ctx context.Context, address string, timeouts netio.Timeouts) (netio.Conn, error) {
		made, err := dial(ctx, address, timeouts)
		if err != nil {
			return nil, err
		}
		buffered, hasBuffer := made.(interface{ SetWriteBuffer(bytes int) error })
		if !hasBuffer {
			return nil, fmt.Errorf("a %T has no write buffer", made)
		}
		return made, buffered.SetWriteBuffer(smallBuffer)
	}
	daemon.Connections = connpool.New(environment, codec.Native{}.IdentityPath())
}

// A runner that answers before it has the complete request and closes the connection has decided its outcome: an
// at-most-once request goes to no other runner, although its last bytes could not be written.
func TestAnswerBeforeTheWholeRequest(t *testing.T) {
	ran := "id: 1\nevent: token\ndata: {}\n\n" + done(1)
	for name, trial := range map[string]struct {
		answer func(connection net.Conn)
		status int
		sends  int64
	}{
		"it ran": {func(connection net.Conn) {
			send(connection, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s",
				len(ran), ran)
		}, 200, 1},
		"it failed":       {func(connection net.Conn) { respond(connection, 500, `{"oh":"no"}`) }, 504, 1},
		"it rejected it":  {func(connection net.Conn) { respond(connection, 503, `{"started":false}`) }, 503, 2},
		"it said nothing": {func(net.Conn) {}, 503, 2},
	} {
		first, second := startEarlyResponder(t, "r1", trial.answer), startEarlyResponder(t, "r2", trial.answer)
		daemon := newDaemon(t, first, second)
		smallBuffers(daemon)
		status, body := daemon.sendBody(t, "once", strings.Repeat("x", 1<<20))
		if sends := first.reached.Load() + second.reached.Load(); status != trial.status || sends != trial.sends {
			t.Errorf("%s: %d %s, the runners saw %d", name, status, body, sends)
		}
	}
}
