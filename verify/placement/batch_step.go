package placement

import (
	"sort"
	"time"
)

// step is one step of a batchRunner: what it does, and how long that takes.
type step struct {
	runner *batchRunner
	// budget is how many tokens the step may still take.
	budget int
	// length is the time that the step takes on a runner that is not slowed down.
	length time.Duration
	// decoding are the sequences that write a token, reading those whose prompt is not read yet.
	decoding, reading []*sequence
	// chunks are how many prompt tokens of each sequence the step reads.
	chunks map[*sequence]int
}

// planStep plans the next step of a runner whose queue is sorted, and admits queued requests to it.
func planStep(runner *batchRunner) *step {
	planned := &step{
		runner: runner,
		budget: runner.figures.Chunk,
		length: runner.figures.Step,
		chunks: map[*sequence]int{},
	}
	planned.decode()
	if runner.figures.Overtaking {
		planned.overtake()
	}
	planned.fill()
	return planned
}

// empty reports whether the step has nothing to do.
func (step *step) empty() bool { return len(step.decoding) == 0 && len(step.chunks) == 0 }

// decode lets every sequence whose prompt is read write a token.
func (step *step) decode() {
	figures := step.runner.figures
	for _, running := range step.runner.running {
		if !running.decoding {
			step.reading = append(step.reading, running)
			continue
		}
		step.decoding = append(step.decoding, running)
		step.budget--
		step.length += figures.PerSlot + scale(figures.PerContext, float64(running.contextTokens())/1000)
	}
}

// overtake admits and reads prompts that are more urgent than those that are half read.
func (step *step) overtake() {
	sort.SliceStable(step.reading,
		func(left, right int) bool { return step.reading[left].before(step.reading[right]) })
	for admitted := true; admitted && step.queueIsNext(); {
		admitted = step.admitAndRead() && step.budget > 0
	}
}

// queueIsNext reports whether there is a queued request that is more urgent than what is half read.
func (step *step) queueIsNext() bool {
	queue := step.runner.queue
	return len(queue) > 0 && (len(step.reading) == 0 || queue[0].before(step.reading[0]))
}

// fill spends the rest of the budget: on prompts that are half read, then on those in the queue.
func (step *step) fill() {
	for _, sequence := range step.reading {
		if step.budget > 0 && step.chunks[sequence] == 0 {
			step.read(sequence)
		}
	}
	for admitted := true; admitted && step.budget > 0; {
		admitted = step.admitAndRead()
	}
}

// read lets the step read as much of a prompt as the budget allows.
func (step *step) read(sequence *sequence) {
	chunk := min(step.budget, sequence.prompt-sequence.read)
	if chunk <= 0 {
		return
	}
	step.chunks[sequence] = chunk
	step.budget -= chunk
	figures := step.runner.figures
	pairs := float64(chunk)*float64(sequence.read) + float64(chunk)*float64(chunk)/2
	step.length += scale(figures.PerToken, float64(chunk)) + scale(figures.PerPairs, pairs/1e6)
}

// admitAndRead admits the first queued request and reads of its prompt; it reports whether one was admitted.
func (step *step) admitAndRead() bool {
	admitted := step.runner.admit()
	if admitted == nil {
		return false
	}
	step.reading = append(step.reading, admitted)
	step.read(admitted)
	return true
}

// admit gives the first queued request a slot; it returns nil where none is queued or there is no slot or memory.
func (runner *batchRunner) admit() *sequence {
	if len(runner.queue) == 0 || len(runner.running) >= runner.figures.Slots {
		return nil
	}
	next := runner.queue[0]
	if len(runner.running) > 0 && runner.usedTokens()+next.prompt > runner.figures.MemoryTokens {
		return nil
	}
	runner.queue = runner.queue[1:]
	runner.running = append(runner.running, next)
	next.cached = min(runner.cache.Use(next.keys, next.partTokens), next.prompt-1)
	next.read = next.cached
	return next
}

// scale multiplies a time.
func scale(length time.Duration, factor float64) time.Duration {
	return time.Duration(float64(length) * factor)
}
