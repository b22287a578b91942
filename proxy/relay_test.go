package proxy

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"wardtray/apierror"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
)

// relayTimeout is the client's timeout of the requests of newRelay.
const relayTimeout = time.Minute

// newRelay returns the relay of a stream from the runner r0 whose first event has arrived. The request is recorded if
// its route is at-most-once.
func newRelay(t *testing.T, daemon *testDaemon, route string) *relay {
	t.Helper()
	attempt := newFakeClockAttempt(daemon, route)
	exchange := attempt.exchange
	exchange.attempt, exchange.scheduler = attempt, nil
	if err := exchange.acceptAtMostOnce(); err != nil {
		t.Fatal(err)
	}
	exchange.request.Timeout = relayTimeout
	if err := exchange.resolve(); err != nil {
		t.Fatal(err)
	}
	daemon.InFlight.Add(1)
	if outcome := attempt.execute(); outcome != responseReady {
		t.Fatalf("%s: %q", route, outcome)
	}
	exchange.execution.relayed = true
	return &relay{exchange: exchange}
}

// wantFinished checks that the request of a relay is finished: counted once under end, recorded with state, and no
// longer in flight.
func (relay *relay) wantFinished(t *testing.T, name, end string, state dedup.State) {
	t.Helper()
	exchange := relay.exchange
	recorded := exchange.handler.Dedup.Lookup(dedup.KeyOf(exchange.request.Route, exchange.request.ID))
	if recorded != state {
		t.Errorf("%s: recorded as %q, want %q", name, recorded, state)
	}
	outcomes := exchange.handler.Metrics.Routes()[exchange.route.Name].Outcomes
	if len(outcomes) != 1 || outcomes[end] != 1 {
		t.Errorf("%s: counted %v, want %q", name, outcomes, end)
	}
	if in := exchange.handler.InFlight.Load(); in != 0 {
		t.Errorf("%s: %d in flight", name, in)
	}
}

// noErrorEventCodec has no error event, so it can't mark a stream as incomplete.
type noErrorEventCodec struct{ codec.Codec }

func (noErrorEventCodec) ErrorEvent(int, codec.Refusal) []byte { return nil }

// Each case is a stream after its head and the expected end of its request. An incomplete or inconsistent stream must
// not be relayed or recorded as complete.
func TestRelayEndings(t *testing.T) {
	const failed = string(apierror.RunFailed)
	two := tokenEvents("x", 1, 2)
	for name, trial := range map[string]struct {
		route  string
		text   string
		closes bool
		// end is the outcome under which the request is counted, and state its recorded state if the route is
		// at-most-once.
		end   string
		state dedup.State
	}{
		"its own end":             {"once", two + done(2), false, endDone, dedup.Ran},
		"its own end, idempotent": {"free", two + done(2), false, endDone, dedup.NotSeen},
		"breaks off":              {"once", two, true, failed, dedup.Unknown},
		"breaks off in an event":  {"once", two + "id: 3\n", true, failed, dedup.Unknown},
		"skips an event":          {"once", two + tokenEvents("x", 4, 4), false, failed, dedup.Unknown},
		"repeats an event":        {"once", two + tokenEvents("x", 2, 2), false, failed, dedup.Unknown},
		"falls silent":            {"once", two, false, failed, dedup.Unknown},
		"breaks off, idempotent":  {"free", two, true, failed, dedup.NotSeen},
	} {
		clock := &fakeClock{}
		connection := responding(clock, delivery{0, streamed(trial.text)})
		connection.closes = trial.closes
		daemon := newFakeClockDaemon(t, clock, connection)
		relay := newRelay(t, daemon, trial.route)
		received, err := io.ReadAll(relay)
		if err != nil {
			t.Errorf("%s: ended with %v", name, err)
		}
		reason := map[bool]string{true: "", false: reasonBrokenStream}[trial.end == endDone]
		if got := daemon.reason(clock); got != reason {
			t.Errorf("%s: the runner is ejected for %q", name, got)
		}
		rest, isPrefix := strings.CutPrefix(string(received), two)
		if trial.end == endDone && rest != done(2) || trial.end != endDone && !strings.Contains(rest, "event: error") ||
			!isPrefix {
			t.Errorf("%s: relayed %q", name, received)
		}
		for range 2 {
			_ = relay.Close()
		}
		relay.wantFinished(t, name, trial.end, trial.state)
		if !connection.closed {
			t.Errorf("%s: the connection is still open", name)
		}
	}
}

// If the codec has no error event, an incomplete stream is cut off, so that the client can't take it for complete.
func TestRelayIsCutOffWithoutAnErrorEvent(t *testing.T) {
	clock := &fakeClock{}
	two := tokenEvents("x", 1, 2)
	daemon := newFakeClockDaemon(t, clock, responding(clock, delivery{0, streamed(two)}))
	daemon.Codec = noErrorEventCodec{daemon.Codec}
	relay := newRelay(t, daemon, "once")
	received, err := io.ReadAll(relay)
	if string(received) != two || !errors.Is(err, errIncompleteResponse) {
		t.Errorf("relayed %q, ended with %v", received, err)
	}
	_ = relay.Close()
	relay.wantFinished(t, "cut off", string(apierror.RunFailed), dedup.Unknown)
}

// Received bytes are relayed at once, in complete events; a partial event waits for its rest.
func TestRelayForwardsCompleteEventsAsTheyCome(t *testing.T) {
	clock := &fakeClock{}
	three := tokenEvents("x", 3, 3)
	daemon := newFakeClockDaemon(t, clock, responding(clock,
		delivery{0, streamed(tokenEvents("x", 1, 1))},
		delivery{time.Second, tokenEvents("x", 2, 2) + three[:5]},
		delivery{time.Second, three[5:] + done(3)},
	))
	relay := newRelay(t, daemon, "once")
	started := clock.now
	buffer := make([]byte, 4096)
	for index, want := range []string{tokenEvents("x", 1, 1), tokenEvents("x", 2, 2), three + done(3)} {
		count, err := relay.Read(buffer)
		at := clock.now.Sub(started)
		if err != nil || string(buffer[:count]) != want || at != time.Duration(index)*time.Second {
			t.Errorf("after %v: %q, %v", at, buffer[:count], err)
		}
		if last := relay.exchange.lastEventID; last != []int{1, 2, 4}[index] {
			t.Errorf("after %q the last id is %d", want, last)
		}
	}
	if count, err := relay.Read(buffer); count != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %d, %v", count, err)
	}
}

// A reader with a small buffer receives the same bytes: those that do not fit into the buffer must not be lost.
func TestRelayFillsSmallBuffers(t *testing.T) {
	clock := &fakeClock{}
	text := tokenEvents("x", 1, 5) + done(5)
	relay := newRelay(t, newFakeClockDaemon(t, clock, responding(clock, delivery{0, streamed(text)})), "once")
	var received strings.Builder
	buffer := make([]byte, 7)
	for {
		count, err := relay.Read(buffer)
		received.Write(buffer[:count])
		if err != nil {
			break
		}
	}
	if received.String() != text || relay.exchange.relayedBytes != len(text) {
		t.Errorf("%q, %d bytes counted", received.String(), relay.exchange.relayedBytes)
	}
}

// Events that were received together are relayed together, up to the size of a chunk.
func TestRelayBoundsItsChunks(t *testing.T) {
	for length, together := range map[int]bool{chunkSize / 2: true, chunkSize: false} {
		clock := &fakeClock{}
		long := "id: 1\nevent: token\ndata: " + strings.Repeat("x", length) + "\n\n"
		rest := tokenEvents("x", 2, 2) + done(2)
		daemon := newFakeClockDaemon(t, clock, responding(clock, delivery{0, streamed(long + rest)}))
		relay := newRelay(t, daemon, "once")
		relay.fetch()
		if chunk := string(relay.pending); chunk != long+rest && together || chunk != long && !together {
			t.Errorf("an event of %d bytes: a chunk of %d", length, len(chunk))
		}
	}
}

// A stream whose client disconnects is cancelled, unless its request must run at most once: then it is read to its end.
func TestRelayWhoseClientLeaves(t *testing.T) {
	for name, trial := range map[string]struct {
		route string
		rest  []delivery
		end   string
		state dedup.State
		took  time.Duration
	}{
		"idempotent": {"free", []delivery{{time.Second, done(1)}}, endClientDisconnected, dedup.NotSeen, 0},
		"once":       {"once", []delivery{{time.Second, done(1)}}, endDone, dedup.Ran, time.Second},
		"once, then breaks off": {"once", []delivery{{time.Second, tokenEvents("x", 7, 7)}}, endClientDisconnected,
			dedup.Unknown, time.Second},
	} {
		clock := &fakeClock{}
		connection := responding(clock, append([]delivery{{0, streamed(tokenEvents("x", 1, 1))}}, trial.rest...)...)
		daemon := newFakeClockDaemon(t, clock, connection)
		relay := newRelay(t, daemon, trial.route)
		if _, err := relay.Read(make([]byte, 4096)); err != nil {
			t.Fatal(err)
		}
		started := clock.now
		if err := relay.Close(); err != nil {
			t.Error(err)
		}
		took := clock.now.Sub(started)
		if trial.end == endDone {
			// The relay also waits to see whether the response ends with its last event.
			took -= tailTimeout
		}
		if took != trial.took || !relay.exchange.client.hasDisconnected() {
			t.Errorf("%s: took %v, the client disconnected %v", name, took, relay.exchange.client.hasDisconnected())
		}
		relay.wantFinished(t, name, trial.end, trial.state)
		if reason := daemon.reason(clock); reason != "" || !connection.closed {
			t.Errorf("%s: the runner is ejected for %q, connection closed %v", name, reason, connection.closed)
		}
	}
}

// rejecting returns a connection to a runner that rejects the request; the caller sets its clock.
func rejecting() *fakeConnection {
	return responding(nil, delivery{0, completeResponse(codec.NotExecuted)})
}

// A resumable stream continues at another runner after the last event that was relayed, once it has stalled for twice
// its usual pause. If no runner can take it up it ends as incomplete, once, and not before its deadline: the first
// runner might still go on.
func TestRelayResumes(t *testing.T) {
	const pause = time.Second // The pause of the route "resumed".
	first := tokenEvents("x", 1, 2)
	const failed = string(apierror.RunFailed)
	continued, restarted := streamed(tokenEvents("x", 3, 4)+done(4)), streamed(first+done(2))
	for name, trial := range map[string]struct {
		second  *fakeConnection
		resumed uint64
		end     string
		took    time.Duration
	}{
		"at another runner":              {responding(nil, delivery{0, continued}), 1, endDone, pauseFactor * pause},
		"where the other one restarts":   {responding(nil, delivery{0, restarted}), 0, failed, relayTimeout},
		"where the other one rejects it": {rejecting(), 0, failed, relayTimeout},
		"where there is no other one":    {nil, 0, failed, relayTimeout},
	} {
		clock := &fakeClock{}
		connections := []*fakeConnection{responding(clock, delivery{0, streamed(first)})}
		if trial.second != nil {
			trial.second.clock = clock
			connections = append(connections, trial.second)
		}
		daemon := newFakeClockDaemon(t, clock, connections...)
		relay := newRelay(t, daemon, "resumed")
		started := clock.now
		received, err := io.ReadAll(relay)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		_ = relay.Close()
		wantsComplete := trial.end == endDone
		complete := string(received) == tokenEvents("x", 1, 4)+done(4)
		broken := strings.HasPrefix(string(received), first) && strings.Count(string(received), "event: error") == 1
		if complete != wantsComplete || broken == wantsComplete {
			t.Errorf("%s: relayed %q", name, received)
		}
		if trial.second != nil && !strings.Contains(trial.second.written.String(), "Wardtray-After: 2\r\n") {
			t.Errorf("%s: the other runner was sent %q", name, trial.second.written.String())
		}
		relay.wantFinished(t, name, trial.end, dedup.NotSeen)
		took := clock.now.Sub(started)
		if wantsComplete {
			// The relay also waits to see whether the response ends with its last event.
			took -= tailTimeout
		}
		if resumed := daemon.Metrics.Routes()["resumed"].Resumed; resumed != trial.resumed || took != trial.took {
			t.Errorf("%s: %d resumed after %v", name, resumed, took)
		}
	}
}
