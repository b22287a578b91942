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

// testTimeout bounds the wait for an event that should happen at once; soon is the time within which it must happen.
const (
	testTimeout = 10 * time.Second
	soon        = 400 * time.Millisecond
)

// eventually waits until a condition holds.
func eventually(t *testing.T, description string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("never: %s", description)
		}
	}
}

// wantSoon waits for a signal and fails the test if it does not arrive soon.
func wantSoon(t *testing.T, description string, signal <-chan struct{}) {
	t.Helper()
	started := time.Now()
	select {
	case <-signal:
		if took := time.Since(started); took > soon {
			t.Errorf("%s took %v", description, took)
		}
	case <-time.After(testTimeout):
		t.Fatalf("never: %s", description)
	}
}

// blockedRuns holds the runs of scripted runners until release is closed. Each run sends a signal to started, and to
// cancelled if its connection ends before the release.
type blockedRuns struct{ started, cancelled, release chan struct{} }

func newBlockedRuns() *blockedRuns {
	return &blockedRuns{started: make(chan struct{}, 16), cancelled: make(chan struct{}, 16), release: make(chan struct{})}
}

// answer returns a script that first sends a text, which may be empty, and blocks until the release; then it continues
// with another script.
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

// oneEvent returns the head of a stream and its first event.
func oneEvent() string {
	event := tokenEvents("x", 1, 1)
	return fmt.Sprintf("%s%x\r\n%s\r\n", streamHead, len(event), event)
}

// restOf ends a stream of one event.
func restOf(connection net.Conn, _ *http.Request) {
	sendChunk(connection, done(1))
	endBody(connection)
}

// dial sends a request over a new connection and reads nothing from it yet.
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

// abort closes a connection with a reset.
func abort(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// wantNoneInFlight checks that no request is in flight and every slot was released.
func (daemon *testDaemon) wantNoneInFlight(t *testing.T) {
	t.Helper()
	eventually(t, "nothing is in flight", func() bool { return daemon.InFlight.Load() == 0 })
	if _, waiting, routes := daemon.Scheduler("p").State(); waiting != 0 || len(routes) != 0 {
		t.Errorf("%d queued, slots held by %v", waiting, routes)
	}
	for _, runner := range daemon.Loads.Runners(time.Now(), []string{"d"}) {
		if runner.InFlight != 0 {
			t.Errorf("%s has %d requests of this daemon in flight", runner.ID, runner.InFlight)
		}
	}
}

// isEjected reports whether a runner is ejected at present.
func (daemon *testDaemon) isEjected(runner string) bool {
	found, _ := daemon.Loads.Lookup(time.Now(), runner, []string{"d"})
	return !found.Usable
}

// A queued request is removed from the queue when its client disconnects. It must not reach a runner that has free
// capacity later.
func TestQueuedRequestEndsWithItsClient(t *testing.T) {
	for name, disconnect := range map[string]func(*net.TCPConn){
		"closes": func(client *net.TCPConn) { closeQuietly(client) },
		"resets": abort,
	} {
		runs := newBlockedRuns()
		runner := startRunner(t, "r1", runs.answer("", events(1, done(1), true)), events(1, done(1), true))
		daemon := newDaemon(t, runner)
		daemon.allow(t, `{"name":"patient","pool":"p","worth":1,"patience":"60s","repeatable":true}`)
		working := daemon.dial(t, "patient", "working")
		wantSoon(t, name+": the first request runs", runs.started)
		daemon.Loads.RecordReport(time.Now(), "r1", load.Report{Running: 1, Waiting: 1, Slots: 1})
		waiting := make([]*net.TCPConn, 0, 3)
		for number := range 3 {
			waiting = append(waiting, daemon.dial(t, "patient", fmt.Sprint("waiting", number)))
		}
		queue := func() int { _, waiting, _ := daemon.Scheduler("p").State(); return waiting }
		eventually(t, "the others wait", func() bool { return queue() == 3 })
		for _, client := range waiting {
			disconnect(client)
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

// allow replaces the routes of the daemon's configuration by one route.
func (daemon *testDaemon) allow(t *testing.T, route string) {
	t.Helper()
	daemon.snapshot = newSnapshot(t, 1, `{"zones":[{"name":"a","closed":false}],
"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],"lanes":[`+route+`]}`)
}

// A disconnect of the client cancels the run, both before and after its first event, and the runner is not ejected for
// it.
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
		"before the first event":          {"", ran, "free", ""},
		"in the middle of a stream":       {oneEvent(), restOf, "free", ""},
		"on a resumable route":            {oneEvent(), restOf, "resumed", ""},
		"on a route that cancels":         {"", ran, "cancelled", cancelled},
		"on such a route, after an event": {oneEvent(), restOf, "cancelled", cancelled},
	} {
		runs := newBlockedRuns()
		first := startRunner(t, "r1", runs.answer(trial.first, trial.then))
		second := startRunner(t, "r2", runs.answer(trial.first, trial.then))
		daemon := newDaemon(t, first, second)
		if trial.extra != "" {
			daemon.allow(t, trial.extra)
		}
		client := daemon.dial(t, trial.route, "q")
		wantSoon(t, name+": the run starts", runs.started)
		if trial.first != "" {
			// The client has received the event before it disconnects.
			if _, err := io.ReadAtLeast(client, make([]byte, 4096), len("HTTP/1.1 200")); err != nil {
				t.Fatal(err)
			}
		}
		_ = client.Close()
		wantSoon(t, name+": the run is cancelled", runs.cancelled)
		daemon.wantNoneInFlight(t)
		if sends := first.reached.Load() + second.reached.Load(); sends != 1 {
			t.Errorf("%s: %d sends", name, sends)
		}
		if daemon.isEjected("r1") || daemon.isEjected("r2") {
			t.Errorf("%s: the runner is avoided", name)
		}
	}
}

// An at-most-once request that was sent runs to its end after its client has disconnected. Its outcome is recorded for
// a client retry.
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
		wantSoon(t, name+": the run starts", runs.started)
		_ = client.Close()
		<-daemon.disconnects
		close(runs.release)
		daemon.wantNoneInFlight(t)
		if state := daemon.Dedup.Lookup(dedup.KeyOf("once", "booking")); state != trial.state {
			t.Errorf("%s: the recorded state is %q", name, state)
		}
		if status, body := daemon.send(t, "once", "booking"); status != 409 || runner.reached.Load() != 1 {
			t.Errorf("%s: retried: %d %s, the runner saw %d", name, status, body, runner.reached.Load())
		}
	}
}

// notifyingClient signals when its daemon has been notified that the client has disconnected.
type notifyingClient struct {
	netio.Client
	disconnects chan<- struct{}
}

func (client notifyingClient) OnDisconnect(disconnected func()) (stop func()) {
	return client.Client.OnDisconnect(func() {
		disconnected()
		client.disconnects <- struct{}{}
	})
}

// A request that waits until the configuration is known to be current ends when its client disconnects.
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
		t.Errorf("it waited %v longer", took)
	}
	// A request that was not sent must have no record, so that its client may retry it.
	if state := daemon.Dedup.Lookup(dedup.KeyOf("once", "q")); state != "" || runner.reached.Load() != 0 {
		t.Errorf("recorded as %q, the runner saw %d", state, runner.reached.Load())
	}
}

// A connection attempt to a runner ends when the client disconnects.
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
	if daemon.isEjected("r1") {
		t.Error("the runner is avoided")
	}
}

// No further runner is tried once the client has disconnected.
func TestNoFurtherAttemptForAClientThatLeft(t *testing.T) {
	for name, trial := range map[string]struct {
		route, first string
		then         func(net.Conn, *http.Request)
	}{
		"rejected":  {"once", "", rejects},
		"ambiguous": {"free", "", hangsUp},
		"broken":    {"resumed", oneEvent(), hangsUp},
	} {
		runs := newBlockedRuns()
		script := runs.answer(trial.first, trial.then)
		first := startRunner(t, "r1", script, events(1, done(1), true))
		second := startRunner(t, "r2", script, events(1, done(1), true))
		daemon := newDaemon(t, first, second)
		client := daemon.dial(t, trial.route, "q")
		wantSoon(t, name+": the run starts", runs.started)
		_ = client.Close()
		<-daemon.disconnects
		close(runs.release)
		daemon.wantNoneInFlight(t)
		if sends := first.reached.Load() + second.reached.Load(); sends != 1 {
			t.Errorf("%s: %d sends", name, sends)
		}
	}
}

// A request that is read after its client has closed the connection is dropped, even if the watch has not been notified
// yet.
func TestRequestReadBehindItsCloseIsDropped(t *testing.T) {
	runner := startRunner(t, "r1", events(1, done(1), true))
	daemon := newDaemon(t, runner)
	// The client's watch never reports the close, as after a freeze, when the poller has not seen the close yet.
	for _, route := range []string{"once", "free"} {
		daemon.Serve(&disconnectedClient{route: route, body: []byte(`{"prompt":"x"}`)})
		daemon.wantNoneInFlight(t)
		if runner.reached.Load() != 0 {
			t.Errorf("%s: the runner was reached", route)
		}
		if state := daemon.Dedup.Lookup(dedup.KeyOf(route, "q")); state != "" {
			t.Errorf("%s: recorded as %q", route, state)
		}
	}
	// The connection that was made for the dropped request is used for the next one.
	dials := daemon.Connections.Counters.Dials.Load()
	if status, body := daemon.send(t, "once", "q"); status != 200 || daemon.Connections.Counters.Dials.Load() != dials {
		t.Errorf("retried: %d %s, %d new connections", status, body, daemon.Connections.Counters.Dials.Load()-dials)
	}
}

// disconnectedClient is a client that has disconnected before its request is read.
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

// A client that shuts down only its sending side counts as disconnected and is sent the error for that at once.
func TestHalfClosedConnectionIsAnswered(t *testing.T) {
	runs := newBlockedRuns()
	daemon := newDaemon(t, startRunner(t, "r1", runs.answer("", events(1, done(1), true))))
	client := daemon.dial(t, "free", "q")
	wantSoon(t, "the run starts", runs.started)
	_ = client.CloseWrite()
	wantSoon(t, "the run is cancelled", runs.cancelled)
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

// Clients that disconnect at any point of their requests leave no slot taken and no run behind.
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

// A client that closes or resets while it waits for a complete response is noticed at once, whatever part of the
// response has arrived from the runner. Nothing is written to the client, so no write error can reveal the disconnect.
func TestClientLeavesWhileItWaitsForACompleteResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 4\r\n\r\n"
	disconnects := map[string]func(*net.TCPConn){
		"closes": func(client *net.TCPConn) { closeQuietly(client) },
		"resets": abort,
	}
	for sent, first := range map[string]string{"nothing": "", "the head": head, "part of the body": head + "{}"} {
		for name, disconnect := range disconnects {
			runs := newBlockedRuns()
			daemon := newDaemon(t, startRunner(t, "r1", runs.answer(first, hangsUp)))
			daemon.Codec = completeResponseCodec{daemon.Codec}
			client := daemon.dial(t, "free", daemon.nextID())
			wantSoon(t, "the start of the run", runs.started)
			disconnect(client)
			wantSoon(t, fmt.Sprintf("the end of a run whose client %s, with %s sent", name, sent), runs.cancelled)
			daemon.wantNoneInFlight(t)
		}
	}
}
