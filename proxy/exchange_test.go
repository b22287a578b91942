package proxy

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/metrics"
	"wardtray/proxy/admission"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
	"wardtray/transport/connpool"
	"wardtray/transport/netio"
	"wardtray/wire"
)

// plainCodec takes a success that names no events for a whole answer, as platforms do whose answers are not all streams.
type plainCodec struct{ codec.Codec }

func (plain plainCodec) Judge(response *fasthttp.Response, request *admission.Request, run codec.Run) codec.ResponseHead {
	if response.StatusCode() == 500 {
		return codec.ResponseHead{Disposition: codec.Failed}
	}
	word := plain.Codec.Judge(response, request, run)
	if word.Disposition == codec.Runs && string(response.Header.ContentType()) != "text/event-stream" {
		word.Disposition = codec.Finished
	}
	return word
}

// scripted is a runner that answers each run by the next line of its script.
type scripted struct {
	id      string
	address string
	reached atomic.Int64
	script  []func(connection net.Conn, request *http.Request)
}

func respond(connection net.Conn, status int, body string) {
	fmt.Fprintf(connection, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// events begins a stream and sends so many events; last is written as it is.
func events(count int, last string, whole bool) func(connection net.Conn, request *http.Request) {
	return func(connection net.Conn, _ *http.Request) {
		text := ""
		for number := 1; number <= count; number++ {
			text += fmt.Sprintf("id: %d\nevent: token\ndata: {\"run\":\"x\"}\n\n", number)
		}
		text += last
		fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(text), text)
		if whole {
			fmt.Fprint(connection, "0\r\n\r\n")
			return
		}
		_ = connection.Close()
	}
}

func done(count int) string {
	return fmt.Sprintf("id: %d\nevent: done\ndata: {\"events\":%d}\n\n", count+1, count)
}

func putsBack(connection net.Conn, _ *http.Request) {
	respond(connection, 503, `{"started":false}`)
}
func fails(connection net.Conn, _ *http.Request)   { respond(connection, 500, `{"oh":"no"}`) }
func hangsUp(connection net.Conn, _ *http.Request) { _ = connection.Close() }

func start(t *testing.T, id string, script ...func(net.Conn, *http.Request)) *scripted {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	runner := &scripted{id: id, address: listener.Addr().String(), script: script}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go runner.serve(connection)
		}
	}()
	return runner
}

// serve answers what comes over one connection: the identity as it is, all else by the script.
func (runner *scripted) serve(connection net.Conn) {
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if request.URL.Path == "/identity" {
			respond(connection, 200, fmt.Sprintf(`{"runner_id":%q,"service":"s","model":"m","weights":"w"}`, runner.id))
			continue
		}
		step := runner.script[min(int(runner.reached.Add(1))-1, len(runner.script)-1)]
		step(connection, request)
	}
}

// house is a daemon's request side over scripted runners.
type house struct {
	*Handler
	address  string
	snapshot *config.Snapshot
	told     []bool
	// departures has an entry for each client of which the house has learned that it left.
	departures chan struct{}
	number     int
}

func build(t *testing.T, runners ...*scripted) *house {
	parsed, err := config.Parse([]byte(`{"zones":[{"name":"a","closed":false}],"pools":[{"name":"p","model":"m","weights":"w","adapters":["cy"],"services":["s"]}],
"lanes":[{"name":"once","pool":"p","worth":1,"patience":"2s","purse":1,"repeatable":false},{"name":"free","pool":"p","worth":1,"patience":"2s","purse":1,"repeatable":true},
{"name":"resumed","pool":"p","worth":1,"patience":"2s","purse":1,"repeatable":true,"resumable":true,"pause":"1s"},
{"name":"short","pool":"p","worth":1,"patience":"2s","purse":1,"repeatable":false,"deadline":"150ms"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	indexer, err := kvblock.NewIndexer("x", 1000, 16, 0)
	if err != nil {
		t.Fatal(err)
	}
	made := &house{departures: make(chan struct{}, 1024), snapshot: &config.Snapshot{SpecEpoch: 1, Catalog: config.NewCatalog(parsed), Until: now.Add(time.Hour)}}
	table := load.NewTable(now, "d")
	var lines []*wire.Runner
	for _, runner := range runners {
		lines = append(lines, &wire.Runner{RunnerId: runner.id, Address: runner.address, Zone: "a", Service: "s", State: "ready"})
	}
	table.List(now, lines)
	daemons := func() []string { return []string{"d"} }
	desk := scheduler.NewScheduler(func(now time.Time) scheduler.Snapshot {
		return scheduler.Snapshot{Runners: table.All(now, daemons()), Daemons: 1}
	}, table, indexer, rand.New(rand.NewSource(1)))
	made.Handler = &Handler{Name: "d", Zone: "a", Snapshot: func() *config.Snapshot { return made.snapshot }, Daemons: daemons, Loads: table,
		Environment: netio.Real(nil), Renewed: func() <-chan struct{} { return nil }, Await: scheduler.Await,
		Once: dedup.New(), Tell: func(_ dedup.Key, dropped bool) { made.told = append(made.told, dropped) },
		Indexer: indexer, Connections: connpool.New(netio.Real(nil), codec.Native{}.Identity()), Codec: codec.Native{}, Metrics: metrics.New(), Scheduler: func(string) *scheduler.Scheduler { return desk }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(context *fasthttp.RequestCtx) { made.Serve(noticing{netio.FromHTTP(context), made.departures}) }}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	made.address = listener.Addr().String()
	made.credit(now)
	return made
}

// credit gives the budget some, which it has none of at the start.
func (house *house) credit(now time.Time) {
	budget := house.budget("p")
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	for range 40 {
		budget.budget.Request(now)
	}
}

func (house *house) post(t *testing.T, route string) (status int, body string) {
	house.number++
	return house.send(t, route, fmt.Sprint("r", house.number))
}

func (house *house) send(t *testing.T, route, id string) (status int, body string) {
	return house.sendWith(t, route, id, nil)
}

// sendBody sends a prompt.
func (house *house) sendBody(t *testing.T, route, prompt string) (status int, body string) {
	house.number++
	return house.sendAll(t, route, fmt.Sprint("r", house.number), prompt, nil)
}

// sendWith sends further headers, where they are not empty.
func (house *house) sendWith(t *testing.T, route, id string, more map[string]string) (status int, body string) {
	return house.sendAll(t, route, id, "x", more)
}

func (house *house) sendAll(t *testing.T, route, id, prompt string, more map[string]string) (status int, body string) {
	request, err := http.NewRequest("POST", "http://"+house.address+"/v1/stream", strings.NewReader(`{"prompt":"`+prompt+`"}`))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{admission.HeaderRoute: route, admission.HeaderModel: "m", admission.HeaderRequest: id, admission.HeaderPrompt: "100", admission.HeaderAnswer: "10"} {
		request.Header.Set(name, value)
	}
	for name, value := range more {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(content)
}

func TestWholeStreamIsRelayed(t *testing.T) {
	house := build(t, start(t, "r1", events(3, done(3), true)))
	status, body := house.post(t, "once")
	if status != 200 || strings.Count(body, "event: token") != 3 || !strings.HasSuffix(body, done(3)) {
		t.Fatalf("%d %s", status, body)
	}
}

// What a runner puts back goes to another, also on a route that runs at most once: it surely did not start.
func TestPutBackGoesElsewhere(t *testing.T) {
	first, second := start(t, "r1", putsBack, events(1, done(1), true)), start(t, "r2", putsBack, events(1, done(1), true))
	house := build(t, first, second)
	// Both put the first request back; the third attempt finds nobody left and says that nothing ran.
	status, body := house.post(t, "once")
	if status != 503 || !strings.Contains(body, scheduler.DidNotRun) || first.reached.Load()+second.reached.Load() != 2 {
		t.Fatalf("%d %s", status, body)
	}
	third := start(t, "r3", events(1, done(1), true))
	fourth := start(t, "r4", putsBack, events(1, done(1), true))
	house = build(t, third, fourth)
	for range 4 {
		if status, body = house.post(t, "once"); status != 200 {
			t.Fatalf("%d %s", status, body)
		}
	}
}

// A once route's doubt is told as unknown, and no other runner ever sees the request.
func TestDoubtIsNeverRetriedOnOnceRoutes(t *testing.T) {
	for name, step := range map[string]func(net.Conn, *http.Request){"hangs up": hangsUp, "fails": fails, "empty stream": events(0, "", false)} {
		first, second := start(t, "r1", step), start(t, "r2", step)
		house := build(t, first, second)
		status, body := house.post(t, "once")
		if status != 504 || !strings.Contains(body, `"ran":"unknown"`) || first.reached.Load()+second.reached.Load() != 1 {
			t.Errorf("%s: %d %s, reached %d", name, status, body, first.reached.Load()+second.reached.Load())
		}
	}
}

// A repeatable route's doubt is repeated within the budget, and an answer in doubt stays one.
func TestDoubtIsRetriedWithinTheBudget(t *testing.T) {
	first, second := start(t, "r1", hangsUp), start(t, "r2", hangsUp)
	house := build(t, first, second)
	if status, body := house.post(t, "free"); status != 504 || !strings.Contains(body, `"ran":"unknown"`) || first.reached.Load() != 1 || second.reached.Load() != 1 {
		t.Fatalf("%d %s, reached %d and %d", status, body, first.reached.Load(), second.reached.Load())
	}
	house = build(t, start(t, "r1", hangsUp, events(1, done(1), true)), start(t, "r2", hangsUp, events(1, done(1), true)))
	house.budgets.Clear()
	if status, body := house.post(t, "free"); status != 504 {
		t.Fatalf("without budget: %d %s", status, body)
	}
}

// Once an event was relayed only the same run may go on: a break, a skip, a repeat or a false end is
// told as an error, and never as a success.
func TestBrokenStreamsEndWithAnError(t *testing.T) {
	for name, last := range map[string]string{
		"break": "", "skip": "id: 4\nevent: token\ndata: {}\n\n" + done(4), "repeat": "id: 2\nevent: token\ndata: {}\n\n" + done(2),
		"false count": "id: 3\nevent: done\ndata: {\"events\":5}\n\n", "strange": "id: 3\nevent: other\ndata: {}\n\n", "no number": "id: x\nevent: token\ndata: {}\n\n",
	} {
		for _, route := range []string{"once", "free"} {
			other := start(t, "r2", events(2, last, last != ""))
			house := build(t, start(t, "r1", events(2, last, last != "")), other)
			status, body := house.post(t, route)
			if status != 200 || !strings.Contains(body, "id: 3\nevent: error") || strings.Contains(body, "event: done") || strings.Count(body, "event: token") != 2 {
				t.Errorf("%s, %s: %d %s", name, route, status, body)
			}
		}
	}
}

// Nothing may go out under a spec that is not surely present, to a closed zone or a service no longer allowed.
func TestLastLookBeforeBytesGoOut(t *testing.T) {
	change := func(text string) func(house *house) {
		return func(house *house) {
			parsed, err := config.Parse([]byte(text))
			if err != nil {
				t.Fatal(err)
			}
			house.snapshot = &config.Snapshot{SpecEpoch: 2, Catalog: config.NewCatalog(parsed), Until: time.Now().Add(time.Hour)}
		}
	}
	text := `{"zones":[{"name":"a","closed":%v}],"pools":[{"name":"p","model":"m","weights":%q,"services":[%q]}],"lanes":[{"name":"once","pool":"p","worth":1,"patience":"2s","purse":1,"repeatable":false}]}`
	for name, disturb := range map[string]func(house *house){
		"stale spec": func(house *house) {
			house.snapshot = &config.Snapshot{SpecEpoch: 1, Catalog: house.snapshot.Catalog}
		},
		"closed zone":  change(fmt.Sprintf(text, true, "w", "s")),
		"other serves": change(fmt.Sprintf(text, false, "w", "t")),
		"new weights":  change(fmt.Sprintf(text, false, "v", "s")),
		"draining": func(house *house) {
			house.Loads.List(time.Now(), []*wire.Runner{{RunnerId: "r1", Zone: "a", Service: "s", State: "draining"}})
		},
	} {
		runner := start(t, "r1", events(1, done(1), true))
		house := build(t, runner)
		// The change comes between the decision and the send: the connection is being made meanwhile.
		attempt := house.attempt("once", runner, &admission.Request{Route: "once", Model: "m"})
		disturb(house)
		if end := attempt.execute(); end != scheduler.NotSent || runner.reached.Load() != 0 {
			t.Errorf("%s: %q, the runner saw %d", name, end, runner.reached.Load())
		}
	}
}

// The same request sent again on a route that runs at most once: it is taken again only if it surely did not run.
func TestSameRequestAgain(t *testing.T) {
	for name, trial := range map[string]struct {
		script []func(net.Conn, *http.Request)
		route  string
		second int
		body   string
		runs   int64
	}{
		"after success":     {[]func(net.Conn, *http.Request){events(1, done(1), true)}, "once", 409, `"ran":"ran"`, 1},
		"after a doubt":     {[]func(net.Conn, *http.Request){hangsUp, events(1, done(1), true)}, "once", 409, `"ran":"unknown"`, 1},
		"after a break":     {[]func(net.Conn, *http.Request){events(2, "", false), events(1, done(1), true)}, "once", 409, `"ran":"unknown"`, 1},
		"after put back":    {[]func(net.Conn, *http.Request){putsBack, events(1, done(1), true)}, "once", 200, "event: done", 2},
		"on the other kind": {[]func(net.Conn, *http.Request){events(1, done(1), true)}, "free", 200, "event: done", 2},
	} {
		runner := start(t, "r1", trial.script...)
		house := build(t, runner)
		house.send(t, trial.route, "same")
		house.Loads.Served("r1")
		status, body := house.send(t, trial.route, "same")
		if status != trial.second || !strings.Contains(body, trial.body) || runner.reached.Load() != trial.runs {
			t.Errorf("%s: %d %s, the runner saw %d", name, status, body, runner.reached.Load())
		}
		if told := map[string][]bool{"after put back": {false, true, false}, "on the other kind": nil}; name == "after put back" || trial.route == "free" {
			if fmt.Sprint(house.told) != fmt.Sprint(told[name]) {
				t.Errorf("%s: the zone was told %v", name, house.told)
			}
		}
	}
}

// A long request's last part goes out only after another look: a change that comes while its bytes are on
// their way keeps it from being whole, and so from running.
func TestLongRequestsAreLookedAtAgain(t *testing.T) {
	runner := start(t, "r1", events(1, done(1), true))
	house := build(t, runner)
	connection, err := house.Connections.Take("r1", runner.address)
	if err != nil {
		t.Fatal(err)
	}
	attempt := house.attempt("once", runner, &admission.Request{Route: "once", Model: "m", Body: make([]byte, 100<<10)})
	attempt.connection = connection
	house.snapshot = &config.Snapshot{SpecEpoch: 1, Catalog: house.snapshot.Catalog}
	if end := attempt.send(); end != scheduler.NotSent || runner.reached.Load() != 0 {
		t.Fatalf("a long request went out whole under a spec that is not surely present; the runner saw %d",
			runner.reached.Load())
	}
}

// attempt returns an attempt of a request of a route at a runner, which was just decided on.
func (house *house) attempt(route string, runner *scripted, request *admission.Request) *attempt {
	exchange := newExchange(house.Handler, unwatchedClient(&departed{}))
	exchange.state.current = stateConnecting
	exchange.request = request
	exchange.route = *house.snapshot.Catalog.Routes[route]
	exchange.backend = *house.snapshot.Catalog.Backends["p"]
	exchange.scheduler = house.Scheduler("p")
	exchange.queuedRequest = &scheduler.QueuedRequest{Route: route}
	chosen := load.Runner{ID: runner.id, Address: runner.address}
	return &attempt{exchange: exchange, decision: scheduler.Decision{Kind: scheduler.Dispatch, Runner: chosen}}
}

func TestImproperRequestsAreTypedAndSurelyNotRun(t *testing.T) {
	runner := start(t, "r1", events(1, done(1), true))
	house := build(t, runner)
	for route, want := range map[string]int{"nowhere": 404, "": 400} {
		if status, body := house.post(t, route); status != want || !strings.Contains(body, scheduler.DidNotRun) || !strings.Contains(body, "remedy") {
			t.Errorf("lane %q: %d %s", route, status, body)
		}
	}
	house.snapshot = &config.Snapshot{}
	if status, body := house.post(t, "once"); status != 503 || !strings.Contains(body, "not_serving") {
		t.Errorf("without a spec: %d %s", status, body)
	}
	if runner.reached.Load() != 0 {
		t.Error("the runner was reached")
	}
}
