package scheduler

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
	"wardtray/apierror"
	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/wire"
)

// If all requests have the same prefix, they spill over to many runners, and no runner gets more than its slots and a
// short queue. Otherwise the runner that has the prefix cached would be overloaded while others are idle.
func TestHotPrefixSpillsOver(t *testing.T) {
	fixture := newFixture(t, 18)
	counts := map[string]int{}
	for range 60 {
		decision, decided := fixture.schedule(fixture.request("l", 1, 1, 10*time.Second, "hot"))
		if decided && decision.Kind == Dispatch {
			counts[decision.Runner.ID]++
		}
	}
	if len(counts) < 12 {
		t.Fatalf("a hot prefix stayed on %d runners: %v", len(counts), counts)
	}
	for runner, count := range counts {
		if count > 6 {
			t.Errorf("%s has %d requests in flight", runner, count)
		}
	}
}

// At a saturated backend, a request that can't be served within its latency target is rejected on arrival with a
// Retry-After. One with a longer target is queued, dispatched when a slot becomes free, and rejected when its target
// has passed.
func TestRequestsThatWouldBeLateAreRejectedOnArrival(t *testing.T) {
	fixture := newFixture(t, 2)
	for range 12 {
		decision, decided := fixture.schedule(fixture.request("l", 1, 1, time.Minute, "x"))
		if !decided || decision.Kind != Dispatch {
			t.Fatalf("the backend is saturated too early: %v", decision)
		}
	}
	decision, decided := fixture.schedule(fixture.request("l", 1, 1, 100*time.Millisecond, "x"))
	if !decided || decision.Kind != Reject ||
		decision.ErrorCode != apierror.LatencyTargetMissed || decision.RetryAfter < time.Second {
		t.Fatalf("short latency target: %+v", decision)
	}
	queued := fixture.request("l", 1, 1, time.Minute, "x")
	if decision, decided := fixture.schedule(queued); decided {
		t.Fatalf("long latency target: %+v", decision)
	}
	fixture.Release(fixture.now, &QueuedRequest{Route: "l"}, "r00")
	if decision := <-queued.Decisions; decision.Kind != Dispatch || decision.Runner.ID != "r00" {
		t.Fatalf("a slot became free: %+v", decision)
	}
	fixture.now = fixture.now.Add(2 * time.Minute)
	late := fixture.request("l", 1, 1, time.Minute, "x")
	fixture.Schedule(fixture.now.Add(-2*time.Minute), late)
	fixture.Rebalance(fixture.now)
	if decision := <-late.Decisions; decision.Kind != Reject {
		t.Fatalf("latency target passed: %+v", decision)
	}
}

// The request of the greatest value is dispatched first, and a full queue rejects the request of the lowest priority.
func TestValueOrdersTheQueue(t *testing.T) {
	fixture := newFixture(t, 1)
	for range 6 {
		fixture.schedule(fixture.request("l", 1, 1, time.Minute, "x"))
	}
	cheap := make([]*QueuedRequest, 0, QueueLength)
	for range QueueLength {
		request := fixture.request("cheap", 1, 1, time.Hour, "x")
		request.Requirements.LatencyTarget = 10 * time.Hour
		fixture.Schedule(fixture.now, request)
		cheap = append(cheap, request)
	}
	valuable := fixture.request("valuable", 50, 1, time.Hour, "x")
	if decision, decided := fixture.schedule(valuable); decided {
		t.Fatalf("the valuable request was not queued: %+v", decision)
	}
	rejected := 0
	for _, request := range cheap {
		select {
		case decision := <-request.Decisions:
			if decision.ErrorCode != apierror.QueueFull {
				t.Fatalf("a cheap request: %+v", decision)
			}
			rejected++
		default:
		}
	}
	if rejected != 1 {
		t.Fatalf("%d cheap requests were rejected, want 1", rejected)
	}
	fixture.Release(fixture.now, &QueuedRequest{Route: "l"}, "r00")
	select {
	case decision := <-valuable.Decisions:
		if decision.Kind != Dispatch {
			t.Fatalf("the valuable request: %+v", decision)
		}
	default:
		t.Fatal("the valuable request was not dispatched first")
	}
}

// A cancelled request is removed from the queue once, without a decision and without an effect on the requests in
// flight and the wait corrections.
func TestCancelRemovesAQueuedRequest(t *testing.T) {
	fixture := newFixture(t, 1)
	var waiting []*QueuedRequest
	for queuedCount := 0; queuedCount < 3; {
		request := fixture.request("l", 1, 1, time.Minute, "a")
		if _, decided := fixture.schedule(request); !decided {
			waiting = append(waiting, request)
			queuedCount++
		}
	}
	first := waiting[0]
	_, length, before := fixture.State()
	corrections := len(fixture.waitCorrections)
	if !fixture.Cancel(first) || fixture.Cancel(first) {
		t.Fatal("the request was not cancelled exactly once")
	}
	_, left, after := fixture.State()
	if left != length-1 || after["l"] != before["l"] {
		t.Errorf("queued: %d before and %d after, in flight: %v before and %v after", length, left, before, after)
	}
	if len(fixture.waitCorrections) != corrections || len(first.Decisions) > 0 {
		t.Errorf("wait corrections: %d before and %d after; %d decisions",
			corrections, len(fixture.waitCorrections), len(first.Decisions))
	}
}

// If every runner is saturated, a request with a deadline is queued beyond its latency target, up to deadlineRatio of
// its deadline.
func TestRequestsWithADeadlineWaitForAPartOfIt(t *testing.T) {
	fixture := newFixture(t, 1)
	for range 6 {
		fixture.schedule(fixture.request("l", 1, 1, time.Minute, "x"))
	}
	request := fixture.request("l", 1, 1, 100*time.Millisecond, "x")
	request.Requirements.Deadline = 20 * time.Second
	if decision, decided := fixture.schedule(request); decided {
		t.Fatalf("the request was not queued: %+v", decision)
	}
	if !fixture.HasQueued() {
		t.Fatal("the queue is empty")
	}
	fixture.now = fixture.now.Add(5 * time.Second)
	fixture.Rebalance(fixture.now)
	select {
	case decision := <-request.Decisions:
		t.Fatalf("after the latency target: %+v", decision)
	default:
	}
	fixture.now = fixture.now.Add(10 * time.Second)
	fixture.Rebalance(fixture.now)
	if decision := <-request.Decisions; decision.Kind != Reject {
		t.Fatalf("after deadlineRatio of the deadline: %+v", decision)
	}
	if fixture.HasQueued() {
		t.Fatal("the queue is not empty")
	}
}

// BenchmarkSchedule schedules, dispatches and ends one request at a backend of 18 idle runners.
func BenchmarkSchedule(b *testing.B) {
	indexer, err := kvblock.NewIndexer(kvblock.DefaultSeed, kvblock.DefaultKeys, kvblock.DefaultRunners, 0)
	if err != nil {
		b.Fatal(err)
	}
	table := load.NewTable(started, "d1")
	runners := make([]*wire.Runner, 0, 18)
	for number := range cap(runners) {
		runners = append(runners, &wire.Runner{RunnerId: fmt.Sprintf("r%02d", number), Zone: "a", State: "ready"})
	}
	table.UpdateListing(started, runners)
	snapshot := func(now time.Time) Snapshot {
		return Snapshot{Runners: table.Runners(now, []string{"d1"}), Daemons: 1}
	}
	scheduler := NewScheduler(snapshot, table, indexer, rand.New(rand.NewSource(1)))
	keys := indexer.Processor.BlockKeys([]string{"a", "b", "c"}, kvblock.Extra{})
	b.ReportAllocs()
	for b.Loop() {
		request := &QueuedRequest{
			Route:            "l",
			ConcurrencyLimit: 1,
			Keys:             keys,
			PartTokens:       []int{1, 1, 1},
			Decisions:        make(chan Decision, 1),
			Requirements:     Requirements{Value: 1, LatencyTarget: time.Second, PromptTokens: 100},
		}
		scheduler.Schedule(started, request)
		decision := <-request.Decisions
		scheduler.Release(started, request, decision.Runner.ID)
	}
}

// Explain is a dry run: it changes no counters, records no latency target and queues nothing. Otherwise explanations
// would influence the scheduling of real requests.
func TestExplainRecordsNothing(t *testing.T) {
	fixture := newFixture(t, 4)
	fixture.schedule(fixture.request("l", 1, 1, 2*time.Second, "shared"))
	state := func() string {
		counters, queued, inFlight := fixture.State()
		return fmt.Sprint(counters, queued, inFlight, fixture.longPrompts.latencyTargets)
	}
	before := state()
	for range 3 {
		_, decision := fixture.Explain(fixture.now, fixture.request("l", 1, 1, time.Second, "shared"))
		if decision.Kind != Dispatch {
			t.Fatalf("%+v", decision)
		}
		fixture.Explain(fixture.now, fixture.request("other", 1, 1, time.Second, "other"))
	}
	if after := state(); after != before {
		t.Errorf("the state was %s before and is %s after", before, after)
	}
}

// Explain does not count as a use of a prompt's blocks, so it does not keep them in a full index.
func TestExplainDoesNotCountAsUseOfBlocks(t *testing.T) {
	fixture := newFixture(t, 4)
	// 32 keys are two blocks for each of the index's 16 shards.
	indexer, err := kvblock.NewIndexer(kvblock.DefaultSeed, 32, 16, 0)
	if err != nil {
		t.Fatal(err)
	}
	fixture.indexer, fixture.Scheduler.indexer = indexer, indexer
	var parts []string
	for number := 0; len(parts) < 3; number++ {
		part := fmt.Sprint("part", number)
		if indexer.Processor.BlockKeys([]string{part}, kvblock.Extra{})[0]%16 == 0 {
			parts = append(parts, part)
		}
	}
	requests := make([]*QueuedRequest, len(parts))
	for index, part := range parts {
		requests[index] = fixture.request("l", 1, 1, time.Second, part)
	}
	indexer.Index.Add(fixture.now, requests[0].Keys, "r00")
	indexer.Index.Add(fixture.now, requests[1].Keys, "r00")
	scored, _ := fixture.Explain(fixture.now, requests[0])
	if scored[0].Candidate.CachedTokens != tokensPerPart {
		t.Fatalf("%+v", scored[0])
	}
	indexer.Index.Add(fixture.now, requests[2].Keys, "r00")
	if kept := indexer.PeekCachedPrefixes(requests[0].Keys, map[string]bool{"r00": true}); len(kept) > 0 {
		t.Errorf("the explained prompt's blocks were kept: %v", kept)
	}
}
