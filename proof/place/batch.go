package place

import (
	"sort"
	"time"

	"wardtray/process/kvblock"
	"wardtray/process/pressure"
	"wardtray/proof/sim"
	"wardtray/proof/standin"
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
	finished      func(whole bool)
	first         func()
	lastEvent     time.Time
	worstPause    time.Duration
	gone          bool
}

// batch is an engine that runs requests side by side in steps.
type batch struct {
	id, zone string
	figures  Figures
	slow     float64
	world    *sim.World
	cache    *standin.Cache[kvblock.BlockKey]
	running  []*sequence
	waiting  []*sequence
	arrivals int
	stepping bool
	dark     bool
	reports  []pressure.Report
	busy     time.Duration
	most     int
}

func (batch *batch) report() pressure.Report {
	report := pressure.Report{Slots: batch.figures.Slots, Waiting: len(batch.waiting), Tokens: batch.used(), Room: batch.figures.MemoryTokens}
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

// take lets a request wait; it tells whether there was room for it.
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

// step plans one step and does it.
func (batch *batch) step() {
	figures := batch.figures
	budget := figures.Chunk
	length := figures.Step
	scale := func(part time.Duration, count float64) time.Duration { return time.Duration(float64(part) * count) }
	var decoding, reading []*sequence
	for _, running := range batch.running {
		if running.began {
			decoding = append(decoding, running)
			budget--
			length += figures.PerSlot + scale(figures.PerContext, float64(running.prompt+running.written)/1000)
		} else {
			reading = append(reading, running)
		}
	}
	sort.SliceStable(batch.waiting, func(left, right int) bool { return before(batch.waiting[left], batch.waiting[right]) })
	if figures.Overtaking {
		sort.SliceStable(reading, func(left, right int) bool { return before(reading[left], reading[right]) })
	}
	parts := map[*sequence]int{}
	read := func(one *sequence) {
		part := min(budget, one.prompt-one.read)
		if part <= 0 {
			return
		}
		parts[one] = part
		budget -= part
		pairs := float64(part)*float64(one.read) + float64(part)*float64(part)/2
		length += scale(figures.PerToken, float64(part)) + scale(figures.PerPairs, pairs/1e6)
	}
	admit := func() bool {
		if len(batch.waiting) == 0 || len(batch.running) >= figures.Slots {
			return false
		}
		next := batch.waiting[0]
		if len(batch.running) > 0 && batch.used()+next.prompt > figures.MemoryTokens {
			return false
		}
		batch.waiting = batch.waiting[1:]
		batch.running = append(batch.running, next)
		if !next.began {
			held := batch.cache.Use(next.job.ticket.Keys, next.job.ticket.PartTokens)
			next.read = min(held, next.prompt-1)
			next.job.held = next.read
		}
		reading = append(reading, next)
		return true
	}
	if figures.Overtaking {
		for len(batch.waiting) > 0 && (len(reading) == 0 || before(batch.waiting[0], reading[0])) && admit() {
			read(reading[len(reading)-1])
			if budget <= 0 {
				break
			}
		}
	}
	for _, one := range reading {
		if budget > 0 && parts[one] == 0 {
			read(one)
		}
	}
	for budget > 0 && admit() {
		read(reading[len(reading)-1])
	}
	if len(decoding) == 0 && len(parts) == 0 {
		batch.stepping = false
		return
	}
	length = time.Duration(float64(length) * batch.slow)
	batch.busy += length
	batch.world.After(length, func() { batch.stepped(decoding, parts) })
}

// stepped gives out what a step made.
func (batch *batch) stepped(decoding []*sequence, parts map[*sequence]int) {
	now := batch.world.Now
	if batch.dark {
		batch.stepping = false
		return
	}
	var reading []*sequence
	for one := range parts {
		reading = append(reading, one)
	}
	sort.Slice(reading, func(left, right int) bool { return reading[left].arrival < reading[right].arrival })
	for _, one := range decoding {
		if one.gone {
			continue
		}
		one.written++
		if one.written%batch.figures.Stride == 0 || one.written >= one.job.answer {
			one.worstPause = max(one.worstPause, now.Sub(one.lastEvent))
			one.lastEvent = now
		}
	}
	for _, one := range reading {
		if one.read += parts[one]; one.read >= one.prompt && !one.gone {
			if !one.began && one.written == 0 {
				one.lastEvent = now
				one.written = 1
				defer one.first()
			}
			one.began = true
		}
	}
	kept := batch.running[:0]
	var ended []*sequence
	for _, one := range batch.running {
		if one.gone {
			continue
		}
		if one.began && one.written >= one.job.answer || now.Sub(one.job.begun) > one.job.lane.Deadline {
			ended = append(ended, one)
			continue
		}
		kept = append(kept, one)
	}
	batch.running = kept
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
	for _, one := range ended {
		one.gone = true
		one.finished(one.began && one.written >= one.job.answer)
	}
	still := batch.waiting[:0]
	for _, one := range batch.waiting {
		if now.Sub(one.job.begun) > one.job.lane.Deadline {
			one.gone = true
			one.finished(false)
			continue
		}
		still = append(still, one)
	}
	batch.waiting = still
	batch.step()
}

// die loses everything that runs or waits.
func (batch *batch) die() {
	batch.dark = true
	lost := append(append([]*sequence{}, batch.running...), batch.waiting...)
	batch.running, batch.waiting = nil, nil
	for _, one := range lost {
		one.gone = true
		one.finished(false)
	}
}
