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

// newRelay returns the relay of a stream of a route whose first event has come from the runner r0, and whose request
// was recorded if it runs at most once.
func newRelay(t *testing.T, daemon *testDaemon, route string) *relay {
	t.Helper()
	attempt := newFakeClockAttempt(daemon, route)
	exchange := attempt.exchange
	exchange.attempt, exchange.scheduler = attempt, nil
	if err := exchange.acceptAtMostOnce(); err != nil {
		t.Fatal(err)
	}
	exchange.request.Timeout = time.Minute
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

// wantFinished wants the request of a relay to be finished: counted once by its end, remembered as state, and in flight
// no more.
func (relay *relay) wantFinished(t *testing.T, name, end string, state dedup.State) {
	t.Helper()
	exchange := relay.exchange
	remembered := exchange.handler.Dedup.Lookup(dedup.KeyOf(exchange.request.Route, exchange.request.ID))
	if remembered != state {
		t.Errorf("%s: remembered as %q, not %q", name, remembered, state)
	}
	outcomes := exchange.handler.Metrics.Routes()[exchange.route.Name].Outcomes
	if len(outcomes) != 1 || outcomes[end] != 1 {
		t.Errorf("%s: counted %v, not %q", name, outcomes, end)
	}
	if in := exchange.handler.InFlight.Load(); in != 0 {
		t.Errorf("%s: %d in flight", name, in)
	}
}

// noErrorEventCodec can't say that a stream is not complete.
type noErrorEventCodec struct{ codec.Codec }

func (noErrorEventCodec) ErrorEvent(int, codec.Refusal) []byte { return nil }

// Each row is a stream after its head, and how its request is finished.
func TestRelayEndings(t *testing.T) {
	const failed = string(apierror.RunFailed)
	two := tokenEvents("x", 1, 2)
	for name, trial := range map[string]struct {
		route  string
		text   string
		closes bool
		// end is counted, and state is what is remembered of the request if its route runs at most once.
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
			t.Errorf("%s: ended by %v", name, err)
		}
		reason := map[bool]string{true: "", false: reasonBrokenStream}[trial.end == endDone]
		if got := daemon.reason(clock); got != reason {
			t.Errorf("%s: the runner is not used because it %q", name, got)
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
			t.Errorf("%s: the connection is open", name)
		}
	}
}

// A codec that can't say that a stream is not complete has it cut off.
func TestRelayIsCutOffWithoutAnErrorEvent(t *testing.T) {
	clock := &fakeClock{}
	two := tokenEvents("x", 1, 2)
	daemon := newFakeClockDaemon(t, clock, responding(clock, delivery{0, streamed(two)}))
	daemon.Codec = noErrorEventCodec{daemon.Codec}
	relay := newRelay(t, daemon, "once")
	received, err := io.ReadAll(relay)
	if string(received) != two || !errors.Is(err, errCutOff) {
		t.Errorf("relayed %q, ended by %v", received, err)
	}
	_ = relay.Close()
	relay.wantFinished(t, "cut off", string(apierror.RunFailed), dedup.Unknown)
}

// What was received is relayed at once, by complete events: a part of one waits for the rest.
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

// A reader with little room gets the same bytes.
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

// What was received together is relayed together, up to the size of a chunk.
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

// A stream whose client leaves is cut, unless it runs at most once: that one is read to its end.
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
		"once, then breaks off": {"once", []delivery{{time.Second, tokenEvents("x", 7, 7)}}, endClientDisconnected, dedup.Unknown,
			time.Second},
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
			// Whether the response ends with its last event is waited for as well.
			took -= tailTimeout
		}
		if took != trial.took || !relay.exchange.client.hasDisconnected() {
			t.Errorf("%s: %v, the client left %v", name, took, relay.exchange.client.hasDisconnected())
		}
		relay.wantFinished(t, name, trial.end, trial.state)
		if reason := daemon.reason(clock); reason != "" || !connection.closed {
			t.Errorf("%s: the runner %q, closed %v", name, reason, connection.closed)
		}
	}
}

// A stream that may be resumed goes on at another runner after the last event that was relayed, as soon as it has stood
// still for twice its usual pause; where no runner is left it ends as incomplete, and only once.
func TestRelayResumes(t *testing.T) {
	const pause = time.Second // That of the route "resumed".
	first := tokenEvents("x", 1, 2)
	const failed = string(apierror.RunFailed)
	goesOn, anew := streamed(tokenEvents("x", 3, 4)+done(4)), streamed(first+done(2))
	for name, trial := range map[string]struct {
		second  *fakeConnection
		resumed uint64
		end     string
	}{
		"at another runner":               {responding(nil, delivery{0, goesOn}), 1, endDone},
		"where the other one starts anew": {responding(nil, delivery{0, anew}), 0, failed},
		"where the other one rejects it":  {responding(nil, delivery{0, completeResponse(codec.NotExecuted)}), 0, failed},
		"where there is no other one":     {nil, 0, failed},
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
		wantsWhole := trial.end == endDone
		whole := string(received) == tokenEvents("x", 1, 4)+done(4)
		broken := strings.HasPrefix(string(received), first) && strings.Count(string(received), "event: error") == 1
		if whole != wantsWhole || broken == wantsWhole {
			t.Errorf("%s: relayed %q", name, received)
		}
		if trial.second != nil && !strings.Contains(trial.second.written.String(), "Wardtray-After: 2\r\n") {
			t.Errorf("%s: the other runner was sent %q", name, trial.second.written.String())
		}
		relay.wantFinished(t, name, trial.end, dedup.NotSeen)
		took := clock.now.Sub(started)
		if wantsWhole {
			// Whether the response ends with its last event is waited for as well.
			took -= tailTimeout
		}
		if resumed := daemon.Metrics.Routes()["resumed"].Resumed; resumed != trial.resumed || took != pauseFactor*pause {
			t.Errorf("%s: %d resumed after %v", name, resumed, took)
		}
	}
}
