package server

import (
	"io"
	"log/slog"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardtray/config/process"
	"wardtray/transport/netio"
)

// testTimeout is the time for which a test waits for a condition that must come to hold.
const testTimeout = 10 * time.Second

// eventually waits until a condition holds.
func eventually(t *testing.T, event string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", event)
		}
	}
}

// newNode returns the server of a node without a chain, on a blank data folder. The node gets no ticks.
func newNode(t *testing.T) *Server {
	t.Helper()
	settings := &process.Settings{Folder: t.TempDir(), Address: "127.0.0.1:1", HTTP: "127.0.0.1:2", Zone: "a"}
	server, err := New(settings, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return server
}

// singleNode is a node without a chain behind an HTTP server. A call of its route /hold blocks until release is closed,
// and so delays the calls that follow on the same connection.
type singleNode struct {
	*Server
	address       string
	held, release chan struct{}
}

func newSingleNode(t *testing.T) *singleNode {
	t.Helper()
	node := &singleNode{Server: newNode(t), held: make(chan struct{}, 8), release: make(chan struct{})}
	routes := router.New()
	node.mountOperator(routes)
	node.mountRunners(routes)
	routes.GET("/hold", node.hold)
	listening := net.ListenConfig{}
	listener, err := listening.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = (&fasthttp.Server{Handler: routes.Handler}).Serve(listener) }()
	node.address = listener.Addr().String()
	return node
}

// hold returns when its caller has disconnected and release is closed.
func (node *singleNode) hold(request *fasthttp.RequestCtx) {
	node.held <- struct{}{}
	for !netio.Disconnected(request.Conn()) {
		runtime.Gosched()
	}
	<-node.release
}

func (node *singleNode) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	dialer := net.Dialer{}
	connection, err := dialer.DialContext(t.Context(), "tcp", node.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		t.Fatalf("the connection is a %T, not a TCP connection", connection)
	}
	return tcp
}

// pendingRequests returns the number of operators' requests that wait for a response.
func (node *singleNode) pendingRequests() int {
	node.mutex.Lock()
	defer node.mutex.Unlock()
	return node.node.Status(time.Now()).Requests
}

// sendAndDisconnect sends a call that the server reads only after the connection was closed.
func (node *singleNode) sendAndDisconnect(t *testing.T, call string) {
	t.Helper()
	caller := node.dial(t)
	if _, err := io.WriteString(caller, callOf("GET", "/hold", "")+call); err != nil {
		t.Fatal(err)
	}
	<-node.held
	_ = caller.Close()
}
