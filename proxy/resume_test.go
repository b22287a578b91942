package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wardtray/config"
	"wardtray/proxy/admission"
	"wardtray/proxy/codec"
	"wardtray/transport/connpool"
	"wardtray/transport/netio"
	"wardtray/wire"
)

// resumes returns the script of a runner that can start after a given event: it sends up to count events of a run of
// total events, and the end of the run once it has got that far.
func resumes(name string, count, total int) func(net.Conn, *http.Request) {
	return func(connection net.Conn, request *http.Request) {
		after, _ := strconv.Atoi(request.Header.Get(admission.HeaderLastEventID))
		text := tokenEvents(name, after+1, min(total, after+count))
		if after+count >= total {
			text += done(total)
		}
		send(connection, "%s", streamHead)
		sendChunk(connection, text)
		if after+count >= total {
			endBody(connection)
			return
		}
		_ = connection.Close()
	}
}

// respondsComplete answers with a success that is not a stream.
func respondsComplete(connection net.Conn, _ *http.Request) { respond(connection, 200, "all of it") }

// repeated returns the same scripts for several runners.
func repeated(count int, lines ...script) [][]script { return slices.Repeat([][]script{lines}, count) }

// ids returns the ids of the events of a stream, in order.
func ids(body string) string {
	var found []string
	for _, line := range strings.Split(body, "\n") {
		if id, is := strings.CutPrefix(line, "id: "); is {
			found = append(found, id)
		}
	}
	return strings.Join(found, " ")
}

// A stream of a resumable route continues after its last complete event, at runners that have not run it yet.
func TestBrokenStreamGoesOnAtAnotherRunner(t *testing.T) {
	full := events(5, done(5), true)
	for name, trial := range map[string]struct {
		route    string
		scripts  [][]script
		ids      string
		complete bool
		sends    int64
	}{
		"once": {
			"resumed", [][]script{{resumes("a", 2, 5)}, {resumes("b", 9, 5)}, {resumes("b", 9, 5)}},
			"1 2 3 4 5 6", true, 2,
		},
		"twice": {
			"resumed", [][]script{{resumes("a", 2, 5)}, {resumes("b", 2, 5)}, {resumes("c", 2, 5)}},
			"1 2 3 4 5 6", true, 3,
		},
		"no runner is left": {
			"resumed", [][]script{{resumes("a", 1, 9)}, {resumes("b", 1, 9)}, {resumes("c", 1, 9)}},
			"1 2 3 4", false, 3,
		},
		"before the first event": {
			"resumed", [][]script{{events(0, "", false)}, {events(0, "", false)}, {resumes("c", 9, 3)}},
			"1 2 3 4", true, 0,
		},
		"not on another route": {
			"free", [][]script{{resumes("a", 2, 5)}, {resumes("a", 2, 5)}, {resumes("a", 2, 5)}},
			"1 2 3", false, 1,
		},
		"not on an at-most-once route": {
			"once", [][]script{{resumes("a", 2, 5)}, {resumes("a", 2, 5)}, {resumes("a", 2, 5)}},
			"1 2 3", false, 1,
		},
		"restarts instead": {
			"resumed", [][]script{{resumes("a", 2, 5)}, {full}, {full}},
			"", false, 0,
		},
		"is not a stream any more": {
			"resumed", repeated(3, resumes("a", 2, 5), respondsComplete),
			"", true, 0,
		},
		"fails then": {
			"resumed", [][]script{{resumes("a", 2, 5), fails}, {resumes("b", 2, 5), fails}, {resumes("c", 2, 5), fails}},
			"1 2 3 4 5 6", true, 3,
		},
		"is rejected in the middle": {
			"resumed",
			[][]script{{resumes("a", 2, 5), rejects}, {resumes("b", 2, 5), rejects}, {resumes("c", 2, 5), rejects}},
			"1 2 3 4 5 6", true, 3,
		},
	} {
		runners := make([]*scriptedRunner, len(trial.scripts))
		for index, script := range trial.scripts {
			runners[index] = startRunner(t, fmt.Sprint("r", index), script...)
		}
		daemon := newDaemon(t, runners...)
		status, body := daemon.post(t, trial.route)
		sends := int64(0)
		for _, runner := range runners {
			sends += runner.reached.Load()
		}
		seen := ids(body)
		// In every case the ids are consecutive, and an incomplete stream must not look complete.
		for index, id := range strings.Fields(seen) {
			if id != strconv.Itoa(index+1) {
				t.Errorf("%s: the ids are not consecutive: %s", name, seen)
			}
		}
		if status != 200 || trial.ids != "" && seen != trial.ids || trial.sends > 0 && sends != trial.sends ||
			trial.ids != "" &&
				strings.Contains(
					body,
					"event: done",
				) != trial.complete || strings.Contains(body, "event: done") == strings.Contains(body, "event: error") {
			t.Errorf("%s: %d, ids %s, %d sends, %s", name, status, seen, sends, body)
		}
		if strings.Contains(body, "did not run") {
			t.Errorf("%s: a relayed request is reported as not run: %s", name, body)
		}
		if in := daemon.InFlight.Load(); in != 0 {
			t.Errorf("%s: %d in flight", name, in)
		}
	}
}

// A response that is not a stream can't continue a broken stream.
func TestNothingButEventsFollowsEvents(t *testing.T) {
	first, second := startRunner(
		t,
		"r1",
		resumes("a", 2, 5),
		respondsComplete,
	), startRunner(
		t,
		"r2",
		resumes("a", 2, 5),
		respondsComplete,
	)
	daemon := newDaemon(t, first, second)
	daemon.Codec = completeResponseCodec{daemon.Codec}
	if status, body := daemon.post(t, "resumed"); status != 200 || strings.Contains(body, "all of it") ||
		!strings.Contains(body, "event: error") {
		t.Errorf("%d %s", status, body)
	}
}

// A failure of the runner's own is forwarded if the request can't be repeated, and the runner is ejected.
func TestFailingRunnerIsAvoided(t *testing.T) {
	failing := startRunner(t, "r1", fails)
	daemon := newDaemon(t, failing)
	daemon.Codec = completeResponseCodec{daemon.Codec}
	started := time.Now()
	if status, body := daemon.post(t, "once"); status != 200 || !strings.Contains(body, "oh") {
		t.Errorf("%d %s", status, body)
	}
	if runner, _ := daemon.Loads.Lookup(started, "r1", daemon.Daemons()); runner.Usable || failing.reached.Load() != 1 {
		t.Errorf("the runner is still used: %+v", runner)
	}
}

// The earlier of the route's and the client's deadline ends every wait. Otherwise a silent or stalled runner would hold
// a request whose client no longer waits.
func TestDeadlineEndsEveryWait(t *testing.T) {
	silent := func(connection net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, connection) }
	stalls := func(connection net.Conn, _ *http.Request) {
		send(connection, "%s", streamHead)
		sendChunk(connection, tokenEvents("x", 1, 1))
		_, _ = io.Copy(io.Discard, connection)
	}
	for name, trial := range map[string]struct {
		script      func(net.Conn, *http.Request)
		route, wait string
		status      int
		says        string
	}{
		"silent, the route's":     {silent, "short", "", 504, `"ran":"unknown"`},
		"silent, the client's":    {silent, "once", "150", 504, `"ran":"unknown"`},
		"silent, the sooner":      {silent, "short", "60000", 504, `"ran":"unknown"`},
		"stalled, the route's":    {stalls, "short", "", 200, "event: error"},
		"stalled, the client's":   {stalls, "once", "150", 200, "event: error"},
		"stalled, may be resumed": {stalls, "resumed", "150", 200, "event: error"},
	} {
		daemon := newDaemon(t, startRunner(t, "r1", trial.script))
		started := time.Now()
		status, body := daemon.sendWith(t, trial.route, "d", map[string]string{admission.HeaderTimeout: trial.wait})
		if took := time.Since(started); status != trial.status || !strings.Contains(body, trial.says) ||
			took < 140*time.Millisecond ||
			took > 2*time.Second {
			t.Errorf("%s: %d %s after %v", name, status, body, took)
		}
	}
}

// A stream that breaks long after its latency target is still resumed, even if it has to wait for its next runner.
func TestLongStreamGoesOnAfterAWait(t *testing.T) {
	second := startRunner(t, "r2", resumes("b", 9, 5))
	var passed atomic.Int64
	var daemon *testDaemon
	first := startRunner(t, "r1", func(connection net.Conn, request *http.Request) {
		passed.Store(int64(time.Minute))
		now := daemon.Environment.Now()
		daemon.Loads.UpdateListing(
			now,
			[]*wire.Runner{
				{RunnerId: "r1", Address: connection.LocalAddr().String(), Zone: "a", Service: "s", State: "ready"},
				{RunnerId: "r2", Address: second.address, Zone: "a", Service: "s", State: "ready"},
			},
		)
		daemon.Loads.Eject(now, "r2", "failed a moment ago")
		daemon.fillBudget(now)
		resumes("a", 2, 5)(connection, request)
	})
	daemon = newDaemon(t, first)
	daemon.Environment.Now = func() time.Time { return time.Now().Add(time.Duration(passed.Load())) }
	ticker, finished := time.NewTicker(5*time.Millisecond), make(chan struct{})
	defer ticker.Stop()
	defer close(finished)
	go func() {
		for {
			select {
			case <-ticker.C:
				daemon.Scheduler("p").Rebalance(daemon.Environment.Now())
			case <-finished:
				return
			}
		}
	}()
	status, body := daemon.post(t, "resumed")
	if status != 200 || ids(body) != "1 2 3 4 5 6" || !strings.Contains(body, "event: done") {
		t.Errorf("%d %s", status, body)
	}
}

// The steps before the write respect the deadline as well: the wait for the configuration and the dial.
func TestDeadlineBoundsTheWayToARunner(t *testing.T) {
	runner := startRunner(t, "r1", events(1, done(1), true))
	daemon := newDaemon(t, runner)
	current := daemon.snapshot
	daemon.snapshot = &config.Snapshot{SpecEpoch: 1, Catalog: current.Catalog}
	started := time.Now()
	status, body := daemon.sendWith(t, "once", "unsure", map[string]string{admission.HeaderTimeout: "100"})
	if status != 503 || time.Since(started) > configurationTimeout/2 {
		t.Errorf("without a current configuration: %d %s after %v", status, body, time.Since(started))
	}
	daemon.snapshot = current
	var timeouts []netio.Timeouts
	environment := netio.Real(nil)
	environment.Dial = func(_ context.Context, _ string, given netio.Timeouts) (netio.Conn, error) {
		timeouts = append(timeouts, given)
		return nil, io.ErrClosedPipe
	}
	daemon.Connections = connpool.New(environment, codec.Native{}.IdentityPath())
	daemon.sendWith(t, "once", "dials", map[string]string{admission.HeaderTimeout: "100"})
	daemon.Loads.RequestSucceeded("r1")
	daemon.send(t, "once", "dials without a deadline")
	if len(timeouts) != 2 || timeouts[0].Dial > 100*time.Millisecond || timeouts[0].Dial <= 0 ||
		timeouts[1].Dial <= 100*time.Millisecond {
		t.Errorf("timeouts of the dials: %+v", timeouts)
	}
}

// A request that waits for the configuration continues when the renewal arrives, not at a later poll.
func TestRenewalEndsTheWaitForTheConfiguration(t *testing.T) {
	daemon := newDaemon(t, startRunner(t, "r1", events(1, done(1), true)))
	outdated := &config.Snapshot{SpecEpoch: 1, Catalog: daemon.snapshot.Catalog}
	current := daemon.snapshot
	var latest atomic.Pointer[config.Snapshot]
	latest.Store(outdated)
	renewed := make(chan struct{})
	var waited time.Duration
	daemon.Snapshot = latest.Load
	daemon.Renewed = func() <-chan struct{} { return renewed }
	daemon.Environment.Wait = func(_ context.Context, length time.Duration, channel <-chan struct{}) {
		if channel != (<-chan struct{})(renewed) {
			t.Error("the wait does not end with the renewal")
		}
		waited = length
		latest.Store(current)
	}
	if status, body := daemon.send(t, "once", "renewed"); status != 200 {
		t.Errorf("current again: %d %s", status, body)
	}
	if waited <= 0 || waited > configurationTimeout {
		t.Errorf("the wait was bounded by %v", waited)
	}
}
