package server

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"wardtray/config/process"
	"wardtray/transport/netio"
	"wardtray/wire"
)

const patientBound = 10 * time.Second

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patientBound); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// lone is a core machine without a chain, behind a server of its own. What comes over a connection behind a call of
// /hold is read when that is released.
type lone struct {
	*Server
	address       string
	held, release chan struct{}
}

func newLone(t *testing.T) *lone {
	t.Helper()
	host, err := New(&process.Settings{Folder: t.TempDir(), Address: "127.0.0.1:1", HTTP: "127.0.0.1:2", Zone: "a"}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	made := &lone{Server: host, held: make(chan struct{}, 8), release: make(chan struct{})}
	routes := router.New()
	routes.PUT("/v1/spec", host.order("apply"))
	routes.GET("/v1/spec", host.order("get"))
	host.mountRunners(routes)
	routes.GET("/hold", func(context *fasthttp.RequestCtx) {
		made.held <- struct{}{}
		for !netio.Left(context.Conn()) {
			runtime.Gosched()
		}
		<-made.release
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() { _ = (&fasthttp.Server{Handler: routes.Handler}).Serve(listener) }()
	made.address = listener.Addr().String()
	return made
}

func (lone *lone) dial(t *testing.T) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", lone.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

func callOf(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
}

func heartbeat(id, state string) string {
	return callOf("PUT", "/v1/runners/"+id, fmt.Sprintf(`{"address":"10.0.0.9:80","zone":"a","service":"s","slots":4,"state":%q,"call":1}`, state))
}

// asks is how many questions of operators wait.
func (lone *lone) asks() int {
	lone.mutex.Lock()
	defer lone.mutex.Unlock()
	return lone.node.Status(time.Now()).Asks
}

// behind has a call read behind the close of its connection.
func (lone *lone) behind(t *testing.T, call string) {
	t.Helper()
	caller := lone.dial(t)
	if _, err := io.WriteString(caller, callOf("GET", "/hold", "")+call); err != nil {
		t.Fatal(err)
	}
	<-lone.held
	_ = caller.Close()
}

// Calls that were read behind their callers' close are dropped, but for those that say that a runner leaves: these are
// true whenever they are read.
func TestCallsReadBehindTheirCloseAreDropped(t *testing.T) {
	lone := newLone(t)
	lone.behind(t, heartbeat("ready", "ready"))
	lone.behind(t, callOf("PUT", "/v1/spec?base=0", "{}"))
	lone.behind(t, callOf("GET", "/v1/spec", ""))
	lone.behind(t, heartbeat("draining", "draining"))
	close(lone.release)
	if _, err := io.WriteString(lone.dial(t), heartbeat("later", "ready")); err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{}
	eventually(t, "what may be taken is taken", func() bool {
		for _, runner := range lone.Runners() {
			known[runner.RunnerId] = true
		}
		return known["later"] && known["draining"]
	})
	if known["ready"] || lone.asks() != 0 {
		t.Errorf("runners %v, %d orders wait", known, lone.asks())
	}
}

// A read whose operator has left takes no place from others; a change goes its way.
func TestQuestionsOfOperatorsThatLeave(t *testing.T) {
	lone := newLone(t)
	reader := lone.dial(t)
	if _, err := io.WriteString(reader, callOf("GET", "/v1/spec", "")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the read waits", func() bool { return lone.asks() == 1 })
	_ = reader.Close()
	eventually(t, "the read is forgotten", func() bool { return lone.asks() == 0 })

	writer := lone.dial(t).(*net.TCPConn)
	if _, err := io.WriteString(writer, callOf("PUT", "/v1/spec?base=0&operation=mine", "{}")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the change waits", func() bool { return lone.asks() == 1 })
	_ = writer.CloseWrite()
	answer, err := io.ReadAll(writer)
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 504") || !strings.Contains(string(answer), `"outcome":"unknown"`) || !strings.Contains(string(answer), "mine") {
		t.Errorf("%q, %v", answer, err)
	}
	if lone.asks() != 1 {
		t.Error("the change is forgotten")
	}
}

// A read that was given up at its bound is forgotten as well.
func TestReadsGivenUpAreForgotten(t *testing.T) {
	lone := newLone(t)
	if status, _ := lone.Order(&wire.OperatorRequest{Verb: "get"}, time.Millisecond); status != 504 || lone.asks() != 0 {
		t.Errorf("%d, %d wait", status, lone.asks())
	}
	if status, _ := lone.Order(&wire.OperatorRequest{Verb: "apply", HasBase: true}, time.Millisecond); status != 504 || lone.asks() != 1 {
		t.Errorf("%d, %d wait", status, lone.asks())
	}
}
