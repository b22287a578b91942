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

// testTimeout is how long a test waits for what must happen.
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

// departures are the ways in which the other side may end a connection.
var departures = map[string]func(far *net.TCPConn){
	"closes":                func(far *net.TCPConn) { _ = far.Close() },
	"resets":                func(far *net.TCPConn) { _, _ = far.SetLinger(0), far.Close() },
	"ends its sending side": func(far *net.TCPConn) { _ = far.CloseWrite() },
	"closes behind bytes that nobody reads": func(far *net.TCPConn) {
		_, _ = far.Write([]byte("GET / HTTP/1.1\r\n"))
		_ = far.Close()
	},
}

func TestLeftReportsClosedConnections(t *testing.T) {
	for name, leave := range departures {
		near, far := pair(t)
		if Disconnected(near) {
			t.Errorf("%s: it has left before", name)
		}
		if _, err := far.Write([]byte("x")); err != nil || Disconnected(near) {
			t.Errorf("%s: unread bytes are taken for a close (%v)", name, err)
		}
		leave(far)
		for end := time.Now().Add(testTimeout); !Disconnected(near); runtime.Gosched() {
			if time.Now().After(end) {
				t.Fatalf("%s: never seen", name)
			}
		}
		// The check consumes nothing.
		if one, err := bufio.NewReader(near).ReadByte(); name != "resets" && (err != nil || one != 'x') {
			t.Errorf("%s: %q, %v", name, one, err)
		}
	}
	near, _ := pair(t)
	_ = near.Close()
	if !Disconnected(near) {
		t.Error("a connection that is closed here has somebody on the other side")
	}
	if in, _ := net.Pipe(); Disconnected(in) {
		t.Error("a connection without a socket is reported as closed")
	}
}

func TestWatchReportsTheCloseOnce(t *testing.T) {
	for name, leave := range departures {
		for when, before := range map[string]bool{"before the watch": true, "during the watch": false} {
			near, far := pair(t)
			if before {
				leave(far)
			}
			calls := make(chan struct{}, 2)
			// A read deadline left over from the request does not matter.
			_ = near.SetReadDeadline(time.Now().Add(-time.Second))
			stop := watch(near, func() { calls <- struct{}{} })
			if !before {
				_, _ = far.Write([]byte("a request behind the first"))
				leave(far)
			}
			select {
			case <-calls:
			case <-time.After(testTimeout):
				t.Fatalf("%s %s: not reported", name, when)
			}
			stop()
			if len(calls) > 0 {
				t.Errorf("%s %s: reported twice", name, when)
			}
		}
	}
}

// A stopped watch makes no calls any more, and bytes that arrived meanwhile can be read.
func TestStoppedWatchReportsNothing(t *testing.T) {
	for range 100 {
		near, far := pair(t)
		called := false
		stop := watch(near, func() { called = true })
		_, _ = far.Write([]byte("next"))
		stop()
		_ = far.Close()
		content, err := io.ReadAll(near)
		if err != nil || string(content) != "next" || called {
			t.Fatalf("%q, %v, called %v", content, err, called)
		}
	}
}

// One connection carries many requests, each watched, also if they arrive before the previous response.
func TestWatchedConnectionCarriesManyRequests(t *testing.T) {
	listener := listen(t)
	notified := make(chan struct{}, 8)
	handler := func(request *fasthttp.RequestCtx) {
		client := FromHTTP(request)
		stop := client.OnDisconnect(func() { notified <- struct{}{} })
		if client.Disconnected() {
			t.Error("it has left")
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
		t.Error("a client that stays is taken to have left")
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

// bound returns a connection that is bound to a context, its other side, and what ends the context and releases it.
func bound(t *testing.T) (conn Conn, far net.Conn, leave func(), release func() bool) {
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
	ctx, leave := context.WithCancel(context.Background())
	return conn, far, leave, conn.Bind(ctx)
}

// A connection to a runner ends with the context that it is bound to.
func TestBoundConnectionEndsWithItsContext(t *testing.T) {
	conn, far, leave, release := bound(t)
	leave()
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("it still reads")
	}
	if _, err := far.Read(make([]byte, 1)); err == nil {
		t.Error("the peer does not see the close")
	}
	if release() {
		t.Error("it is said to stand")
	}
}

// One that was released before stays.
func TestReleasedConnectionStays(t *testing.T) {
	conn, _, leave, release := bound(t)
	if !release() {
		t.Error("it does not stand")
	}
	leave()
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Error(err)
	}
	_ = conn.Close()
}

// A dial and a wait end with their context.
func TestWaitsEndWithTheirContext(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	leave()
	environment, started := Real(nil), time.Now()
	environment.Wait(ctx, testTimeout, nil)
	timeouts := Timeouts{Dial: testTimeout, Unacknowledged: time.Second}
	if _, err := environment.Dial(ctx, "127.0.0.1:1", timeouts); err == nil {
		t.Error("a connection for nobody was made")
	}
	if took := time.Since(started); took > testTimeout/2 {
		t.Errorf("it took %v", took)
	}
}
