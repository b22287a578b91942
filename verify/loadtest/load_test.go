package loadtest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"wardtray/verify/histories"
)

func TestASeedFixesTheClients(t *testing.T) {
	left, right := newClientSource(Guild, []string{"a", "b"}, 4), newClientSource(Guild, []string{"a", "b"}, 4)
	for number := range 100 {
		first, second := left.next(behavior{hotShare: 0.2, disconnectShare: 0.3}),
			right.next(behavior{hotShare: 0.2, disconnectShare: 0.3})
		if !reflect.DeepEqual(first, second) || left.gap(10) != right.gap(10) {
			t.Fatalf("client %d: %+v with one source, %+v with another of the same seed", number, first, second)
		}
		if want := fmt.Sprintf("q4-%d", number+1); first.request.ID != want {
			t.Errorf("client %d: request ID %s, want %s", number, first.request.ID, want)
		}
		if first.disconnectDelay < 0 || first.disconnectDelay > maximumDisconnectDelay {
			t.Errorf("client %d disconnects after %v", number, first.disconnectDelay)
		}
	}
}

// startDaemon starts an HTTP server that replaces a data daemon, and returns its address.
func startDaemon(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// sendTo sends a client's request; successive connection attempts use successive addresses.
func sendTo(client drawnClient, addresses ...string) *histories.ClientAttempt {
	picked := 0
	sender := newSender("m", func(string) string {
		if picked == len(addresses) {
			return ""
		}
		picked++
		return addresses[picked-1]
	})
	return sender.send(context.Background(), client)
}

const completeStream = "id: 1\nevent: token\ndata: {\"run\":\"x\"}\n\nid: 2\nevent: done\ndata: {\"run\":\"x\"}\n\n"

func TestSenderRecordsACompleteStream(t *testing.T) {
	address := startDaemon(t, func(writer http.ResponseWriter, request *http.Request) {
		if got := request.Header.Get("Wardtray-Request"); got != "q1-7" || request.URL.Path != "/v1/stream" {
			t.Errorf("request %q sent to %s", got, request.URL.Path)
		}
		writer.Header().Set("Wardtray-Runner", "r1")
		_, _ = io.WriteString(writer, completeStream)
	})
	attempt := sendTo(drawnClient{request: testRequest(), zone: "a"}, address)
	if !attempt.Done || attempt.ConnectionLost || attempt.ClientDisconnected || !attempt.RequestSent ||
		attempt.HeaderRunner != "r1" ||
		attempt.Status != http.StatusOK || attempt.Daemon != address || attempt.Zone != "a" {
		t.Errorf("recorded %+v, want a complete stream from r1", attempt)
	}
}

func TestSenderRecordsARefusal(t *testing.T) {
	address := startDaemon(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Retry-After", "1")
		writer.WriteHeader(http.StatusTooManyRequests)
		_, _ = io.WriteString(writer, `{"kind":"patience_short","ran":"did not run"}`)
	})
	attempt := sendTo(drawnClient{request: testRequest()}, address)
	if attempt.Status != http.StatusTooManyRequests || attempt.Kind != "patience_short" || !attempt.RetryAfter ||
		attempt.Ran != "did not run" || attempt.Done || attempt.ConnectionLost {
		t.Errorf("recorded %+v, want a refusal", attempt)
	}
}

// A sender tries another daemon only if no connection was made. After a connection was made, the daemon may have read
// the request, and a second transmission could run it twice.
func TestSenderGoesOnOnlyWhereNothingWasRead(t *testing.T) {
	complete := startDaemon(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, completeStream)
	})
	aborting := startDaemon(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	attempt := sendTo(drawnClient{request: testRequest()}, closedAddress(t), closedAddress(t), complete)
	if !attempt.Done || attempt.Daemon != complete {
		t.Errorf("after two refused connections: %+v", attempt)
	}
	attempt = sendTo(drawnClient{request: testRequest()}, aborting, complete)
	if attempt.Done || !attempt.ConnectionLost || !attempt.RequestSent || attempt.Daemon != aborting {
		t.Errorf("after an aborted connection: %+v", attempt)
	}
	attempt = sendTo(drawnClient{request: testRequest()}, closedAddress(t))
	if !attempt.ConnectionLost || attempt.RequestSent || attempt.Daemon != "" {
		t.Errorf("without a daemon: %+v", attempt)
	}
}

func TestAStreamWithoutItsEndIsLost(t *testing.T) {
	address := startDaemon(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "id: 1\nevent: token\ndata: {\"run\":\"x\"}\n\n")
	})
	attempt := sendTo(drawnClient{request: testRequest()}, address)
	if !attempt.ConnectionLost || attempt.Done || len(attempt.IDs) != 1 {
		t.Errorf("recorded %+v, want one event and a lost connection", attempt)
	}
}

func TestAClientThatLeavesIsRecordedAsLeaving(t *testing.T) {
	address := startDaemon(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(writer).Flush()
		// net/http detects the client's disconnection only after the body was read.
		_, _ = io.Copy(io.Discard, request.Body)
		<-request.Context().Done()
	})
	attempt := sendTo(drawnClient{request: testRequest(), disconnectDelay: 20 * time.Millisecond}, address)
	if !attempt.ClientDisconnected || attempt.DisconnectedAt.IsZero() || attempt.Done {
		t.Errorf("recorded %+v, want a client that disconnected", attempt)
	}
}

// A load sends requests until its context is done, waits for those in progress, and records each answer once.
func TestLoadRecordsEveryAnswerOnce(t *testing.T) {
	address := startDaemon(t, func(writer http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		_, _ = io.WriteString(writer, completeStream)
	})
	record := histories.New()
	load := New(Guild, []string{"a"}, func(string) string { return address }, record, 1)
	running, stop := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer stop()
	load.Run(running, func() float64 { return 200 })
	seen := map[string]bool{}
	for _, attempt := range record.Answers {
		if seen[attempt.Request] || !attempt.Done {
			t.Errorf("recorded twice or incomplete: %+v", attempt)
		}
		seen[attempt.Request] = true
	}
	if len(seen) == 0 {
		t.Error("no requests were sent")
	}
}
