// Package scheduler decides which runner takes a request, and when, for one backend at one daemon. A scheduling cycle
// goes through stages, each with a file of its own: the context is taken (context.go), candidates are predicted
// (prediction.go), filtered (filter.go), scored (scorer.go) and picked (picker.go); a request that can't be dispatched
// is queued (queue.go) or rejected (decide.go) under flow control (flowcontrol.go). What is learned from requests is in
// forecast.go and the files of its parts. The package sends nothing and reads no clock: its owner carries decisions out
// and reports what came of them. See docs/placement.md.
package scheduler

import (
	"maps"
	"math/rand"
	"sync"
	"time"

	"wardtray/apierror"
	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/features"
)

// Scheduler schedules the requests for one backend at one daemon. It is safe for concurrent use.
type Scheduler struct {
	mutex    sync.Mutex
	snapshot SnapshotFunc
	table    *load.Table
	indexer  *kvblock.Indexer
	random   *rand.Rand
	// Picker takes one of the scored candidates; measurements replace Sample by others.
	Picker Picker
	// Without names the mechanisms that are switched off.
	Without  features.Set
	Counters Counters

	queue  requestQueue
	window inFlightWindow
	routes routeConcurrency
	// slots is this daemon's share of the backend's slots as last seen.
	slots           float64
	waitCorrections waitCorrections
	costWeights     CostWeights
	// forecast is what is learned of the runners' speeds and of the traffic.
	forecast       *forecast
	longPrompts    longPromptPolicy
	generationPace generationPace
}

// Counters are what a scheduler counts.
type Counters struct {
	Dispatched uint64 `json:"Passed"`
	// Queued counts the requests that were not decided at once.
	Queued   uint64 `json:"Waited"`
	Rejected uint64 `json:"Refused"`
	// CachedTokens counts the tokens of dispatched requests that their runners were taken to have cached.
	CachedTokens uint64 `json:"HeldTokens"`
	// PromptTokens counts all tokens of their prompts.
	PromptTokens uint64 `json:"PromptTokens"`
}

// NewScheduler returns the scheduler of a backend.
func NewScheduler(
	snapshot SnapshotFunc, table *load.Table, indexer *kvblock.Indexer, random *rand.Rand,
) *Scheduler {
	return &Scheduler{
		snapshot:        snapshot,
		table:           table,
		indexer:         indexer,
		random:          random,
		Picker:          Sample,
		window:          inFlightWindow{size: maxWindow},
		routes:          routeConcurrency{},
		waitCorrections: waitCorrections{},
		costWeights:     DefaultCostWeights,
		forecast:        newForecast(),
		longPrompts:     newLongPromptPolicy(),
	}
}

// Schedule decides about a request, which is queued if that is the decision.
func (scheduler *Scheduler) Schedule(now time.Time, request *QueuedRequest) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	if request.enqueued.IsZero() {
		request.enqueued = now
	}
	request.decided = false
	scheduler.queue.add(request)
	scheduler.runCycle(now)
	if scheduler.queue.length() > QueueLength {
		// The request of the lowest priority leaves a full queue, whichever came last.
		lowest := scheduler.queue.removeLast()
		scheduler.conclude(lowest, scheduler.queueFull())
	}
	if !request.decided {
		scheduler.Counters.Queued++
	}
}

// Rebalance decides anew about all queued requests; it is called when something changed and now and then.
func (scheduler *Scheduler) Rebalance(now time.Time) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.runCycle(now)
}

// HasQueued reports whether requests are queued; only then does Rebalance do anything.
func (scheduler *Scheduler) HasQueued() bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.queue.length() > 0
}

// Cancel removes a request from the queue; it reports whether the request was still there.
func (scheduler *Scheduler) Cancel(request *QueuedRequest) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.queue.remove(request)
}

// Release ends the request that was dispatched to a runner.
func (scheduler *Scheduler) Release(now time.Time, request *QueuedRequest, runner string) {
	scheduler.table.RequestEnded(runner, request.answered)
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.forecast.requestEnded(request, runner)
	scheduler.window.release()
	scheduler.routes.release(request.Route)
	scheduler.runCycle(now)
}

// CostWeights returns the cost weights with what has been learned.
func (scheduler *Scheduler) CostWeights() CostWeights {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.costWeights
}

// State returns the counters, the length of the queue and each route's requests in flight.
func (scheduler *Scheduler) State() (counters Counters, queued int, inFlight map[string]int) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.Counters, scheduler.queue.length(), maps.Clone(scheduler.routes)
}

// Explain returns the scores that a request would have now, and the decision about it, without scheduling it.
func (scheduler *Scheduler) Explain(now time.Time, request *QueuedRequest) ([]ScoredCandidate, Decision) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	cycle := scheduler.schedulingContext(now)
	request.Requirements.WithinLimit = scheduler.routes.withinLimit(request, cycle.Capacity)
	cycle.Candidates = scheduler.predictCandidates(now, request, &cycle, scheduler.indexer.PeekCachedPrefixes)
	scored := Score(request.Requirements, cycle.Candidates, cycle.CostWeights)
	return scored, Decide(request.Requirements, cycle, scored, scheduler.Picker, scheduler.random)
}

// runCycle decides about all queued requests, that of the highest priority first.
func (scheduler *Scheduler) runCycle(now time.Time) {
	if scheduler.queue.length() == 0 {
		return
	}
	cycle := scheduler.schedulingContext(now)
	scheduler.queue.sort(now, func(request *QueuedRequest) bool {
		return scheduler.routes.withinLimit(request, cycle.Capacity)
	})
	scheduler.queue.retain(func(request *QueuedRequest) bool {
		return scheduler.keepsWaiting(now, request, &cycle)
	})
}

// keepsWaiting decides about one queued request; it reports whether the request stays in the queue, and concludes it
// otherwise.
func (scheduler *Scheduler) keepsWaiting(now time.Time, request *QueuedRequest, cycle *SchedulingContext) bool {
	if request.decided {
		return false
	}
	requirements := &request.Requirements
	// The concurrency limit may have been reached by a request of the same route in this cycle.
	requirements.WithinLimit = scheduler.routes.withinLimit(request, cycle.Capacity)
	// With every runner saturated nothing can change for a request that waits but its latency target, and scoring a long
	// queue anew in each cycle would take a core.
	cycle.HasCapacity = cycle.HasCapacity && scheduler.window.open()
	if request.waited && !cycle.HasCapacity && requirements.Waited < requirements.maxWait() {
		cycle.Ahead++
		return true
	}
	decision := scheduler.decide(now, request, cycle)
	if decision.Kind == Enqueue {
		request.waited = true
		// A request that waits only for its route's concurrency limit, or for runners shut to it alone, holds up none
		// behind it.
		if requirements.WithinLimit && len(requirements.ExcludedRunners) == 0 {
			cycle.Ahead++
		}
		return true
	}
	if decision.Kind == Dispatch {
		scheduler.dispatch(now, request, decision, cycle)
	}
	scheduler.conclude(request, decision)
	return false
}

// decide scores the candidates for a request and returns the decision.
func (scheduler *Scheduler) decide(now time.Time, request *QueuedRequest, cycle *SchedulingContext) Decision {
	own := *cycle
	scheduler.longPrompts.recordTarget(request.Route, request.Requirements.LatencyTarget)
	own.Candidates = scheduler.predictCandidates(now, request, cycle, scheduler.indexer.CachedPrefixes)
	if !request.waited {
		own.WaitCorrection = scheduler.waitCorrections[request.Route]
	}
	scored := Score(request.Requirements, own.Candidates, own.CostWeights)
	decision := Decide(request.Requirements, own, scored, scheduler.Picker, scheduler.random)
	if scheduler.Without[features.Urgency] {
		decision.Urgency = DefaultUrgency
	}
	return decision
}

// dispatch counts a request as sent to its runner.
func (scheduler *Scheduler) dispatch(
	now time.Time, request *QueuedRequest, decision Decision, cycle *SchedulingContext,
) {
	request.answered, request.dispatched = false, now
	scheduler.forecastDispatch(now, request, decision)
	scheduler.table.RequestStarted(decision.Runner.ID)
	scheduler.routes.acquire(request.Route)
	scheduler.window.acquire()
	scheduler.Counters.Dispatched++
	scheduler.Counters.CachedTokens += uint64(decision.CachedTokens)
	scheduler.Counters.PromptTokens += uint64(request.Requirements.PromptTokens)
	cycle.countDispatched(decision.Runner.ID)
}

// conclude sends the decision to the request's owner.
func (scheduler *Scheduler) conclude(request *QueuedRequest, decision Decision) {
	request.decided = true
	if request.waited {
		scheduler.waitCorrections.learn(request.Route, decision.Kind)
		request.waited = false
	}
	if decision.Kind == Reject {
		scheduler.Counters.Rejected++
	}
	request.Decisions <- decision
}

// queueFull is the decision for the request of the lowest priority in a full queue.
func (scheduler *Scheduler) queueFull() Decision {
	return Decision{
		Kind:       Reject,
		ErrorCode:  apierror.QueueFull,
		RetryAfter: max(minRetryAfter, scheduler.queueTurn(scheduler.queue.length(), scheduler.slots)),
		Reason:     "too many better bids wait",
	}
}
