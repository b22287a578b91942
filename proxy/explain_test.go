package proxy

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"wardtray/proxy/admission"
	"wardtray/transport/netio"
	"wardtray/verify/golden"
)

// recordingClient is a client that stays connected and records the response.
type recordingClient struct {
	disconnectedClient
	content []byte
}

func (client *recordingClient) Header(name string) []string {
	if name == admission.HeaderPrefix {
		return []string{"system=40"}
	}
	return client.disconnectedClient.Header(name)
}

func (client *recordingClient) Disconnected() bool { return false }

func (client *recordingClient) Respond(status int, _ []netio.Header, body []byte) {
	client.status, client.content = status, body
}

// outline lists the tokens of a JSON text in order, one a line and indented by depth: keys and strings as they are,
// other values by their type.
func outline(t *testing.T, content []byte) string {
	t.Helper()
	var text strings.Builder
	decoder := json.NewDecoder(strings.NewReader(string(content)))
	depth := 0
	for decoder.More() || depth > 0 {
		token, err := decoder.Token()
		if err != nil {
			t.Fatal(err)
		}
		if token == json.Delim('}') || token == json.Delim(']') {
			depth--
		}
		line := fmt.Sprintf("%T", token)
		switch value := token.(type) {
		case json.Delim:
			line = value.String()
		case string:
			// Keys are strings; string values are included too, since they are fixed in this test.
			line = value
		}
		fmt.Fprintf(&text, "%s%s\n", strings.Repeat("  ", depth), line)
		if token == json.Delim('{') || token == json.Delim('[') {
			depth++
		}
	}
	return text.String()
}

// The explanation of a request keeps its keys, their order and the types of their values.
func TestExplainKeepsItsKeys(t *testing.T) {
	daemon := newDaemon(t, &scriptedRunner{id: "r1", address: "127.0.0.1:1"})
	client := &recordingClient{disconnectedClient: disconnectedClient{route: "once", body: []byte(`{"prompt":"x"}`)}}
	daemon.Explain(client)
	if client.status != 200 {
		t.Fatalf("%d %s", client.status, client.content)
	}
	golden.Compare(t, "explanation.txt", outline(t, client.content))
}

// A request that would be refused is explained by its refusal.
func TestExplainRejects(t *testing.T) {
	daemon := newDaemon(t)
	client := &recordingClient{disconnectedClient: disconnectedClient{route: "nowhere", body: []byte(`{"prompt":"x"}`)}}
	daemon.Explain(client)
	if client.status != 404 || !strings.Contains(string(client.content), "unknown_lane") {
		t.Errorf("%d %s", client.status, client.content)
	}
}

// An explanation is a dry run: the same request id can be explained again and then sent, also on an at-most-once route,
// and nothing is counted, announced or recorded.
func TestExplainLeavesNoTrace(t *testing.T) {
	runner := startRunner(t, "r1", events(2, done(2), true))
	daemon := newDaemon(t, runner)
	for range 3 {
		client := &recordingClient{disconnectedClient: disconnectedClient{route: "once", body: []byte(`{"prompt":"x"}`)}}
		daemon.Explain(client)
		if client.status != 200 {
			t.Fatalf("%d %s", client.status, client.content)
		}
	}
	if daemon.Dedup.Len() != 0 || daemon.InFlight.Load() != 0 || len(daemon.announced) != 0 || runner.reached.Load() != 0 {
		t.Errorf("%d recorded, %d in flight, announced %v, %d sent", daemon.Dedup.Len(), daemon.InFlight.Load(),
			daemon.announced, runner.reached.Load())
	}
	if status, body := daemon.send(t, "once", "q"); status != 200 {
		t.Errorf("sent after its explanation: %d %s", status, body)
	}
	client := &recordingClient{disconnectedClient: disconnectedClient{route: "once", body: []byte(`{"prompt":"x"}`)}}
	daemon.Explain(client)
	if client.status != 409 {
		t.Errorf("explained after it ran: %d %s", client.status, client.content)
	}
}
