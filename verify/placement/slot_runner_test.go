package placement

import (
	"slices"
	"testing"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/verify/emulator"
	"wardtray/verify/simulation"
)

// newTestSlotRunner returns a runner with two slots, a queue of one request, and 1 ms for each prompt token and answer
// token.
func newTestSlotRunner() *slotRunner {
	return &slotRunner{
		profile: emulator.RunnerProfile{
			Slots:      2,
			QueueLimit: 1,
			TokenTime:  time.Millisecond,
			AnswerTime: time.Millisecond,
		},
		world: simulation.NewWorld(1),
		cache: emulator.NewCache[kvblock.BlockKey](1000),
	}
}

func TestSlotRunnerQueuesAndRejects(t *testing.T) {
	runner := newTestSlotRunner()
	run := slotRun{prompt: 10, answer: 10, firstEvent: func(int) {}, finished: func() {}}
	accepted := make([]bool, 0, 4)
	for range 4 {
		accepted = append(accepted, runner.accept(run))
	}
	if want := []bool{true, true, true, false}; !slices.Equal(accepted, want) {
		t.Errorf("accepted %v, want %v", accepted, want)
	}
	if report := runner.report(); report.Running != 2 || report.Waiting != 1 || report.Slots != 2 {
		t.Errorf("reported %+v, want 2 running, 1 waiting and 2 slots", report)
	}
	runner.world.Run(time.Second)
	if runner.active() != 0 {
		t.Errorf("%d requests are left", runner.active())
	}
}

// Prefills run one at a time: the second starts at the end of the first, the third when a slot becomes free.
func TestSlotRunnerPrefillsOneAfterTheOther(t *testing.T) {
	runner := newTestSlotRunner()
	started := runner.world.Now
	var first, finished []time.Duration
	for range 3 {
		runner.accept(slotRun{
			prompt: 10,
			answer: 20,
			firstEvent: func(int) {
				first = append(first, runner.world.Now.Sub(started))
			},
			finished: func() { finished = append(finished, runner.world.Now.Sub(started)) },
		})
	}
	runner.world.Run(time.Second)
	milliseconds := func(values ...int) (times []time.Duration) {
		for _, value := range values {
			times = append(times, time.Duration(value)*time.Millisecond)
		}
		return times
	}
	if want := milliseconds(10, 20, 40); !slices.Equal(first, want) {
		t.Errorf("first events at %v, want %v", first, want)
	}
	if want := milliseconds(30, 40, 60); !slices.Equal(finished, want) {
		t.Errorf("finished at %v, want %v", finished, want)
	}
}

// The prefill doesn't include the prompt tokens that are cached.
func TestSlotRunnerReadsOnlyWhatIsNotCached(t *testing.T) {
	runner := newTestSlotRunner()
	cachedTokens := []int{}
	run := slotRun{
		keys:       blockKeys.BlockKeys([]string{"prefix"}, kvblock.Extra{}),
		partTokens: []int{400},
		prompt:     500,
		firstEvent: func(cached int) { cachedTokens = append(cachedTokens, cached) },
		finished:   func() {},
	}
	runner.accept(run)
	runner.accept(run)
	runner.world.Run(time.Second)
	if want := []int{0, 400}; !slices.Equal(cachedTokens, want) {
		t.Errorf("cached %v, want %v", cachedTokens, want)
	}
}
