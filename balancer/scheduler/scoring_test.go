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

var started = time.Unix(1_700_000_000, 0)

// stall is a scheduler with a book of its own; the scene lists every runner of the book.
type stall struct {
	*Scheduler
	table   *load.Table
	indexer *kvblock.Indexer
	runners []*wire.Runner
	now     time.Time
}

func newStall(t *testing.T, runners int) *stall {
	indexer, err := kvblock.NewIndexer(kvblock.DefaultSeed, 100_000, 16, 0)
	if err != nil {
		t.Fatal(err)
	}
	made := &stall{table: load.NewTable(started, "d1"), indexer: indexer, now: started}
	for number := range runners {
		made.runners = append(made.runners, &wire.Runner{RunnerId: fmt.Sprintf("r%02d", number), Address: "x", Zone: "a", Service: "s", State: "ready"})
	}
	made.table.List(started, made.runners)
	made.Scheduler = NewScheduler(func(now time.Time) Snapshot {
		return Snapshot{Runners: made.table.All(now, []string{"d1"}), Daemons: 1}
	}, made.table, indexer, rand.New(rand.NewSource(1)))
	return made
}

func (stall *stall) queuedRequest(route string, value, concurrencyLimit float64, latencyTarget time.Duration, parts ...string) *QueuedRequest {
	tokens := make([]int, len(parts))
	for place := range parts {
		tokens[place] = 1000
	}
	return &QueuedRequest{Route: route, ConcurrencyLimit: concurrencyLimit, Keys: stall.indexer.Processor.BlockKeys(parts, kvblock.Extra{}), PartTokens: tokens, Decisions: make(chan Decision, 1),
		Requirements: Requirements{Value: value, LatencyTarget: latencyTarget, PromptTokens: 1000*len(parts) + 100, Zone: "a", Shut: map[string]bool{}}}
}

// enter gives the step if there is one at once.
func (stall *stall) enter(queuedRequest *QueuedRequest) (Decision, bool) {
	stall.Schedule(stall.now, queuedRequest)
	select {
	case step := <-queuedRequest.Decisions:
		if step.Kind == Dispatch {
			stall.indexer.Pool.Add(kvblock.BlockStored{Runner: step.Runner.ID, Now: stall.now, Keys: queuedRequest.Keys, Tokens: queuedRequest.PartTokens})
		}
		return step, true
	default:
		return Decision{}, false
	}
}

func TestPrefixGoesWhereItIsHeld(t *testing.T) {
	stall := newStall(t, 18)
	first, _ := stall.enter(stall.queuedRequest("l", 1, 1, time.Second, "system", "one"))
	stall.Release(stall.now, &QueuedRequest{Route: "l"}, first.Runner.ID)
	second, _ := stall.enter(stall.queuedRequest("l", 1, 1, time.Second, "system", "one"))
	if second.Runner.ID != first.Runner.ID || second.HeldTokens != 2000 {
		t.Fatalf("first %s, then %s with %d tokens held", first.Runner.ID, second.Runner.ID, second.HeldTokens)
	}
}

// One key draws all the traffic: it spills over many runners, and none gets more than slots and a short queue.
func TestHotKeySpills(t *testing.T) {
	stall := newStall(t, 18)
	counts := map[string]int{}
	for range 60 {
		step, passed := stall.enter(stall.queuedRequest("l", 1, 1, 10*time.Second, "hot"))
		if passed && step.Kind == Dispatch {
			counts[step.Runner.ID]++
		}
	}
	if len(counts) < 12 {
		t.Fatalf("a hot key stayed on %d runners: %v", len(counts), counts)
	}
	for runner, count := range counts {
		if count > 6 {
			t.Errorf("%s has %d at once", runner, count)
		}
	}
}

func TestTiesFallByLot(t *testing.T) {
	counts := map[string]int{}
	for seed := range 200 {
		stall := newStall(t, 6)
		stall.Scheduler.random = rand.New(rand.NewSource(int64(seed)))
		step, _ := stall.enter(stall.queuedRequest("l", 1, 1, time.Second, "x"))
		counts[step.Runner.ID]++
	}
	for runner, count := range counts {
		if count < 10 || count > 70 {
			t.Errorf("%s won %d of 200 ties among 6", runner, count)
		}
	}
	if len(counts) != 6 {
		t.Fatalf("only %d of 6 ever won", len(counts))
	}
}

// A full backend: whoever can't be served within its latency target is told at once, when to come back too.
func TestRefusalsAreEarly(t *testing.T) {
	stall := newStall(t, 2)
	for range 12 {
		if step, passed := stall.enter(stall.queuedRequest("l", 1, 1, time.Minute, "x")); !passed || step.Kind != Dispatch {
			t.Fatalf("the pool filled up too soon: %v", step)
		}
	}
	step, answered := stall.enter(stall.queuedRequest("l", 1, 1, 100*time.Millisecond, "x"))
	if !answered || step.Kind != Reject || step.Fault != apierror.LatencyTargetMissed || step.RetryAfter < time.Second {
		t.Fatalf("short patience: %+v", step)
	}
	patient := stall.queuedRequest("l", 1, 1, time.Minute, "x")
	if step, answered := stall.enter(patient); answered {
		t.Fatalf("long patience: %+v", step)
	}
	stall.Release(stall.now, &QueuedRequest{Route: "l"}, "r00")
	if step := <-patient.Decisions; step.Kind != Dispatch || step.Runner.ID != "r00" {
		t.Fatalf("a place came free: %+v", step)
	}
	stall.now = stall.now.Add(2 * time.Minute)
	late := stall.queuedRequest("l", 1, 1, time.Minute, "x")
	stall.Schedule(stall.now.Add(-2*time.Minute), late)
	stall.Rebalance(stall.now)
	if step := <-late.Decisions; step.Kind != Reject {
		t.Fatalf("patience used up: %+v", step)
	}
}

// Worth decides who goes first, and a full queue gives up its least bid.
func TestValueOrdersTheQueue(t *testing.T) {
	stall := newStall(t, 1)
	for range 6 {
		stall.enter(stall.queuedRequest("l", 1, 1, time.Minute, "x"))
	}
	var cheap []*QueuedRequest
	for range QueueLength {
		queuedRequest := stall.queuedRequest("cheap", 1, 1, time.Hour, "x")
		queuedRequest.Requirements.LatencyTarget = 10 * time.Hour
		stall.Schedule(stall.now, queuedRequest)
		cheap = append(cheap, queuedRequest)
	}
	dear := stall.queuedRequest("dear", 50, 1, time.Hour, "x")
	if step, answered := stall.enter(dear); answered {
		t.Fatalf("the dear one: %+v", step)
	}
	refused := 0
	for _, queuedRequest := range cheap {
		select {
		case step := <-queuedRequest.Decisions:
			if step.Fault != apierror.QueueFull {
				t.Fatalf("a cheap one: %+v", step)
			}
			refused++
		default:
		}
	}
	if refused != 1 {
		t.Fatalf("%d cheap ones gave way", refused)
	}
	stall.Release(stall.now, &QueuedRequest{Route: "l"}, "r00")
	select {
	case step := <-dear.Decisions:
		if step.Kind != Dispatch {
			t.Fatalf("the dear one: %+v", step)
		}
	default:
		t.Fatal("a cheap one went first")
	}
}

// Under overload a route beyond its concurrency limit waits behind one within, however much the first is worth.
func TestConcurrencyLimitKeepsRoutesFromStarving(t *testing.T) {
	stall := newStall(t, 2)
	for range 20 {
		stall.Schedule(stall.now, stall.queuedRequest("rich", 100, 0.3, time.Hour, "x"))
	}
	poor := stall.queuedRequest("poor", 1, 0.3, time.Hour, "y")
	if step, answered := stall.enter(poor); !answered || step.Kind != Dispatch {
		// The rich route may hold only what others do not miss, so there is room.
		t.Fatalf("the poor lane starves: %+v %v", step, answered)
	}
	_, waiting, routes := stall.State()
	if routes["rich"] == 0 || waiting == 0 {
		t.Fatalf("the rich lane holds %d and %d wait", routes["rich"], waiting)
	}
}

func TestVerdictsCoverEveryEnd(t *testing.T) {
	for _, end := range []AttemptOutcome{NotSent, NotExecuted, Ambiguous, Broken} {
		for _, idempotent := range []bool{false, true} {
			verdict := DecideRetry(end, idempotent)
			for flaw, found := range map[string]bool{
				"no verdict":             verdict.Otherwise == "" || verdict.Ran == "",
				"passed again":           verdict.Retry && (end == Broken || end == Ambiguous && !idempotent),
				"repeats without budget": verdict.Retry && end != NotSent && !verdict.Spends,
				"told as sure":           (end == Ambiguous || end == Broken) && verdict.Ran != Unknown,
			} {
				if found {
					t.Errorf("%s, %v: %s", end, idempotent, flaw)
				}
			}
		}
	}
}

func BenchmarkAward(bench *testing.B) {
	indexer, err := kvblock.NewIndexer(kvblock.DefaultSeed, kvblock.DefaultKeys, 16, 0)
	if err != nil {
		bench.Fatal(err)
	}
	table := load.NewTable(started, "d1")
	var runners []*wire.Runner
	for number := range 18 {
		runners = append(runners, &wire.Runner{RunnerId: fmt.Sprintf("r%02d", number), Zone: "a", State: "ready"})
	}
	table.List(started, runners)
	scheduler := NewScheduler(func(now time.Time) Snapshot { return Snapshot{Runners: table.All(now, []string{"d1"}), Daemons: 1} }, table, indexer, rand.New(rand.NewSource(1)))
	keys := indexer.Processor.BlockKeys([]string{"a", "b", "c"}, kvblock.Extra{})
	bench.ReportAllocs()
	for bench.Loop() {
		queuedRequest := &QueuedRequest{Route: "l", ConcurrencyLimit: 1, Keys: keys, PartTokens: []int{1, 1, 1}, Decisions: make(chan Decision, 1), Requirements: Requirements{Value: 1, LatencyTarget: time.Second, PromptTokens: 100}}
		scheduler.Schedule(started, queuedRequest)
		step := <-queuedRequest.Decisions
		scheduler.Release(started, queuedRequest, step.Runner.ID)
	}
}

// A ticket that is taken off the queue leaves no trace, and those behind it move up.
func TestCancelledQueuedRequestGivesItsPlaceUp(t *testing.T) {
	stall := newStall(t, 1)
	var waiting []*QueuedRequest
	for stalled := 0; stalled < 3; {
		queuedRequest := stall.queuedRequest("l", 1, 1, time.Minute, "a")
		if _, decided := stall.enter(queuedRequest); !decided {
			waiting = append(waiting, queuedRequest)
			stalled++
		}
	}
	first := waiting[0]
	_, length, before := stall.State()
	doubts := len(stall.waitCorrections)
	if !stall.Cancel(first) || stall.Cancel(first) {
		t.Fatal("it is on the queue once")
	}
	_, left, after := stall.State()
	if left != length-1 || after["l"] != before["l"] || len(stall.waitCorrections) != doubts || len(first.Decisions) > 0 {
		t.Errorf("%d of %d wait, %v places of %v, %d doubts of %d", left, length, after, before, len(stall.waitCorrections), doubts)
	}
}
