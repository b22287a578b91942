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

// sequence is one request at a batch.
type sequence struct {
	job           *order
	urgency       int
	arrival       int
	read, written int
	prompt        int
	began         bool
	finished      func(complete bool)
	first         func()
	lastEvent     time.Time
	worstPause    time.Duration
	abandoned     bool
}

// batch is an engine that runs requests side by side in steps.
type batch struct {
	id, zone     string
	figures      Figures
	slow         float64
	world        *simulation.World
	cache        *emulator.Cache[kvblock.BlockKey]
	running      []*sequence
	waiting      []*sequence
	arrivals     int
	stepping     bool
	unresponsive bool
	reports      reportHistory
	busy         time.Duration
	most         int
}

func (batch *batch) report() load.Report {
	report := load.Report{
		Slots:        batch.figures.Slots,
		Waiting:      len(batch.waiting),
		UsedTokens:   batch.used(),
		MemoryTokens: batch.figures.MemoryTokens,
	}
	for _, running := range batch.running {
		if running.began {
			report.Running++
		} else {
			report.Waiting++
		}
	}
	return report
}

func (batch *batch) used() (tokens int) {
	for _, running := range batch.running {
		tokens += running.prompt + running.written
	}
	return tokens
}

// take lets a request wait; it reports whether there was room for it.
func (batch *batch) take(made *sequence) bool {
	if len(batch.running)+len(batch.waiting) >= batch.figures.Slots+batch.figures.Queue {
		return false
	}
	batch.arrivals++
	made.arrival = batch.arrivals
	batch.waiting = append(batch.waiting, made)
	batch.most = max(batch.most, len(batch.running)+len(batch.waiting))
	batch.wake()
	return true
}

func (batch *batch) wake() {
	if batch.stepping {
		return
	}
	batch.stepping = true
	batch.step()
}

func before(left, right *sequence) bool {
	if left.urgency != right.urgency {
		return left.urgency < right.urgency
	}
	return left.arrival < right.arrival
}

// plan is one step in the making.
type plan struct {
	batch *batch
	// budget is how many tokens the step may still take.
	budget int
	length time.Duration
	// decoding are the sequences that write a token, reading those whose prompt is not read yet.
	decoding, reading []*sequence
	// parts are how many prompt tokens of each sequence the step reads.
	parts map[*sequence]int
}

// step plans one step and does it.
func (batch *batch) step() {
	plan := batch.newPlan()
	sort.SliceStable(batch.waiting,
		func(left, right int) bool { return before(batch.waiting[left], batch.waiting[right]) })
	if batch.figures.Overtaking {
		sort.SliceStable(plan.reading,
			func(left, right int) bool { return before(plan.reading[left], plan.reading[right]) })
		plan.overtake()
	}
	plan.fill()
	if len(plan.decoding) == 0 && len(plan.parts) == 0 {
		batch.stepping = false
		return
	}
	length := time.Duration(float64(plan.length) * batch.slow)
	batch.busy += length
	batch.world.After(length, func() { batch.stepped(plan.decoding, plan.parts) })
}

// newPlan makes a plan in which every sequence that has been read writes a token.
func (batch *batch) newPlan() *plan {
	plan := &plan{batch: batch, budget: batch.figures.Chunk, length: batch.figures.Step, parts: map[*sequence]int{}}
	for _, running := range batch.running {
		if !running.began {
			plan.reading = append(plan.reading, running)
			continue
		}
		plan.decoding = append(plan.decoding, running)
		plan.budget--
		plan.length += batch.figures.PerSlot + scale(batch.figures.PerContext,
			float64(running.prompt+running.written)/1000)
	}
	return plan
}

// overtake admits and reads prompts that are more urgent than those that are half read.
func (plan *plan) overtake() {
	batch := plan.batch
	isNext := func() bool { return len(plan.reading) == 0 || before(batch.waiting[0], plan.reading[0]) }
	for len(batch.waiting) > 0 && isNext() && plan.admit() {
		plan.read(plan.reading[len(plan.reading)-1])
		if plan.budget <= 0 {
			break
		}
	}
}

// fill spends the rest of the budget: on prompts that are half read, then on those that wait.
func (plan *plan) fill() {
	for _, one := range plan.reading {
		if plan.budget > 0 && plan.parts[one] == 0 {
			plan.read(one)
		}
	}
	for plan.budget > 0 && plan.admit() {
		plan.read(plan.reading[len(plan.reading)-1])
	}
}

// read lets the step read as much of a prompt as the budget allows.
func (plan *plan) read(one *sequence) {
	part := min(plan.budget, one.prompt-one.read)
	if part <= 0 {
		return
	}
	plan.parts[one] = part
	plan.budget -= part
	pairs := float64(part)*float64(one.read) + float64(part)*float64(part)/2
	plan.length += scale(plan.batch.figures.PerToken, float64(part)) + scale(plan.batch.figures.PerPairs, pairs/1e6)
}

// admit moves the first waiting request to those being read; it reports whether one waited and had room.
func (plan *plan) admit() bool {
	batch := plan.batch
	if len(batch.waiting) == 0 || len(batch.running) >= batch.figures.Slots {
		return false
	}
	next := batch.waiting[0]
	if len(batch.running) > 0 && batch.used()+next.prompt > batch.figures.MemoryTokens {
		return false
	}
	batch.waiting = batch.waiting[1:]
	batch.running = append(batch.running, next)
	if !next.began {
		held := batch.cache.Use(next.job.queuedRequest.Keys, next.job.queuedRequest.PartTokens)
		next.read = min(held, next.prompt-1)
		next.job.held = next.read
	}
	plan.reading = append(plan.reading, next)
	return true
}

func scale(part time.Duration, count float64) time.Duration {
	return time.Duration(float64(part) * count)
}

// stepped returns out what a step made.
func (batch *batch) stepped(decoding []*sequence, parts map[*sequence]int) {
	now := batch.world.Now
	if batch.unresponsive {
		batch.stepping = false
		return
	}
	batch.write(now, decoding)
	started := batch.advance(now, parts)
	finished := batch.removeFinished(now)
	batch.evict()
	for _, one := range finished {
		one.abandoned = true
		one.finished(one.began && one.written >= one.job.answer)
	}
	batch.dropExpired(now)
	batch.step()
	// The first events are given out once the next step is planned, the latest arrival first.
	for place := len(started) - 1; place >= 0; place-- {
		started[place].first()
	}
}

// write adds a token to every sequence that decodes; an event goes out with each Stride of them, and with the last.
func (batch *batch) write(now time.Time, decoding []*sequence) {
	for _, one := range decoding {
		if one.abandoned {
			continue
		}
		one.written++
		if one.written%batch.figures.Stride == 0 || one.written >= one.job.answer {
			one.worstPause = max(one.worstPause, now.Sub(one.lastEvent))
			one.lastEvent = now
		}
	}
}

// advance counts what was read of each prompt; it returns the sequences that have now written their first token, by
// arrival.
func (batch *batch) advance(now time.Time, parts map[*sequence]int) (started []*sequence) {
	reading := slices.SortedFunc(maps.Keys(parts),
		func(left, right *sequence) int { return left.arrival - right.arrival })
	for _, one := range reading {
		if one.read += parts[one]; one.read < one.prompt || one.abandoned {
			continue
		}
		if !one.began && one.written == 0 {
			one.lastEvent = now
			one.written = 1
			started = append(started, one)
		}
		one.began = true
	}
	return started
}

// removeFinished takes those out of the running that are whole or past their deadline, and returns them.
func (batch *batch) removeFinished(now time.Time) (finished []*sequence) {
	remaining := batch.running[:0]
	for _, one := range batch.running {
		if one.abandoned {
			continue
		}
		if one.began && one.written >= one.job.answer || one.expired(now) {
			finished = append(finished, one)
			continue
		}
		remaining = append(remaining, one)
	}
	batch.running = remaining
	return finished
}

// evict sends the least urgent back to the waiting until the rest fits in memory.
func (batch *batch) evict() {
	for batch.used() > batch.figures.MemoryTokens && len(batch.running) > 1 {
		least := 0
		for place, one := range batch.running {
			if !before(one, batch.running[least]) {
				least = place
			}
		}
		back := batch.running[least]
		batch.running = append(batch.running[:least], batch.running[least+1:]...)
		// What was written is read anew with the prompt.
		back.prompt, back.read, back.began = back.prompt+back.written, 0, false
		batch.waiting = append(batch.waiting, back)
	}
}

// dropExpired ends those that waited past their deadline.
func (batch *batch) dropExpired(now time.Time) {
	still := batch.waiting[:0]
	for _, one := range batch.waiting {
		if one.expired(now) {
			one.abandoned = true
			one.finished(false)
			continue
		}
		still = append(still, one)
	}
	batch.waiting = still
}

func (one *sequence) expired(now time.Time) bool {
	return now.Sub(one.job.started) > one.job.route.Deadline
}

// crash loses everything that runs or waits.
func (batch *batch) crash() {
	batch.unresponsive = true
	lost := append(append([]*sequence{}, batch.running...), batch.waiting...)
	batch.running, batch.waiting = nil, nil
	for _, one := range lost {
		one.abandoned = true
		one.finished(false)
	}
}
