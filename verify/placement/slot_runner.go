package placement

import (
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/verify/emulator"
	"wardtray/verify/simulation"
)

// slotRunner is the model of a runner with slots: it prefills one prompt after the other and answers side by side. It
// queues requests beyond its slots, and rejects them beyond its profile's queue.
type slotRunner struct {
	id, zone string
	profile  emulator.RunnerProfile
	world    *simulation.World
	cache    *emulator.Cache[kvblock.BlockKey]
	// running are the requests that have a slot.
	running int
	queue   []slotRun
	// prefillFree is when the last prefill accepted so far is over.
	prefillFree time.Time
	reports     reportHistory
}

// slotRun is one request at a slotRunner.
type slotRun struct {
	keys       []kvblock.BlockKey
	partTokens []int
	// prompt and answer are the tokens of the whole prompt and of the answer.
	prompt, answer int
	// firstEvent is called at the first event, with the prompt tokens that were cached, and finished after the last.
	firstEvent func(cached int)
	finished   func()
}

// active returns how many requests run or are queued.
func (runner *slotRunner) active() int { return runner.running + len(runner.queue) }

// accept runs or queues a request; it reports whether there was capacity for it.
func (runner *slotRunner) accept(run slotRun) bool {
	if runner.active() >= runner.profile.Slots+runner.profile.PutBackAbove {
		return false
	}
	if runner.running < runner.profile.Slots {
		runner.start(run)
	} else {
		runner.queue = append(runner.queue, run)
	}
	return true
}

// start gives a request a slot.
func (runner *slotRunner) start(run slotRun) {
	runner.running++
	cached := runner.cache.Use(run.keys, run.partTokens)
	begin := runner.world.Now
	if runner.prefillFree.After(begin) {
		begin = runner.prefillFree
	}
	runner.prefillFree = begin.Add(time.Duration(run.prompt-cached) * runner.profile.TokenTime)
	runner.world.At(runner.prefillFree, func() {
		run.firstEvent(cached)
		runner.world.After(time.Duration(run.answer)*runner.profile.AnswerTime, func() { runner.finish(run) })
	})
}

// finish frees the slot of a request for the next one in the queue.
func (runner *slotRunner) finish(run slotRun) {
	runner.running--
	if len(runner.queue) > 0 {
		next := runner.queue[0]
		runner.queue = runner.queue[1:]
		runner.start(next)
	}
	run.finished()
}

// report is the load that the runner has now.
func (runner *slotRunner) report() load.Report {
	return load.Report{Running: runner.running, Waiting: len(runner.queue), Slots: runner.profile.Slots}
}
