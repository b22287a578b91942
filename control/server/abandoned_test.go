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

// Calls that were read behind their callers' close are rejected, but for those that say that a runner is draining:
// these are true whenever they are read.
func TestAbandonedCallsAreRejected(t *testing.T) {
	node := newSingleNode(t)
	node.sendAndLeave(t, heartbeat("ready", "ready"))
	node.sendAndLeave(t, callOf("PUT", "/v1/spec?base=0", "{}"))
	node.sendAndLeave(t, callOf("GET", "/v1/spec", ""))
	node.sendAndLeave(t, heartbeat("draining", "draining"))
	close(node.release)
	if _, err := io.WriteString(node.dial(t), heartbeat("later", "ready")); err != nil {
		t.Fatal(err)
	}
	known := map[string]bool{}
	eventually(t, "what may be accepted is accepted", func() bool {
		for _, runner := range node.Runners() {
			known[runner.RunnerId] = true
		}
		return known["later"] && known["draining"]
	})
	if known["ready"] || node.pendingRequests() != 0 {
		t.Errorf("runners %v, %d requests pending", known, node.pendingRequests())
	}
}

// A read whose operator has left takes no slot from others; a change proceeds.
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
		t.Errorf("%q, %v", response, err)
	}
	if node.pendingRequests() != 1 {
		t.Error("the change is forgotten")
	}
}

// A read that timed out is removed as well.
func TestTimedOutReadsAreRemoved(t *testing.T) {
	node := newSingleNode(t)
	status, _ := node.Execute(&wire.OperatorRequest{Verb: proposal.VerbGet}, time.Millisecond)
	if status != 504 || node.pendingRequests() != 0 {
		t.Errorf("%d, %d pending", status, node.pendingRequests())
	}
	status, _ = node.Execute(&wire.OperatorRequest{Verb: proposal.VerbApply, HasBase: true}, time.Millisecond)
	if status != 504 || node.pendingRequests() != 1 {
		t.Errorf("%d, %d pending", status, node.pendingRequests())
	}
}
