// Package scheduler decides, for one backend at one daemon, to which runner a request is dispatched and when. A
// scheduling cycle has stages, each in its own file: build the context (context.go), then predict the candidates
// (prediction.go), filter (filter.go), score (scorer.go) and pick one (picker.go); a request that can't be dispatched
// is queued (queue.go) or rejected (decide.go) under flow control (flowcontrol.go). The models learned from requests
// are in forecast.go and the files of its parts. The package does no I/O and reads no clock: its owner carries out the
// decisions and reports their results. See docs/placement.md.
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
	// Picker picks one of the scored candidates. NewScheduler sets it to Sample; benchmarks replace it.
	Picker Picker
	// Disabled names the mechanisms that are switched off.
	Disabled features.Set
	Counters Counters

	queue  requestQueue
	window inFlightWindow
	routes routeConcurrency
	// slots is this daemon's share of the backend's slots in the last cycle.
	slots           float64
	waitCorrections waitCorrections
	costWeights     CostWeights
	// forecast holds what has been learned about the runners' speeds and the traffic.
	forecast       *forecast
	longPrompts    longPromptPolicy
	generationPace generationPace
}

// Counters counts the decisions of a scheduler since its start.
type Counters struct {
	Dispatched uint64 `json:"Passed"`
	// Queued counts the requests that were not decided at once.
	Queued   uint64 `json:"Waited"`
	Rejected uint64 `json:"Refused"`
	// CachedTokens counts the prompt tokens of dispatched requests that their runners were assumed to have cached.
	CachedTokens uint64 `json:"HeldTokens"`
	// PromptTokens counts all prompt tokens of dispatched requests.
	PromptTokens uint64 `json:"PromptTokens"`
}

// NewScheduler returns a scheduler for one backend.
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

// Schedule adds a request to the queue and runs a scheduling cycle. The request stays queued if it is neither
// dispatched nor rejected.
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
		// A full queue rejects the request of the lowest priority, which need not be the newest.
		lowest := scheduler.queue.removeLast()
		scheduler.sendDecision(lowest, scheduler.queueFull())
	}
	if !request.decided {
		scheduler.Counters.Queued++
	}
}

// Rebalance runs a scheduling cycle for the queued requests. Its owner calls it after changes and periodically.
func (scheduler *Scheduler) Rebalance(now time.Time) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.runCycle(now)
}

// HasQueued reports whether requests are queued. Rebalance does nothing if there are none.
func (scheduler *Scheduler) HasQueued() bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.queue.length() > 0
}

// Cancel removes a request from the queue. It reports whether the request was still queued.
func (scheduler *Scheduler) Cancel(request *QueuedRequest) bool {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.queue.remove(request)
}

// Release ends a request that was dispatched to a runner, and runs a scheduling cycle for the freed slot.
func (scheduler *Scheduler) Release(now time.Time, request *QueuedRequest, runner string) {
	scheduler.table.RequestEnded(runner, request.answered)
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	scheduler.forecast.requestEnded(request, runner)
	scheduler.window.release()
	scheduler.routes.release(request.Route)
	scheduler.runCycle(now)
}

// CostWeights returns the current cost weights, including the learned ones.
func (scheduler *Scheduler) CostWeights() CostWeights {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.costWeights
}

// State returns the counters, the number of queued requests, and the number of requests in flight by route.
func (scheduler *Scheduler) State() (counters Counters, queued int, inFlight map[string]int) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return scheduler.Counters, scheduler.queue.length(), maps.Clone(scheduler.routes)
}

// Explain returns the scored candidates for a request and the decision that it would get now, without scheduling it.
func (scheduler *Scheduler) Explain(now time.Time, request *QueuedRequest) ([]ScoredCandidate, Decision) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	cycle := scheduler.schedulingContext(now)
	request.Requirements.WithinLimit = scheduler.routes.withinLimit(request, cycle.Capacity)
	cycle.Candidates = scheduler.predictCandidates(now, request, &cycle, scheduler.indexer.PeekCachedPrefixes)
	scored := Score(request.Requirements, cycle.Candidates, cycle.CostWeights)
	return scored, Decide(request.Requirements, cycle, scored, scheduler.Picker, scheduler.random)
}

// runCycle decides about all queued requests, in order of priority.
func (scheduler *Scheduler) runCycle(now time.Time) {
	if scheduler.queue.length() == 0 {
		return
	}
	cycle := scheduler.schedulingContext(now)
	scheduler.queue.sort(now, func(request *QueuedRequest) bool {
		return scheduler.routes.withinLimit(request, cycle.Capacity)
	})
	scheduler.queue.retain(func(request *QueuedRequest) bool {
		return scheduler.processQueued(now, request, &cycle)
	})
}

// processQueued decides about one queued request. It reports whether the request stays in the queue, and sends the
// decision to its owner otherwise.
func (scheduler *Scheduler) processQueued(now time.Time, request *QueuedRequest, cycle *SchedulingContext) bool {
	if request.decided {
		return false
	}
	requirements := &request.Requirements
	// The concurrency limit may have been reached by a request of the same route in this cycle.
	requirements.WithinLimit = scheduler.routes.withinLimit(request, cycle.Capacity)
	// While every runner is saturated, the decision about a queued request changes only when it exceeds its maximum wait.
	// Scoring a long queue again in each cycle would use up a CPU core.
	cycle.HasCapacity = cycle.HasCapacity && scheduler.window.open()
	if request.waited && !cycle.HasCapacity && requirements.Waited < requirements.maxWait() {
		cycle.Ahead++
		return true
	}
	decision := scheduler.decide(now, request, cycle)
	if decision.Kind == Enqueue {
		request.waited = true
		// A request that is queued only because of its route's concurrency limit or because of its own excluded runners
		// does not delay the requests behind it.
		if requirements.WithinLimit && len(requirements.ExcludedRunners) == 0 {
			cycle.Ahead++
		}
		return true
	}
	if decision.Kind == Dispatch {
		scheduler.dispatch(now, request, decision, cycle)
	}
	scheduler.sendDecision(request, decision)
	return false
}

// decide scores the candidates for a request and returns the decision.
func (scheduler *Scheduler) decide(now time.Time, request *QueuedRequest, cycle *SchedulingContext) Decision {
	requestCycle := *cycle
	scheduler.longPrompts.recordTarget(request.Route, request.Requirements.LatencyTarget)
	requestCycle.Candidates = scheduler.predictCandidates(now, request, cycle, scheduler.indexer.CachedPrefixes)
	if !request.waited {
		requestCycle.WaitCorrection = scheduler.waitCorrections[request.Route]
	}
	scored := Score(request.Requirements, requestCycle.Candidates, requestCycle.CostWeights)
	decision := Decide(request.Requirements, requestCycle, scored, scheduler.Picker, scheduler.random)
	if scheduler.Disabled[features.Urgency] {
		decision.Urgency = DefaultUrgency
	}
	return decision
}

// dispatch counts a request as in flight on its runner.
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

// sendDecision sends the decision to the request's owner, and learns from it if the request was queued.
func (scheduler *Scheduler) sendDecision(request *QueuedRequest, decision Decision) {
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

// queueFull returns the decision for the request that a full queue rejects.
func (scheduler *Scheduler) queueFull() Decision {
	return Decision{
		Kind:       Reject,
		ErrorCode:  apierror.QueueFull,
		RetryAfter: max(minRetryAfter, scheduler.queueWait(scheduler.queue.length(), scheduler.slots)),
		Reason:     "too many better bids wait",
	}
}
