package scheduler

import (
	"math"
	"sort"
	"time"

	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/features"
)

const (
	// longTimes is how many times the least latency target of a backend a prompt's reading takes that counts as long.
	longTimes = 1.0
	// longRoom is how many times the runners that long prompts need are kept for them.
	longRoom = 1.3
	// keepsUntil is how far, in quarters, what is wanted may go from what is kept.
	keepsUntil = 0.65
	// mostQuarters is how many quarters are kept for long prompts at most.
	mostQuarters = 2.0
	// leastFleet is how many runners there must be for some to be kept for long prompts.
	leastFleet = 4
	// spread is how many times its even part of the runners an opening's homes are.
	spread = 2.0
	// indexChance is how likely a runner still holds what it was sent a moment ago, homeChance how likely a home
	// holds its opening, and spillChance the runner next to the homes.
	indexChance, homeChance, spillChance = 0.97, 0.85, 0.3
	// keptPart is the part of a runner's memory that kept parts may take.
	keptPart = 0.8
	// newcomer is how many first events a daemon must have seen to know its traffic.
	newcomer = 2
	// evenly is how much work, spread evenly, is supposed beside our own for each daemon.
	evenly = 0.3
)

// survey adds to a market what is forecast of the traffic.
func (scheduler *Scheduler) survey(now time.Time, schedulingContext *SchedulingContext, field Snapshot) {
	forecast := scheduler.forecast
	// One that is only left alone for a while keeps its side. If another took its place, the openings at home
	// there would move as well.
	var staying []load.Runner
	for _, candidate := range schedulingContext.Candidates {
		if candidate.Reason != load.ReasonLeaving {
			staying = append(staying, candidate.Runner)
		}
	}
	forecast.forget(field.Runners)
	if !scheduler.Without[features.LongRunners] {
		schedulingContext.Long = longRunners(staying, scheduler.keep())
	}
	short := len(staying) - len(schedulingContext.Long)
	wait := func(of *sizes, runners int) (usual, each float64) {
		busy := forecast.busy(now, of, schedulingContext.Daemons, runners)
		each = of.left()
		// The mean wait of a single queue that serves one prompt after the other.
		return busy / (1 - busy) * each, each
	}
	schedulingContext.Usual, schedulingContext.Each = wait(&forecast.short, max(1, short))
	schedulingContext.UsualLong, schedulingContext.EachLong = wait(&forecast.long, max(1, len(schedulingContext.Long)))
	if forecast.requests > 0 {
		fleet := forecast.paceAt(now) * float64(schedulingContext.Daemons)
		schedulingContext.Pace = fleet * forecast.short.count / forecast.requests / float64(max(1, short))
		if read := fleet * forecast.tokens / forecast.requests / float64(max(1, len(staying))); read > 0 && field.Pool.Engine.MemoryTokens > 0 {
			schedulingContext.Kept = seconds(keptPart * float64(field.Pool.Engine.MemoryTokens) / read)
		}
	}
}

// coming is how many requests of other daemons a runner is likely to have that its words don't tell of yet.
//
// Why by our own: all daemons agree on the homes of openings, so that where ours are, theirs are too.
func (schedulingContext *SchedulingContext) coming(inFlight int, runner load.Runner) float64 {
	others := float64(inFlight * (schedulingContext.Daemons - 1))
	// The more daemons, the more one of our own stands for, and the less it tells.
	supposed := evenly * float64(schedulingContext.Daemons)
	part := (float64(runner.InFlight) + supposed/float64(max(1, len(schedulingContext.Candidates)))) / (float64(inFlight) + supposed)
	return max(0, others*part-(runner.Load-float64(runner.InFlight)))
}

// keep settles how many quarters of the runners are kept for long prompts.
//
// Why quarters, and slowly: openings move when runners change sides, and each daemon's picture of the traffic
// is its own. So coarse a measure is the same at nearly all of them.
func (scheduler *Scheduler) keep() int {
	wanted := 4 * longRoom * scheduler.forecast.longPart()
	if math.Abs(wanted-float64(scheduler.quarters)) > keepsUntil {
		scheduler.quarters = int(min(mostQuarters, math.Round(wanted)))
	}
	return scheduler.quarters
}

// longRunners are those to which long prompts go first; all daemons agree on them by the runners' names.
func longRunners(runners []load.Runner, quarters int) map[string]bool {
	long := map[string]bool{}
	if len(runners) < leastFleet {
		return long
	}
	for _, runner := range rank(runners, 0)[:(len(runners)*quarters+2)/4] {
		long[runner] = true
	}
	return long
}

// rank orders runners by a hash of a key and their names, the same at every daemon. A runner that comes or
// goes changes the order of no others.
func rank(runners []load.Runner, key uint64) []string {
	type weighed struct {
		id     string
		weight uint64
	}
	list := make([]weighed, len(runners))
	for place, runner := range runners {
		list[place] = weighed{runner.ID, weigh(runner.ID, key)}
	}
	sort.Slice(list, func(left, right int) bool { return list[left].weight > list[right].weight })
	names := make([]string, len(list))
	for place, one := range list {
		names[place] = one.id
	}
	return names
}

// weigh is FNV-1a over a name, mixed with a key.
func weigh(name string, key uint64) uint64 {
	hash := uint64(14695981039346656037)
	for place := range len(name) {
		hash = (hash ^ uint64(name[place])) * 1099511628211
	}
	hash ^= key
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}

// long tells whether a prompt takes so long to read that short ones behind it would lose their latency target.
func (scheduler *Scheduler) long(work float64) bool {
	least := time.Duration(math.MaxInt64)
	for _, latencyTarget := range scheduler.latencyTargets {
		least = min(least, latencyTarget)
	}
	return work > longTimes*least.Seconds()
}

// candidates fills in what each runner means for one prompt.
func (scheduler *Scheduler) candidates(now time.Time, queuedRequest *QueuedRequest, schedulingContext *SchedulingContext) []Candidate {
	if queuedRequest.Requirements.LatencyTarget > 0 {
		scheduler.latencyTargets[queuedRequest.Route] = queuedRequest.Requirements.LatencyTarget
	}
	shared := queuedRequest.sharedTokens()
	long := scheduler.long(scheduler.forecast.speeds.Prefill(queuedRequest.Requirements.PromptTokens, shared))
	priced := make([]Candidate, len(schedulingContext.Candidates))
	copy(priced, schedulingContext.Candidates)
	var group []load.Runner
	set := make(map[string]bool, len(priced))
	for _, candidate := range priced {
		set[candidate.ID] = true
		if candidate.Usable && schedulingContext.Long[candidate.ID] == (long && len(schedulingContext.Long) > 0) {
			group = append(group, candidate.Runner)
		}
	}
	held := map[string]kvblock.CachedPrefix{}
	if !scheduler.Without[features.PrefixIndex] {
		held = scheduler.indexer.CachedPrefixes(queuedRequest.Keys, set)
	}
	chances := map[string]float64{}
	if !scheduler.Without[features.Homes] {
		chances = scheduler.homeChances(queuedRequest, schedulingContext, group, shared)
	}
	for place := range priced {
		candidate := &priced[place]
		candidate.SharedTokens = shared
		if hold, found := held[candidate.ID]; found {
			candidate.expect(now, hold, queuedRequest.PartTokens, schedulingContext.Kept)
		}
		if chance := chances[candidate.ID]; chance*float64(shared) > candidate.Chance*float64(candidate.HeldTokens) {
			candidate.HeldTokens, candidate.Chance = shared, chance
		}
		scheduler.predict(now, candidate, queuedRequest.Requirements.PromptTokens, schedulingContext)
	}
	return priced
}

// sharedTokens counts the tokens of all parts of a prompt but the last, which is its own.
func (queuedRequest *QueuedRequest) sharedTokens() int {
	shared := 0
	for _, tokens := range queuedRequest.PartTokens[:max(0, len(queuedRequest.PartTokens)-1)] {
		shared += tokens
	}
	return shared
}

// homeChances gives for some runners of a group how likely they hold a prompt's opening because it goes there, whoever
// sends it.
func (scheduler *Scheduler) homeChances(queuedRequest *QueuedRequest, schedulingContext *SchedulingContext, group []load.Runner, shared int) map[string]float64 {
	chances := map[string]float64{}
	if shared == 0 || schedulingContext.Daemons <= 1 {
		return chances
	}
	opening := home(queuedRequest.Keys)
	homes := 1 + int(spread*scheduler.forecast.openingPart(opening)*float64(len(group)))
	if len(group) > 0 {
		// A daemon can't see that others send the same. Even if each sends one at once, homes have places.
		each := schedulingContext.Daemons / Places(group[0])
		if scheduler.forecast.seen < newcomer {
			// Daemons that begin together send the first of several openings at once.
			each = 2 * schedulingContext.Daemons / Places(group[0])
		}
		homes = max(homes, each)
	}
	for place, id := range rank(group, uint64(opening)) {
		if place < homes {
			chances[id] = homeChance
		} else if place == homes {
			chances[id] = spillChance
		}
	}
	return chances
}

// expect fills in what the index says that a runner holds of a prompt; kept is how long runners keep a part.
func (candidate *Candidate) expect(now time.Time, hold kvblock.CachedPrefix, partTokens []int, kept time.Duration) {
	for _, tokens := range partTokens[:min(hold.Blocks, len(partTokens))] {
		candidate.HeldTokens += tokens
	}
	candidate.Chance = indexChance
	if kept > 0 {
		candidate.Chance *= math.Exp(-float64(now.Sub(hold.LastUsed)) / float64(kept))
	}
}

// predict fills in how long a runner would read a prompt and let it wait, and what that does to others.
func (scheduler *Scheduler) predict(now time.Time, candidate *Candidate, promptTokens int, schedulingContext *SchedulingContext) {
	forecast := scheduler.forecast
	slow := forecast.track(candidate.ID).slowness(now)
	if scheduler.Without[features.Slowness] {
		slow = 1
	}
	whole, less := forecast.speeds.Prefill(promptTokens, 0), forecast.speeds.Prefill(promptTokens, candidate.HeldTokens)
	candidate.Prefill = (forecast.speeds.Overhead + whole - candidate.Chance*(whole-less)) * slow
	usual, each, pace := schedulingContext.Usual, schedulingContext.Each, schedulingContext.Pace
	if schedulingContext.Long[candidate.ID] {
		usual, each, pace = schedulingContext.UsualLong, schedulingContext.EachLong, 0
	}
	candidate.Wait = forecast.own(now, candidate.ID)*slow + forecast.others(now, candidate.Runner, usual, each)*slow
	if !scheduler.Without[features.OthersEstimate] {
		candidate.Coming = schedulingContext.coming(scheduler.inFlight, candidate.Runner)
	}
	candidate.Harm = pace * candidate.Prefill * candidate.Prefill / 2
}

// note takes in that a prompt goes out to a runner.
func (scheduler *Scheduler) note(now time.Time, queuedRequest *QueuedRequest, step Decision) {
	shared := queuedRequest.sharedTokens()
	work := scheduler.forecast.speeds.Prefill(queuedRequest.Requirements.PromptTokens, min(step.HeldTokens, queuedRequest.Requirements.PromptTokens))
	if !queuedRequest.counted {
		queuedRequest.counted = true
		usual := scheduler.forecast.speeds.Prefill(queuedRequest.Requirements.PromptTokens, shared)
		scheduler.forecast.count(now, home(queuedRequest.Keys), usual, queuedRequest.Requirements.PromptTokens-shared+queuedRequest.Requirements.AnswerTokens/2, scheduler.long(usual))
	}
	scheduler.forecast.send(now, queuedRequest, step.Runner.ID, work, step.Predicted.Seconds())
}
