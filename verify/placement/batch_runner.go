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

// Figures are those of a batching engine.
type Figures struct {
	// Slots is how many requests run at once, Queue how many more may wait.
	Slots, Queue int
	// A step takes Step, PerSlot for each request in it and PerContext for each thousand tokens that these
	// have before them; each prompt token takes PerToken, each million pairs of tokens PerPairs.
	Step, PerSlot, PerContext, PerToken, PerPairs time.Duration
	// Stride is how many tokens an event holds, Chunk how many prompt tokens a step reads.
	Stride, Chunk int
	// MemoryTokens is what running requests and kept parts share.
	MemoryTokens int
	// ReportLag is how old a report is when it is given.
	ReportLag time.Duration
	// Overtaking lets a more urgent prompt be read before others that are half read.
	Overtaking bool
}

// batchRunner is the model of a runner that batches: it runs requests side by side in steps. Each step writes a token
// of every request whose prompt is read, and reads a chunk of the prompts of others.
type batchRunner struct {
	id, zone string
	figures  Figures
	// slowdown multiplies the time of each step.
	slowdown       float64
	world          *simulation.World
	cache          *emulator.Cache[kvblock.BlockKey]
	running, queue []*sequence
	// accepted is how many requests were accepted so far.
	accepted int
	// stepping means that a step is under way.
	stepping bool
	// crashed runners neither accept requests nor end steps.
	crashed bool
	reports reportHistory
}

// report is the load that the runner has now; a request counts as waiting until its prompt is read.
func (runner *batchRunner) report() load.Report {
	report := load.Report{
		Slots:        runner.figures.Slots,
		Waiting:      len(runner.queue),
		UsedTokens:   runner.usedTokens(),
		MemoryTokens: runner.figures.MemoryTokens,
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

// usedTokens are the tokens of memory that running requests take.
func (runner *batchRunner) usedTokens() (tokens int) {
	for _, running := range runner.running {
		tokens += running.contextTokens()
	}
	return tokens
}

// accept queues a request; it reports whether there was capacity for it.
func (runner *batchRunner) accept(request sequenceRequest) bool {
	if len(runner.running)+len(runner.queue) >= runner.figures.Slots+runner.figures.Queue {
		return false
	}
	runner.accepted++
	runner.queue = append(runner.queue, &sequence{sequenceRequest: request, arrival: runner.accepted})
	if !runner.stepping {
		runner.step()
	}
	return true
}

// step plans one step and begins it; without work, the runner rests.
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

// finishStep gives out what a step made, and begins the next.
func (runner *batchRunner) finishStep(done *step) {
	now := runner.world.Now
	if runner.crashed {
		runner.stepping = false
		return
	}
	for _, sequence := range done.decoding {
		if !sequence.ended {
			sequence.writeToken(now, runner.figures.Stride)
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
	// The first events are given out once the next step is planned, the latest arrival first.
	for _, sequence := range slices.Backward(started) {
		sequence.firstEvent(sequence.cached)
	}
}

// advancePrompts counts what was read of each prompt; it returns the sequences that have now written their first token,
// by arrival.
func advancePrompts(now time.Time, chunks map[*sequence]int) (started []*sequence) {
	reading := slices.SortedFunc(maps.Keys(chunks),
		func(left, right *sequence) int { return left.arrival - right.arrival })
	for _, sequence := range reading {
		if sequence.readTokens(now, chunks[sequence]) {
			started = append(started, sequence)
		}
	}
	return started
}

// removeFinished takes those out of the running that are complete or past their deadline, and returns them.
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

// evictOverMemory sends the last to be read back to the queue until the rest fits in memory.
func (runner *batchRunner) evictOverMemory() {
	for runner.usedTokens() > runner.figures.MemoryTokens && len(runner.running) > 1 {
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

// dropExpired ends queued requests that are past their deadline.
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

// crash ends everything that runs or waits, incomplete.
func (runner *batchRunner) crash() {
	runner.crashed = true
	lost := slices.Concat(runner.running, runner.queue)
	runner.running, runner.queue = nil, nil
	for _, sequence := range lost {
		sequence.end(false)
	}
}
