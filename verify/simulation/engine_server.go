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

// serve answers the requests of one connection until it ends.
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
		// A request whose end never arrives is dropped.
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
			engine.world.coroutines.parkUntil(func() bool { return false })
		}
		if engine.late > 0 {
			engine.world.coroutines.sleep(engine.late)
		}
		if path := paths[request.URL.Path]; path == nil || !path(connection, request, reached) {
			return
		}
		if engine.surplus && !answer(connection, http.StatusOK, map[string]any{"runner_id": engine.id, "surplus": true}) {
			return
		}
	}
}

// answer writes a response and reports whether the connection accepted it.
func answer(connection *conn, status int, value any) bool {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	_, err = fmt.Fprintf(connection, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(content), content)
	return err == nil
}

// identity answers with the runner's identity.
func (engine *engine) identity(connection *conn, _ *http.Request, _ time.Time) bool {
	return answer(
		connection,
		http.StatusOK,
		map[string]any{
			"runner_id": engine.id,
			"service":   engine.service,
			"model":     engine.world.Traffic.Mix.Model,
			"weights":   engine.weights,
		},
	)
}

// loadReport answers with the load that the runner had profile.ReportAge ago.
func (engine *engine) loadReport(connection *conn, _ *http.Request, _ time.Time) bool {
	report := load.Report{Slots: engine.profile.Slots}
	if len(engine.reports) > 0 {
		report = engine.reports[0]
	}
	return answer(connection, http.StatusOK, report)
}

// recordRun records a request that the runner has read.
func (engine *engine) recordRun(
	connection *conn,
	request *http.Request,
	reached time.Time,
	started bool,
) *histories.Run {
	epoch, _ := strconv.ParseUint(request.Header.Get(admission.HeaderEpoch), 10, 64)
	run := &histories.Run{
		At:             reached,
		Sent:           connection.sentAt,
		Request:        request.Header.Get(admission.HeaderRequest),
		Route:          request.Header.Get(admission.HeaderRoute),
		Backend:        engine.world.Traffic.Mix.Backend,
		Model:          request.Header.Get(admission.HeaderModel),
		Weights:        engine.weights,
		Runner:         engine.id,
		IntendedRunner: request.Header.Get(admission.HeaderRunner),
		Service:        engine.service,
		Zone:           engine.host.Zone,
		Daemon:         request.Header.Get(admission.HeaderDaemon),
		Epoch:          epoch,
		Started:        started,
		Concurrent:     engine.active,
		WarmingUp:      engine.warmingUp(),
		Capacity:       engine.capacity(),
	}
	engine.world.Traffic.recordRun(run)
	return run
}

// run serves one request and reports whether the connection can be reused.
func (engine *engine) run(connection *conn, request *http.Request, reached time.Time) bool {
	if engine.rejects || engine.active >= engine.profile.Slots+engine.profile.QueueLimit {
		engine.recordRun(connection, request, reached, false)
		return answer(connection, http.StatusServiceUnavailable, map[string]any{"started": false})
	}
	run := engine.recordRun(connection, request, reached, true)
	connection.bindRun(run)
	engine.active++
	engine.runs++
	run.Name = fmt.Sprintf("%s/%d", engine.id, engine.runs)
	run.After, _ = strconv.Atoi(request.Header.Get(admission.HeaderLastEventID))
	defer func() {
		engine.active--
		connection.run, run.Finished = nil, engine.world.Now
	}()
	if engine.fails {
		return answer(connection, http.StatusInternalServerError, map[string]any{"oh": "no"})
	}
	connection.server = engine.world.coroutines.current
	defer func() { connection.server = nil }()
	if !engine.slots.acquire(connection) {
		return false
	}
	defer engine.slots.release()
	parts, tokens := prefixesOf(request)
	prompt, _ := strconv.Atoi(request.Header.Get(admission.HeaderPromptTokens))
	length, _ := strconv.Atoi(request.Header.Get(admission.HeaderAnswerTokens))
	if !engine.prefill(connection, prompt-engine.cache.Use(emulator.ChainedKeys(parts), tokens)) {
		return false
	}
	return newEventStream(engine, connection, run, length).send()
}

// prefixesOf returns the cacheable parts of a request's prompt, with their lengths in tokens.
func prefixesOf(request *http.Request) (parts []string, tokens []int) {
	for _, value := range request.Header.Values(admission.HeaderPrefix) {
		part, count, _ := strings.Cut(value, "=")
		number, _ := strconv.Atoi(count)
		parts, tokens = append(parts, part), append(tokens, number)
	}
	return parts, tokens
}
