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
	"wardtray/proxy/dedup"
	"wardtray/transport/connpool"
	"wardtray/transport/netio"
)

// testTimeout is how long a test waits for what must come about at once; soon is within what time it has to.
const (
	testTimeout = 10 * time.Second
	soon        = 400 * time.Millisecond
)

// eventually waits until something holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// wantSoon waits for a signal, which has to come soon.
func wantSoon(t *testing.T, what string, signal <-chan struct{}) {
	t.Helper()
	started := time.Now()
	select {
	case <-signal:
		if took := time.Since(started); took > soon {
			t.Errorf("%s took %v", what, took)
		}
	case <-time.After(testTimeout):
		t.Fatalf("never: %s", what)
	}
}

// blockedRuns is runners' work that goes on until it is released; each run is signalled in started, and in cut where its
// connection ends before that.
type blockedRuns struct{ started, cancelled, release chan struct{} }

func newBlockedRuns() *blockedRuns {
	return &blockedRuns{started: make(chan struct{}, 16), cancelled: make(chan struct{}, 16), release: make(chan struct{})}
}

// answer begins to work, gives a text first where there is one, and goes on with a script once it is released.
func (runs *blockedRuns) answer(first string, then func(net.Conn, *http.Request)) func(net.Conn, *http.Request) {
	return func(connection net.Conn, request *http.Request) {
		_, _ = io.WriteString(connection, first)
		runs.started <- struct{}{}
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			_, _ = connection.Read(make([]byte, 1))
		}()
		select {
		case <-runs.release:
		case <-finished:
			runs.cancelled <- struct{}{}
			return
		}
		_ = connection.SetReadDeadline(time.Now())
		<-finished
		_ = connection.SetReadDeadline(time.Time{})
		then(connection, request)
	}
}

// oneEvent is the head of a stream and its first event.
func oneEvent() string {
	event := tokenEvents("x", 1, 1)
	return fmt.Sprintf("%s%x\r\n%s\r\n", streamHead, len(event), event)
}

// restOf ends a stream of one event.
func restOf(connection net.Conn, _ *http.Request) {
	sendChunk(connection, done(1))
	endBody(connection)
}

// dial sends a request over a connection of its own, on which nothing is read yet.
func (daemon *testDaemon) dial(t *testing.T, route, id string) *net.TCPConn {
	t.Helper()
	made, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", daemon.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(made) })
	send(made, "POST /v1/stream HTTP/1.1\r\nHost: x\r\n")
	for name, value := range requestHeaders(route, id) {
		send(made, "%s: %s\r\n", name, value)
	}
	send(made, "Content-Length: 14\r\n\r\n%s", `{"prompt":"x"}`)
	connection, isTCP := made.(*net.TCPConn)
	if !isTCP {
		t.Fatalf("dialed a %T", made)
	}
	return connection
}

// abort closes a connection by a reset.
func abort(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// wantNoneInFlight wants that no request is under way and every slot was released.
func (daemon *testDaemon) wantNoneInFlight(t *testing.T) {
	t.Helper()
	eventually(t, "nothing is in flight", func() bool { return daemon.InFlight.Load() == 0 })
	if _, waiting, routes := daemon.Scheduler("p").State(); waiting != 0 || len(routes) != 0 {
		t.Errorf("%d wait, slots held by %v", waiting, routes)
	}
	for _, runner := range daemon.Loads.Runners(time.Now(), []string{"d"}) {
		if runner.InFlight != 0 {
			t.Errorf("%s has %d of ours in flight", runner.ID, runner.InFlight)
		}
	}
}

// isAvoided reports whether a runner is not used at present.
func (daemon *testDaemon) isAvoided(runner string) bool {
	found, _ := daemon.Loads.Lookup(time.Now(), runner, []string{"d"})
	return !found.Usable
}

// A request is removed from the queue when its client leaves, and reaches nobody when a runner has room again.
func TestQueuedRequestEndsWithItsClient(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closes": func(client *net.TCPConn) { closeQuietly(client) },
		"resets": abort,
	} {
		runs := newBlockedRuns()
		runner := startRunner(t, "r1", runs.answer("", events(1, done(1), true)), events(1, done(1), true))
		daemon := newDaemon(t, runner)
		daemon.allow(t, `{"name":"patient","pool":"p","worth":1,"patience":"60s","repeatable":true}`)
		working := daemon.dial(t, "patient", "working")
		wantSoon(t, name+": the first request is worked on", runs.started)
		daemon.Loads.RecordReport(time.Now(), "r1", load.Report{Running: 1, Waiting: 1, Slots: 1})
		waiting := make([]*net.TCPConn, 0, 3)
		for number := range 3 {
			waiting = append(waiting, daemon.dial(t, "patient", fmt.Sprint("waiting", number)))
		}
		queue := func() int { _, waiting, _ := daemon.Scheduler("p").State(); return waiting }
		eventually(t, "the others wait", func() bool { return queue() == 3 })
		for _, client := range waiting {
			leave(client)
		}
		eventually(t, "the queue is empty", func() bool { return queue() == 0 })
		eventually(t, "only the first is in flight", func() bool { return daemon.InFlight.Load() == 1 })
		close(runs.release)
		if content, err := io.ReadAll(io.LimitReader(working, 10)); err != nil ||
			!strings.HasPrefix(string(content), "HTTP/1.1 2") {
			t.Errorf("%s: the first got %q, %v", name, content, err)
		}
		daemon.wantNoneInFlight(t)
		if reached := runner.reached.Load(); reached != 1 {
			t.Errorf("%s: %d requests reached the runner", name, reached)
		}
	}
}

// allow adds a route to the daemon's spec.
func (daemon *testDaemon) allow(t *testing.T, route string) {
	t.Helper()
	daemon.snapshot = newSnapshot(t, 1, `{"zones":[{"name":"a","closed":false}],
"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],"lanes":[`+route+`]}`)
}

// A running runner is released when the client leaves, before its first event as well as behind it, and is not avoided
// afterwards.
func TestRunIsCutWithItsClient(t *testing.T) {
	const cancelled = `{"name":"cancelled","pool":"p","worth":1,"patience":"2s","repeatable":false,
"cancel_on_disconnect":true}`
	ran := events(1, done(1), true)
	for name, trial := range map[string]struct {
		first string
		then  script
		route string
		extra string
	}{
		"before the first event":         {"", ran, "free", ""},
		"in the middle of a stream":      {oneEvent(), restOf, "free", ""},
		"of a lane that may be resumed":  {oneEvent(), restOf, "resumed", ""},
		"of a lane that is to cancel":    {"", ran, "cancelled", cancelled},
		"of such a lane, behind a event": {oneEvent(), restOf, "cancelled", cancelled},
	} {
		runs := newBlockedRuns()
		first := startRunner(t, "r1", runs.answer(trial.first, trial.then))
		second := startRunner(t, "r2", runs.answer(trial.first, trial.then))
		daemon := newDaemon(t, first, second)
		if trial.extra != "" {
			daemon.allow(t, trial.extra)
		}
		client := daemon.dial(t, trial.route, "q")
		wantSoon(t, name+": the runner works", runs.started)
		if trial.first != "" {
			// The client has seen the event before it leaves.
			if _, err := io.ReadAtLeast(client, make([]byte, 4096), len("HTTP/1.1 200")); err != nil {
				t.Fatal(err)
			}
		}
		_ = client.Close()
		wantSoon(t, name+": the runner is released", runs.cancelled)
		daemon.wantNoneInFlight(t)
		if sends := first.reached.Load() + second.reached.Load(); sends != 1 {
			t.Errorf("%s: %d sends", name, sends)
		}
		if daemon.isAvoided("r1") || daemon.isAvoided("r2") {
			t.Errorf("%s: the runner is avoided", name)
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
		runs := newBlockedRuns()
		runner := startRunner(t, "r1", runs.answer(trial.first, trial.then))
		daemon := newDaemon(t, runner)
		client := daemon.dial(t, "once", "booking")
		wantSoon(t, name+": the runner works", runs.started)
		_ = client.Close()
		<-daemon.disconnects
		close(runs.release)
		daemon.wantNoneInFlight(t)
		if state := daemon.Dedup.Lookup(dedup.KeyOf("once", "booking")); state != trial.state {
			t.Errorf("%s: what is remembered is %q", name, state)
		}
		if status, body := daemon.send(t, "once", "booking"); status != 409 || runner.reached.Load() != 1 {
			t.Errorf("%s: sent again: %d %s, the runner saw %d", name, status, body, runner.reached.Load())
		}
	}
}

// noticing tells when its daemon has learned that the client has left.
type notifyingClient struct {
	netio.Client
	disconnects chan<- struct{}
}

func (client notifyingClient) OnDisconnect(left func()) (stop func()) {
	return client.Client.OnDisconnect(func() {
		left()
		client.disconnects <- struct{}{}
	})
}

// A request that waits for its daemon to know its configuration to be current ends with its client as well.
func TestWaitForTheConfigurationEndsWithTheClient(t *testing.T) {
	runner := startRunner(t, "r1", events(1, done(1), true))
	daemon := newDaemon(t, runner)
	daemon.snapshot = &config.Snapshot{SpecEpoch: 1, Catalog: daemon.snapshot.Catalog}
	waits := make(chan struct{}, 8)
	daemon.Renewed = func() <-chan struct{} {
		waits <- struct{}{}
		return nil
	}
	client := daemon.dial(t, "once", "q")
	<-waits
	started := time.Now()
	_ = client.Close()
	daemon.wantNoneInFlight(t)
	if took := time.Since(started); took > soon {
		t.Errorf("it waited %v more", took)
	}
	// What was not sent may be sent again.
	if state := daemon.Dedup.Lookup(dedup.KeyOf("once", "q")); state != "" || runner.reached.Load() != 0 {
		t.Errorf("remembered as %q, the runner saw %d", state, runner.reached.Load())
	}
}

// A connection that is being made is given up with the client.
func TestDialEndsWithTheClient(t *testing.T) {
	daemon := newDaemon(t, startRunner(t, "r1", events(1, done(1), true)))
	environment := netio.Real(nil)
	dials, finished := make(chan struct{}), make(chan struct{})
	environment.Dial = func(ctx context.Context, _ string, _ netio.Timeouts) (netio.Conn, error) {
		close(dials)
		<-ctx.Done()
		close(finished)
		return nil, ctx.Err()
	}
	daemon.Connections = connpool.New(environment, "")
	client := daemon.dial(t, "free", "q")
	wantSoon(t, "a connection is being made", dials)
	_ = client.Close()
	wantSoon(t, "the dial ends", finished)
	daemon.wantNoneInFlight(t)
	if daemon.isAvoided("r1") {
		t.Error("the runner is avoided")
	}
}

// No other runner is looked for for a client that has left.
func TestNoFurtherAttemptForAClientThatLeft(t *testing.T) {
	for name, trial := range map[string]struct {
		route, first string
		then         func(net.Conn, *http.Request)
	}{
		"put back": {"once", "", rejects},
		"in doubt": {"free", "", hangsUp},
		"broken":   {"resumed", oneEvent(), hangsUp},
	} {
		runs := newBlockedRuns()
		script := runs.answer(trial.first, trial.then)
		first := startRunner(t, "r1", script, events(1, done(1), true))
		second := startRunner(t, "r2", script, events(1, done(1), true))
		daemon := newDaemon(t, first, second)
		client := daemon.dial(t, trial.route, "q")
		wantSoon(t, name+": the runner works", runs.started)
		_ = client.Close()
		<-daemon.disconnects
		close(runs.release)
		daemon.wantNoneInFlight(t)
		if sends := first.reached.Load() + second.reached.Load(); sends != 1 {
			t.Errorf("%s: %d sends", name, sends)
		}
	}
}

// A request that was read behind its client's close goes nowhere, even where the request is quicker than the watch.
func TestRequestReadBehindItsCloseIsDropped(t *testing.T) {
	runner := startRunner(t, "r1", events(1, done(1), true))
	daemon := newDaemon(t, runner)
	// Why no watch: the process has just woken from a freeze and its poller has not seen the close yet.
	for _, route := range []string{"once", "free"} {
		daemon.Serve(&disconnectedClient{route: route, body: []byte(`{"prompt":"x"}`)})
		daemon.wantNoneInFlight(t)
		if runner.reached.Load() != 0 {
			t.Errorf("%s: the runner was reached", route)
		}
		if state := daemon.Dedup.Lookup(dedup.KeyOf(route, "q")); state != "" {
			t.Errorf("%s: remembered as %q", route, state)
		}
	}
	// The connection that was made for it serves the next.
	dials := daemon.Connections.Counters.Dials.Load()
	if status, body := daemon.send(t, "once", "q"); status != 200 || daemon.Connections.Counters.Dials.Load() != dials {
		t.Errorf("sent again: %d %s, %d new connections", status, body, daemon.Connections.Counters.Dials.Load()-dials)
	}
}

// departed is a client that has left before its request was read.
type disconnectedClient struct {
	route  string
	body   []byte
	status int
}

func (client *disconnectedClient) Method() string { return "POST" }

func (client *disconnectedClient) Authority() string { return "x" }

func (client *disconnectedClient) Target() string { return "/v1/stream" }

func (client *disconnectedClient) Header(name string) []string {
	value := requestHeaders(client.route, "q")[name]
	if value == "" {
		return nil
	}
	return []string{value}
}

func (client *disconnectedClient) Headers(func(name, value string)) {}

func (client *disconnectedClient) Body() []byte { return client.body }

func (client *disconnectedClient) Disconnected() bool { return true }

func (client *disconnectedClient) OnDisconnect(func()) (stop func()) { return func() {} }

func (client *disconnectedClient) Respond(status int, _ []netio.Header, _ []byte) {
	client.status = status
}

func (client *disconnectedClient) Stream(status int, _ []netio.Header, source io.ReadCloser) {
	client.status = status
	_, _ = io.Copy(io.Discard, source)
	_ = source.Close()
}

func (client *disconnectedClient) ConnectedAt() time.Time { return time.Time{} }
func (client *disconnectedClient) CloseAfterResponse()    {}

// A client that only ends its sending side looks like one that has left, and is told so at once.
func TestHalfClosedConnectionIsAnswered(t *testing.T) {
	runs := newBlockedRuns()
	daemon := newDaemon(t, startRunner(t, "r1", runs.answer("", events(1, done(1), true))))
	client := daemon.dial(t, "free", "q")
	wantSoon(t, "the runner works", runs.started)
	_ = client.CloseWrite()
	wantSoon(t, "the runner is released", runs.cancelled)
	response, err := io.ReadAll(client)
	if err != nil {
		t.Fatal(err)
	}
	for _, wanted := range []string{`"kind":"requester_gone"`, `"ran":"` + scheduler.Unknown + `"`, "Connection: close"} {
		if !strings.Contains(string(response), wanted) {
			t.Errorf("%q lacks %q", response, wanted)
		}
	}
}

// Many clients that leave at every moment of their requests' lives give every slot back, and the runner works on none.
func TestClientsLeaveAtAnyMoment(t *testing.T) {
	runner := startRunner(t, "r1", events(3, done(3), true))
	daemon := newDaemon(t, runner)
	for number := range 200 {
		route := []string{"free", "once", "resumed"}[number%3]
		client := daemon.dial(t, route, fmt.Sprint("q", number))
		for range number {
			runtime.Gosched()
		}
		if number%2 == 0 {
			abort(client)
		} else {
			_ = client.Close()
		}
	}
	daemon.wantNoneInFlight(t)
}

// A client that closes or resets while it waits for a complete response is noticed at once, whatever of the response
// has come from the runner by then; nothing is written to it that could show that it has left.
func TestClientLeavesWhileItWaitsForACompleteResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 4\r\n\r\n"
	disconnects := map[string]func(*net.TCPConn){
		"closes": func(client *net.TCPConn) { closeQuietly(client) },
		"resets": abort,
	}
	for sent, first := range map[string]string{"nothing": "", "the head": head, "part of the body": head + "{}"} {
		for name, leave := range disconnects {
			runs := newBlockedRuns()
			daemon := newDaemon(t, startRunner(t, "r1", runs.answer(first, hangsUp)))
			daemon.Codec = completeResponseCodec{daemon.Codec}
			client := daemon.dial(t, "free", daemon.nextID())
			wantSoon(t, "the run", runs.started)
			leave(client)
			wantSoon(t, fmt.Sprintf("the end of a run whose client %s, with %s sent", name, sent), runs.cancelled)
			daemon.wantNoneInFlight(t)
		}
	}
}
