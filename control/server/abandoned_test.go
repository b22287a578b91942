package server

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"wardtray/control/proposal"
	"wardtray/wire"
)

func callOf(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
}

func heartbeat(id, state string) string {
	body := fmt.Sprintf(`{"address":"10.0.0.9:80","zone":"a","service":"s","slots":4,"state":%q,"call":1}`, state)
	return callOf("PUT", "/v1/runners/"+id, body)
}

// Calls that are read after their callers have closed the connection are refused: an outdated heartbeat would make a
// runner appear alive. A heartbeat of a draining runner is accepted, since it stays true.
func TestCallsOfDisconnectedCallersAreRefused(t *testing.T) {
	node := newSingleNode(t)
	node.sendAndDisconnect(t, heartbeat("ready", "ready"))
	node.sendAndDisconnect(t, callOf("PUT", "/v1/spec?base=0", "{}"))
	node.sendAndDisconnect(t, callOf("GET", "/v1/spec", ""))
	node.sendAndDisconnect(t, heartbeat("draining", "draining"))
	close(node.release)
	if _, err := io.WriteString(node.dial(t), heartbeat("later", "ready")); err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{}
	eventually(t, "the later and the draining heartbeats are accepted", func() bool {
		for _, runner := range node.Runners() {
			known[runner.RunnerId] = true
		}
		return known["later"] && known["draining"]
	})
	if known["ready"] || node.pendingRequests() != 0 {
		t.Errorf("runners %v, %d requests pending", known, node.pendingRequests())
	}
}

// A read whose operator has disconnected is removed, so that it does not count towards the bound of pending requests. A
// change proceeds, and a caller that has closed only its sending side gets the response that its outcome is unknown.
func TestRequestsOfOperatorsThatLeave(t *testing.T) {
	node := newSingleNode(t)
	reader := node.dial(t)
	if _, err := io.WriteString(reader, callOf("GET", "/v1/spec", "")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the read is pending", func() bool { return node.pendingRequests() == 1 })
	_ = reader.Close()
	eventually(t, "the read is removed", func() bool { return node.pendingRequests() == 0 })

	writer := node.dial(t)
	if _, err := io.WriteString(writer, callOf("PUT", "/v1/spec?base=0&operation=mine", "{}")); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the change is pending", func() bool { return node.pendingRequests() == 1 })
	_ = writer.CloseWrite()
	content, err := io.ReadAll(writer)
	response := string(content)
	isUnknown := strings.HasPrefix(response, "HTTP/1.1 504") && strings.Contains(response, `"outcome":"unknown"`)
	if err != nil || !isUnknown || !strings.Contains(response, "mine") {
		t.Errorf("response %q, error %v", response, err)
	}
	if node.pendingRequests() != 1 {
		t.Error("the pending change was removed")
	}
}

// A read that has timed out is removed; a change stays pending.
func TestTimedOutReadsAreRemoved(t *testing.T) {
	node := newSingleNode(t)
	status, _ := node.Execute(&wire.OperatorRequest{Verb: proposal.VerbGet}, time.Millisecond)
	if status != 504 || node.pendingRequests() != 0 {
		t.Errorf("a read: status %d, %d requests pending", status, node.pendingRequests())
	}
	status, _ = node.Execute(&wire.OperatorRequest{Verb: proposal.VerbApply, HasBase: true}, time.Millisecond)
	if status != 504 || node.pendingRequests() != 1 {
		t.Errorf("a change: status %d, %d requests pending", status, node.pendingRequests())
	}
}
