package netio

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

const patientBound = 10 * time.Second

// pair gives both ends of a connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = accepted.Close(), dialed.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
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

func TestLeftLooksAtTheState(t *testing.T) {
	for name, leave := range departures {
		near, far := pair(t)
		if Left(near) {
			t.Errorf("%s: it has left before", name)
		}
		if _, err := far.Write([]byte("x")); err != nil || Left(near) {
			t.Errorf("%s: unread bytes are taken for a close (%v)", name, err)
		}
		leave(far)
		for end := time.Now().Add(patientBound); !Left(near); runtime.Gosched() {
			if time.Now().After(end) {
				t.Fatalf("%s: never seen", name)
			}
		}
		// The look takes nothing out.
		if one, err := bufio.NewReader(near).ReadByte(); name != "resets" && (err != nil || one != 'x') {
			t.Errorf("%s: %q, %v", name, one, err)
		}
	}
	near, _ := pair(t)
	_ = near.Close()
	if !Left(near) {
		t.Error("a connection that is closed here has somebody on the other side")
	}
	if in, _ := net.Pipe(); Left(in) {
		t.Error("what is no connection of the system's is taken for closed")
	}
}

func TestWatchTellsOfTheCloseOnce(t *testing.T) {
	for name, leave := range departures {
		for when, before := range map[string]bool{"before the watch": true, "during the watch": false} {
			near, far := pair(t)
			if before {
				leave(far)
			}
			calls := make(chan struct{}, 2)
			// A bound on reading that is left over from the request has no say.
			_ = near.SetReadDeadline(time.Now().Add(-time.Second))
			stop := watch(near, func() { calls <- struct{}{} })
			if !before {
				_, _ = far.Write([]byte("a request behind the first"))
				leave(far)
			}
			select {
			case <-calls:
			case <-time.After(patientBound):
				t.Fatalf("%s %s: never told", name, when)
			}
			stop()
			if len(calls) > 0 {
				t.Errorf("%s %s: told twice", name, when)
			}
		}
	}
}

// Whoever stops the watch hears nothing any more, and can read what came meanwhile.
func TestStoppedWatchIsSilent(t *testing.T) {
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

// One connection carries request after request, each watched, also where they come before the last is answered.
func TestWatchedConnectionCarriesManyRequests(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	told := make(chan struct{}, 8)
	server := &fasthttp.Server{ReadTimeout: time.Second, IdleTimeout: time.Minute, Handler: func(request *fasthttp.RequestCtx) {
		requester := FromHTTP(request)
		stop := requester.Watch(func() { told <- struct{}{} })
		if requester.Left() {
			t.Error("it has left")
		}
		stop()
		request.SetBody(request.Path())
	}}
	go func() { _ = server.Serve(listener) }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	const requests = 50
	for range requests {
		if _, err := client.Write([]byte("GET /same HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
	}
	reader := bufio.NewReader(client)
	for number := range requests {
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", number, err)
		}
		if body, err := io.ReadAll(answer.Body); err != nil || string(body) != "/same" {
			t.Fatalf("answer %d: %q, %v", number, body, err)
		}
	}
	if len(told) > 0 {
		t.Error("a client that stays is taken to have left")
	}
}

// bound gives a connection that is bound to a context, its other side, and what ends the context and releases it.
func bound(t *testing.T) (conn Conn, far net.Conn, leave func(), release func() bool) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if conn, err = Real(nil).Dial(context.Background(), listener.Addr().String(), Timeouts{Dial: time.Second, Untaken: time.Second}); err != nil {
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
		t.Error("the other side is not told")
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
	world, started := Real(nil), time.Now()
	world.Wait(ctx, patientBound, nil)
	if _, err := world.Dial(ctx, "127.0.0.1:1", Timeouts{Dial: patientBound, Untaken: time.Second}); err == nil {
		t.Error("a connection for nobody was made")
	}
	if took := time.Since(started); took > patientBound/2 {
		t.Errorf("it took %v", took)
	}
}
