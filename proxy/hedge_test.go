package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"wardtray/proxy/admission"
	"wardtray/proxy/codec"
	"wardtray/wire"
)

// movedConfiguration gives every route of testConfiguration that may be resumed to another backend.
var movedConfiguration = strings.Replace(strings.Replace(testConfiguration,
	`{"name":"resumed","pool":"p"`, `{"name":"resumed","pool":"q"`, 1),
	`"pools":[`, `"pools":[{"name":"q","model":"m","weights":"w","services":["s2"]},`, 1)

// Guards against streams that are cut because their runner pauses: a runner that puts a request back says nothing for a
// while and then goes on. The daemon used to close its connection before it knew whether another runner could take the
// stream. In each case none can, and the stream must be completed by its first runner.
func TestPausedStreamGoesOnIfNoOtherRunnerTakesIt(t *testing.T) {
	const pause = 3 * pauseFactor * time.Second // The pause of the route "resumed" is a second.
	for name, trial := range map[string]struct {
		prepare func(t *testing.T, daemon *testDaemon, clock *fakeClock)
		second  *fakeConnection
	}{
		"the route has moved": {func(t *testing.T, daemon *testDaemon, _ *fakeClock) {
			t.Helper()
			daemon.snapshot = newSnapshot(t, 2, movedConfiguration)
		}, responding(nil)},
		"the retry budget is spent": {func(_ *testing.T, daemon *testDaemon, _ *fakeClock) {
			daemon.budgets.Clear()
		}, responding(nil)},
		"the others drain": {func(_ *testing.T, daemon *testDaemon, clock *fakeClock) {
			daemon.Loads.UpdateListing(clock.now, []*wire.Runner{
				{RunnerId: "r0", Address: "127.0.0.1:0", Zone: "a", Service: "s", State: "ready"},
				{RunnerId: "r1", Address: "127.0.0.1:1", Zone: "a", Service: "s", State: "draining"},
			})
		}, responding(nil)},
		"the others are unreachable": {nil, nil},
		"another one rejects it":     {nil, rejecting()},
		"the lease has expired": {func(_ *testing.T, daemon *testDaemon, clock *fakeClock) {
			expired := *daemon.snapshot
			expired.ExpiresAt = clock.now
			daemon.snapshot = &expired
		}, responding(nil)},
	} {
		clock := &fakeClock{}
		first := responding(clock, delivery{0, streamed(tokenEvents("x", 1, 2))},
			delivery{pause, tokenEvents("x", 3, 4) + done(4)})
		connections := []*fakeConnection{first}
		if trial.second != nil {
			trial.second.clock = clock
			connections = append(connections, trial.second)
		}
		daemon := newFakeClockDaemon(t, clock, connections...)
		relay := newRelay(t, daemon, "resumed")
		if trial.prepare != nil {
			trial.prepare(t, daemon, clock)
		}
		received, err := io.ReadAll(relay)
		_ = relay.Close()
		if err != nil || string(received) != tokenEvents("x", 1, 4)+done(4) {
			t.Errorf("%s: relayed %q, ended with %v", name, received, err)
		}
		if metrics := daemon.Metrics.Routes()["resumed"]; metrics.Outcomes[endDone] != 1 || metrics.Resumed != 0 {
			t.Errorf("%s: ended as %v, %d resumed", name, metrics.Outcomes, metrics.Resumed)
		}
	}
}

// Guards against requests that are given up before their first event because their runner is silent, although no other
// runner can take them. The first runner must be waited for until the deadline.
func TestSilentRunnerIsWaitedForIfNoOtherTakesTheRequest(t *testing.T) {
	const deadline = 3 * time.Second // Of the route "free" in hedgeConfiguration.
	clock := &fakeClock{}
	first := responding(clock, delivery{deadline - time.Millisecond, completeResponse(codec.Finished)})
	second := rejecting()
	second.clock = clock
	daemon := newFakeClockDaemon(t, clock, first, second)
	daemon.snapshot = newSnapshot(t, 1, hedgeConfiguration)
	// The other runner becomes usable again before the request is sent to it too.
	daemon.Loads.Eject(clock.now, "r1", "used later in the test")
	client := &recordingClient{disconnectedClient: disconnectedClient{route: "free", body: []byte(`{"prompt":"x"}`)}}
	daemon.Serve(client)
	if client.status != 200 || second.written.Len() == 0 {
		t.Errorf("%d %s; the other runner was sent %d bytes", client.status, client.content, second.written.Len())
	}
}

// hedgeConfiguration has routes whose requests are sent to a second runner after a short silence.
const hedgeConfiguration = `{"zones":[{"name":"a","closed":false}],
"pools":[{"name":"p","model":"m","weights":"w","services":["s"]}],
"lanes":[{"name":"free","pool":"p","worth":1,"patience":"50ms","purse":1,"repeatable":true,"deadline":"3s"},
{"name":"resumed","pool":"p","worth":1,"patience":"50ms","purse":1,"repeatable":true,"resumable":true,"pause":"20ms"}]}`

// Guards against streams that mix two runs, and against second attempts that outlive their use: the first runner goes
// on while a second one works on the same request. The client must receive the first run only, and the second one must
// be cancelled.
func TestSecondAttemptIsCancelledWhenTheFirstGoesOn(t *testing.T) {
	for _, route := range []string{"free", "resumed"} {
		reached, cancelled := make(chan struct{}), make(chan struct{})
		second := func(connection net.Conn, _ *http.Request) {
			close(reached)
			_, _ = io.Copy(io.Discard, connection)
			close(cancelled)
		}
		first := func(connection net.Conn, _ *http.Request) {
			if route == "resumed" {
				send(connection, "%s", streamHead)
				sendChunk(connection, tokenEvents("x", 1, 2))
				<-reached
				sendChunk(connection, tokenEvents("x", 3, 4)+done(4))
			} else {
				<-reached
				send(connection, "%s", streamHead)
				sendChunk(connection, tokenEvents("x", 1, 4)+done(4))
			}
			endBody(connection)
		}
		scripts := make(chan script, 2)
		scripts <- first
		scripts <- second
		inOrder := func(connection net.Conn, request *http.Request) { (<-scripts)(connection, request) }
		daemon := newDaemon(t, startRunner(t, "r1", inOrder), startRunner(t, "r2", inOrder))
		daemon.snapshot = newSnapshot(t, 1, hedgeConfiguration)
		status, body := daemon.sendWith(t, route, "h", map[string]string{admission.HeaderTimeout: "10000"})
		if status != 200 || body != tokenEvents("x", 1, 4)+done(4) {
			t.Errorf("%s: %d %s", route, status, body)
		}
		select {
		case <-cancelled:
		case <-time.After(10 * time.Second):
			t.Errorf("%s: the second attempt was not cancelled", route)
		}
		if in := daemon.InFlight.Load(); in != 0 {
			t.Errorf("%s: %d in flight", route, in)
		}
	}
}
