// Package emulator has what surrounds a fleet in a proof: runners that answer as engines do, with a
// cache, slots, a cold start and every way of failing, and the platform's lagging list.
package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/proxy/admission"
	"wardtray/transport/netio"
	"wardtray/verify/histories"
)

// RunnerProfile is how a runner works.
type RunnerProfile struct {
	Slots int
	// TokenTime is the prefill time of one token that is not cached, AnswerTime the time of one answered.
	TokenTime, AnswerTime time.Duration
	// CacheTokens is the room of the cache.
	CacheTokens int
	// ColdTime is for how long the runner works ColdFactor times slower after its start.
	ColdTime   time.Duration
	ColdFactor int
	// PutBackAbove is the queue length beyond which requests are put back unstarted.
	PutBackAbove int
	// ReportAge is how old pressure reports are.
	ReportAge time.Duration
}

// DefaultProfile is that of the proofs.
var DefaultProfile = RunnerProfile{
	Slots:        4,
	TokenTime:    60 * time.Microsecond,
	AnswerTime:   2 * time.Millisecond,
	CacheTokens:  60_000,
	ColdTime:     2 * time.Second,
	ColdFactor:   4,
	PutBackAbove: 6,
	ReportAge:    700 * time.Millisecond,
}

// Runner is one stand-in runner.
type Runner struct {
	ID, Address, Zone, Service, Model, Weights, Pool string
	Adapters                                         []string
	profile                                          RunnerProfile
	record                                           *histories.History
	started                                          time.Time
	server                                           *fasthttp.Server
	listener                                         net.Listener
	stopped                                          chan struct{}
	stopOnce                                         sync.Once

	// Dark makes the runner read and never answer, Partial break streams after some events, Slow
	// work so many times slower.
	Dark, Partial atomic.Bool
	Slow          atomic.Int64

	mutex       sync.Mutex
	connections map[net.Conn]bool
	active      int
	runs        int
	reports     []report
	cache       *Cache[string]
	engine      sync.Mutex
	slots       chan struct{}
	// Cached and Prompted count tokens found in the cache and tokens asked for.
	Cached, Prompted atomic.Int64
}

type report struct {
	at      time.Time
	running int
	waiting int
}

// Start opens a runner at its address.
func Start(runner *Runner, nature RunnerProfile, record *histories.History) error {
	runner.profile, runner.record, runner.started = nature, record, time.Now()
	runner.stopped, runner.connections = make(chan struct{}), map[net.Conn]bool{}
	runner.cache = NewCache[string](nature.CacheTokens)
	runner.slots = make(chan struct{}, nature.Slots)
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", runner.Address)
	if err != nil {
		return err
	}
	runner.listener = listener
	runner.server = &fasthttp.Server{
		Handler:            runner.handle,
		Name:               "runner",
		ReadBufferSize:     128 << 10,
		MaxRequestBodySize: 4 << 20,
		Concurrency:        4096,
		IdleTimeout:        30 * time.Second,
		NoDefaultDate:      true,
		ConnState:          runner.track,
	}
	go func() {
		// A runner that was stopped ends its serving with an error that says just that.
		_ = runner.server.Serve(listener)
	}()
	go runner.observe()
	return nil
}

func (runner *Runner) track(connection net.Conn, state fasthttp.ConnState) {
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	if state == fasthttp.StateClosed {
		delete(runner.connections, connection)
		return
	}
	runner.connections[connection] = true
}

// Free returns how many of its slots are free, and how many it has; a runner that is dark or cold has none.
func (runner *Runner) Free() (free, slots int) {
	if runner.Dark.Load() || time.Since(runner.started) < runner.profile.ColdTime {
		return 0, 0
	}
	runner.mutex.Lock()
	defer runner.mutex.Unlock()
	return max(0, runner.profile.Slots-runner.active), runner.profile.Slots
}

// Crash ends the runner at once: every connection is reset.
func (runner *Runner) Crash() {
	runner.stopOnce.Do(func() {
		close(runner.stopped)
		_ = runner.listener.Close()
		runner.mutex.Lock()
		defer runner.mutex.Unlock()
		for connection := range runner.connections {
			if plain, is := connection.(*net.TCPConn); is {
				_ = plain.SetLinger(0)
			}
			_ = connection.Close()
		}
	})
}

// observe takes a report now and then, so that old ones can be told.
func (runner *Runner) observe() {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			runner.mutex.Lock()
			running := min(runner.active, runner.profile.Slots)
			runner.reports = append(runner.reports, report{at: now, running: running, waiting: runner.active - running})
			if len(runner.reports) > 64 {
				runner.reports = runner.reports[len(runner.reports)-64:]
			}
			runner.mutex.Unlock()
		case <-runner.stopped:
			return
		}
	}
}

func (runner *Runner) handle(context *fasthttp.RequestCtx) {
	if runner.Dark.Load() {
		if string(context.Path()) == "/run" {
			runner.mutex.Lock()
			run := runner.recordRun(context, true)
			runner.mutex.Unlock()
			_, stop := runner.watch(context, run)
			defer stop()
		}
		<-runner.stopped
		return
	}
	paths := map[string]func(context *fasthttp.RequestCtx){
		"/identity": runner.identity,
		"/pressure": runner.loadReport,
		"/run":      runner.run,
	}
	path := paths[string(context.Path())]
	if path == nil {
		context.SetStatusCode(404)
		return
	}
	path(context)
}

func (runner *Runner) identity(context *fasthttp.RequestCtx) {
	answer(context, 200, map[string]any{"runner_id": runner.ID, "service": runner.Service, "model": runner.Model,
		"weights": runner.Weights, "adapters": runner.Adapters})
}

func answer(context *fasthttp.RequestCtx, status int, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		status = 500
	}
	context.SetStatusCode(status)
	context.SetContentType("application/json")
	context.SetBody(content)
}

func (runner *Runner) loadReport(context *fasthttp.RequestCtx) {
	runner.mutex.Lock()
	told := report{}
	for _, candidate := range runner.reports {
		if time.Since(candidate.at) >= runner.profile.ReportAge {
			told = candidate
		}
	}
	runner.mutex.Unlock()
	answer(context, 200, map[string]any{"running": told.running, "waiting": told.waiting, "slots": runner.profile.Slots})
}

// recordRun records a request as read.
func (runner *Runner) recordRun(context *fasthttp.RequestCtx, started bool) *histories.Run {
	header := func(name string) string { return string(context.Request.Header.Peek(name)) }
	epoch, _ := strconv.ParseUint(header(admission.HeaderEpoch), 10, 64)
	now := time.Now()
	run := &histories.Run{
		At:         now,
		Request:    header(admission.HeaderRequest),
		Route:      header(admission.HeaderRoute),
		Pool:       runner.Pool,
		Model:      header(admission.HeaderModel),
		Weights:    runner.Weights,
		Runner:     runner.ID,
		Wanted:     header(admission.HeaderRunner),
		Service:    runner.Service,
		Zone:       runner.Zone,
		Daemon:     header(admission.HeaderDaemon),
		Epoch:      epoch,
		Started:    started,
		Concurrent: runner.active,
		WarmingUp:  now.Sub(runner.started) < runner.profile.ColdTime,
		Capacity:   runner.profile.Slots,
	}
	if run.WarmingUp {
		run.Capacity = max(1, runner.profile.Slots/runner.profile.ColdFactor)
	}
	runner.record.Change(func(history *histories.History) { history.Runs = append(history.Runs, run) })
	return run
}

func (runner *Runner) run(context *fasthttp.RequestCtx) {
	runner.mutex.Lock()
	if runner.active >= runner.profile.Slots+runner.profile.PutBackAbove {
		runner.recordRun(context, false)
		runner.mutex.Unlock()
		answer(context, 503, map[string]any{"started": false})
		return
	}
	run := runner.recordRun(context, true)
	runner.active++
	runner.runs++
	name := fmt.Sprintf("%s/%d", runner.ID, runner.runs)
	runner.mutex.Unlock()
	var parts []string
	var tokens []int
	for _, value := range context.Request.Header.PeekAll(admission.HeaderPrefix) {
		part, count, _ := strings.Cut(string(value), "=")
		number, _ := strconv.Atoi(count)
		parts, tokens = append(parts, part), append(tokens, number)
	}
	prompt, _ := strconv.Atoi(string(context.Request.Header.Peek(admission.HeaderPrompt)))
	length, _ := strconv.Atoi(string(context.Request.Header.Peek(admission.HeaderAnswer)))
	partial := runner.Partial.Load()
	cut, stop := runner.watch(context, run)
	context.SetContentType("text/event-stream")
	context.SetBodyStreamWriter(func(writer *bufio.Writer) {
		defer runner.end(run)
		// Nothing else may read from the connection before the watch has ended.
		defer stop()
		runner.work(writer, run, cut, name, parts, tokens, prompt, length, partial)
	})
}

// watch notes when the connection of a run ends, and closes a channel then.
func (runner *Runner) watch(context *fasthttp.RequestCtx, run *histories.Run) (finished <-chan struct{}, stop func()) {
	cut := make(chan struct{})
	return cut, netio.FromHTTP(context).OnDisconnect(func() {
		runner.record.Change(func(*histories.History) { run.Canceled = time.Now() })
		close(cut)
	})
}

func (runner *Runner) end(run *histories.Run) {
	runner.mutex.Lock()
	runner.active--
	runner.mutex.Unlock()
	runner.record.Change(func(*histories.History) { run.Finished = time.Now() })
}

// wait lets time pass as an engine's work does, unless the runner is stopped or the run's connection ends.
func (runner *Runner) wait(length time.Duration, cut <-chan struct{}) bool {
	if slow := runner.Slow.Load(); slow > 1 {
		length *= time.Duration(slow)
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-runner.stopped:
		return false
	case <-cut:
		return false
	}
}

func (runner *Runner) work(
	writer *bufio.Writer,
	run *histories.Run,
	cut <-chan struct{},
	name string,
	parts []string,
	tokens []int,
	prompt, length int,
	partial bool,
) {
	select {
	case runner.slots <- struct{}{}:
	case <-runner.stopped:
		return
	case <-cut:
		return
	}
	defer func() { <-runner.slots }()
	runner.engine.Lock()
	cached := runner.cache.Use(Chained(parts), tokens)
	runner.Cached.Add(int64(cached))
	runner.Prompted.Add(int64(prompt))
	prefill := time.Duration(prompt-cached) * runner.profile.TokenTime
	if time.Since(runner.started) < runner.profile.ColdTime {
		prefill *= time.Duration(runner.profile.ColdFactor)
	}
	going := runner.wait(prefill, cut)
	runner.engine.Unlock()
	events := min(12, 2+length/24)
	for number := 1; going && number <= events; number++ {
		if partial && number > events/2 {
			runner.mutex.Lock()
			defer runner.mutex.Unlock()
			// Only an abrupt end of the connection leaves a stream that is not whole.
			for connection := range runner.connections {
				_ = connection.Close()
			}
			return
		}
		event := fmt.Sprintf("id: %d\nevent: token\ndata: {\"run\":%q,\"text\":\"rhan %d\"}\n\n", number, name, number)
		if _, err := io.WriteString(writer, event); err != nil {
			return
		}
		if writer.Flush() != nil {
			return
		}
		going = runner.wait(time.Duration(length)*runner.profile.AnswerTime/time.Duration(events), cut)
	}
	if !going {
		return
	}
	// The run is whole from the moment its last event may have left.
	runner.record.Change(func(*histories.History) { run.Complete, run.Events = true, events })
	done := fmt.Sprintf("id: %d\nevent: done\ndata: {\"run\":%q,\"events\":%d}\n\n", events+1, name, events)
	if _, err := io.WriteString(writer, done); err == nil {
		_ = writer.Flush() // A requester gone at the very end changes nothing about the run.
	}
}
