package simulation

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wardtray/balancer/load"
	"wardtray/proxy/admission"
	"wardtray/verify/emulator"
	"wardtray/verify/histories"
)

// engine is the runner of one host, as it is in one life.
type engine struct {
	world       *World
	host        *Host
	id          string
	service     string
	weights     string
	profile     emulator.RunnerProfile
	started     time.Time
	active      int
	running     int
	runs        int
	prefillFree time.Time
	waiting     []func() bool
	cache       *emulator.Cache[string]
	reports     []load.Report
	// The ways in which it may misbehave: it answers nothing, breaks streams off in the middle, puts
	// everything back, fails after it began, or tells its events wrongly.
	unresponsive, partial, rejects, fails bool
	// surplus has it send another answer behind each one, which nobody asked for; late has each answer of its own wait.
	surplus bool
	late    time.Duration
	garble  string
	slow    int
}

func (engine *engine) observe() {
	running := min(engine.active, engine.profile.Slots)
	engine.reports = append(engine.reports,
		load.Report{Running: running, Waiting: engine.active - running, Slots: engine.profile.Slots})
	if keep := int(engine.profile.ReportAge / (100 * time.Millisecond)); len(engine.reports) > keep+1 {
		engine.reports = engine.reports[len(engine.reports)-keep-1:]
	}
}

func (engine *engine) warmingUp() bool {
	return engine.world.Now.Sub(engine.started) < engine.profile.ColdTime
}

// setSlow has the runner take far longer for each token, or no longer.
func (engine *engine) setSlow(on bool) { engine.slow = map[bool]int{true: 8, false: 1}[on] }

// setLate has each of the runner's answers wait for a while, or no longer.
func (engine *engine) setLate(on bool) {
	engine.late = map[bool]time.Duration{true: 400 * time.Millisecond}[on]
}

// capacity is how much the runner can truly do at once now.
func (engine *engine) capacity() int {
	if engine.warmingUp() {
		return max(1, engine.profile.Slots/engine.profile.ColdFactor)
	}
	return engine.profile.Slots
}

// serve answers one connection until it ends.
func (engine *engine) serve(connection *conn) {
	// A connection that has ended already needs no close.
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		reached := connection.receivedAt
		// A request whose end never came is none.
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		paths := map[string]func(connection *conn, request *http.Request, reached time.Time) bool{
			"/identity": engine.identity,
			"/pressure": engine.loadReport,
			"/run":      engine.run,
		}
		if engine.unresponsive {
			if request.URL.Path == "/run" {
				connection.bindRun(engine.recordRun(connection, request, reached, true))
			}
			engine.world.coroutines.until(func() bool { return false })
		}
		if engine.late > 0 {
			engine.world.coroutines.sleep(engine.late)
		}
		if path := paths[request.URL.Path]; path == nil || !path(connection, request, reached) {
			return
		}
		if engine.surplus && !answer(connection, 200, map[string]any{"runner_id": engine.id, "surplus": true}) {
			return
		}
	}
}

func answer(connection *conn, status int, value any) bool {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	_, err = fmt.Fprintf(connection, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(content), content)
	return err == nil
}

func (engine *engine) identity(connection *conn, _ *http.Request, _ time.Time) bool {
	return answer(
		connection,
		200,
		map[string]any{
			"runner_id": engine.id,
			"service":   engine.service,
			"model":     engine.world.Traffic.Mix.Model,
			"weights":   engine.weights,
		},
	)
}

func (engine *engine) loadReport(connection *conn, _ *http.Request, _ time.Time) bool {
	report := load.Report{Slots: engine.profile.Slots}
	if len(engine.reports) > 0 {
		report = engine.reports[0]
	}
	return answer(connection, 200, report)
}

// recordRun records a request as read.
func (engine *engine) recordRun(
	connection *conn,
	request *http.Request,
	reached time.Time,
	started bool,
) *histories.Run {
	epoch, _ := strconv.ParseUint(request.Header.Get(admission.HeaderEpoch), 10, 64)
	run := &histories.Run{
		At:         reached,
		Sent:       connection.sentAt,
		Request:    request.Header.Get(admission.HeaderRequest),
		Route:      request.Header.Get(admission.HeaderRoute),
		Pool:       engine.world.Traffic.Mix.Pool,
		Model:      request.Header.Get(admission.HeaderModel),
		Weights:    engine.weights,
		Runner:     engine.id,
		Wanted:     request.Header.Get(admission.HeaderRunner),
		Service:    engine.service,
		Zone:       engine.host.Zone,
		Daemon:     request.Header.Get(admission.HeaderDaemon),
		Epoch:      epoch,
		Started:    started,
		Concurrent: engine.active,
		WarmingUp:  engine.warmingUp(),
		Capacity:   engine.capacity(),
	}
	engine.world.Traffic.recordRun(run)
	return run
}

// run does a piece of work; it reports whether the connection can be used again.
func (engine *engine) run(connection *conn, request *http.Request, reached time.Time) bool {
	if engine.rejects || engine.active >= engine.profile.Slots+engine.profile.PutBackAbove {
		engine.recordRun(connection, request, reached, false)
		return answer(connection, 503, map[string]any{"started": false})
	}
	run := engine.recordRun(connection, request, reached, true)
	connection.bindRun(run)
	engine.active++
	engine.runs++
	run.Name = fmt.Sprintf("%s/%d", engine.id, engine.runs)
	run.After, _ = strconv.Atoi(request.Header.Get(admission.HeaderAfter))
	defer func() {
		engine.active--
		connection.run, run.Finished = nil, engine.world.Now
	}()
	if engine.fails {
		return answer(connection, 500, map[string]any{"oh": "no"})
	}
	connection.server = engine.world.coroutines.current
	defer func() { connection.server = nil }()
	if !engine.acquireSlot(connection) {
		return false
	}
	defer engine.releaseSlot()
	var parts []string
	var tokens []int
	for _, value := range request.Header.Values(admission.HeaderPrefix) {
		part, count, _ := strings.Cut(value, "=")
		number, _ := strconv.Atoi(count)
		parts, tokens = append(parts, part), append(tokens, number)
	}
	prompt, _ := strconv.Atoi(request.Header.Get(admission.HeaderPrompt))
	length, _ := strconv.Atoi(request.Header.Get(admission.HeaderAnswer))
	if !engine.prefill(connection, prompt-engine.cache.Use(emulator.Chained(parts), tokens)) {
		return false
	}
	return engine.stream(connection, run, length)
}

// acquireSlot waits for one of the engine's slots; it reports whether the request's connection stood so long.
func (engine *engine) acquireSlot(connection *conn) bool {
	if engine.running < engine.profile.Slots {
		engine.running++
		return true
	}
	world, coroutine, granted, over := engine.world, engine.world.coroutines.current, false, false
	engine.waiting = append(engine.waiting, func() bool {
		if over {
			return false
		}
		granted = true
		world.coroutines.wake(coroutine)
		return true
	})
	for !granted {
		if connection.err != nil {
			over = true
			return false
		}
		coroutine.park()
	}
	return true
}

// releaseSlot hands the slot to the next that still waits.
func (engine *engine) releaseSlot() {
	for len(engine.waiting) > 0 {
		next := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		if next() {
			return
		}
	}
	engine.running--
}

// work lets a length of time pass; it reports whether the request's connection stood so long. A runner drops a request
// whose connection ends.
func (engine *engine) work(connection *conn, length time.Duration) bool {
	world, coroutine := engine.world, engine.world.coroutines.current
	until := world.Now.Add(length)
	world.At(until, func() { world.coroutines.wake(coroutine) })
	for world.Now.Before(until) && connection.err == nil {
		coroutine.park()
	}
	return connection.err == nil
}

// prefill takes one prompt after the other; it reports whether the request's connection stood so long.
func (engine *engine) prefill(connection *conn, tokens int) bool {
	length := time.Duration(tokens) * engine.profile.TokenTime * time.Duration(max(1, engine.slow))
	if engine.warmingUp() {
		length *= time.Duration(engine.profile.ColdFactor)
	}
	begin := engine.world.Now
	if engine.prefillFree.After(begin) {
		begin = engine.prefillFree
	}
	engine.prefillFree = begin.Add(length)
	return engine.work(connection, engine.prefillFree.Sub(engine.world.Now))
}

// garbled are the ways in which a runner may tell its third event wrongly.
var garbled = map[string]string{
	"skip":        "id: 4\nevent: token\ndata: {\"run\":%q}\n\n",
	"repeat":      "id: 2\nevent: token\ndata: {\"run\":%q}\n\n",
	"false count": "id: 3\nevent: done\ndata: {\"run\":%q,\"events\":7}\n\n",
	"strange":     "id: 3\nevent: other\ndata: {\"run\":%q}\n\n",
	"no number":   "id: x\nevent: token\ndata: {\"run\":%q}\n\n",
}

// stream returns the events behind the one that the client has already.
func (engine *engine) stream(connection *conn, run *histories.Run, length int) bool {
	name := run.Name
	events := min(12, 2+length/24)
	gap := time.Duration(length) * engine.profile.AnswerTime * time.Duration(max(1, engine.slow)) / time.Duration(
		events,
	)
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(connection, head); err != nil {
		return false
	}
	chunk := func(text string) bool {
		_, err := fmt.Fprintf(connection, "%x\r\n%s\r\n", len(text), text)
		return err == nil
	}
	for number := run.After + 1; number <= events; number++ {
		if engine.partial && number > events/2 {
			return false
		}
		if engine.garble != "" && number == 3 {
			chunk(fmt.Sprintf(garbled[engine.garble], name))
			return false
		}
		if !chunk(
			fmt.Sprintf("id: %d\nevent: token\ndata: {\"run\":%q,\"text\":\"rhan %d\"}\n\n", number, name, number),
		) {
			return false
		}
		if !engine.work(connection, gap) {
			return false
		}
	}
	// The run is whole from the moment its last event may have left.
	run.Complete, run.Events = true, events
	if !chunk(fmt.Sprintf("id: %d\nevent: done\ndata: {\"run\":%q,\"events\":%d}\n\n", events+1, name, events)) {
		return false
	}
	_, err := io.WriteString(connection, "0\r\n\r\n")
	return err == nil
}
