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

// lone is a chain of one machine whose disk answers when it is let.
type lone struct {
	node    *Node
	now     time.Time
	held    []uint64
	stalled bool
}

func newLone() *lone {
	self := &wire.Member{Id: "a", Address: "127.0.0.1:1", Zone: "a"}
	memory := &wire.DurableState{
		Id:   "a",
		View: &wire.View{Epoch: 1, Fleet: "f", MinReplicas: 1, Chain: []*wire.Member{self}, Acceptors: []*wire.Member{self}},
	}
	lone := &lone{now: time.Unix(1_700_000_000, 0)}
	lone.node = New(lone.now, Settings{Address: self.Address, Zone: "a"}, memory, nil, rand.New(rand.NewSource(1)))
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
			lone.held = append(lone.held, write.Sequence)
		}
		if !lone.stalled {
			for _, sequence := range lone.held {
				lone.node.Synced(lone.now, sequence)
			}
			lone.held = nil
		}
		for _, message := range messages {
			if message.To == lone.node.Self().Address {
				lone.node.Receive(lone.now, message.Envelope)
			}
		}
	}
}

// send gives the answer once there is one; its status is 0 before.
func (lone *lone) send(ask *wire.OperatorRequest) *given {
	given := &given{}
	lone.node.Submit(lone.now, ask, func(status int, body []byte) {
		given.status = status
		if err := json.Unmarshal(body, &given.reply); err != nil {
			panic(err)
		}
	})
	lone.settle()
	return given
}

type given struct {
	status int
	reply  proposal.Reply
}

func whole(routes ...string) []byte {
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
		Spec:      whole(routes...),
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
	held, err := config.Decode(lone.node.Chain().Committed().Spec)
	if err != nil {
		t.Fatal(err)
	}
	var names strings.Builder
	for _, route := range held.Routes {
		names.WriteString(route.Name)
	}
	return names.String()
}

func TestEpochsMayClimbUnevenly(t *testing.T) {
	t.Parallel()
	lone := newLone()
	epochZero := &wire.OperatorRequest{Verb: "apply", Operation: "none", Base: 7, HasBase: true, HasEpoch: true,
		Spec: whole("b")}
	for _, step := range []struct {
		ask    *wire.OperatorRequest
		status int
		epoch  uint64
		path   string
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
		got := lone.send(step.ask)
		if got.status != step.status || got.reply.Epoch != step.epoch ||
			step.path != "" && (len(got.reply.Problems) != 1 || got.reply.Problems[0].Path != step.path) {
			t.Errorf("%s: %d %+v", step.ask.Operation, got.status, got.reply)
		}
	}
	if got := lone.routes(t); got != "c" || lone.node.Chain().Committed().SpecEpoch != 900 {
		t.Errorf("the lanes are %s", got)
	}
}

func TestChangesLandWholeOrNotAtAll(t *testing.T) {
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
			t.Errorf("%s: %d %+v", path, got.status, got.reply)
		}
	}
	for name, content := range map[string]string{"no text": ``, "cut": `{"upsert":`, "unknown": `{"up":{}}`, "twice": `{"remove":{},"remove":{}}`, "unknown inside": `{"remove":{"lane":["a"]}}`} {
		if got := lone.send(change(name, 1, 0, content)); got.status != 400 {
			t.Errorf("%s: %d %+v", name, got.status, got.reply)
		}
	}
	if got := lone.routes(t); got != "abc" || lone.node.Chain().Committed().SpecEpoch != 1 {
		t.Fatalf("the lanes are %s after refusals", got)
	}
	got := lone.send(
		change("fine", 1, 0,
			`{"upsert":{"pools":[{"name":"q","services":["t"]}],"lanes":[{"name":"d","pool":"q","patience":"1s"},{"name":"b","pool":"q","patience":"3s"}]},"remove":{"lanes":["a","never"]},"limits":{"body_bytes":5}}`),
	)
	held, err := config.Decode(lone.node.Chain().Committed().Spec)
	if err != nil || got.status != 200 || lone.routes(t) != "bcd" || held.Routes[0].Backend != "q" ||
		held.Limits.BodyBytes != 5 ||
		held.Routes[0].Value != 1 {
		t.Fatalf("%d %+v %v %+v", got.status, got.reply, err, held)
	}
}

// What is refused because of a spec that is not committed yet waits until it is: with this head that spec
// may be lost, and a copy of the change that came in elsewhere be accepted.
func TestRefusalsWaitForWhatTheyRestOn(t *testing.T) {
	t.Parallel()
	lone := newLone()
	lone.send(apply("first", 0, 0, "a"))
	lone.stalled = true
	under := lone.send(apply("under way", 1, 5, "b"))
	stale := lone.send(apply("stale", 1, 0, "c"))
	invalid := lone.send(change("invalid", 5, 0, `{"remove":{"pools":["p"]}}`))
	read := lone.send(&wire.OperatorRequest{Verb: "get"})
	lone.run(600 * time.Millisecond)
	if under.status != 0 || stale.status != 0 || invalid.status != 0 {
		t.Fatalf("answered before anything is on the disk: %d %d %d", under.status, stale.status, invalid.status)
	}
	if read.status != 200 || read.reply.Epoch != 1 {
		t.Fatalf("a read gives what is committed: %d %+v", read.status, read.reply)
	}
	lone.stalled = false
	lone.settle()
	if under.status != 200 || under.reply.Epoch != 5 || stale.status != 409 || stale.reply.Epoch != 5 ||
		invalid.status != 422 {
		t.Fatalf("answered once it is: %d %d %d", under.status, stale.status, invalid.status)
	}
}

// A head or tail that may not answer yet answers as soon as it may, without being asked again.
func TestQuestionsWaitForTheClaim(t *testing.T) {
	t.Parallel()
	lone := newLone()
	lone.send(apply("first", 0, 0, "a"))
	lone.now = lone.now.Add(3 * time.Second)
	read, changed := lone.send(&wire.OperatorRequest{Verb: "get"}), lone.send(apply("second", 1, 0, "b"))
	if read.status != 0 || changed.status != 0 {
		t.Fatalf("answered without a claim: %d %d", read.status, changed.status)
	}
	lone.run(50 * time.Millisecond)
	if read.status != 200 || lone.routes(t) != "b" {
		t.Fatalf("a claim did not suffice: %d, lanes %s", read.status, lone.routes(t))
	}
	lone.run(lease.DaemonTTL + daemonlease.ClockMargin)
	if changed.status != 200 {
		t.Fatalf("the change: %d %+v", changed.status, changed.reply)
	}
}
