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

// script is the behaviour of a runner on one request.
type script = func(connection net.Conn, request *http.Request)

// scriptedRunner is a runner that answers each request with the next script, and all further ones with the last.
type scriptedRunner struct {
	id      string
	address string
	reached atomic.Int64
	script  []script
}

// send writes to a connection. It ignores errors: in some tests the other side has closed the connection.
func send(connection io.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(connection, format, values...)
}

// closeQuietly closes something that may be closed already.
func closeQuietly(closer io.Closer) { _ = closer.Close() }

func respond(connection net.Conn, status int, body string) {
	send(connection, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// sendChunk writes one chunk of a chunked body, and endBody its end.
func sendChunk(connection io.Writer, text string) { send(connection, "%x\r\n%s\r\n", len(text), text) }

func endBody(connection net.Conn) { send(connection, "0\r\n\r\n") }

// tokenEvents returns the token events of a run with the ids from, ..., to.
func tokenEvents(run string, from, to int) string {
	var text strings.Builder
	for number := from; number <= to; number++ {
		fmt.Fprintf(&text, "id: %d\nevent: token\ndata: {\"run\":%q}\n\n", number, run)
	}
	return text.String()
}

// events returns a script that starts a stream and sends count token events followed by last. If complete is not set it
// closes the connection before the end of the body.
func events(count int, last string, complete bool) script {
	return func(connection net.Conn, _ *http.Request) {
		send(connection, "%s", streamHead)
		sendChunk(connection, tokenEvents("x", 1, count)+last)
		if complete {
			endBody(connection)
			return
		}
		closeQuietly(connection)
	}
}

func done(count int) string {
	return fmt.Sprintf("id: %d\nevent: done\ndata: {\"events\":%d}\n\n", count+1, count)
}

func rejects(connection net.Conn, _ *http.Request) { respond(connection, 503, `{"started":false}`) }
func fails(connection net.Conn, _ *http.Request)   { respond(connection, 500, `{"oh":"no"}`) }
func hangsUp(connection net.Conn, _ *http.Request) { closeQuietly(connection) }

// listen opens a port for the duration of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(listener) })
	return listener
}

// acceptAll serves each connection to a listener until the listener is closed.
func acceptAll(listener net.Listener, serve func(connection net.Conn)) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(connection)
	}
}

func startRunner(t *testing.T, id string, script ...script) *scriptedRunner {
	t.Helper()
	listener := listen(t)
	runner := &scriptedRunner{id: id, address: listener.Addr().String(), script: script}
	go acceptAll(listener, runner.serve)
	return runner
}

// serve answers the requests of one connection: requests for the identity directly, all others by script.
func (runner *scriptedRunner) serve(connection net.Conn) {
	defer closeQuietly(connection)
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if runner.answeredIdentity(connection, request) {
			continue
		}
		step := runner.script[min(int(runner.reached.Add(1))-1, len(runner.script)-1)]
		step(connection, request)
	}
}

// answeredIdentity answers a request for the identity of the runner and reports whether it was one.
func (runner *scriptedRunner) answeredIdentity(connection net.Conn, request *http.Request) bool {
	if request.URL.Path != "/identity" {
		return false
	}
	respond(connection, 200, fmt.Sprintf(`{"runner_id":%q,"service":"s","model":"m","weights":"w"}`, runner.id))
	return true
}

// testDaemon is the request path of a daemon over scripted runners.
type testDaemon struct {
	*Handler
	address   string
	snapshot  *config.Snapshot
	announced []bool
	// disconnects receives an entry for each client whose disconnect the daemon was notified of.
	disconnects chan struct{}
	number      int
}

// testConfiguration has one route of each kind over one backend.
const testConfiguration = `{"zones":[{"name":"a","closed":false}],
"pools":[{"name":"p","model":"m","weights":"w","adapters":["cy"],"services":["s"]}],
"lanes":[{"name":"once","pool":"p","worth":1,"patience":"2s","purse":1,"repeatable":false},
{"name":"free","pool":"p","worth":1,"patience":"2s","purse":1,"repeatable":true},
{"name":"resumed","pool":"p","worth":1,"patience":"2s","purse":1,"repeatable":true,"resumable":true,"pause":"1s"},
{"name":"short","pool":"p","worth":1,"patience":"2s","purse":1,"repeatable":false,"deadline":"150ms"}]}`

// newSnapshot returns a configuration that is known to be current for an hour.
func newSnapshot(t *testing.T, epoch uint64, text string) *config.Snapshot {
	t.Helper()
	parsed, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return &config.Snapshot{SpecEpoch: epoch, Catalog: config.NewCatalog(parsed), ExpiresAt: time.Now().Add(time.Hour)}
}

// listed returns the list of runners as the platform reports it.
func listed(runners []*scriptedRunner) []*wire.Runner {
	list := make([]*wire.Runner, 0, len(runners))
	for _, runner := range runners {
		list = append(list, &wire.Runner{RunnerId: runner.id, Address: runner.address, Zone: "a", Service: "s",
			State: "ready"})
	}
	return list
}

func newDaemon(t *testing.T, runners ...*scriptedRunner) *testDaemon {
	t.Helper()
	now := time.Now()
	indexer, err := kvblock.NewIndexer("x", 1000, 16, 0)
	if err != nil {
		t.Fatal(err)
	}
	daemon := &testDaemon{disconnects: make(chan struct{}, 1024), snapshot: newSnapshot(t, 1, testConfiguration)}
	table := load.NewTable(now, "d")
	table.UpdateListing(now, listed(runners))
	daemons := func() []string { return []string{"d"} }
	backendScheduler := scheduler.NewScheduler(func(now time.Time) scheduler.Snapshot {
		return scheduler.Snapshot{Runners: table.Runners(now, daemons()), Daemons: 1}
	}, table, indexer, rand.New(rand.NewSource(1)))
	daemon.Handler = &Handler{
		Name:        "d",
		Zone:        "a",
		Snapshot:    func() *config.Snapshot { return daemon.snapshot },
		Daemons:     daemons,
		Loads:       table,
		Environment: netio.Real(nil),
		Renewed:     func() <-chan struct{} { return nil },
		Await:       scheduler.Await,
		Dedup:       dedup.New(),
		Announce:    func(_ dedup.Key, dropped bool) { daemon.announced = append(daemon.announced, dropped) },
		Indexer:     indexer,
		Connections: connpool.New(netio.Real(nil), codec.Native{}.IdentityPath()),
		Codec:       codec.Native{},
		Metrics:     metrics.New(),
		Scheduler:   func(string) *scheduler.Scheduler { return backendScheduler },
	}
	listener := listen(t)
	server := &fasthttp.Server{Handler: func(context *fasthttp.RequestCtx) {
		daemon.Serve(notifyingClient{netio.FromHTTP(context), daemon.disconnects})
	}}
	go func() { _ = server.Serve(listener) }()
	daemon.address = listener.Addr().String()
	daemon.fillBudget(now)
	return daemon
}

// rebalance rebalances the scheduler's queue periodically, as a daemon does, for the duration of the test.
func (daemon *testDaemon) rebalance(t *testing.T) {
	t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	ended := make(chan struct{})
	t.Cleanup(func() { ticker.Stop(); close(ended) })
	go func() {
		for {
			select {
			case now := <-ticker.C:
				daemon.Scheduler("p").Rebalance(now)
			case <-ended:
				return
			}
		}
	}()
}

// fillBudget records requests in the retry budget, which starts with none.
func (daemon *testDaemon) fillBudget(now time.Time) {
	budget := daemon.budget("p")
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	for range 40 {
		budget.budget.RecordRequest(now)
	}
}

// post sends a request with a new id.
func (daemon *testDaemon) post(t *testing.T, route string) (status int, body string) {
	t.Helper()
	return daemon.send(t, route, daemon.nextID())
}

func (daemon *testDaemon) nextID() string {
	daemon.number++
	return fmt.Sprint("r", daemon.number)
}

func (daemon *testDaemon) send(t *testing.T, route, id string) (status int, body string) {
	t.Helper()
	return daemon.sendWith(t, route, id, nil)
}

// sendBody sends a request with a prompt.
func (daemon *testDaemon) sendBody(t *testing.T, route, prompt string) (status int, body string) {
	t.Helper()
	return daemon.sendAll(t, route, daemon.nextID(), prompt, nil)
}

// sendWith sends a request with additional headers; those with an empty value are skipped.
func (daemon *testDaemon) sendWith(t *testing.T, route, id string, more map[string]string) (status int, body string) {
	t.Helper()
	return daemon.sendAll(t, route, id, "x", more)
}

func (daemon *testDaemon) sendAll(
	t *testing.T, route, id, prompt string, more map[string]string,
) (status int, body string) {
	t.Helper()
	content := strings.NewReader(`{"prompt":"` + prompt + `"}`)
	url := "http://" + daemon.address + "/v1/stream"
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, content)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range requestHeaders(route, id) {
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
	defer closeQuietly(response.Body)
	received, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(received)
}

// requestHeaders returns the headers of all requests of these tests: a prompt of 100 tokens and an answer of at most
// 10.
func requestHeaders(route, id string) map[string]string {
	return map[string]string{
		admission.HeaderRoute:        route,
		admission.HeaderModel:        "m",
		admission.HeaderRequest:      id,
		admission.HeaderPromptTokens: "100",
		admission.HeaderAnswerTokens: "10",
	}
}

// attempt returns an attempt at a runner that was just chosen for a request.
func (daemon *testDaemon) attempt(route string, runner *scriptedRunner, request *admission.Request) *attempt {
	exchange := newExchange(daemon.Handler, unwatchedClient(&disconnectedClient{}))
	exchange.state.current = stateConnecting
	exchange.request = request
	exchange.route = *daemon.snapshot.Catalog.Routes[route]
	exchange.backend = *daemon.snapshot.Catalog.Backends["p"]
	exchange.scheduler = daemon.Scheduler("p")
	exchange.queuedRequest = &scheduler.QueuedRequest{Route: route}
	chosen := load.Runner{ID: runner.id, Address: runner.address}
	return &attempt{exchange: exchange, decision: scheduler.Decision{Kind: scheduler.Dispatch, Runner: chosen}}
}
