package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/proxy/admission"
	"wardtray/proxy/codec"
	"wardtray/wire"
)

// completeResponseCodec classifies a success that is not an event stream as a complete response, as the codecs of
// platforms with other responses do.
type completeResponseCodec struct{ codec.Codec }

func (plain completeResponseCodec) Classify(
	response *fasthttp.Response, request *admission.Request, run codec.Attempt,
) codec.ResponseHead {
	if response.StatusCode() == 500 {
		return codec.ResponseHead{Disposition: codec.Failed}
	}
	head := plain.Codec.Classify(response, request, run)
	if head.Disposition == codec.Streams && string(response.Header.ContentType()) != "text/event-stream" {
		head.Disposition = codec.Finished
	}
	return head
}

func TestCompleteStreamIsRelayed(t *testing.T) {
	daemon := newDaemon(t, startRunner(t, "r1", events(3, done(3), true)))
	status, body := daemon.post(t, "once")
	if status != 200 || strings.Count(body, "event: token") != 3 || !strings.HasSuffix(body, done(3)) {
		t.Fatalf("%d %s", status, body)
	}
}

// A request that a runner rejects goes to another one, also if it must run at most once: it certainly did not start.
func TestRejectionGoesElsewhere(t *testing.T) {
	first, second := startRunner(
		t,
		"r1",
		rejects,
		events(1, done(1), true),
	), startRunner(
		t,
		"r2",
		rejects,
		events(1, done(1), true),
	)
	daemon := newDaemon(t, first, second)
	// Both runners reject the first request. The third attempt finds no runner left, and the refusal says that the request
	// did not run.
	status, body := daemon.post(t, "once")
	if status != 503 || !strings.Contains(body, scheduler.DidNotRun) ||
		first.reached.Load()+second.reached.Load() != 2 {
		t.Fatalf("%d %s", status, body)
	}
	third := startRunner(t, "r3", events(1, done(1), true))
	fourth := startRunner(t, "r4", rejects, events(1, done(1), true))
	daemon = newDaemon(t, third, fourth)
	for range 4 {
		if status, body = daemon.post(t, "once"); status != 200 {
			t.Fatalf("%d %s", status, body)
		}
	}
}

// A late response to another request is skipped if it names that request, and the expected response is used.
func TestLateResponseToAnotherRequestIsPassedOver(t *testing.T) {
	const late = `{"started":false}`
	runner := startRunner(t, "r1", func(connection net.Conn, _ *http.Request) {
		send(connection, "HTTP/1.1 503 x\r\n%s: another\r\n", admission.HeaderRequest)
		send(connection, "Content-Length: %d\r\n\r\n%s", len(late), late)
		events(2, done(2), true)(connection, nil)
	})
	daemon := newDaemon(t, runner)
	if status, body := daemon.post(t, "once"); status != 200 || strings.Count(body, "event: token") != 2 {
		t.Errorf("%d %s", status, body)
	}
}

// After all runners were replaced, more wrong runners answer than a request has attempts. The request waits for the new
// list.
func TestStaleListingCostsNoAttempt(t *testing.T) {
	runners := make([]*scriptedRunner, 0, maximumAttempts+2)
	for number := range maximumAttempts + 2 {
		runners = append(runners, startRunner(t, fmt.Sprint("former", number), events(1, done(1), true)))
	}
	daemon := newDaemon(t, runners...)
	for number, runner := range runners {
		runner.id = fmt.Sprint("new", number)
	}
	daemon.rebalance(t)
	timer := time.AfterFunc(200*time.Millisecond, func() {
		daemon.Loads.UpdateListing(time.Now(), listed(runners))
	})
	defer timer.Stop()
	if status, body := daemon.post(t, "once"); status != 200 {
		t.Errorf("%d %s", status, body)
	}
}

// The wait for a new list of runners ends with the latency target of the route.
func TestStaleListingIsNotWaitedForTooLong(t *testing.T) {
	runner := startRunner(t, "former", events(1, done(1), true))
	daemon := newDaemon(t, runner)
	runner.id = "new"
	daemon.rebalance(t)
	started := time.Now()
	status, body := daemon.post(t, "once")
	if status != 503 || !strings.Contains(body, scheduler.DidNotRun) || runner.reached.Load() != 0 {
		t.Errorf("%d %s", status, body)
	}
	if waited := time.Since(started); waited < time.Second || waited > 4*time.Second {
		t.Errorf("answered after %v, with a latency target of 2 s", waited)
	}
}

// An ambiguous attempt of an at-most-once request is reported as unknown, and no other runner receives the request.
func TestAmbiguousAttemptIsNeverRetriedOnOnceRoutes(t *testing.T) {
	for name, step := range map[string]script{
		"hangs up":     hangsUp,
		"fails":        fails,
		"empty stream": events(0, "", false),
	} {
		first, second := startRunner(t, "r1", step), startRunner(t, "r2", step)
		daemon := newDaemon(t, first, second)
		status, body := daemon.post(t, "once")
		if status != 504 || !strings.Contains(body, `"ran":"unknown"`) ||
			first.reached.Load()+second.reached.Load() != 1 {
			t.Errorf("%s: %d %s, reached %d", name, status, body, first.reached.Load()+second.reached.Load())
		}
	}
}

// An ambiguous attempt of an idempotent route is retried within the retry budget; the final outcome stays unknown.
func TestAmbiguousAttemptIsRetriedWithinTheBudget(t *testing.T) {
	first, second := startRunner(t, "r1", hangsUp), startRunner(t, "r2", hangsUp)
	daemon := newDaemon(t, first, second)
	status, body := daemon.post(t, "free")
	if status != 504 || !strings.Contains(body, `"ran":"unknown"`) ||
		first.reached.Load() != 1 || second.reached.Load() != 1 {
		t.Fatalf("%d %s, reached %d and %d", status, body, first.reached.Load(), second.reached.Load())
	}
	ran := events(1, done(1), true)
	daemon = newDaemon(t, startRunner(t, "r1", hangsUp, ran), startRunner(t, "r2", hangsUp, ran))
	daemon.budgets.Clear()
	if status, body := daemon.post(t, "free"); status != 504 {
		t.Fatalf("without budget: %d %s", status, body)
	}
}

// Once an event was relayed, only the same run may continue. A break, a skipped or repeated event or a false end is
// reported as an error, never as a success.
func TestBrokenStreamsEndWithAnError(t *testing.T) {
	for name, last := range map[string]string{
		"break":       "",
		"skip":        "id: 4\nevent: token\ndata: {}\n\n" + done(4),
		"repeat":      "id: 2\nevent: token\ndata: {}\n\n" + done(2),
		"false count": "id: 3\nevent: done\ndata: {\"events\":5}\n\n",
		"strange":     "id: 3\nevent: other\ndata: {}\n\n",
		"no number":   "id: x\nevent: token\ndata: {}\n\n",
	} {
		for _, route := range []string{"once", "free"} {
			other := startRunner(t, "r2", events(2, last, last != ""))
			daemon := newDaemon(t, startRunner(t, "r1", events(2, last, last != "")), other)
			status, body := daemon.post(t, route)
			if status != 200 || !strings.Contains(body, "id: 3\nevent: error") ||
				strings.Contains(body, "event: done") ||
				strings.Count(body, "event: token") != 2 {
				t.Errorf("%s, %s: %d %s", name, route, status, body)
			}
		}
	}
}

// Nothing is sent under a configuration that is not known to be current, to a closed zone or to a service that is no
// longer allowed.
func TestLastCheckBeforeBytesGoOut(t *testing.T) {
	change := func(text string) func(daemon *testDaemon) {
		return func(daemon *testDaemon) { daemon.snapshot = newSnapshot(t, 2, text) }
	}
	text := `{"zones":[{"name":"a","closed":%v}],"pools":[{"name":"p","model":"m","weights":%q,"services":[%q]}],
"lanes":[{"name":"once","pool":"p","worth":1,"patience":"2s","purse":1,"repeatable":false}]}`
	for name, disturb := range map[string]func(daemon *testDaemon){
		"stale spec": func(daemon *testDaemon) {
			daemon.snapshot = &config.Snapshot{SpecEpoch: 1, Catalog: daemon.snapshot.Catalog}
		},
		"closed zone":  change(fmt.Sprintf(text, true, "w", "s")),
		"other serves": change(fmt.Sprintf(text, false, "w", "t")),
		"new weights":  change(fmt.Sprintf(text, false, "v", "s")),
		"draining": func(daemon *testDaemon) {
			daemon.Loads.UpdateListing(time.Now(), []*wire.Runner{{RunnerId: "r1", Zone: "a", Service: "s", State: "draining"}})
		},
	} {
		runner := startRunner(t, "r1", events(1, done(1), true))
		daemon := newDaemon(t, runner)
		// The change happens between the decision and the write, while the connection is being made.
		attempt := daemon.attempt("once", runner, &admission.Request{Route: "once", Model: "m"})
		disturb(daemon)
		if outcome := attempt.execute(); outcome != scheduler.NotSent || runner.reached.Load() != 0 {
			t.Errorf("%s: outcome %q, the runner saw %d", name, outcome, runner.reached.Load())
		}
	}
}

// A client retry of an at-most-once request is accepted only if the request certainly did not run.
func TestSameRequestAgain(t *testing.T) {
	ran := events(1, done(1), true)
	for name, trial := range map[string]struct {
		script []script
		route  string
		second int
		body   string
		runs   int64
		// announced holds the notifications to the zone, compared if compareAnnounced is set: for each, whether the request
		// was dropped.
		compareAnnounced bool
		announced        []bool
	}{
		"after success":              {[]script{ran}, "once", 409, `"ran":"ran"`, 1, false, nil},
		"after an ambiguous attempt": {[]script{hangsUp, ran}, "once", 409, `"ran":"unknown"`, 1, false, nil},
		"after a break":              {[]script{events(2, "", false), ran}, "once", 409, `"ran":"unknown"`, 1, false, nil},
		"after a rejection": {[]script{rejects, ran}, "once", 200, "event: done", 2, true,
			[]bool{false, true, false}},
		"on an idempotent route": {[]script{ran}, "free", 200, "event: done", 2, true, nil},
	} {
		runner := startRunner(t, "r1", trial.script...)
		daemon := newDaemon(t, runner)
		daemon.send(t, trial.route, "same")
		daemon.Loads.RequestSucceeded("r1")
		status, body := daemon.send(t, trial.route, "same")
		if status != trial.second || !strings.Contains(body, trial.body) || runner.reached.Load() != trial.runs {
			t.Errorf("%s: %d %s, the runner saw %d", name, status, body, runner.reached.Load())
		}
		if trial.compareAnnounced && fmt.Sprint(daemon.announced) != fmt.Sprint(trial.announced) {
			t.Errorf("%s: the zone was notified %v", name, daemon.announced)
		}
	}
}

// An error of the runner's own counts as a run: a client retry does not run, and its refusal says that the request ran.
func TestOwnErrorCountsAsRun(t *testing.T) {
	runner := startRunner(t, "r1", fails, events(1, done(1), true))
	daemon := newDaemon(t, runner)
	daemon.Codec = completeResponseCodec{daemon.Codec}
	if _, body := daemon.send(t, "once", "same"); !strings.Contains(body, `"oh"`) {
		t.Errorf("the runner's error is not forwarded: %s", body)
	}
	status, body := daemon.send(t, "once", "same")
	if status != 409 || !strings.Contains(body, `"ran":"ran"`) || runner.reached.Load() != 1 {
		t.Errorf("%d %s, the runner saw %d", status, body, runner.reached.Load())
	}
}

// The last part of a long request goes out only after another check: a change during the write keeps the request
// incomplete, so that it can't run.
func TestLongRequestsAreCheckedAgain(t *testing.T) {
	runner := startRunner(t, "r1", events(1, done(1), true))
	daemon := newDaemon(t, runner)
	connection, err := daemon.Connections.Take("r1", runner.address)
	if err != nil {
		t.Fatal(err)
	}
	attempt := daemon.attempt(
		"once",
		runner,
		&admission.Request{Route: "once", Model: "m", Body: make([]byte, 100<<10)},
	)
	attempt.connection = connection
	daemon.snapshot = &config.Snapshot{SpecEpoch: 1, Catalog: daemon.snapshot.Catalog}
	if outcome := attempt.send(); outcome != scheduler.NotSent || runner.reached.Load() != 0 {
		t.Fatalf("a complete long request was sent under a configuration not known to be current; the runner saw %d",
			runner.reached.Load())
	}
}

func TestInvalidRequestsAreTypedAndDidNotRun(t *testing.T) {
	runner := startRunner(t, "r1", events(1, done(1), true))
	daemon := newDaemon(t, runner)
	for route, want := range map[string]int{"nowhere": 404, "": 400} {
		if status, body := daemon.post(t, route); status != want || !strings.Contains(body, scheduler.DidNotRun) ||
			!strings.Contains(body, "remedy") {
			t.Errorf("route %q: %d %s", route, status, body)
		}
	}
	daemon.snapshot = &config.Snapshot{}
	if status, body := daemon.post(t, "once"); status != 503 || !strings.Contains(body, "not_serving") {
		t.Errorf("without a configuration: %d %s", status, body)
	}
	if runner.reached.Load() != 0 {
		t.Error("the runner was reached")
	}
}
