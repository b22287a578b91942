package placement

import (
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/verify/emulator"
	"wardtray/verify/simulation"
)

// slotRunner models a runner with slots that prefills one prompt at a time and decodes several answers concurrently. It
// queues requests while all slots are in use, and rejects them beyond the queue length of its profile.
type slotRunner struct {
	id, zone string
	profile  emulator.RunnerProfile
	world    *simulation.World
	cache    *emulator.Cache[kvblock.BlockKey]
	// running is the number of requests that have a slot.
	running int
	queue   []slotRun
	// prefillFree is the end of the last prefill scheduled so far.
	prefillFree time.Time
	reports     reportHistory
}

// slotRun is a request at a slotRunner.
type slotRun struct {
	keys       []kvblock.BlockKey
	partTokens []int
	// prompt and answer are the numbers of tokens of the complete prompt and of the answer.
	prompt, answer int
	// firstEvent is called at the first event, with the number of prompt tokens that were cached, finished after the
	// last event.
	firstEvent func(cached int)
	finished   func()
}

// active returns the number of running and queued requests.
func (runner *slotRunner) active() int { return runner.running + len(runner.queue) }

// accept starts or queues a request, and reports whether there was capacity for it.
func (runner *slotRunner) accept(run slotRun) bool {
	if runner.active() >= runner.profile.Slots+runner.profile.QueueLimit {
		return false
	}
	if runner.running < runner.profile.Slots {
		runner.start(run)
	} else {
		runner.queue = append(runner.queue, run)
	}
	return true
}

// start assigns a slot to a request and schedules its prefill and its end.
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

// finish ends a request and starts the first queued request in its slot.
func (runner *slotRunner) finish(run slotRun) {
	runner.running--
	if len(runner.queue) > 0 {
		next := runner.queue[0]
		runner.queue = runner.queue[1:]
		runner.start(next)
	}
	run.finished()
}

// report returns the runner's current load.
func (runner *slotRunner) report() load.Report {
	return load.Report{Running: runner.running, Waiting: len(runner.queue), Slots: runner.profile.Slots}
}
