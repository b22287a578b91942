package daemon

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"wardtray/config/process"
)

const patient = 10 * time.Second

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// connect tries until somebody listens at an address, or until nobody does any more.
func connect(t *testing.T, address string, listens bool) net.Conn {
	t.Helper()
	for end := time.Now().Add(patient); time.Now().Before(end); {
		connection, err := net.DialTimeout("tcp", address, time.Second)
		if (err == nil) == listens {
			return connection
		}
		if err == nil {
			connection.Close()
		}
	}
	t.Fatalf("%s: listening is not %v within %v", address, listens, patient)
	return nil
}

// A daemon that stops takes no connection once the platform has had its time to send clients elsewhere, and refuses as
// not run what comes on an open one, while it still finishes what it has. Found on the bench: where most daemons of a
// zone stopped at once, clients were sent to them again, and requests taken six seconds after the order to stop were cut.
func TestAStoppingDaemonClosesItsFront(t *testing.T) {
	settings := &process.Settings{Address: freeAddress(t), HTTP: freeAddress(t), Readiness: freeAddress(t), Zone: "a", Registered: true,
		Seeds: []string{"127.0.0.1:1"}, Drain: "100ms", Finish: "4s"}
	host, err := New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	running, stop := context.WithCancel(context.Background())
	finished := make(chan error, 1)
	go func() { finished <- host.Run(running) }()
	open := connect(t, settings.HTTP, true)
	defer open.Close()
	host.Handler.InFlight.Add(1)
	stop()
	connect(t, settings.HTTP, false)
	fmt.Fprint(open, "POST /v1/stream HTTP/1.1\r\nHost: x\r\nWardtray-Lane: l\r\nWardtray-Model: m\r\nWardtray-Request: r\r\n"+
		"Wardtray-Prompt-Tokens: 4\r\nWardtray-Answer-Tokens: 4\r\nPrompt-Prefix: a=4\r\nContent-Length: 14\r\n\r\n{\"prompt\":\"x\"}")
	answer, err := http.ReadResponse(bufio.NewReader(open), nil)
	if err != nil {
		t.Fatal(err)
	}
	if answer.StatusCode != 503 || !answer.Close || answer.Header.Get("Retry-After") == "" {
		body, _ := io.ReadAll(answer.Body)
		t.Fatalf("%d %v %s", answer.StatusCode, answer.Header, body)
	}
	select {
	case err := <-finished:
		t.Fatalf("ended beside an unfinished request: %v", err)
	default:
	}
	host.Handler.InFlight.Add(-1)
	select {
	case err := <-finished:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(patient):
		t.Fatal("does not end once all is answered")
	}
}
