package scheduler

import (
	"context"
	"math/rand"
	"sort"
	"sync"
	"time"

	"wardtray/apierror"
	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/config"
	"wardtray/features"
)

// QueueLength bounds the prompts that wait at one daemon for one backend.
const QueueLength = 512

// QueuedRequest is a request's place at the scheduler. Its owner reads Steps once; a ticket that was passed
// holds a place on the runner and in the route until Release.
type QueuedRequest struct {
	Requirements     Requirements
	Route            string
	ConcurrencyLimit float64
	Keys             []kvblock.BlockKey
	// PartTokens are the tokens of the parts that Keys stand for.
	PartTokens []int
	Decisions  chan Decision

	entered time.Time
	done    bool
	waited  bool
	// counted says that the picture of the traffic has it, answered that its first event has come.
	counted, answered bool
	sentAt            time.Time
}

// Snapshot is what a scheduler decides about: the runners that the newest spec allows the backend, how many daemons
// share them, and what operators tell of the backend.
type Snapshot struct {
	Runners []load.Runner
	Daemons int
	Pool    config.Pool
}

// Await waits for a ticket's step, or for the end of a context; it tells whether there is a step.
func Await(ctx context.Context, steps <-chan Decision) (step Decision, decided bool) {
	select {
	case step = <-steps:
		return step, true
	case <-ctx.Done():
		return Decision{}, false
	}
}

// SnapshotFunc gives the field as it is now.
type SnapshotFunc func(now time.Time) Snapshot

// Scheduler awards the prompts of one backend at one daemon.
type Scheduler struct {
	mutex       sync.Mutex
	snapshot    SnapshotFunc
	table       *load.Table
	indexer     *kvblock.Indexer
	random      *rand.Rand
	costWeights CostWeights
	// Picker takes one of the priced offers; measurements put others in the place of Sample.
	Picker Picker
	queue  []*QueuedRequest
	// window bounds the work that this daemon has under way in the backend; see PutBack.
	window   float64
	inFlight int
	narrowed time.Time
	// slots is this daemon's share of the backend's as last seen.
	slots  float64
	routes map[string]int
	// forecast is what is learned of the runners' speeds and of the traffic.
	forecast *forecast
	// quarters of the runners are kept for long prompts.
	quarters int
	// latencyTargets are the routes' own, which tell what counts as a long prompt.
	latencyTargets map[string]time.Duration
	// doubts multiply the predicted wait of each route's newcomers; see learnWait.
	doubts map[string]float64
	// pace is what is learned of how fast answers come.
	pace pace
	// Without names the mechanisms that are switched off.
	Without  features.Set
	Counters Counters
}

// Counters are what a scheduler counts.
type Counters struct {
	Dispatched   uint64 `json:"Passed"`
	Queued       uint64 `json:"Waited"`
	Rejected     uint64 `json:"Refused"`
	HeldTokens   uint64 `json:"HeldTokens"`
	PromptTokens uint64 `json:"PromptTokens"`
}

// NewScheduler makes the scheduler of a backend.
func NewScheduler(snapshot SnapshotFunc, table *load.Table, indexer *kvblock.Indexer, random *rand.Rand) *Scheduler {
	return &Scheduler{snapshot: snapshot, table: table, indexer: indexer, random: random, costWeights: DefaultCostWeights, Picker: Sample, window: mostWindow, routes: map[string]int{}, doubts: map[string]float64{},
		forecast: newForecast(), quarters: 1, latencyTargets: map[string]time.Duration{}}
}

// Schedule decides about a ticket, which waits if that is the decision.
func (scheduler *Scheduler) Schedule(now time.Time, queuedRequest *QueuedRequest) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if queuedRequest.entered.IsZero() {
		queuedRequest.entered = now
	}
	queuedRequest.done = false
	scheduler.queue = append(scheduler.queue, queuedRequest)
	scheduler.settle(now)
	if len(scheduler.queue) > QueueLength {
		// The longest list gives up its least bid, which learns of it at once, whoever came last.
		least := scheduler.queue[len(scheduler.queue)-1]
		scheduler.queue = scheduler.queue[:len(scheduler.queue)-1]
		scheduler.end(least, Decision{Kind: Reject, Fault: apierror.QueueFull, RetryAfter: max(leastComeback, seconds(float64(len(scheduler.queue))*scheduler.costWeights.PlaceSeconds/max(1, scheduler.slots))), Reason: "too many better bids wait"})
	}
	if !queuedRequest.done {
		scheduler.Counters.Queued++
	}
}

// Rebalance looks at everybody who waits; it is called when something changed and now and then.
func (scheduler *Scheduler) Rebalance(now time.Time) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.settle(now)
}

// Waiting tells whether anybody waits; only then is there anything to settle.
func (scheduler *Scheduler) Waiting() bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return len(scheduler.queue) > 0
}

// Cancel takes a ticket off the queue; it tells whether the ticket was still there.
func (scheduler *Scheduler) Cancel(queuedRequest *QueuedRequest) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	for place, waiting := range scheduler.queue {
		if waiting == queuedRequest {
			scheduler.queue = append(scheduler.queue[:place], scheduler.queue[place+1:]...)
			return true
		}
	}
	return false
}

// Release gives back the places of a ticket that was passed.
func (scheduler *Scheduler) Release(now time.Time, queuedRequest *QueuedRequest, runner string) {
	scheduler.table.Finish(runner, queuedRequest.answered)
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.forecast.drop(queuedRequest, runner)
	scheduler.inFlight--
	scheduler.window = min(mostWindow, scheduler.window+1/scheduler.window)
	scheduler.routes[queuedRequest.Route]--
	if scheduler.routes[queuedRequest.Route] <= 0 {
		delete(scheduler.routes, queuedRequest.Route)
	}
	scheduler.settle(now)
}

// reuseTokens is how much must be thought held for a first event to say anything of it.
const reuseTokens = 500

// First takes in how long the first event of a run took after it was sent.
func (scheduler *Scheduler) First(queuedRequest *QueuedRequest, step Decision, took time.Duration) {
	scheduler.answered(queuedRequest, step, took)
	// Only on a runner that was not busy does the time of the first event speak of its cache.
	if step.HeldTokens >= reuseTokens && step.Runner.Load < float64(step.Runner.Slots)/2 {
		middle := (float64(queuedRequest.Requirements.PromptTokens) - float64(step.HeldTokens)/2) * scheduler.CostWeights().TokenSeconds
		scheduler.indexer.Pool.Add(kvblock.ReuseObserved{Runner: step.Runner.ID, Keys: queuedRequest.Keys, Hit: took.Seconds() <= middle})
	}
}

func (scheduler *Scheduler) answered(queuedRequest *QueuedRequest, step Decision, took time.Duration) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if queuedRequest.answered {
		return
	}
	queuedRequest.answered = true
	scheduler.table.Answered(step.Runner.ID)
	scheduler.forecast.first(queuedRequest.sentAt.Add(took), queuedRequest, step, took)
	scheduler.costWeights.TokenSeconds = scheduler.forecast.speeds.Token
}

// Sent takes in that a ticket's request went out to its runner.
func (scheduler *Scheduler) Sent(now time.Time, queuedRequest *QueuedRequest, step Decision) {
	scheduler.indexer.Pool.Add(kvblock.BlockStored{Runner: step.Runner.ID, Now: now, Keys: queuedRequest.Keys, Tokens: queuedRequest.PartTokens})
}

// PutBack takes in that the runner did not start; what it put back it does not keep, and it is left alone for a moment.
func (scheduler *Scheduler) PutBack(now time.Time, queuedRequest *QueuedRequest, step Decision) {
	scheduler.indexer.Pool.Add(kvblock.BlockRemoved{Runner: step.Runner.ID, Keys: queuedRequest.Keys})
	scheduler.table.Failed(now, step.Runner.ID, "puts requests back")
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	// Reports are too old to keep many daemons from filling a runner at once. What they put back is
	// the one sign that is fresh, so it narrows what this daemon has under way, and each run that ends widens it.
	if now.Sub(scheduler.narrowed) >= narrowEvery && !scheduler.Without[features.Window] {
		scheduler.narrowed = now
		scheduler.window = max(leastWindow, min(scheduler.window, float64(scheduler.inFlight))*narrowBy)
	}
}

const (
	leastWindow = 2
	mostWindow  = 4096
	narrowBy    = 0.8
	narrowEvery = 300 * time.Millisecond
)

// Learn takes in how a run went: the prefill of so many tokens not held, and how long the place was held.
func (scheduler *Scheduler) Learn(uncached int, first, whole time.Duration) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	const weight = 0.05
	if uncached > 0 && first > 0 {
		scheduler.forecast.speeds.learn(uncached, 0, first.Seconds(), scheduler.forecast.seen)
		scheduler.forecast.seen++
		scheduler.costWeights.TokenSeconds = scheduler.forecast.speeds.Token
	}
	if whole > 0 {
		scheduler.costWeights.PlaceSeconds += weight * (min(max(whole.Seconds(), 0.01), 120) - scheduler.costWeights.PlaceSeconds)
	}
}

// CostWeights gives what has been learned.
func (scheduler *Scheduler) CostWeights() CostWeights {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.costWeights
}

// State gives counters, the length of the queue and each route's work under way.
func (scheduler *Scheduler) State() (Counters, int, map[string]int) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	routes := map[string]int{}
	for route, count := range scheduler.routes {
		routes[route] = count
	}
	return scheduler.Counters, len(scheduler.queue), routes
}

// RetryAfter reckons when another try may find a place: when the first runner that this request may use is
// no longer left alone, and the queue's turn has come by the learned time that places are held.
func (scheduler *Scheduler) RetryAfter(now time.Time, _ *QueuedRequest) time.Duration {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	schedulingContext := scheduler.schedulingContext(now)
	soonest := mostComeback
	for _, candidate := range schedulingContext.Candidates {
		if candidate.Reason != load.ReasonLeaving {
			soonest = min(soonest, candidate.Until.Sub(now))
		}
	}
	turn := seconds(float64(len(scheduler.queue)+1) * schedulingContext.Prices.PlaceSeconds / max(1, schedulingContext.Slots))
	return min(mostComeback, max(leastComeback, soonest)+turn)
}

const (
	leastComeback = 100 * time.Millisecond
	mostComeback  = 30 * time.Second
)

// Explain gives the prices that a bid would be quoted now, without taking part.
func (scheduler *Scheduler) Explain(now time.Time, queuedRequest *QueuedRequest) ([]ScoredCandidate, Decision) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	schedulingContext := scheduler.schedulingContext(now)
	queuedRequest.Requirements.WithinLimit = scheduler.inConcurrencyLimit(queuedRequest, schedulingContext)
	schedulingContext.Candidates = scheduler.candidates(now, queuedRequest, &schedulingContext)
	scoredCandidates := Score(queuedRequest.Requirements, schedulingContext.Candidates, schedulingContext.Prices)
	return scoredCandidates, Decide(queuedRequest.Requirements, schedulingContext, scoredCandidates, scheduler.Picker, scheduler.random)
}

func (scheduler *Scheduler) schedulingContext(now time.Time) SchedulingContext {
	field := scheduler.snapshot(now)
	runners, daemons := field.Runners, field.Daemons
	schedulingContext := SchedulingContext{Now: now, Prices: scheduler.effective(scheduler.costWeights)}
	slots, used, places := 0.0, 0.0, 0.0
	for _, runner := range neverEmpty(runners) {
		if limit := field.Pool.ConnectionLimit; limit > 0 {
			// A runner resets what it gets beyond its limit from all daemons together.
			runner.Limit = min(runner.Limit, max(1, limit/max(1, daemons)))
		}
		schedulingContext.Candidates = append(schedulingContext.Candidates, Candidate{Runner: runner})
		if runner.Usable {
			slots += float64(runner.Slots)
			places += float64(Places(runner))
			schedulingContext.Room = schedulingContext.Room || !full(runner)
			used += min(runner.LatestLoad, float64(runner.Slots))
		}
	}
	schedulingContext.Slots, schedulingContext.Places = slots/float64(max(1, daemons)), places/float64(max(1, daemons))
	scheduler.slots = schedulingContext.Slots
	if slots > 0 {
		schedulingContext.Slack = 1 - used/slots
	}
	schedulingContext.Daemons = max(1, daemons)
	schedulingContext.Patient = scheduler.Without[features.EarlyRefusal]
	scheduler.survey(now, &schedulingContext, field)
	return schedulingContext
}

// decide gives the next step of a ticket in a market.
func (scheduler *Scheduler) decide(queuedRequest *QueuedRequest, schedulingContext SchedulingContext) Decision {
	step := Decide(queuedRequest.Requirements, schedulingContext, Score(queuedRequest.Requirements, schedulingContext.Candidates, schedulingContext.Prices), scheduler.Picker, scheduler.random)
	if scheduler.Without[features.Urgency] {
		step.Urgency = Unset
	}
	return step
}

// effective gives the prices but for those of mechanisms that are switched off.
func (scheduler *Scheduler) effective(prices CostWeights) CostWeights {
	if scheduler.Without[features.RereadPrice] {
		prices.Reread = 0
	}
	if scheduler.Without[features.Harm] {
		prices.Harm = 0
	}
	if scheduler.Without[features.ZonePreference] {
		prices.CrossZone, prices.ThousandAcross = 0, 0
	}
	return prices
}

// neverEmpty lets runners be used that are left alone, the soonest to come back first, where they are more
// than a half: it is then more likely that something else is wrong, and a backend must not be emptied.
func neverEmpty(runners []load.Runner) []load.Runner {
	var alone []int
	staying := 0
	for place, runner := range runners {
		if runner.Reason == load.ReasonLeaving {
			continue
		}
		staying++
		if !runner.Usable {
			alone = append(alone, place)
		}
	}
	excess := len(alone) - staying/2
	if staying < leastFleet || excess <= 0 {
		return runners
	}
	sort.Slice(alone, func(left, right int) bool { return runners[alone[left]].Until.Before(runners[alone[right]].Until) })
	used := append([]load.Runner{}, runners...)
	for _, place := range alone[:excess] {
		used[place].Usable = true
	}
	return used
}

func (scheduler *Scheduler) inConcurrencyLimit(queuedRequest *QueuedRequest, schedulingContext SchedulingContext) bool {
	return float64(scheduler.routes[queuedRequest.Route]+1) <= max(1, queuedRequest.ConcurrencyLimit*schedulingContext.Places)
}

// settle decides about everybody who waits, the best bid first.
func (scheduler *Scheduler) settle(now time.Time) {
	if len(scheduler.queue) == 0 {
		return
	}
	schedulingContext := scheduler.schedulingContext(now)
	for _, queuedRequest := range scheduler.queue {
		queuedRequest.Requirements.Waited = now.Sub(queuedRequest.entered)
		queuedRequest.Requirements.WithinLimit = scheduler.inConcurrencyLimit(queuedRequest, schedulingContext)
	}
	sort.SliceStable(scheduler.queue, func(left, right int) bool {
		return scheduler.queue[left].Requirements.standing() > scheduler.queue[right].Requirements.standing()
	})
	kept := scheduler.queue[:0]
	ahead := 0
	listed := append([]*QueuedRequest{}, scheduler.queue...)
	for _, queuedRequest := range listed {
		if queuedRequest.done {
			continue
		}
		// The concurrency limit may have been filled by a better bid of the same route a moment ago.
		queuedRequest.Requirements.WithinLimit = scheduler.inConcurrencyLimit(queuedRequest, schedulingContext)
		// With every runner full nothing can change for who waits but its latency target, and a long queue
		// priced anew at each tick would take a core.
		schedulingContext.Room = schedulingContext.Room && float64(scheduler.inFlight) < scheduler.window
		if queuedRequest.waited && !schedulingContext.Room && queuedRequest.Requirements.Waited < queuedRequest.Requirements.bound() {
			kept = append(kept, queuedRequest)
			ahead++
			continue
		}
		own := schedulingContext
		own.Ahead = ahead
		own.Candidates = scheduler.candidates(now, queuedRequest, &schedulingContext)
		if !queuedRequest.waited {
			own.Doubt = scheduler.doubts[queuedRequest.Route]
		}
		step := scheduler.decide(queuedRequest, own)
		if step.Kind == Enqueue {
			kept = append(kept, queuedRequest)
			queuedRequest.waited = true
			// One that waits only for its concurrency limit, or for runners shut to it alone, holds up nobody behind it.
			if queuedRequest.Requirements.WithinLimit && len(queuedRequest.Requirements.Shut) == 0 {
				ahead++
			}
			continue
		}
		if step.Kind == Dispatch {
			scheduler.pass(now, queuedRequest, step, &schedulingContext)
		}
		scheduler.end(queuedRequest, step)
	}
	scheduler.queue = kept
}

func (scheduler *Scheduler) pass(now time.Time, queuedRequest *QueuedRequest, step Decision, schedulingContext *SchedulingContext) {
	queuedRequest.answered, queuedRequest.sentAt = false, now
	scheduler.note(now, queuedRequest, step)
	scheduler.table.Begin(step.Runner.ID)
	scheduler.routes[queuedRequest.Route]++
	scheduler.inFlight++
	scheduler.Counters.Dispatched++
	scheduler.Counters.HeldTokens += uint64(step.HeldTokens)
	scheduler.Counters.PromptTokens += uint64(queuedRequest.Requirements.PromptTokens)
	for place := range schedulingContext.Candidates {
		if schedulingContext.Candidates[place].ID == step.Runner.ID {
			schedulingContext.Candidates[place].Load++
			schedulingContext.Candidates[place].LatestLoad++
			schedulingContext.Candidates[place].InFlight++
		}
	}
	schedulingContext.Room = false
	for _, candidate := range schedulingContext.Candidates {
		schedulingContext.Room = schedulingContext.Room || candidate.Usable && !full(candidate.Runner)
	}
}

// learnWait makes a route's predictions more careful after each wait that was in vain, and bolder
// after each that was not, so that overload is told at the door.
func (scheduler *Scheduler) learnWait(queuedRequest *QueuedRequest, step Decision) {
	const most, up, down = 32, 1.15, 0.97
	doubt := max(1, scheduler.doubts[queuedRequest.Route])
	if step.Kind == Reject {
		doubt *= up
	} else {
		doubt *= down
	}
	scheduler.doubts[queuedRequest.Route] = min(most, max(1, doubt))
	if doubt <= 1 {
		delete(scheduler.doubts, queuedRequest.Route)
	}
}

func (scheduler *Scheduler) end(queuedRequest *QueuedRequest, step Decision) {
	queuedRequest.done = true
	if queuedRequest.waited {
		scheduler.learnWait(queuedRequest, step)
		queuedRequest.waited = false
	}
	if step.Kind == Reject {
		scheduler.Counters.Rejected++
	}
	queuedRequest.Decisions <- step
}
