package scheduler

import (
	"math"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
)

// Speeds are what is learned of a backend's engines, all in seconds.
type Speeds struct {
	// Overhead is the part of a first event's time that every request has; a prompt token takes Token, and
	// Pair for each token before it that it is weighed against.
	Overhead, Token, Pair float64
}

// DefaultSpeeds hold until first events have come in.
var DefaultSpeeds = Speeds{Overhead: 0.008, Token: 0.000018, Pair: 6e-10}

// Prefill is how long an engine reads a prompt of which so much is held.
func (speeds Speeds) Prefill(prompt, held int) float64 {
	read := float64(max(0, prompt-held))
	return speeds.Token*read + speeds.Pair*read*(float64(prompt)-read/2)
}

const (
	// quantile is the part of the first events that may come sooner than reckoned. Queueing, other
	// daemons' prompts and lost parts only ever delay, so that it lies low.
	quantile = 0.3
	// firstPull and leastPull are how far one first event moves the speeds, in the beginning and later.
	firstPull, leastPull = 0.5, 0.03
)

// learn moves the speeds towards one first event. Only the side on which it fell counts, not how far
// away, so that one long queue spoils nothing.
func (speeds *Speeds) learn(prompt, held int, took float64, seen int) {
	read := float64(max(0, prompt-held))
	parts := [3]float64{speeds.Overhead, speeds.Token * read, speeds.Pair * read * (float64(prompt) - read/2)}
	sum := parts[0] + parts[1] + parts[2]
	pull := max(leastPull, firstPull/(1+float64(seen)/8))
	if took < sum {
		pull *= quantile - 1
	} else {
		pull *= quantile
	}
	move := func(value *float64, part, least, most float64) {
		*value = min(most, max(least, *value*(1+pull*part/sum)))
	}
	move(&speeds.Overhead, parts[0], 0.0005, 1)
	move(&speeds.Token, parts[1], 1e-7, 0.01)
	move(&speeds.Pair, parts[2], 1e-12, 1e-6)
}

// sent is one of our prompts at a runner from which no event has come yet.
type sent struct {
	queuedRequest *QueuedRequest
	// due is when its first event was reckoned to come; work is its own reading time.
	due  time.Time
	work float64
}

// track is what a scheduler knows of one runner from its own sends.
type track struct {
	// free is when the prompts that we sent are read through.
	free    time.Time
	pending []sent
	// slow is how many times slower than the backend's the runner's first events seem to come of late.
	slow    float64
	touched time.Time
}

const (
	slower, faster      = 1.12, 0.93
	leastSlow, mostSlow = 0.7, 8
	slowFades           = 4 * time.Second
	// A first event is late beyond so many times what was reckoned, and so many seconds.
	lateTimes, lateSeconds = 1.3, 0.015
	// forgets is within how many seconds a runner's word loses most of what it says of now.
	forgets = 0.5
	// corrects is how far a first event's lateness moves what is reckoned of the prompts behind it.
	corrects = 0.7
)

// slowness fades when nothing is heard, so that a runner is tried again.
func (track *track) slowness(now time.Time) float64 {
	faded := math.Exp(-float64(now.Sub(track.touched)) / float64(slowFades))
	return 1 + (track.slow-1)*faded
}

// forecast reckons when first events will come.
type forecast struct {
	speeds Speeds
	seen   int
	tracks map[string]*track
	traffic
}

func newForecast() *forecast {
	return &forecast{speeds: DefaultSpeeds, tracks: map[string]*track{}, traffic: newTraffic()}
}

func (forecast *forecast) track(runner string) *track {
	found := forecast.tracks[runner]
	if found == nil {
		found = &track{slow: 1}
		forecast.tracks[runner] = found
	}
	return found
}

// forget drops what is known of runners that are no more.
func (forecast *forecast) forget(runners []load.Runner) {
	if len(forecast.tracks) <= 2*len(runners)+8 {
		return
	}
	listed := map[string]bool{}
	for _, runner := range runners {
		listed[runner.ID] = true
	}
	for id, track := range forecast.tracks {
		if !listed[id] && len(track.pending) == 0 {
			delete(forecast.tracks, id)
		}
	}
}

// own is how long the prompts that we sent to a runner still keep it.
func (forecast *forecast) own(now time.Time, runner string) float64 {
	found := forecast.tracks[runner]
	if found == nil || len(found.pending) == 0 {
		return 0
	}
	left := found.free.Sub(now).Seconds()
	// Whatever was reckoned, prompts without an event are still being read.
	return max(left, found.pending[len(found.pending)-1].work/2)
}

// others is how long other daemons' prompts keep a runner, by its last word and by what is usual.
func (forecast *forecast) others(now time.Time, runner load.Runner, usual, each float64) float64 {
	if runner.Reported.IsZero() {
		return usual
	}
	told := float64(runner.OthersWaiting) * each
	old := now.Sub(runner.Reported).Seconds()
	return usual + (told-usual)*math.Exp(-old/forgets)
}

// send notes a prompt that goes out.
func (forecast *forecast) send(now time.Time, queuedRequest *QueuedRequest, runner string, work, wait float64) {
	track := forecast.track(runner)
	begins := now
	if track.free.After(begins) && len(track.pending) > 0 {
		begins = track.free
	}
	track.free = begins.Add(seconds(work))
	track.pending = append(track.pending, sent{queuedRequest: queuedRequest, due: now.Add(seconds(wait)), work: work})
}

// first notes that a prompt's first event has come.
func (forecast *forecast) first(now time.Time, queuedRequest *QueuedRequest, step Decision, took time.Duration) {
	track := forecast.track(step.Runner.ID)
	for place, entry := range track.pending {
		if entry.queuedRequest != queuedRequest {
			continue
		}
		track.pending = append(track.pending[:place], track.pending[place+1:]...)
		late := now.Sub(entry.due)
		track.free = track.free.Add(time.Duration(corrects * float64(late)))
		break
	}
	forecast.speeds.learn(queuedRequest.Requirements.PromptTokens, step.HeldTokens, took.Seconds(), forecast.seen)
	forecast.seen++
	track.slow = track.slowness(now)
	track.touched = now
	expected := step.Predicted.Seconds()
	switch {
	case took.Seconds() > expected*lateTimes+lateSeconds:
		track.slow *= slower
	case took.Seconds() < expected:
		track.slow *= faster
	}
	track.slow = min(mostSlow, max(leastSlow, track.slow))
}

// drop notes that a prompt is gone from a runner, whether it was answered or not.
func (forecast *forecast) drop(queuedRequest *QueuedRequest, runner string) {
	found := forecast.tracks[runner]
	if found == nil {
		return
	}
	for place, entry := range found.pending {
		if entry.queuedRequest == queuedRequest {
			found.pending = append(found.pending[:place], found.pending[place+1:]...)
			found.free = found.free.Add(-seconds(entry.work))
			return
		}
	}
}

// home is the key under which a prompt's shared parts are looked for; the last part is the request's own.
func home(keys []kvblock.BlockKey) kvblock.BlockKey {
	if len(keys) == 0 {
		return 0
	}
	return keys[max(0, len(keys)-2)]
}
