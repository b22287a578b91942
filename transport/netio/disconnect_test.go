package netio

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// testTimeout is the time for which a test waits for an expected event.
const testTimeout = 10 * time.Second

// listen opens a free port of the loopback interface until the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() }) // A test may have closed it before.
	return listener
}

// connect dials a listener.
func connect(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	dialed, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialed.Close() }) // A test may have closed it before.
	return dialed
}

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener := listen(t)
	dialed := connect(t, listener)
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() }) // A test may have closed it before.
	near, nearIsTCP := accepted.(*net.TCPConn)
	far, farIsTCP := dialed.(*net.TCPConn)
	if !nearIsTCP || !farIsTCP {
		t.Fatalf("%T and %T are no TCP connections", accepted, dialed)
	}
	return near, far
}

// closeMethods are the ways in which the peer may close a connection.
var closeMethods = map[string]func(far *net.TCPConn){
	"closes":                func(far *net.TCPConn) { _ = far.Close() },
	"resets":                func(far *net.TCPConn) { _, _ = far.SetLinger(0), far.Close() },
	"ends its sending side": func(far *net.TCPConn) { _ = far.CloseWrite() },
	"closes after sending bytes that are not read": func(far *net.TCPConn) {
		_, _ = far.Write([]byte("GET / HTTP/1.1\r\n"))
		_ = far.Close()
	},
}

// Disconnected must report every kind of close, also behind unread bytes, and must not consume these. Otherwise a
// request of a client that has disconnected runs on, or the next request on a connection is damaged.
func TestDisconnectedReportsClosedConnections(t *testing.T) {
	for name, closePeer := range closeMethods {
		near, far := pair(t)
		if Disconnected(near) {
			t.Errorf("%s: reported as closed before the close", name)
		}
		if _, err := far.Write([]byte("x")); err != nil || Disconnected(near) {
			t.Errorf("%s: reported as closed because of unread bytes (%v)", name, err)
		}
		closePeer(far)
		for end := time.Now().Add(testTimeout); !Disconnected(near); runtime.Gosched() {
			if time.Now().After(end) {
				t.Fatalf("%s: the close was not reported", name)
			}
		}
		// Disconnected consumes no bytes.
		if received, err := bufio.NewReader(near).ReadByte(); name != "resets" && (err != nil || received != 'x') {
			t.Errorf("%s: read %q, %v after the check", name, received, err)
		}
	}
	near, _ := pair(t)
	_ = near.Close()
	if !Disconnected(near) {
		t.Error("a connection that this side has closed is reported as open")
	}
	if pipe, _ := net.Pipe(); Disconnected(pipe) {
		t.Error("a connection without a socket is reported as closed")
	}
}

// watchClose must call its function exactly once for every kind of close, whether it happens before or during the
// watch.
func TestWatchReportsTheCloseOnce(t *testing.T) {
	for name, closePeer := range closeMethods {
		for when, before := range map[string]bool{"before the watch": true, "during the watch": false} {
			near, far := pair(t)
			if before {
				closePeer(far)
			}
			calls := make(chan struct{}, 2)
			// An expired read deadline of the request must not end the watch.
			_ = near.SetReadDeadline(time.Now().Add(-time.Second))
			stop := watchClose(near, func() { calls <- struct{}{} })
			if !before {
				_, _ = far.Write([]byte("a pipelined request"))
				closePeer(far)
			}
			select {
			case <-calls:
			case <-time.After(testTimeout):
				t.Fatalf("%s %s: the close was not reported", name, when)
			}
			stop()
			if len(calls) > 0 {
				t.Errorf("%s %s: the close was reported twice", name, when)
			}
		}
	}
}

// After stop returns, the watch must make no more calls, and bytes that arrived during it must be readable: they belong
// to the next request.
func TestStoppedWatchReportsNothing(t *testing.T) {
	for range 100 {
		near, far := pair(t)
		called := false
		stop := watchClose(near, func() { called = true })
		_, _ = far.Write([]byte("next"))
		stop()
		_ = far.Close()
		content, err := io.ReadAll(near)
		if err != nil || string(content) != "next" || called {
			t.Fatalf("read %q, %v after the watch; called: %v", content, err, called)
		}
	}
}

// Pipelined requests on one connection are each watched. Their bytes must not be taken for a close, nor be lost.
func TestWatchedConnectionCarriesManyRequests(t *testing.T) {
	listener := listen(t)
	notified := make(chan struct{}, 8)
	handler := func(request *fasthttp.RequestCtx) {
		client := FromHTTP(request)
		stop := client.OnDisconnect(func() { notified <- struct{}{} })
		if client.Disconnected() {
			t.Error("the client is reported as disconnected")
		}
		stop()
		request.SetBody(request.Path())
	}
	server := &fasthttp.Server{ReadTimeout: time.Second, IdleTimeout: time.Minute, Handler: handler}
	go func() { _ = server.Serve(listener) }()
	client := connect(t, listener)
	const requests = 50
	for range requests {
		if _, err := client.Write([]byte("GET /same HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
	}
	reader := bufio.NewReader(client)
	for number := range requests {
		if body, err := readBody(reader); err != nil || body != "/same" {
			t.Fatalf("response %d: %q, %v", number, body, err)
		}
	}
	if len(notified) > 0 {
		t.Error("a connected client was reported as disconnected")
	}
}

// readBody reads the next response and returns its body.
func readBody(reader *bufio.Reader) (string, error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return "", err
	}
	content, err := io.ReadAll(response.Body)
	return string(content), errors.Join(err, response.Body.Close())
}

// dialBound dials a connection and binds it to a context. It returns the connection, its peer, a function that cancels
// the context and the function that releases the connection from it.
func dialBound(t *testing.T) (conn Conn, far net.Conn, cancel func(), release func() bool) {
	t.Helper()
	listener := listen(t)
	timeouts := Timeouts{Dial: time.Second, Unacknowledged: time.Second}
	conn, err := Real(nil).Dial(context.Background(), listener.Addr().String(), timeouts)
	if err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	return conn, far, cancel, conn.Bind(ctx)
}

// A connection must be closed on both sides when the context that it is bound to ends, or its runner would run on for a
// client that has disconnected.
func TestBoundConnectionEndsWithItsContext(t *testing.T) {
	conn, far, cancel, release := dialBound(t)
	cancel()
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the connection can still be read")
	}
	if _, err := far.Read(make([]byte, 1)); err == nil {
		t.Error("the peer does not receive the close")
	}
	if release() {
		t.Error("release reports that the context had not ended")
	}
}

// A connection that was released before its context ends must stay open, because another request may use it.
func TestReleasedConnectionStays(t *testing.T) {
	conn, _, cancel, release := dialBound(t)
	if !release() {
		t.Error("release reports that the context had ended")
	}
	cancel()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	_ = conn.Close()
}

// Dial and Wait must return as soon as their context ends, not only at their timeout.
func TestWaitsEndWithTheirContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	environment, started := Real(nil), time.Now()
	environment.Wait(ctx, testTimeout, nil)
	timeouts := Timeouts{Dial: testTimeout, Unacknowledged: time.Second}
	if _, err := environment.Dial(ctx, "127.0.0.1:1", timeouts); err == nil {
		t.Error("Dial succeeded although its context had ended")
	}
	if took := time.Since(started); took > testTimeout/2 {
		t.Errorf("Wait and Dial returned after %v", took)
	}
}
