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

// recordingClient is a client that stays, and keeps the response that it was given.
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

// outline lists the keys of a JSON text in their order with the kinds of their values; lists by their first element.
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
			// The keys are the strings that matter; values of this test are known texts too.
			line = value
		}
		fmt.Fprintf(&text, "%s%s\n", strings.Repeat("  ", depth), line)
		if token == json.Delim('{') || token == json.Delim('[') {
			depth++
		}
	}
	return text.String()
}

// The explanation of a request keeps its keys, their order and the kinds of their values.
func TestExplainKeepsItsKeys(t *testing.T) {
	daemon := newDaemon(t, &scriptedRunner{id: "r1", address: "127.0.0.1:1"})
	client := &recordingClient{disconnectedClient: disconnectedClient{route: "once", body: []byte(`{"prompt":"x"}`)}}
	daemon.Explain(client)
	if client.status != 200 {
		t.Fatalf("%d %s", client.status, client.content)
	}
	golden.Compare(t, "explanation.txt", outline(t, client.content))
}

// A request that would be rejected is explained by its rejection.
func TestExplainRejects(t *testing.T) {
	daemon := newDaemon(t)
	client := &recordingClient{disconnectedClient: disconnectedClient{route: "nowhere", body: []byte(`{"prompt":"x"}`)}}
	daemon.Explain(client)
	if client.status != 404 || !strings.Contains(string(client.content), "unknown_lane") {
		t.Errorf("%d %s", client.status, client.content)
	}
}

// An explanation is a dry run: the same id can be explained again and then sent, on a route that runs at most once too,
// and nothing is counted, announced or remembered.
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
		t.Errorf("%d remembered, %d in flight, announced %v, %d sent", daemon.Dedup.Len(), daemon.InFlight.Load(),
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
