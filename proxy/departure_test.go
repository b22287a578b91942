package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"wardtray/balancer/load"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/proxy/admission"
	"wardtray/proxy/dedup"
	"wardtray/transport/connpool"
	"wardtray/transport/netio"
)

// patientBound is how long a test waits for what must come about at once; soonBound is within what time it has to.
const (
	patientBound = 10 * time.Second
	soonBound    = 400 * time.Millisecond
)

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patientBound); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// within wants a signal soon.
func within(t *testing.T, what string, signal <-chan struct{}) {
	t.Helper()
	started := time.Now()
	select {
	case <-signal:
		if took := time.Since(started); took > soonBound {
			t.Errorf("%s took %v", what, took)
		}
	case <-time.After(patientBound):
		t.Fatalf("never: %s", what)
	}
}

// holding is runners' work that goes on until it is released; each run is told of in begun, and in cut where its
// connection ends before that.
type holding struct{ started, cut, release chan struct{} }

func hold() *holding {
	return &holding{started: make(chan struct{}, 16), cut: make(chan struct{}, 16), release: make(chan struct{})}
}

// answer begins to work, gives a text first where there is one, and goes on with a script once it is released.
func (holding *holding) answer(first string, then func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
	return func(connection net.Conn, request *http.Request) {
		_, _ = io.WriteString(connection, first)
		holding.started <- struct{}{}
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			_, _ = connection.Read(make([]byte, 1))
		}()
		select {
		case <-holding.release:
		case <-finished:
			holding.cut <- struct{}{}
			return
		}
		_ = connection.SetReadDeadline(time.Now())
		<-finished
		_ = connection.SetReadDeadline(time.Time{})
		then(connection, request)
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// oneEvent is the head of a stream and its first event.
func oneEvent() string {
	event := "id: 1\nevent: token\ndata: {\"run\":\"x\"}\n\n"
	return fmt.Sprintf("%s%x\r\n%s\r\n", streamHead, len(event), event)
}

// restOf ends a stream of one event.
func restOf(connection net.Conn, _ *http.Request) {
	fmt.Fprintf(connection, "%x\r\n%s\r\n0\r\n\r\n", len(done(1)), done(1))
}

// ask sends a request over a connection of its own, on which nothing is read yet.
func (house *house) ask(t *testing.T, route, id string) *net.TCPConn {
	t.Helper()
	connection, err := net.Dial("tcp", house.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	fmt.Fprintf(connection, "POST /v1/stream HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: m\r\n%s: %s\r\n%s: 100\r\n%s: 10\r\nContent-Length: 14\r\n\r\n{\"prompt\":\"x\"}",
		admission.HeaderRoute, route, admission.HeaderModel, admission.HeaderRequest, id, admission.HeaderPrompt, admission.HeaderAnswer)
	return connection.(*net.TCPConn)
}

// abort closes a connection by a reset.
func abort(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// nothingHeld wants that no request is under way and every place was given back.
func (house *house) nothingHeld(t *testing.T) {
	t.Helper()
	eventually(t, "nothing is in flight", func() bool { return house.InFlight.Load() == 0 })
	if _, waiting, routes := house.Scheduler("p").State(); waiting != 0 || len(routes) != 0 {
		t.Errorf("%d wait, places held by %v", waiting, routes)
	}
	for _, runner := range house.Loads.All(time.Now(), []string{"d"}) {
		if runner.InFlight != 0 {
			t.Errorf("%s has %d of ours in flight", runner.ID, runner.InFlight)
		}
	}
}

// blamed tells whether a runner is left alone.
func (house *house) blamed(runner string) bool {
	found, _ := house.Loads.One(time.Now(), runner, []string{"d"})
	return !found.Usable
}

// A request gives up its place in the queue when its client leaves, and reaches nobody when a runner has room again.
func TestQueuedRequestEndsWithItsClient(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){"closes": func(client *net.TCPConn) { _ = client.Close() }, "resets": abort} {
		works := hold()
		runner := start(t, "r1", works.answer("", events(1, done(1), true)), events(1, done(1), true))
		house := build(t, runner)
		house.allow(t, `{"name":"patient","pool":"p","worth":1,"patience":"60s","repeatable":true}`)
		working := house.ask(t, "patient", "working")
		within(t, name+": the first request is worked on", works.started)
		house.Loads.Reported(time.Now(), "r1", load.Report{Running: 1, Waiting: 1, Slots: 1})
		var waiting []*net.TCPConn
		for number := range 3 {
			waiting = append(waiting, house.ask(t, "patient", fmt.Sprint("waiting", number)))
		}
		queue := func() int { _, waiting, _ := house.Scheduler("p").State(); return waiting }
		eventually(t, "the others wait", func() bool { return queue() == 3 })
		for _, client := range waiting {
			leave(client)
		}
		eventually(t, "the queue is empty", func() bool { return queue() == 0 })
		eventually(t, "only the first is in flight", func() bool { return house.InFlight.Load() == 1 })
		close(works.release)
		if content, err := io.ReadAll(io.LimitReader(working, 10)); err != nil || !strings.HasPrefix(string(content), "HTTP/1.1 2") {
			t.Errorf("%s: the first got %q, %v", name, content, err)
		}
		house.nothingHeld(t)
		if reached := runner.reached.Load(); reached != 1 {
			t.Errorf("%s: %d requests reached the runner", name, reached)
		}
	}
}

// allow adds a route to the house's spec.
func (house *house) allow(t *testing.T, route string) {
	t.Helper()
	parsed, err := config.Parse([]byte(`{"zones":[{"name":"a","closed":false}],"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],"lanes":[` + route + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	house.snapshot = &config.Snapshot{SpecEpoch: 1, Catalog: config.NewCatalog(parsed), Until: time.Now().Add(time.Hour)}
}

// A runner at work is let go when the client leaves, before its first event as well as behind it, and is not blamed.
func TestRunIsCutWithItsClient(t *testing.T) {
	for name, trial := range map[string]struct {
		first string
		then  func(net.Conn, *http.Request)
		route string
		extra string
	}{
		"before the first event":         {"", events(1, done(1), true), "free", ""},
		"in the middle of a stream":      {oneEvent(), restOf, "free", ""},
		"of a lane that may be resumed":  {oneEvent(), restOf, "resumed", ""},
		"of a lane that is to cancel":    {"", events(1, done(1), true), "cancelled", `{"name":"cancelled","pool":"p","worth":1,"patience":"2s","repeatable":false,"cancel_on_disconnect":true}`},
		"of such a lane, behind a event": {oneEvent(), restOf, "cancelled", `{"name":"cancelled","pool":"p","worth":1,"patience":"2s","repeatable":false,"cancel_on_disconnect":true}`},
	} {
		works := hold()
		first, second := start(t, "r1", works.answer(trial.first, trial.then)), start(t, "r2", works.answer(trial.first, trial.then))
		house := build(t, first, second)
		if trial.extra != "" {
			house.allow(t, trial.extra)
		}
		client := house.ask(t, trial.route, "q")
		within(t, name+": the runner works", works.started)
		if trial.first != "" {
			// The client has seen the event before it leaves.
			if _, err := io.ReadAtLeast(client, make([]byte, 4096), len("HTTP/1.1 200")); err != nil {
				t.Fatal(err)
			}
		}
		_ = client.Close()
		within(t, name+": the runner is let go", works.cut)
		house.nothingHeld(t)
		if sends := first.reached.Load() + second.reached.Load(); sends != 1 {
			t.Errorf("%s: %d sends", name, sends)
		}
		if house.blamed("r1") || house.blamed("r2") {
			t.Errorf("%s: the runner is blamed", name)
		}
	}
}

// What runs at most once and has been sent goes on to its end, which is remembered for the client's repeat.
func TestOnceRunOutlivesItsClient(t *testing.T) {
	for name, trial := range map[string]struct {
		first string
		then  func(net.Conn, *http.Request)
		state dedup.State
	}{
		"before the first event":    {"", events(1, done(1), true), dedup.Ran},
		"in the middle of a stream": {oneEvent(), restOf, dedup.Ran},
		"that breaks off":           {oneEvent(), hangsUp, dedup.Unknown},
		"that fails":                {"", fails, dedup.Unknown},
	} {
		works := hold()
		runner := start(t, "r1", works.answer(trial.first, trial.then))
		house := build(t, runner)
		client := house.ask(t, "once", "booking")
		within(t, name+": the runner works", works.started)
		_ = client.Close()
		<-house.departures
		close(works.release)
		house.nothingHeld(t)
		if state := house.Once.Lookup(dedup.KeyOf("once", "booking")); state != trial.state {
			t.Errorf("%s: what is remembered is %q", name, state)
		}
		if status, body := house.send(t, "once", "booking"); status != 409 || runner.reached.Load() != 1 {
			t.Errorf("%s: sent again: %d %s, the runner saw %d", name, status, body, runner.reached.Load())
		}
	}
}

// noticing tells when its house has learned that the client has left.
type noticing struct {
	netio.Client
	departures chan<- struct{}
}

func (noticing noticing) Watch(left func()) (stop func()) {
	return noticing.Client.Watch(func() {
		left()
		noticing.departures <- struct{}{}
	})
}

// A request that waits for its daemon to be sure of its spec ends with its client as well.
func TestWaitForASureSpecEndsWithTheClient(t *testing.T) {
	runner := start(t, "r1", events(1, done(1), true))
	house := build(t, runner)
	house.snapshot = &config.Snapshot{SpecEpoch: 1, Catalog: house.snapshot.Catalog}
	waits := make(chan struct{}, 8)
	house.Renewed = func() <-chan struct{} {
		waits <- struct{}{}
		return nil
	}
	client := house.ask(t, "once", "q")
	<-waits
	started := time.Now()
	_ = client.Close()
	house.nothingHeld(t)
	if took := time.Since(started); took > soonBound {
		t.Errorf("it waited %v more", took)
	}
	// What was not sent may be sent again.
	if state := house.Once.Lookup(dedup.KeyOf("once", "q")); state != "" || runner.reached.Load() != 0 {
		t.Errorf("remembered as %q, the runner saw %d", state, runner.reached.Load())
	}
}

// A connection that is being made is given up with the client.
func TestDialEndsWithTheClient(t *testing.T) {
	house := build(t, start(t, "r1", events(1, done(1), true)))
	environment := netio.Real(nil)
	dials, finished := make(chan struct{}), make(chan struct{})
	environment.Dial = func(ctx context.Context, _ string, _ netio.Timeouts) (netio.Conn, error) {
		close(dials)
		<-ctx.Done()
		close(finished)
		return nil, ctx.Err()
	}
	house.Connections = connpool.New(environment, "")
	client := house.ask(t, "free", "q")
	within(t, "a connection is being made", dials)
	_ = client.Close()
	within(t, "the dial ends", finished)
	house.nothingHeld(t)
	if house.blamed("r1") {
		t.Error("the runner is blamed")
	}
}

// Nobody looks for another runner for a client that has left.
func TestNoFurtherAttemptForAClientThatLeft(t *testing.T) {
	for name, trial := range map[string]struct {
		route, first string
		then         func(net.Conn, *http.Request)
	}{
		"put back": {"once", "", putsBack},
		"in doubt": {"free", "", hangsUp},
		"broken":   {"resumed", oneEvent(), hangsUp},
	} {
		works := hold()
		script := works.answer(trial.first, trial.then)
		first, second := start(t, "r1", script, events(1, done(1), true)), start(t, "r2", script, events(1, done(1), true))
		house := build(t, first, second)
		client := house.ask(t, trial.route, "q")
		within(t, name+": the runner works", works.started)
		_ = client.Close()
		<-house.departures
		close(works.release)
		house.nothingHeld(t)
		if sends := first.reached.Load() + second.reached.Load(); sends != 1 {
			t.Errorf("%s: %d sends", name, sends)
		}
	}
}

// A request that was read behind its client's close goes nowhere, even where the course is quicker than the watch.
func TestRequestReadBehindItsCloseIsDropped(t *testing.T) {
	runner := start(t, "r1", events(1, done(1), true))
	house := build(t, runner)
	// Why no watch: the process has just woken from a freeze and its poller has not told of the close yet.
	for _, route := range []string{"once", "free"} {
		house.Serve(&departed{route: route, body: []byte(`{"prompt":"x"}`)})
		house.nothingHeld(t)
		if runner.reached.Load() != 0 {
			t.Errorf("%s: the runner was reached", route)
		}
		if state := house.Once.Lookup(dedup.KeyOf(route, "q")); state != "" {
			t.Errorf("%s: remembered as %q", route, state)
		}
	}
	// The connection that was made for it serves the next.
	dials := house.Connections.Counters.Dials.Load()
	if status, body := house.send(t, "once", "q"); status != 200 || house.Connections.Counters.Dials.Load() != dials {
		t.Errorf("sent again: %d %s, %d new connections", status, body, house.Connections.Counters.Dials.Load()-dials)
	}
}

// departed is a client that has left before its request was read.
type departed struct {
	route  string
	body   []byte
	status int
}

func (departed *departed) Method() string { return "POST" }

func (departed *departed) Authority() string { return "x" }

func (departed *departed) Target() string { return "/v1/stream" }

func (departed *departed) Header(name string) []string {
	value := map[string]string{admission.HeaderRoute: departed.route, admission.HeaderModel: "m", admission.HeaderRequest: "q", admission.HeaderPrompt: "100", admission.HeaderAnswer: "10"}[name]
	if value == "" {
		return nil
	}
	return []string{value}
}

func (departed *departed) Headers(func(name, value string)) {}

func (departed *departed) Body() []byte { return departed.body }

func (departed *departed) Left() bool { return true }

func (departed *departed) Watch(func()) (stop func()) { return func() {} }

func (departed *departed) Answer(status int, _ []netio.Header, _ []byte) { departed.status = status }

func (departed *departed) Stream(status int, _ []netio.Header, source io.ReadCloser) {
	departed.status = status
	_, _ = io.Copy(io.Discard, source)
	_ = source.Close()
}

func (departed *departed) Last() {}

// Who only ends its sending side looks like one that has left, and is told so at once.
func TestHalfClosedConnectionIsAnswered(t *testing.T) {
	works := hold()
	house := build(t, start(t, "r1", works.answer("", events(1, done(1), true))))
	client := house.ask(t, "free", "q")
	within(t, "the runner works", works.started)
	_ = client.CloseWrite()
	within(t, "the runner is let go", works.cut)
	response, err := io.ReadAll(client)
	if err != nil || !strings.Contains(string(response), `"kind":"requester_gone"`) || !strings.Contains(string(response), `"ran":"`+scheduler.Unknown+`"`) || !strings.Contains(string(response), "Connection: close") {
		t.Errorf("%q, %v", response, err)
	}
}

// Many clients that leave at every moment of their requests' lives give every place back, and the runner works on none.
func TestClientsLeaveAtAnyMoment(t *testing.T) {
	runner := start(t, "r1", events(3, done(3), true))
	house := build(t, runner)
	for number := range 200 {
		route := []string{"free", "once", "resumed"}[number%3]
		client := house.ask(t, route, fmt.Sprint("q", number))
		for range number {
			runtime.Gosched()
		}
		if number%2 == 0 {
			abort(client)
		} else {
			_ = client.Close()
		}
	}
	house.nothingHeld(t)
}
