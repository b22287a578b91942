package daemon

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"wardtray/config/process"
)

// testTimeout is the time after which a test fails if an expected event has not occurred.
const testTimeout = 10 * time.Second

// freeAddress returns an address without a listener.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// connect dials an address until a connection is accepted, which it returns, or, if listens is false, until one is
// refused.
func connect(t *testing.T, address string, listens bool) net.Conn {
	t.Helper()
	dialer := &net.Dialer{Timeout: time.Second}
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		connection, err := dialer.DialContext(t.Context(), "tcp", address)
		if (err == nil) == listens {
			return connection
		}
		if err == nil {
			_ = connection.Close() // It has carried nothing.
		}
	}
	t.Fatalf("%s: listening did not become %v within %v", address, listens, testTimeout)
	return nil
}

// After the drain time, a draining daemon accepts no connections and refuses requests on open connections as not
// executed, while it still finishes the requests in flight. Found in a load test: when most daemons of a zone stopped
// at once, clients were sent to them again, and requests accepted six seconds after the stop signal were aborted.
func TestDrainingDaemonClosesItsClientListener(t *testing.T) {
	settings := &process.Settings{
		Address:    freeAddress(t),
		HTTP:       freeAddress(t),
		Readiness:  freeAddress(t),
		Zone:       "a",
		Registered: true,
		Seeds:      []string{"127.0.0.1:1"},
		Drain:      "100ms",
		Finish:     "4s",
	}
	daemon, err := New(settings, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	running, stop := context.WithCancel(context.Background())
	finished := make(chan error, 1)
	go func() { finished <- daemon.Run(running) }()
	open := connect(t, settings.HTTP, true)
	t.Cleanup(func() { _ = open.Close() }) // The daemon may have closed it before.
	daemon.Handler.InFlight.Add(1)
	stop()
	connect(t, settings.HTTP, false)
	requireRefused(t, open)
	select {
	case err := <-finished:
		t.Fatalf("the daemon stopped while a request was in flight: %v", err)
	default:
	}
	daemon.Handler.InFlight.Add(-1)
	select {
	case err := <-finished:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the daemon does not stop once all requests are finished")
	}
}

// streamRequest is a valid request to the stream endpoint.
const streamRequest = "POST /v1/stream HTTP/1.1\r\nHost: x\r\n" +
	"Wardtray-Lane: l\r\nWardtray-Model: m\r\nWardtray-Request: r\r\n" +
	"Wardtray-Prompt-Tokens: 4\r\nWardtray-Answer-Tokens: 4\r\nPrompt-Prefix: a=4\r\n" +
	"Content-Length: 14\r\n\r\n{\"prompt\":\"x\"}"

// requireRefused sends a request over a connection and requires that it is refused as temporarily unavailable, with a
// Retry-After header, and that the connection is closed.
func requireRefused(t *testing.T, connection net.Conn) {
	t.Helper()
	if _, err := io.WriteString(connection, streamRequest); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err := errors.Join(err, response.Body.Close()); err != nil {
		t.Fatal(err)
	}
	retryAfter := response.Header.Get("Retry-After")
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close || retryAfter == "" {
		t.Fatalf("response is not a retryable refusal: status %d, header %v, body %s",
			response.StatusCode, response.Header, body)
	}
}
