package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/balancer/scheduler"
	"wardtray/proxy/stream"
	deployment "wardtray/verify/fleet"
	"wardtray/verify/simulation"
	"wardtray/wire"
)

// PathOptions say at which sizes the request path's own costs are measured.
type PathOptions struct {
	Runners  []int
	Prefixes []int
	// Rates are those at which a small fleet of real processes is loaded, for Seconds each.
	Rates    []float64
	Seconds  int
	Spread   []int
	Binaries string
	Output   io.Writer
}

// MeasurePath measures what one request, one event and one prefix cost a data daemon, and in simulated
// time how a change reaches cohorts of several sizes.
func MeasurePath(options PathOptions) ([]Run, error) {
	var runs []Run
	add := func(run Run, name string, figures map[string]float64) {
		run.Phases = []Phase{{Name: name, Figures: figures}}
		runs = append(runs, run)
		fmt.Fprintf(options.Output, "%s at %d daemons, %d runners, %d prefixes, %.0f/s: %v\n", name, run.Daemons, run.Runners, run.Prefixes, run.Rate, figures)
	}
	for _, count := range options.Runners {
		add(Run{Runners: count}, "award", measureAward(count))
	}
	for _, count := range options.Prefixes {
		figures, err := measureIndex(count)
		if err != nil {
			return runs, err
		}
		add(Run{Prefixes: count}, "index", figures)
	}
	add(Run{}, "event", measureEvent())
	for _, size := range options.Spread {
		spread, err := simulation.MeasureSpread(1, size, 10)
		if err != nil {
			return runs, err
		}
		add(Run{Daemons: size, Routes: 10}, "spread", map[string]float64{"half": spread.Half.Seconds(), "most": spread.Most.Seconds(), "all": spread.All.Seconds(),
			"acknowledged": spread.Acknowledged.Seconds(), "messages": spread.Messages, "bytes": spread.Bytes, "bytes_other_zone": spread.AcrossBytes, "change.bytes": spread.ChangeBytes})
	}
	for _, rate := range options.Rates {
		figures, err := measureRequests(options, rate)
		if err != nil {
			return runs, err
		}
		add(Run{Daemons: 12, Runners: 18, Rate: rate}, "requests", figures)
	}
	return runs, nil
}

// timed gives the processor time of one call, from as many as fit a third of a second.
func timed(do func()) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	do()
	started, count := threadTime(), 0
	for threadTime()-started < time.Second/3 || count < 3 {
		do()
		count++
	}
	return (threadTime() - started).Seconds() * 1e6 / float64(count)
}

// backendsOfFleet is how many backends the runners are divided among: one a model.
const backendsOfFleet = 36

// measureAward prices one award among a backend's part of so many runners, as a plane asks for them.
func measureAward(count int) map[string]float64 {
	now := time.Unix(1_700_000_000, 0)
	indexer, err := kvblock.NewIndexer(kvblock.DefaultSeed, kvblock.DefaultKeys, kvblock.DefaultRunners, 0)
	if err != nil {
		return nil
	}
	table := load.NewTable(now, "daemon")
	var listed []*wire.Runner
	for number := range count {
		listed = append(listed, &wire.Runner{RunnerId: fmt.Sprintf("runner-%05d", number), Zone: Zones()[number%len(Zones())].Name, State: "ready",
			Service: fmt.Sprintf("runners-%02d", number%min(backendsOfFleet, max(1, count/18)))})
	}
	table.List(now, listed)
	snapshot := func(now time.Time) scheduler.Snapshot {
		field := scheduler.Snapshot{Daemons: 1}
		for _, runner := range table.All(now, []string{"daemon"}) {
			if runner.Service == "runners-00" {
				field.Runners = append(field.Runners, runner)
			}
		}
		return field
	}
	desk := scheduler.NewScheduler(snapshot, table, indexer, rand.New(rand.NewSource(1)))
	keys := indexer.Processor.BlockKeys([]string{"a", "b", "c"}, kvblock.Extra{})
	refused := 0
	whole := timed(func() {
		queuedRequest := &scheduler.QueuedRequest{Route: "lane", ConcurrencyLimit: 1, Keys: keys, PartTokens: []int{1, 1, 1}, Decisions: make(chan scheduler.Decision, 1), Requirements: scheduler.Requirements{Value: 1, LatencyTarget: time.Second, PromptTokens: 100}}
		desk.Schedule(now, queuedRequest)
		step := <-queuedRequest.Decisions
		if step.Kind != scheduler.Dispatch {
			refused++
			return
		}
		desk.Release(now, queuedRequest, step.Runner.ID)
	})
	line, _ := json.Marshal(table.All(now, nil)[0])
	return map[string]float64{"microseconds": whole, "scene.microseconds": timed(func() { snapshot(now) }), "refused": float64(refused), "status.bytes_per_runner": float64(len(line))}
}

// measureIndex fills an index with so many prefixes, each held by one runner, and looks one prompt up.
func measureIndex(count int) (map[string]float64, error) {
	const partsOfPrompt, parts = 4, 6
	now := time.Unix(1_700_000_000, 0)
	held := func() uint64 {
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		return memory.HeapAlloc
	}
	before := held()
	indexer, err := kvblock.NewIndexer(kvblock.DefaultSeed, count+count/8, kvblock.DefaultRunners, 0)
	if err != nil {
		return nil, err
	}
	tokens := []int{1, 1, 1, 1}
	started := processTime()
	for number := 0; number < count; number += partsOfPrompt {
		keys := make([]kvblock.BlockKey, partsOfPrompt)
		for place := range keys {
			// Keys are hashes; numbers in a row would all fall into few of the index's shards.
			keys[place] = kvblock.BlockKey(uint64(number+place+1) * 0x9e3779b97f4a7c15)
		}
		indexer.Pool.Add(kvblock.BlockStored{Runner: fmt.Sprintf("runner-%05d", number/partsOfPrompt%max(1, count/400)), Now: now, Keys: keys, Tokens: tokens})
	}
	filled := processTime() - started
	figures := map[string]float64{"keys": float64(indexer.Index.Keys()), "bytes": float64(held() - before), "fill.microseconds_per_key": filled.Seconds() * 1e6 / float64(count)}
	figures["bytes_per_key"] = figures["bytes"] / max(1, figures["keys"])
	set := map[string]bool{}
	for number := range 278 {
		set[fmt.Sprintf("runner-%05d", number)] = true
	}
	prompt := make([]string, parts)
	for place := range prompt {
		prompt[place] = fmt.Sprint("part ", place)
	}
	keys := indexer.Processor.BlockKeys(prompt, kvblock.Extra{Model: "m"})
	indexer.Pool.Add(kvblock.BlockStored{Runner: "runner-00000", Now: now, Keys: keys, Tokens: []int{1, 1, 1, 1, 1, 1}})
	figures["score.microseconds"] = timed(func() { indexer.Score(indexer.Processor.BlockKeys(prompt, kvblock.Extra{Model: "m"}), set) })
	runtime.KeepAlive(indexer)
	return figures, nil
}

// measureEvent reads one event of a stream.
func measureEvent() map[string]float64 {
	const events = 1000
	var body bytes.Buffer
	for number := range events {
		body.Write(stream.Event{ID: number + 1, Name: "token", Data: []byte(`{"text":" word"}`)}.Bytes())
	}
	each := timed(func() {
		reader := stream.NewReader(bytes.NewReader(body.Bytes()), stream.Rules{Counted: true}, 0)
		for range events {
			if _, err := reader.Next(); err != nil {
				return
			}
		}
	}) / events
	return map[string]float64{"read.microseconds": each}
}

// measureRequests loads a small fleet of real processes and gives the processor time that all of them took.
func measureRequests(options PathOptions, rate float64) (map[string]float64, error) {
	children := func() time.Duration {
		var used unix.Rusage
		if unix.Getrusage(unix.RUSAGE_CHILDREN, &used) != nil {
			return 0
		}
		return time.Duration(used.Utime.Nano() + used.Stime.Nano())
	}
	before := children()
	scenario := deployment.Scenario{Help: "a load without any fault", Run: func(*deployment.Stage) error { return nil }}
	_, err := deployment.Prove(deployment.Shapes["guild"], scenario, deployment.Options{Binaries: options.Binaries, Seconds: options.Seconds, Seed: 1, Rate: rate, Output: io.Discard, Timeless: true})
	return map[string]float64{"processor.seconds": (children() - before).Seconds(), "requests": rate * float64(options.Seconds)}, err
}
