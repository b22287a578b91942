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
func sendTo(client drawnClient, addresses ...string) *histories.Answer {
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
	answer := sendTo(drawnClient{request: testRequest(), zone: "a"}, address)
	if !answer.Done || answer.ConnectionLost || answer.HungUp || !answer.RequestSent || answer.Head != "r1" ||
		answer.Status != http.StatusOK || answer.Daemon != address || answer.Zone != "a" {
		t.Errorf("recorded %+v, want a complete stream from r1", answer)
	}
}

func TestSenderRecordsARefusal(t *testing.T) {
	address := startDaemon(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Retry-After", "1")
		writer.WriteHeader(http.StatusTooManyRequests)
		_, _ = io.WriteString(writer, `{"kind":"patience_short","ran":"did not run"}`)
	})
	answer := sendTo(drawnClient{request: testRequest()}, address)
	if answer.Status != http.StatusTooManyRequests || answer.Kind != "patience_short" || !answer.RetryAfter ||
		answer.Ran != "did not run" || answer.Done || answer.ConnectionLost {
		t.Errorf("recorded %+v, want a refusal", answer)
	}
}

// A sender tries another daemon only if no connection was made. After a connection was made, the daemon may have read
// the request, and a second transmission could run it twice.
func TestSenderGoesOnOnlyWhereNothingWasRead(t *testing.T) {
	complete := startDaemon(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, completeStream)
	})
	aborting := startDaemon(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	answer := sendTo(drawnClient{request: testRequest()}, closedAddress(t), closedAddress(t), complete)
	if !answer.Done || answer.Daemon != complete {
		t.Errorf("after two refused connections: %+v", answer)
	}
	answer = sendTo(drawnClient{request: testRequest()}, aborting, complete)
	if answer.Done || !answer.ConnectionLost || !answer.RequestSent || answer.Daemon != aborting {
		t.Errorf("after an aborted connection: %+v", answer)
	}
	answer = sendTo(drawnClient{request: testRequest()}, closedAddress(t))
	if !answer.ConnectionLost || answer.RequestSent || answer.Daemon != "" {
		t.Errorf("without a daemon: %+v", answer)
	}
}

func TestAStreamWithoutItsEndIsLost(t *testing.T) {
	address := startDaemon(t, func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(writer, "id: 1\nevent: token\ndata: {\"run\":\"x\"}\n\n")
	})
	answer := sendTo(drawnClient{request: testRequest()}, address)
	if !answer.ConnectionLost || answer.Done || len(answer.IDs) != 1 {
		t.Errorf("recorded %+v, want one event and a lost connection", answer)
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
	answer := sendTo(drawnClient{request: testRequest(), disconnectDelay: 20 * time.Millisecond}, address)
	if !answer.HungUp || answer.HungUpAt.IsZero() || answer.Done {
		t.Errorf("recorded %+v, want a client that disconnected", answer)
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
	for _, answer := range record.Answers {
		if seen[answer.Request] || !answer.Done {
			t.Errorf("recorded twice or incomplete: %+v", answer)
		}
		seen[answer.Request] = true
	}
	if len(seen) == 0 {
		t.Error("no requests were sent")
	}
}
