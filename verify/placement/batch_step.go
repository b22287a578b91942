package placement

import (
	"sort"
	"time"
)

// step is the plan of one step of a batchRunner.
type step struct {
	runner *batchRunner
	// budget is the number of tokens that the step can process in addition to those planned.
	budget int
	// length is the duration of the step on a runner without a slowdown.
	length time.Duration
	// decoding holds the sequences that produce a token, prefilling those whose prompts are not yet completely prefilled.
	decoding, prefilling []*sequence
	// chunks is the number of prompt tokens that the step prefills, by sequence.
	chunks map[*sequence]int
}

// planStep plans the next step of a runner whose queue is sorted, and admits queued sequences.
func planStep(runner *batchRunner) *step {
	planned := &step{
		runner: runner,
		budget: runner.profile.Chunk,
		length: runner.profile.Step,
		chunks: map[*sequence]int{},
	}
	planned.decode()
	if runner.profile.Overtaking {
		planned.overtake()
	}
	planned.fill()
	return planned
}

// empty reports whether the step has nothing to do.
func (step *step) empty() bool { return len(step.decoding) == 0 && len(step.chunks) == 0 }

// decode plans a token of each sequence whose prompt is prefilled.
func (step *step) decode() {
	profile := step.runner.profile
	for _, running := range step.runner.running {
		if !running.decoding {
			step.prefilling = append(step.prefilling, running)
			continue
		}
		step.decoding = append(step.decoding, running)
		step.budget--
		step.length += profile.PerSlot + scale(profile.PerContext, float64(running.contextTokens())/1000)
	}
}

// overtake admits and prefills the queued sequences that precede those whose prompts are partly prefilled.
func (step *step) overtake() {
	sort.SliceStable(step.prefilling,
		func(left, right int) bool { return step.prefilling[left].before(step.prefilling[right]) })
	for admitted := true; admitted && step.queueIsNext(); {
		admitted = step.admitAndPrefill() && step.budget > 0
	}
}

// queueIsNext reports whether a queued sequence precedes all those whose prompts are partly prefilled.
func (step *step) queueIsNext() bool {
	queue := step.runner.queue
	return len(queue) > 0 && (len(step.prefilling) == 0 || queue[0].before(step.prefilling[0]))
}

// fill uses the rest of the budget for prompts that are partly prefilled, then for queued sequences.
func (step *step) fill() {
	for _, sequence := range step.prefilling {
		if step.budget > 0 && step.chunks[sequence] == 0 {
			step.prefill(sequence)
		}
	}
	for admitted := true; admitted && step.budget > 0; {
		admitted = step.admitAndPrefill()
	}
}

// prefill plans the prefill of as many tokens of a prompt as the budget allows.
func (step *step) prefill(sequence *sequence) {
	chunk := min(step.budget, sequence.prompt-sequence.prefilled)
	if chunk <= 0 {
		return
	}
	step.chunks[sequence] = chunk
	step.budget -= chunk
	profile := step.runner.profile
	pairs := float64(chunk)*float64(sequence.prefilled) + float64(chunk)*float64(chunk)/2
	step.length += scale(profile.PerToken, float64(chunk)) + scale(profile.PerPairs, pairs/1e6)
}

// admitAndPrefill admits the first queued sequence and plans its prefill; it reports whether a sequence was admitted.
func (step *step) admitAndPrefill() bool {
	admitted := step.runner.admit()
	if admitted == nil {
		return false
	}
	step.prefilling = append(step.prefilling, admitted)
	step.prefill(admitted)
	return true
}

// admit moves the first queued sequence to a slot; it returns nil if none is queued or there is no slot or memory.
func (runner *batchRunner) admit() *sequence {
	if len(runner.queue) == 0 || len(runner.running) >= runner.profile.Slots {
		return nil
	}
	next := runner.queue[0]
	if len(runner.running) > 0 && runner.usedTokens()+next.prompt > runner.profile.MemoryTokens {
		return nil
	}
	runner.queue = runner.queue[1:]
	runner.running = append(runner.running, next)
	next.cached = min(runner.cache.Use(next.keys, next.partTokens), next.prompt-1)
	next.prefilled = next.cached
	return next
}

// scale multiplies a duration.
func scale(length time.Duration, factor float64) time.Duration {
	return time.Duration(float64(length) * factor)
}
