package placement

import (
	"slices"
	"testing"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/verify/emulator"
	"wardtray/verify/simulation"
)

// newTestBatchRunner returns a runner with two slots, a queue of one request, and steps of 10 ms that process 100
// tokens.
func newTestBatchRunner() *batchRunner {
	return &batchRunner{
		profile: BatchProfile{
			Slots:        2,
			Queue:        1,
			Step:         10 * time.Millisecond,
			Stride:       2,
			Chunk:        100,
			MemoryTokens: 1000,
		},
		slowdown: 1,
		world:    simulation.NewWorld(1),
		cache:    emulator.NewCache[kvblock.BlockKey](1000),
	}
}

// observedRun records the outcome of a request, with times since the request was created.
type observedRun struct {
	firstAt, endedAt time.Duration
	cached           int
	ends             int
	outcome          sequenceOutcome
}

// observe returns a request and the record of its outcome.
func observe(runner *batchRunner, prompt, answer int) (sequenceRequest, *observedRun) {
	created, observed := runner.world.Now, &observedRun{}
	return sequenceRequest{
		prompt:  prompt,
		answer:  answer,
		expires: created.Add(time.Minute),
		firstEvent: func(cached int) {
			observed.firstAt, observed.cached = runner.world.Now.Sub(created), cached
		},
		finished: func(outcome sequenceOutcome) {
			observed.endedAt, observed.outcome = runner.world.Now.Sub(created), outcome
			observed.ends++
		},
	}, observed
}

func (observed *observedRun) check(t *testing.T, name string, firstAt, endedAt time.Duration, complete bool) {
	t.Helper()
	if observed.ends != 1 || observed.firstAt != firstAt || observed.endedAt != endedAt ||
		observed.outcome.complete != complete {
		t.Errorf("%s: %+v, want the first event at %v and the end at %v, complete: %v", name, *observed, firstAt,
			endedAt, complete)
	}
}

// The prefill of 250 tokens takes three steps, the last of which produces the first answer token; four more tokens take
// four steps.
func TestBatchRunnerReadsInChunksAndWritesATokenAStep(t *testing.T) {
	runner := newTestBatchRunner()
	request, observed := observe(runner, 250, 5)
	runner.accept(request)
	runner.world.Run(time.Second)
	observed.check(t, "alone", 30*time.Millisecond, 70*time.Millisecond, true)
	// Tokens 2, 4 and 5 end an event; the longest pause is the two steps between tokens 2 and 4.
	if observed.outcome.longestPause != 20*time.Millisecond {
		t.Errorf("longest pause %v, want 20ms", observed.outcome.longestPause)
	}
	if runner.stepping {
		t.Error("a runner without work still runs steps")
	}
}

func TestBatchRunnerQueuesAndRejects(t *testing.T) {
	runner := newTestBatchRunner()
	accepted := make([]bool, 0, 4)
	for range 4 {
		request, _ := observe(runner, 100, 10)
		accepted = append(accepted, runner.accept(request))
	}
	if want := []bool{true, true, true, false}; !slices.Equal(accepted, want) {
		t.Errorf("accepted %v, want %v", accepted, want)
	}
	runner.world.Run(30 * time.Millisecond)
	if report := runner.report(); report.Running != 2 || report.Waiting != 1 || report.Slots != 2 {
		t.Errorf("reported %+v, want 2 running, 1 waiting and 2 slots", report)
	}
}

func TestBatchRunnerEndsExpiredRequests(t *testing.T) {
	runner := newTestBatchRunner()
	request, observed := observe(runner, 100, 1000)
	request.expires = runner.world.Now.Add(55 * time.Millisecond)
	runner.accept(request)
	runner.world.Run(time.Second)
	observed.check(t, "expired", 10*time.Millisecond, 60*time.Millisecond, false)
	if !observed.outcome.started {
		t.Error("a request that was decoding is reported as not started")
	}
}

// When memory runs out, the request that arrived last is evicted. It is prefilled again with the answer tokens produced
// so far, and completes after the other.
func TestBatchRunnerEvictsTheLastAndReadsItAnew(t *testing.T) {
	runner := newTestBatchRunner()
	runner.profile.MemoryTokens = 210
	first, firstObserved := observe(runner, 100, 20)
	second, secondObserved := observe(runner, 100, 20)
	runner.accept(first)
	runner.accept(second)
	runner.world.Run(5 * time.Second)
	if firstObserved.ends != 1 || !firstObserved.outcome.complete || secondObserved.ends != 1 ||
		!secondObserved.outcome.complete {
		t.Fatalf("%+v and %+v, want two complete answers", *firstObserved, *secondObserved)
	}
	if firstObserved.endedAt >= secondObserved.endedAt {
		t.Errorf("the evicted request ended at %v, before the other at %v", secondObserved.endedAt,
			firstObserved.endedAt)
	}
	if secondObserved.outcome.longestPause < 100*time.Millisecond {
		t.Errorf("longest pause %v of the evicted request, want at least 100ms", secondObserved.outcome.longestPause)
	}
}

func TestBatchRunnerReadsOnlyWhatIsNotCached(t *testing.T) {
	runner := newTestBatchRunner()
	cached := make([]int, 0, 2)
	for range 2 {
		request, observed := observe(runner, 250, 1)
		request.keys = blockKeys.BlockKeys([]string{"prefix"}, kvblock.Extra{})
		request.partTokens = []int{200}
		runner.accept(request)
		runner.world.Run(time.Second)
		cached = append(cached, observed.cached)
	}
	if want := []int{0, 200}; !slices.Equal(cached, want) {
		t.Errorf("cached %v, want %v", cached, want)
	}
}

func TestCrashEndsEverythingOnce(t *testing.T) {
	runner := newTestBatchRunner()
	all := make([]*observedRun, 0, 3)
	for range 3 {
		request, observed := observe(runner, 100, 1000)
		runner.accept(request)
		all = append(all, observed)
	}
	runner.world.Run(50 * time.Millisecond)
	runner.crash()
	runner.world.Run(time.Second)
	for number, observed := range all {
		if observed.ends != 1 || observed.outcome.complete {
			t.Errorf("request %d: %+v, want one incomplete end", number, *observed)
		}
	}
	if len(runner.running)+len(runner.queue) != 0 || runner.stepping {
		t.Error("a crashed runner still has work")
	}
}

func TestOvertakingReadsTheMoreUrgentFirst(t *testing.T) {
	for _, overtaking := range []bool{false, true} {
		runner := newTestBatchRunner()
		runner.profile.Overtaking = overtaking
		long, longObserved := observe(runner, 500, 1)
		long.urgency = 1
		runner.accept(long)
		runner.world.Run(5 * time.Millisecond)
		urgent, urgentObserved := observe(runner, 100, 1)
		runner.accept(urgent)
		runner.world.Run(time.Second)
		if before := urgentObserved.endedAt < longObserved.endedAt; before != overtaking {
			t.Errorf("overtaking %v: the urgent request ended first: %v", overtaking, before)
		}
	}
}

func TestSequencesAreOrderedByUrgencyAndArrival(t *testing.T) {
	urgent := &sequence{sequenceRequest: sequenceRequest{urgency: 0}, arrival: 3}
	early := &sequence{sequenceRequest: sequenceRequest{urgency: 1}, arrival: 1}
	late := &sequence{sequenceRequest: sequenceRequest{urgency: 1}, arrival: 2}
	for _, trial := range []struct {
		name        string
		left, right *sequence
		want        bool
	}{
		{"the more urgent", urgent, early, true},
		{"the less urgent", early, urgent, false},
		{"the earlier", early, late, true},
		{"itself", late, late, false},
	} {
		if got := trial.left.before(trial.right); got != trial.want {
			t.Errorf("%s first: %v instead of %v", trial.name, got, trial.want)
		}
	}
}
