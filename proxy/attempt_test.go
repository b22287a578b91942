package proxy

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/proxy/admission"
	"wardtray/proxy/codec"
)

// Each case is the behaviour of a runner on one request and the expected outcome of the attempt. If an attempt that may
// have run had the outcome NotSent or NotExecuted, an at-most-once request could run twice.
func TestAttemptOutcomes(t *testing.T) {
	const latencyTarget, grace = 2 * time.Second, firstEventGrace
	stray, rejected := completeResponse(codec.Stray), completeResponse(codec.NotExecuted)
	for name, trial := range map[string]struct {
		route    string
		incoming []delivery
		closes   bool
		outcome  scheduler.AttemptOutcome
		reason   string
		took     time.Duration
		// kept reports whether the connection is returned to the pool.
		kept bool
	}{
		"a stream": {"once", []delivery{{time.Second, streamed(tokenEvents("x", 1, 1))}}, false,
			responseReady, "", time.Second, false},
		"a stream without an event": {"once", []delivery{{0, streamed("id: 1\n")}}, true,
			scheduler.Ambiguous, reasonNoFirstEvent, 0, false},
		"a stream that begins with another event": {"once", []delivery{{0, streamed(tokenEvents("x", 2, 2))}}, false,
			scheduler.Ambiguous, reasonNoFirstEvent, 0, false},
		"a complete response": {"once", []delivery{{time.Second, completeResponse(codec.Finished)}}, false,
			responseReady, "", time.Second, false},
		"a response cut short": {"once", []delivery{{0, head(codec.Finished, "Content-Length: 9\r\n") + "body"}}, true,
			scheduler.Ambiguous, reasonBrokenResponse, 0, false},
		"a response of unknown length": {"once",
			[]delivery{{0, head(codec.Finished, "Connection: close\r\n") + "body"}}, true,
			scheduler.Ambiguous, "", 0, false},
		"its own error, once": {"once", []delivery{{0, completeResponse(codec.Failed)}}, false,
			responseReady, reasonFailedRun, 0, false},
		"its own error, idempotent": {"free", []delivery{{0, completeResponse(codec.Failed)}}, false,
			scheduler.Ambiguous, reasonFailedRun, 0, false},
		"a rejection": {"once", []delivery{{0, rejected}}, false,
			scheduler.NotExecuted, "puts requests back", 0, true},
		"a rejection that closes": {"once",
			[]delivery{{0, head(codec.NotExecuted, "Connection: close\r\nContent-Length: 4\r\n") + "body"}}, false,
			scheduler.NotExecuted, "puts requests back", 0, false},
		"another runner": {"once", []delivery{{0, completeResponse(codec.Misdirected)}}, false,
			scheduler.NotExecuted, reasonAddressReused, 0, false},
		"nothing clear": {"once", []delivery{{0, completeResponse(codec.Unclear)}}, false,
			scheduler.Ambiguous, reasonUnclearResponse, 0, false},
		"a stray response before": {"once", []delivery{{0, stray}, {time.Second, completeResponse(codec.Finished)}}, false,
			responseReady, "", time.Second, false},
		"stray responses only": {"once", []delivery{{0, strings.Repeat(stray, maximumStrayResponses)}}, false,
			scheduler.Ambiguous, reasonNoResponse, 0, false},
		"no response": {"once", nil, true, scheduler.Ambiguous, reasonNoResponse, 0, false},
		"no HTTP": {"once", []delivery{{0, "\x00\x01\r\n\r\n"}}, true,
			scheduler.Ambiguous, reasonNoResponse, 0, false},
		"silence, once":       {"once", nil, false, scheduler.Ambiguous, reasonNoResponse, 2 * latencyTarget, false},
		"silence, idempotent": {"free", nil, false, scheduler.Ambiguous, reasonNoResponse, latencyTarget + grace, false},
	} {
		clock := &fakeClock{}
		connection := responding(clock, trial.incoming...)
		connection.closes = trial.closes
		daemon := newFakeClockDaemon(t, clock, connection)
		attempt := newFakeClockAttempt(daemon, trial.route)
		outcome := attempt.execute()
		if took := clock.now.Sub(attempt.sentAt); outcome != trial.outcome || took != trial.took {
			t.Errorf("%s: outcome %q after %v, want %q after %v", name, outcome, took, trial.outcome, trial.took)
		}
		if reason := daemon.reason(clock); reason != trial.reason {
			t.Errorf("%s: the runner is ejected for %q, want %q", name, reason, trial.reason)
		}
		attempt.release()
		if connection.closed == trial.kept || attempt.connection != nil {
			t.Errorf("%s: connection closed %v", name, connection.closed)
		}
		if sends := attempt.exchange.attemptCounter.sends; sends != 1 {
			t.Errorf("%s: %d sends", name, sends)
		}
	}
}

// An attempt that is stopped before its write sends no bytes to the runner and does not count as a send.
func TestAttemptIsNotSent(t *testing.T) {
	for name, trial := range map[string]struct {
		prepare func(daemon *testDaemon, attempt *attempt)
		reason  string
		// kept reports whether the connection is returned to the pool; unsent is the number of attempts counted as not sent.
		kept   bool
		unsent uint64
	}{
		"the runner can't be dialed": {func(_ *testDaemon, attempt *attempt) {
			attempt.decision.Runner.Address = "127.0.0.1:9"
		}, "unreachable", false, 1},
		"the configuration is not current": {func(daemon *testDaemon, _ *attempt) {
			daemon.snapshot = &config.Snapshot{SpecEpoch: 1, Catalog: daemon.snapshot.Catalog}
		}, "", false, 1},
		"the deadline has passed": {func(_ *testDaemon, attempt *attempt) {
			now := attempt.exchange.now()
			attempt.exchange.deadline = newDeadline(now.Add(-time.Second), time.Second)
		}, "", false, 1},
		"the client has disconnected": {func(_ *testDaemon, attempt *attempt) {
			attempt.exchange.client = watchClient(&disconnectedClient{})
		}, "", true, 0},
		"the retry budget is used up": {func(daemon *testDaemon, attempt *attempt) {
			daemon.budgets.Clear()
			attempt.exchange.attemptCounter.sends = 1
		}, "", false, 0},
	} {
		clock := &fakeClock{}
		connection := responding(clock)
		daemon := newFakeClockDaemon(t, clock, connection)
		attempt := newFakeClockAttempt(daemon, "once")
		trial.prepare(daemon, attempt)
		before := attempt.exchange.attemptCounter.sends
		outcome := attempt.execute()
		attempt.release()
		if outcome != scheduler.NotSent || connection.written.Len() != 0 || attempt.exchange.attemptCounter.sends != before {
			t.Errorf("%s: outcome %q, %d bytes, %d sends", name, outcome, connection.written.Len(),
				attempt.exchange.attemptCounter.sends)
		}
		if reason := daemon.reason(clock); reason != trial.reason {
			t.Errorf("%s: the runner is ejected for %q, want %q", name, reason, trial.reason)
		}
		if unsent := daemon.Metrics.Routes()["once"].UnsentAttempts; unsent != trial.unsent {
			t.Errorf("%s: %d attempts counted as not sent", name, unsent)
		}
		if dialed := name != "the runner can't be dialed"; dialed && connection.closed == trial.kept {
			t.Errorf("%s: connection closed %v", name, connection.closed)
		}
	}
}

// A write may end halfway. If the runner has responded, the response decides the outcome; otherwise the request was not
// sent, unless a disconnect of the client interrupted the write. A wrong outcome would let the request run twice, or
// refuse it although it did not run.
func TestAttemptWrittenInPart(t *testing.T) {
	rejected := []delivery{{0, completeResponse(codec.NotExecuted)}}
	for name, trial := range map[string]struct {
		route       string
		capacity    int
		incoming    []delivery
		disconnects bool
		outcome     scheduler.AttemptOutcome
		sends       int
	}{
		"nothing":                               {"once", 0, nil, false, scheduler.NotSent, 0},
		"a part":                                {"once", 10, nil, false, scheduler.NotSent, 0},
		"a part, with a response":               {"once", 10, rejected, false, responseReady, 1},
		"a part, with a late response":          {"once", 10, []delivery{{time.Second, "HTTP"}}, false, scheduler.NotSent, 0},
		"a part, the client disconnected":       {"free", 10, nil, true, scheduler.Ambiguous, 0},
		"nothing, the client disconnected":      {"free", 0, nil, true, scheduler.NotSent, 0},
		"a part, once, the client disconnected": {"once", 10, nil, true, scheduler.NotSent, 0},
	} {
		clock := &fakeClock{}
		connection := responding(clock, trial.incoming...)
		connection.capacity = trial.capacity
		daemon := newFakeClockDaemon(t, clock, connection)
		attempt := newFakeClockAttempt(daemon, trial.route)
		var err error
		if attempt.connection, err = daemon.Connections.Take("r0", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		attempt.checkedAt = clock.now
		if trial.disconnects {
			attempt.exchange.client.cancel()
		}
		outcome := attempt.send()
		if outcome != trial.outcome || attempt.exchange.attemptCounter.sends != trial.sends || !attempt.partial {
			t.Errorf("%s: outcome %q, %d sends, partial %v", name, outcome, attempt.exchange.attemptCounter.sends,
				attempt.partial)
		}
		if took := clock.now.Sub(attempt.sentAt); took > earlyResponseTimeout {
			t.Errorf("%s: waited %v for an early response", name, took)
		}
		// The runner may still read the rest, so no other request may follow on the connection.
		if outcome == responseReady && attempt.readResponse() != scheduler.NotExecuted {
			t.Errorf("%s: the response is not read", name)
		}
		attempt.release()
		if !connection.closed {
			t.Errorf("%s: the connection is still open", name)
		}
	}
}

// A decision that is too old when the bytes are to go out is checked again. The last part of a long request is held
// back until a separate check. Otherwise a request could run after a change that no longer allows it.
func TestAttemptIsCheckedBeforeItsBytes(t *testing.T) {
	for name, trial := range map[string]struct {
		age     time.Duration
		size    int
		written int
	}{
		"young":         {recheckAfter - 1, 100, 100},
		"old":           {recheckAfter, 100, 0},
		"young, longer": {0, longRequestSize + 1, longRequestSize + 1 - lastPartSize},
		"young, long":   {0, longRequestSize, longRequestSize},
	} {
		clock := &fakeClock{}
		connection := responding(clock)
		daemon := newFakeClockDaemon(t, clock, connection)
		attempt := newFakeClockAttempt(daemon, "once")
		var err error
		if attempt.connection, err = daemon.Connections.Take("r0", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		attempt.checkedAt = clock.now.Add(-trial.age)
		daemon.snapshot = &config.Snapshot{SpecEpoch: 1, Catalog: daemon.snapshot.Catalog}
		if written := attempt.write(make([]byte, trial.size)); written != trial.written ||
			connection.written.Len() != written {
			t.Errorf("%s: %d bytes written, want %d", name, written, trial.written)
		}
	}
}

// A disconnect of the client cancels its run, unless the request must run at most once. Otherwise runners would
// generate responses that nobody reads.
func TestAttemptIsBoundToItsClient(t *testing.T) {
	for route, bound := range map[string]bool{"free": true, "resumed": true, "once": false} {
		clock := &fakeClock{}
		connection := responding(clock, delivery{0, completeResponse(codec.Finished)})
		newFakeClockAttempt(newFakeClockDaemon(t, clock, connection), route).execute()
		if connection.bound != bound {
			t.Errorf("%s: bound to its client %v", route, connection.bound)
		}
	}
}

// A runner is not ejected for a run that was cancelled because its client disconnected. Otherwise clients that
// disconnect would take healthy runners out of use.
func TestAttemptBlamesNoRunnerForItsClient(t *testing.T) {
	for disconnects, want := range map[bool]string{true: "", false: reasonNoResponse} {
		clock := &fakeClock{}
		daemon := newFakeClockDaemon(t, clock, responding(clock))
		attempt := newFakeClockAttempt(daemon, "free")
		if disconnects {
			attempt.exchange.client.cancel()
		}
		attempt.reportFailure(reasonNoResponse)
		if reason := daemon.reason(clock); reason != want {
			t.Errorf("client disconnected %v: ejected for %q", disconnects, reason)
		}
	}
}

// describe must set every parameter of an attempt, or the parameter would be missing in the request to the runner.
func TestAttemptDescribesItself(t *testing.T) {
	clock := &fakeClock{}
	attempt := newFakeClockAttempt(newFakeClockDaemon(t, clock, responding(clock)), "once")
	exchange := attempt.exchange
	attempt.epoch, attempt.decision.Urgency = 7, 3
	exchange.lastEventID, exchange.tenant = 4, &config.Tenant{Name: "tenant"}
	exchange.deadline = newDeadline(clock.now, time.Minute)
	clock.advance(time.Second)
	want := codec.Attempt{Runner: attempt.decision.Runner, Daemon: "d", Epoch: 7, Remaining: 59 * time.Second,
		LastEventID: 4, Urgency: 3, Weights: "w", Tenant: "tenant"}
	if got := attempt.describe(); !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// After a complete run the connection is returned to the pool only if the response ends with the run. Otherwise the
// rest of it would be read as the response to the next request.
func TestAttemptKeepsItsConnection(t *testing.T) {
	streamStart := "HTTP/1.1 200 OK\r\nDisposition: runs\r\nTransfer-Encoding: chunked\r\n"
	body := "\r\n" + chunk(tokenEvents("x", 1, 1)+done(1))
	for name, trial := range map[string]struct {
		text string
		kept bool
	}{
		"ended":              {streamStart + body + "0\r\n\r\n", true},
		"ended, and closes":  {streamStart + "Connection: close\r\n" + body + "0\r\n\r\n", false},
		"not ended in time":  {streamStart + body, false},
		"more after its end": {streamStart + body + chunk("more") + "0\r\n\r\n", false},
	} {
		clock := &fakeClock{}
		connection := responding(clock, delivery{0, trial.text})
		attempt := newFakeClockAttempt(newFakeClockDaemon(t, clock, connection), "once")
		if outcome := attempt.execute(); outcome != responseReady {
			t.Fatalf("%s: %q", name, outcome)
		}
		if _, err := attempt.reader.Next(); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		started := clock.now
		attempt.keepAfterRun()
		if took := clock.now.Sub(started); took > tailTimeout {
			t.Errorf("%s: waited %v for the end", name, took)
		}
		attempt.release()
		if connection.closed == trial.kept {
			t.Errorf("%s: connection closed %v", name, connection.closed)
		}
	}
}

// A response body that is not a stream must not follow events that the client has received, since the client would read
// it as part of the stream.
func TestAttemptGivesNoBodyAfterEvents(t *testing.T) {
	clock := &fakeClock{}
	daemon := newFakeClockDaemon(t, clock, responding(clock, delivery{0, completeResponse(codec.Finished)}))
	attempt := newFakeClockAttempt(daemon, "resumed")
	attempt.exchange.execution.relayed = true
	if outcome := attempt.execute(); outcome != scheduler.Ambiguous || daemon.reason(clock) != reasonNoEvents {
		t.Errorf("outcome %q, the runner is ejected for %q", outcome, daemon.reason(clock))
	}
}

// An attempt that ends must release the runner's slot in the scheduler, or the slot would stay occupied.
func TestAttemptReleasesItsSlot(t *testing.T) {
	clock := &fakeClock{}
	daemon := newFakeClockDaemon(t, clock, responding(clock))
	exchange := newExchange(daemon.Handler, watchClient(&recordingClient{}))
	exchange.request = &admission.Request{Route: "once", Model: "m", ID: "q"}
	if err := exchange.resolve(); err != nil {
		t.Fatal(err)
	}
	if !exchange.awaitDecision() || exchange.decision.Kind != scheduler.Dispatch {
		t.Fatalf("%+v", exchange.decision)
	}
	inFlight := func() int {
		_, _, routes := exchange.scheduler.State()
		return routes["once"]
	}
	attempt := &attempt{exchange: exchange, decision: exchange.decision}
	before := inFlight()
	attempt.release()
	if before != 1 || inFlight() != 0 {
		t.Errorf("%d in flight before the release, %d after it", before, inFlight())
	}
}

// chunk returns one chunk of a chunked body.
func chunk(text string) string {
	var written strings.Builder
	sendChunk(&written, text)
	return written.String()
}
