package placement

import (
	"maps"
	"slices"
	"sort"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/verify/emulator"
	"wardtray/verify/simulation"
)

// BatchProfile configures the speed and the capacity of an engine with continuous batching.
type BatchProfile struct {
	// Slots is the maximum number of running requests, Queue the maximum number of waiting requests.
	Slots, Queue int
	// Step is the base duration of a step. PerSlot is added for each decoding request, PerContext for each thousand
	// tokens in the contexts of these requests, PerToken for each prompt token, and PerPairs for each million pairs of a
	// prompt token and a token before it in its context.
	Step, PerSlot, PerContext, PerToken, PerPairs time.Duration
	// Stride is the number of tokens in an event, Chunk the maximum number of tokens that a step processes.
	Stride, Chunk int
	// MemoryTokens is the memory for the contexts of running requests, in tokens. The prefix cache's capacity is three
	// quarters of it.
	MemoryTokens int
	// ReportLag is the age of a load report when a daemon receives it.
	ReportLag time.Duration
	// Overtaking allows the prefill of a more urgent prompt before the rest of a prompt that is partly prefilled.
	Overtaking bool
}

// batchRunner models a runner with continuous batching, which runs requests concurrently in steps. Each step decodes a
// token of every request whose prompt is prefilled, and prefills chunks of the other prompts.
type batchRunner struct {
	id, zone string
	profile  BatchProfile
	// slowdown multiplies the duration of each step.
	slowdown       float64
	world          *simulation.World
	cache          *emulator.Cache[kvblock.BlockKey]
	running, queue []*sequence
	// accepted is the number of requests accepted so far.
	accepted int
	// stepping reports whether a step is in progress.
	stepping bool
	// crashed is set by crash. A crashed runner doesn't complete its step, and runnerSet.available doesn't return it.
	crashed bool
	reports reportHistory
}

// report returns the runner's current load; a request counts as waiting until its prompt is prefilled.
func (runner *batchRunner) report() load.Report {
	report := load.Report{
		Slots:        runner.profile.Slots,
		Waiting:      len(runner.queue),
		UsedTokens:   runner.usedTokens(),
		MemoryTokens: runner.profile.MemoryTokens,
	}
	for _, running := range runner.running {
		if running.decoding {
			report.Running++
		} else {
			report.Waiting++
		}
	}
	return report
}

// usedTokens returns the memory that running requests use, in tokens.
func (runner *batchRunner) usedTokens() (tokens int) {
	for _, running := range runner.running {
		tokens += running.contextTokens()
	}
	return tokens
}

// accept queues a request, and reports whether there was capacity for it.
func (runner *batchRunner) accept(request sequenceRequest) bool {
	if len(runner.running)+len(runner.queue) >= runner.profile.Slots+runner.profile.Queue {
		return false
	}
	runner.accepted++
	runner.queue = append(runner.queue, &sequence{sequenceRequest: request, arrival: runner.accepted})
	if !runner.stepping {
		runner.step()
	}
	return true
}

// step plans and starts the next step; without work, the runner stops stepping until it accepts a request.
func (runner *batchRunner) step() {
	sort.SliceStable(runner.queue,
		func(left, right int) bool { return runner.queue[left].before(runner.queue[right]) })
	planned := planStep(runner)
	runner.stepping = !planned.empty()
	if !runner.stepping {
		return
	}
	length := scale(planned.length, runner.slowdown)
	runner.world.After(length, func() { runner.finishStep(planned) })
}

// finishStep applies the results of a step and starts the next step.
func (runner *batchRunner) finishStep(done *step) {
	now := runner.world.Now
	if runner.crashed {
		runner.stepping = false
		return
	}
	for _, sequence := range done.decoding {
		if !sequence.ended {
			sequence.writeToken(now, runner.profile.Stride)
		}
	}
	started := advancePrompts(now, done.chunks)
	finished := runner.removeFinished(now)
	runner.evictOverMemory()
	for _, sequence := range finished {
		sequence.end(sequence.complete())
	}
	runner.dropExpired(now)
	runner.step()
	// The first events are sent after the next step is planned, the latest arrival first.
	for _, sequence := range slices.Backward(started) {
		sequence.firstEvent(sequence.cached)
	}
}

// advancePrompts records the prefilled tokens of each sequence, and returns the sequences that have thereby produced
// their first token, in order of arrival.
func advancePrompts(now time.Time, chunks map[*sequence]int) (started []*sequence) {
	prefilled := slices.SortedFunc(maps.Keys(chunks),
		func(left, right *sequence) int { return left.arrival - right.arrival })
	for _, sequence := range prefilled {
		if sequence.addPrefilled(now, chunks[sequence]) {
			started = append(started, sequence)
		}
	}
	return started
}

// removeFinished removes and returns the running sequences that are complete or past their deadline.
func (runner *batchRunner) removeFinished(now time.Time) (finished []*sequence) {
	remaining := runner.running[:0]
	for _, sequence := range runner.running {
		if sequence.ended {
			continue
		}
		if sequence.complete() || sequence.expired(now) {
			finished = append(finished, sequence)
			continue
		}
		remaining = append(remaining, sequence)
	}
	runner.running = remaining
	return finished
}

// evictOverMemory moves the running sequence of the lowest priority back to the queue until the others fit in memory.
func (runner *batchRunner) evictOverMemory() {
	for runner.usedTokens() > runner.profile.MemoryTokens && len(runner.running) > 1 {
		last := 0
		for index, sequence := range runner.running {
			if !sequence.before(runner.running[last]) {
				last = index
			}
		}
		evicted := runner.running[last]
		runner.running = slices.Delete(runner.running, last, last+1)
		evicted.evict()
		runner.queue = append(runner.queue, evicted)
	}
}

// dropExpired ends the queued sequences that are past their deadline.
func (runner *batchRunner) dropExpired(now time.Time) {
	remaining := runner.queue[:0]
	for _, sequence := range runner.queue {
		if sequence.expired(now) {
			sequence.end(false)
			continue
		}
		remaining = append(remaining, sequence)
	}
	runner.queue = remaining
}

// crash ends all running and queued sequences, incomplete.
func (runner *batchRunner) crash() {
	runner.crashed = true
	lost := slices.Concat(runner.running, runner.queue)
	runner.running, runner.queue = nil, nil
	for _, sequence := range lost {
		sequence.end(false)
	}
}
