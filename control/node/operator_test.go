package node

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"wardtray/config"
	"wardtray/control/daemonlease"
	"wardtray/control/proposal"
	"wardtray/coordination/lease"
	"wardtray/wire"
)

// lone is a chain of one machine, whose disk can be stalled.
type lone struct {
	node *Node
	now  time.Time
	// writes holds the sequences of the writes that the disk has not completed.
	writes  []uint64
	stalled bool
}

func newLone() *lone {
	self := &wire.Member{Id: "a", Address: "127.0.0.1:1", Zone: "a"}
	state := &wire.DurableState{
		Id:   "a",
		View: &wire.View{Epoch: 1, Fleet: "f", MinReplicas: 1, Chain: []*wire.Member{self}, Acceptors: []*wire.Member{self}},
	}
	lone := &lone{now: time.Unix(1_700_000_000, 0)}
	lone.node = New(lone.now, Settings{Address: self.Address, Zone: "a"}, state, nil, rand.New(rand.NewSource(1)))
	lone.run(4 * time.Second)
	return lone
}

func (lone *lone) run(length time.Duration) {
	for end := lone.now.Add(length); lone.now.Before(end); {
		lone.now = lone.now.Add(50 * time.Millisecond)
		lone.node.Tick(lone.now)
		lone.settle()
	}
}

func (lone *lone) settle() {
	for range 4 {
		messages, writes := lone.node.Ready()
		for _, write := range writes {
			lone.writes = append(lone.writes, write.Sequence)
		}
		if !lone.stalled {
			for _, sequence := range lone.writes {
				lone.node.Synced(lone.now, sequence)
			}
			lone.writes = nil
		}
		for _, message := range messages {
			if message.To == lone.node.Self().Address {
				lone.node.Receive(lone.now, message.Envelope)
			}
		}
	}
}

// send submits a request. The response is filled in when it arrives; its status is 0 until then.
func (lone *lone) send(request *wire.OperatorRequest) *response {
	response := &response{}
	lone.node.Submit(lone.now, request, func(status int, body []byte) {
		response.status = status
		if err := json.Unmarshal(body, &response.reply); err != nil {
			panic(err)
		}
	})
	lone.settle()
	return response
}

// response is the response to an operator's request; its status is 0 until it arrives.
type response struct {
	status int
	reply  proposal.Reply
}

// configuration returns a complete configuration with the routes.
func configuration(routes ...string) []byte {
	list := make([]string, 0, len(routes))
	for _, route := range routes {
		list = append(list, fmt.Sprintf(`{"name":%q,"pool":"p","patience":"1s","repeatable":false}`, route))
	}
	return []byte(`{"zones":[],"pools":[{"name":"p","services":["s"]}],"lanes":[` + strings.Join(list, ",") + `]}`)
}

func apply(operation string, base, epoch uint64, routes ...string) *wire.OperatorRequest {
	return &wire.OperatorRequest{
		Verb:      "apply",
		Operation: operation,
		Base:      base,
		HasBase:   true,
		Epoch:     epoch,
		HasEpoch:  epoch > 0,
		Spec:      configuration(routes...),
	}
}

func change(operation string, base, epoch uint64, content string) *wire.OperatorRequest {
	return &wire.OperatorRequest{
		Verb:      "change",
		Operation: operation,
		Base:      base,
		HasBase:   true,
		Epoch:     epoch,
		HasEpoch:  epoch > 0,
		Spec:      []byte(content),
	}
}

func (lone *lone) routes(t *testing.T) string {
	t.Helper()
	decoded, err := config.Decode(lone.node.Chain().Committed().Spec)
	if err != nil {
		t.Fatal(err)
	}
	var names strings.Builder
	for _, route := range decoded.Routes {
		names.WriteString(route.Name)
	}
	return names.String()
}

func TestEpochsMayIncreaseByMoreThanOne(t *testing.T) {
	t.Parallel()
	lone := newLone()
	epochZero := &wire.OperatorRequest{Verb: "apply", Operation: "none", Base: 7, HasBase: true, HasEpoch: true,
		Spec: configuration("b")}
	for _, step := range []struct {
		request *wire.OperatorRequest
		status  int
		epoch   uint64
		path    string
	}{
		{apply("first", 0, 7, "a"), 200, 7, ""},
		{apply("first", 0, 7, "a"), 200, 7, ""},
		{apply("same", 7, 7, "b"), 422, 7, "epoch"},
		{apply("below", 7, 3, "b"), 422, 7, "epoch"},
		{epochZero, 422, 7, "epoch"},
		{apply("stale and below", 3, 3, "b"), 409, 7, ""},
		{apply("next", 7, 0, "b"), 200, 8, ""},
		{change("leap", 8, 900, `{"remove":{"lanes":["b"]},"upsert":{"lanes":[{"name":"c","pool":"p","patience":"1s"}]}}`), 200, 900, ""},
		{change("leap", 8, 900, `{"remove":{"lanes":["b"]},"upsert":{"lanes":[{"name":"c","pool":"p","patience":"1s"}]}}`), 200, 900, ""},
		{apply("first", 0, 7, "a"), 200, 7, ""},
		{change("stale", 8, 901, `{}`), 409, 900, ""},
		{change("low", 900, 900, `{}`), 422, 900, "epoch"},
	} {
		got := lone.send(step.request)
		if got.status != step.status || got.reply.Epoch != step.epoch ||
			step.path != "" && (len(got.reply.Problems) != 1 || got.reply.Problems[0].Path != step.path) {
			t.Errorf("%s: status %d, reply %+v", step.request.Operation, got.status, got.reply)
		}
	}
	if got := lone.routes(t); got != "c" || lone.node.Chain().Committed().SpecEpoch != 900 {
		t.Errorf("routes are %q, or the epoch is wrong", got)
	}
}

func TestChangesAreAtomic(t *testing.T) {
	t.Parallel()
	lone := newLone()
	lone.send(apply("first", 0, 0, "a", "b", "c"))
	for path, content := range map[string]string{
		"upsert.lanes[0].name":  `{"upsert":{"lanes":[{"name":"d","pool":"p","patience":"1s"},{"name":"b","pool":"p","patience":"1s"}]},"remove":{"lanes":["d"]}}`,
		"upsert.lanes[1].name":  `{"upsert":{"lanes":[{"name":"d","pool":"p","patience":"1s"},{"name":"d","pool":"p","patience":"2s"}]}}`,
		"upsert.lanes[1].pool":  `{"upsert":{"lanes":[{"name":"d","pool":"p","patience":"1s"},{"name":"b","pool":"q","patience":"1s"}]}}`,
		"upsert.pools[0].model": `{"upsert":{"pools":[{"name":"q","weights":"w","services":["s"]}]}}`,
		"lanes[0].pool":         `{"remove":{"pools":["p"]}}`,
		"limits.body_bytes":     `{"limits":{"body_bytes":-1},"remove":{"lanes":["a"]}}`,
	} {
		got := lone.send(change(path, 1, 0, content))
		if got.status != 422 || len(got.reply.Problems) == 0 || got.reply.Problems[0].Path != path {
			t.Errorf("%s: status %d, reply %+v", path, got.status, got.reply)
		}
	}
	for name, content := range map[string]string{"no text": ``, "cut": `{"upsert":`, "unknown": `{"up":{}}`, "twice": `{"remove":{},"remove":{}}`, "unknown inside": `{"remove":{"lane":["a"]}}`} {
		if got := lone.send(change(name, 1, 0, content)); got.status != 400 {
			t.Errorf("%s: status %d, reply %+v", name, got.status, got.reply)
		}
	}
	if got := lone.routes(t); got != "abc" || lone.node.Chain().Committed().SpecEpoch != 1 {
		t.Fatalf("after refusals the routes are %q, or the epoch is wrong", got)
	}
	got := lone.send(
		change("fine", 1, 0,
			`{"upsert":{"pools":[{"name":"q","services":["t"]}],"lanes":[{"name":"d","pool":"q","patience":"1s"},{"name":"b","pool":"q","patience":"3s"}]},"remove":{"lanes":["a","never"]},"limits":{"body_bytes":5}}`),
	)
	decoded, err := config.Decode(lone.node.Chain().Committed().Spec)
	if err != nil || got.status != 200 || lone.routes(t) != "bcd" || decoded.Routes[0].Backend != "q" ||
		decoded.Limits.BodyBytes != 5 ||
		decoded.Routes[0].Value != 1 {
		t.Fatalf("status %d, reply %+v, error %v, configuration %+v", got.status, got.reply, err, decoded)
	}
}

// Guards against a change that is refused and later accepted. A refusal that rests on an uncommitted configuration must
// wait until that is committed: if this head loses it, another head may accept a copy of the refused change.
func TestRefusalsWaitForWhatTheyRestOn(t *testing.T) {
	t.Parallel()
	lone := newLone()
	lone.send(apply("first", 0, 0, "a"))
	lone.stalled = true
	pending := lone.send(apply("under way", 1, 5, "b"))
	stale := lone.send(apply("stale", 1, 0, "c"))
	invalid := lone.send(change("invalid", 5, 0, `{"remove":{"pools":["p"]}}`))
	read := lone.send(&wire.OperatorRequest{Verb: "get"})
	lone.run(600 * time.Millisecond)
	if pending.status != 0 || stale.status != 0 || invalid.status != 0 {
		t.Fatalf("answered before anything is on the disk: %d %d %d", pending.status, stale.status, invalid.status)
	}
	if read.status != 200 || read.reply.Epoch != 1 {
		t.Fatalf("a read does not return the committed configuration: status %d, reply %+v", read.status, read.reply)
	}
	lone.stalled = false
	lone.settle()
	if pending.status != 200 || pending.reply.Epoch != 5 || stale.status != 409 || stale.reply.Epoch != 5 ||
		invalid.status != 422 {
		t.Fatalf("wrong answers once everything is on the disk: %d %d %d", pending.status, stale.status, invalid.status)
	}
}

// Guards against requests that fail or stay unanswered because the head's lease has expired when they arrive: they must
// be answered once it holds the lease again, without a retry.
func TestRequestsWaitForTheLease(t *testing.T) {
	t.Parallel()
	lone := newLone()
	lone.send(apply("first", 0, 0, "a"))
	lone.now = lone.now.Add(3 * time.Second)
	read, changed := lone.send(&wire.OperatorRequest{Verb: "get"}), lone.send(apply("second", 1, 0, "b"))
	if read.status != 0 || changed.status != 0 {
		t.Fatalf("answered without a lease: %d %d", read.status, changed.status)
	}
	lone.run(50 * time.Millisecond)
	if read.status != 200 || lone.routes(t) != "b" {
		t.Fatalf("with the lease: the read has status %d, the routes are %q", read.status, lone.routes(t))
	}
	lone.run(lease.DaemonTTL + daemonlease.ClockMargin)
	if changed.status != 200 {
		t.Fatalf("the change was not acknowledged: status %d, reply %+v", changed.status, changed.reply)
	}
}
