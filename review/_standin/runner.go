package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request at a runner.
type run struct {
	runner  *runner
	conn    net.Conn
	request *http.Request
	id      string
	body    []byte
	// last is the value of Last-Event-Id.
	last int
	// closed is closed once the caller has closed the connection.
	closed chan struct{}
}

// runner is a stand-in of a model runner, as PROTOCOL.md describes it.
type runner struct {
	fleet             *fleet
	id, service, zone string
	address           string
	listener          net.Listener
	serve             func(run *run) bool // reports whether the connection stays open
	phase             atomic.Value
	sequence          atomic.Int64
	// slots is the number of requests that it works on at a time; places holds one element for each of them.
	slots  int
	places chan struct{}
	mutex  sync.Mutex
	// waiting and working count the requests in its queue and those that it works on; putBack counts those of the latter
	// that are put back.
	waiting, working, putBack int
	// fewerConnections makes it reset new connections while its queue is long: while more requests wait than half of what
	// it works on at a time.
	fewerConnections atomic.Bool
	stopped          chan struct{}
}

// Figures of an engine's memory, in tokens.
const (
	memoryTokens  = 529555
	requestTokens = 9000
)

// newRunner starts a runner at a loopback address of its own.
func newRunner(fleet *fleet, number, slots int, service, zone string, serve func(run *run) bool) (*runner, error) {
	address := fmt.Sprintf("%s.%d:%d", fleet.network, 100+number, fleet.base+portFront)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	made := &runner{fleet: fleet, id: fmt.Sprintf("i-%s-%d", service, number), service: service, zone: zone,
		address: address, listener: listener, serve: serve, slots: slots, places: make(chan struct{}, slots),
		stopped: make(chan struct{})}
	made.phase.Store("ready")
	go made.accept()
	go made.beat()
	return made, nil
}

func (runner *runner) accept() {
	for {
		conn, err := runner.listener.Accept()
		if err != nil {
			return
		}
		if waiting, working, _ := runner.load(); runner.fewerConnections.Load() && 2*waiting > runner.slots {
			runner.fleet.line("runner %s works on %d requests, %d wait: it resets a new connection", runner.id, working, waiting)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			continue
		}
		go runner.handle(conn)
	}
}

// beat registers the runner about every 1.2 s, at one control address after the other until one acknowledges.
func (runner *runner) beat() {
	cores := runner.fleet.cores()
	next := 0
	for {
		for range cores {
			core := cores[next%len(cores)]
			body, _ := json.Marshal(dict{"backend": runner.service, "address": runner.address, "zone": runner.zone,
				"revision": "v1", "slotCount": runner.slots, "phase": runner.phase.Load(), "coldLeftMs": 0, "stage": "colocated",
				"models": []any{dict{"label": "m", "revision": 1, "adapters": []any{}}}, "callSeq": runner.sequence.Add(1)})
			status, _ := runner.fleet.call(runner.fleet.address(core, portControl), "PUT", "/-/runners/"+runner.id, "", body)
			if status >= 200 && status < 300 {
				break
			}
			next++
		}
		select {
		case <-runner.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (runner *runner) handle(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == "/-/report" {
			waiting, working, used := runner.load()
			content := fmt.Sprintf(`{"stage":"colocated","models":[{"label":"m","revision":1,"adapters":[]}],"saturated":false,`+
				`"callSeq":0,"queued":%d,"active":%d,"kvInUse":%d,"kvSize":%d,"cacheHandles":0}`, waiting, working, used, memoryTokens)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(content), content)
			continue
		}
		made := &run{runner: runner, conn: conn, request: request, id: request.Header.Get("Attempt-Id"), body: body,
			closed: make(chan struct{})}
		fmt.Sscan(request.Header.Get("Last-Event-Id"), &made.last)
		if expected := request.Header.Get("Expect-Runner"); expected != "" && expected != runner.id {
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nRunner-Id: %s\r\nContent-Length: 0\r\n\r\n", made.id, runner.id)
			continue
		}
		// The caller sends nothing while it waits, so a read that ends shows that it has closed.
		stop := make(chan struct{})
		go func() {
			_, err := reader.Peek(1)
			if err != nil {
				close(made.closed)
			}
			close(stop)
		}()
		keep := runner.take(made) && runner.serve(made)
		runner.leave()
		if !keep {
			return
		}
		<-stop
	}
}

// take waits for a place; it reports whether there is one before the caller has closed its connection.
func (runner *runner) take(run *run) bool {
	runner.count(1, 0, 0)
	defer runner.count(-1, 1, 0)
	select {
	case runner.places <- struct{}{}:
		return true
	default:
	}
	runner.fleet.line("runner %s: %s %s waits for a place", runner.id, run.id, run.request.URL.Path)
	select {
	case runner.places <- struct{}{}:
		return true
	case <-run.closed:
		runner.fleet.line("runner %s: the caller has closed the connection of %s in the queue", runner.id, run.id)
		runner.places <- struct{}{}
		return false
	}
}

// leave gives a place back.
func (runner *runner) leave() {
	<-runner.places
	runner.count(0, -1, 0)
}

func (runner *runner) count(waiting, working, putBack int) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	runner.waiting, runner.working, runner.putBack = runner.waiting+waiting, runner.working+working, runner.putBack+putBack
}

// load returns the requests that wait, those that it works on, and the memory in use: all of it while a request is put
// back for lack of memory.
func (runner *runner) load() (waiting, working, used int) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	used = min(memoryTokens, requestTokens*runner.working)
	if runner.putBack > 0 {
		used = memoryTokens
	}
	return runner.waiting, runner.working, used
}

func (run *run) head() {
	waiting, working, _ := run.runner.load()
	fmt.Fprintf(run.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nRunner-Seal: %s.%s\r\nRunner-Load: %d,%d,%d\r\n"+
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", run.id, run.runner.id, run.id, working,
		waiting, run.runner.slots)
}

func (run *run) chunk(text string) error {
	_, err := fmt.Fprintf(run.conn, "%x\r\n%s\r\n", len(text), text)
	return err
}

func event(number int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number) }

// piece names what comes at a position of a stream: an event, or the end.
func piece(number, count int) string {
	if number > count {
		return "the end"
	}
	return fmt.Sprintf("event %d", number)
}

// stream sends the events after Last-Event-Id up to count, one each gap, and the end; pauses[n] is a pause before event
// n, or before the end for the number after the last event.
func (run *run) stream(count int, gap time.Duration, pauses map[int]time.Duration) bool {
	fleet := run.runner.fleet
	fleet.line("runner %s runs %s %s from event %d", run.runner.id, run.id, run.request.URL.Path, run.last+1)
	run.head()
	// After the last event comes the end of the stream, which can be held up as an event can.
	for number := run.last + 1; number <= count+1; number++ {
		wait := gap
		if pause := pauses[number]; pause > 0 {
			wait = pause
			fleet.line("runner %s puts %s back for %v before %s", run.runner.id, run.id, pause, piece(number, count))
			run.runner.count(0, 0, 1)
			defer run.runner.count(0, 0, -1)
		}
		select {
		case <-time.After(wait):
		case <-run.closed:
			fleet.line("runner %s: the caller has closed the connection of %s before %s", run.runner.id, run.id,
				piece(number, count))
			return false
		}
		if number > count {
			break
		}
		if run.chunk(event(number)) != nil {
			fleet.line("runner %s: the connection of %s failed before event %d", run.runner.id, run.id, number)
			return false
		}
	}
	_, err := io.WriteString(run.conn, "0\r\n\r\n")
	fleet.line("runner %s has finished %s", run.runner.id, run.id)
	return err == nil
}

func isPath(run *run, part string) bool { return strings.Contains(run.request.URL.Path, part) }
