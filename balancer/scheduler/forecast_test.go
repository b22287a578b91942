package scheduler

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"wardtray/balancer/load"
)

// The speeds of engines of several kinds are found within some hundred first events, though a third of them
// were held up by others and a tenth found the opening gone.
func TestSpeedsAreLearned(t *testing.T) {
	for _, true := range []engineSpeeds{{0.005, 0.000015, 6e-10}, {0.03, 0.0001, 3e-9}, {0.002, 0.000004, 1e-10}} {
		random := rand.New(rand.NewSource(1))
		speeds := defaultSpeeds
		for seen := range 600 {
			held := random.Intn(6000)
			prompt := held + 1 + int(2500*math.Exp(1.2*random.NormFloat64()))
			took := true.prefill(prompt, held) + true.overhead
			if random.Intn(10) == 0 {
				took = true.prefill(prompt, 0) + true.overhead
			}
			if random.Intn(3) == 0 {
				took += random.ExpFloat64() * 0.1
			}
			speeds.learn(prompt, held, took, seen)
		}
		for _, prompt := range []int{2000, 8000, 30000} {
			found, wanted := speeds.overhead+speeds.prefill(prompt, 500), true.overhead+true.prefill(prompt, 500)
			if found < wanted/1.5 || found > wanted*1.5 {
				t.Errorf("%+v: %d tokens take %.3f s, reckoned %.3f", true, prompt, wanted, found)
			}
		}
	}
}

func fleetOf(count int) []load.Runner {
	var runners []load.Runner
	for number := range count {
		runners = append(runners, load.Runner{ID: fmt.Sprintf("r%03d", number), Usable: true})
	}
	return runners
}

// Every daemon ranks runners alike, each key has its own first, and a runner that goes moves only what was its own.
func TestHomesAreAgreedAndStay(t *testing.T) {
	runners, firsts, moved := fleetOf(20), map[string]int{}, 0
	without := append(append([]load.Runner{}, runners[:7]...), runners[8:]...)
	for key := range uint64(2000) {
		first := rendezvousOrder(runners, key*0x9e3779b97f4a7c15)[0]
		firsts[first]++
		if after := rendezvousOrder(without, key*0x9e3779b97f4a7c15)[0]; after != first {
			moved++
			if first != "r007" {
				t.Fatalf("key %d moved from %s to %s", key, first, after)
			}
		}
	}
	for runner, count := range firsts {
		if count < 60 || count > 145 {
			t.Errorf("%s is the first of %d of 2000 keys", runner, count)
		}
	}
	if moved != firsts["r007"] {
		t.Errorf("%d moved, %d were at home there", moved, firsts["r007"])
	}
}

// Two daemons that have never heard of each other send an opening to the same runner.
func TestDaemonsAgreeOnAHomeWithoutAMessage(t *testing.T) {
	chosen := map[string]int{}
	for daemon := range 8 {
		stall := newStall(t, 18)
		stall.Scheduler.random = rand.New(rand.NewSource(int64(daemon)))
		stall.Scheduler.forecast.firstEvents = warmedUpEvents
		snapshot := stall.Scheduler.snapshot
		stall.Scheduler.snapshot = func(now time.Time) Snapshot {
			field := snapshot(now)
			field.Daemons = 4
			return field
		}
		queuedRequest := stall.queuedRequest("l", 1, 1, time.Second, "system", "family", "own")
		step, _ := stall.enter(queuedRequest)
		chosen[step.Runner.ID]++
	}
	if len(chosen) != 1 {
		t.Fatalf("daemons chose %v", chosen)
	}
}

// A short prompt goes around a runner that reads a long one of ours, and comes back once that is read.
func TestShortPromptsGoAroundLongOnes(t *testing.T) {
	stall := newStall(t, 3)
	long := stall.queuedRequest("survey", 1, 1, time.Second)
	long.Requirements.PromptTokens = 50_000
	step, _ := stall.enter(long)
	busy := step.Runner.ID
	for range 6 {
		short := stall.queuedRequest("confirm", 1, 1, 400*time.Millisecond)
		short.Requirements.PromptTokens = 500
		if step, _ := stall.enter(short); step.Runner.ID == busy {
			t.Fatal("a short prompt went behind a long one")
		}
	}
}

// What can't be in time anywhere is told to let others go ahead, and what is read in no time to go ahead.
func TestShortPromptsGoAheadOfLongOnes(t *testing.T) {
	stall := newStall(t, 3)
	late, soon := stall.queuedRequest("l", 1, 1, 100*time.Millisecond), stall.queuedRequest("l", 1, 1, 100*time.Millisecond)
	late.Requirements.PromptTokens, soon.Requirements.PromptTokens = 100_000, 100
	if step, _ := stall.enter(late); step.Urgency != Behind {
		t.Fatalf("a late one: %+v", step)
	}
	if step, _ := stall.enter(soon); step.Urgency != Ahead {
		t.Fatalf("one in time: %+v", step)
	}
}

// With a deadline told, who finds every runner full waits past its latency target, up to its part of the deadline.
func TestDeadlinesAreWaitedFor(t *testing.T) {
	stall := newStall(t, 1)
	for range 6 {
		stall.enter(stall.queuedRequest("l", 1, 1, time.Minute, "x"))
	}
	queuedRequest := stall.queuedRequest("l", 1, 1, 100*time.Millisecond, "x")
	queuedRequest.Requirements.Deadline = 20 * time.Second
	if step, answered := stall.enter(queuedRequest); answered {
		t.Fatalf("at once: %+v", step)
	}
	if !stall.Waiting() {
		t.Fatal("nobody waits")
	}
	stall.now = stall.now.Add(5 * time.Second)
	stall.Rebalance(stall.now)
	select {
	case step := <-queuedRequest.Decisions:
		t.Fatalf("past its patience: %+v", step)
	default:
	}
	stall.now = stall.now.Add(10 * time.Second)
	stall.Rebalance(stall.now)
	if step := <-queuedRequest.Decisions; step.Kind != Reject {
		t.Fatalf("past its part of the deadline: %+v", step)
	}
	if stall.Waiting() {
		t.Fatal("somebody still waits")
	}
}

// A runner whose memory is full is gone around.
func TestFullMemoryIsGoneAround(t *testing.T) {
	stall := newStall(t, 2)
	stall.table.Reported(stall.now, "r00", load.Report{Slots: 64, Tokens: 990_000, Room: 1_000_000})
	stall.table.Reported(stall.now, "r01", load.Report{Slots: 64, Tokens: 100_000, Room: 1_000_000})
	for range 3 {
		queuedRequest := stall.queuedRequest("l", 1, 1, time.Second)
		queuedRequest.Requirements.PromptTokens = 10_000
		if step, _ := stall.enter(queuedRequest); step.Runner.ID != "r01" {
			t.Fatal("a prompt went where no memory is left")
		}
	}
}

// Where most runners are left alone, those soonest to come back are used all the same: a backend is never emptied.
func TestBackendIsNeverEmptied(t *testing.T) {
	stall := newStall(t, 8)
	for number := range 8 {
		stall.table.Failed(stall.now, fmt.Sprintf("r%02d", number), "gave no answer")
	}
	if step, answered := stall.enter(stall.queuedRequest("l", 1, 1, time.Second, "x")); !answered || step.Kind != Dispatch {
		t.Fatalf("%+v", step)
	}
}

// The connections that a runner takes are shared out among the daemons.
func TestConnectionsAreSharedOut(t *testing.T) {
	stall := newStall(t, 1)
	snapshot := stall.Scheduler.snapshot
	stall.Scheduler.snapshot = func(now time.Time) Snapshot {
		field := snapshot(now)
		field.Daemons, field.Pool.ConnectionLimit = 9, 30
		return field
	}
	for place := range 4 {
		_, answered := stall.enter(stall.queuedRequest("l", 1, 1, time.Minute, "x"))
		if answered != (place < 3) {
			t.Fatalf("request %d: passed %v", place, answered)
		}
	}
}
