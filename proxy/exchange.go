package proxy

import (
	"fmt"
	"time"

	"wardtray/apierror"
	"wardtray/balancer/kvblock"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/coordination/reservation"
	"wardtray/features"
	"wardtray/metrics"
	"wardtray/proxy/admission"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
)

// Exchange is one request on its way from its client to a runner and back. It orders the steps; what each of them
// rests on is kept by the type of that step. One goroutine has it at any time.
type Exchange struct {
	handler  *Handler
	client   *clientConnection
	state    stateMachine
	deadline deadline

	// request is nil until it was read; route, backend, tenant and scheduler are those of the configuration as last
	// looked up. tenant is nil where the route needs no key, scheduler before the first look.
	request       *admission.Request
	route         config.Route
	backend       config.Backend
	tenant        *config.Tenant
	scheduler     *scheduler.Scheduler
	queuedRequest *scheduler.QueuedRequest

	charge     quotaCharge
	atMostOnce atMostOnce
	execution  execution
	tries      tries

	// decision is the scheduler's last one, and attempt what was made of the last that named a runner.
	decision scheduler.Decision
	attempt  *attempt
	// lastEventID is the id of the last event that the client has.
	lastEventID int
	// relayedBytes counts the bytes of the events that were relayed.
	relayedBytes int
}

// newExchange returns the exchange of a request that has been received completely.
func newExchange(handler *Handler, client *clientConnection) *Exchange {
	return &Exchange{
		handler:  handler,
		client:   client,
		state:    stateMachine{current: stateReading},
		deadline: deadline{started: handler.Environment.Now()},
		charge:   quotaCharge{handler: handler, client: client},
		atMostOnce: atMostOnce{table: handler.Dedup, reservations: handler.Reservations, announce: handler.Announce,
			wait: handler.Environment.Wait},
	}
}

// close ends the watch of the client's connection; the request is no longer in flight.
func (exchange *Exchange) close() {
	exchange.client.close()
	exchange.handler.InFlight.Add(-1)
}

func (exchange *Exchange) now() time.Time { return exchange.handler.Environment.Now() }

// count changes the metrics of the request's route.
func (exchange *Exchange) count(change func(route *metrics.RouteMetrics)) {
	exchange.handler.Metrics.Update(exchange.route.Name, change)
}

// remaining is how long the client still waits; 0: not known.
func (exchange *Exchange) remaining() time.Duration {
	return exchange.deadline.remaining(exchange.now())
}

// isPastDeadline reports whether nobody waits any more.
func (exchange *Exchange) isPastDeadline() bool { return exchange.deadline.passed(exchange.now()) }

// waits are the bounds on what is waited for from now on.
func (exchange *Exchange) waits() waits {
	return waits{route: &exchange.route, remaining: exchange.remaining(), mayRetry: exchange.mayTry()}
}

// mayTry reports whether the request may be sent to one more runner.
func (exchange *Exchange) mayTry() bool { return exchange.tries.remain(&exchange.route) }

// read reads the request and checks it against the newest configuration.
func (exchange *Exchange) read() error {
	request, err := exchange.handler.Codec.Read(exchange.client.Client)
	if err != nil {
		return err
	}
	exchange.request, exchange.lastEventID = request, request.LastEventID
	exchange.noteSending()
	if exchange.handler.Stopping.Load() {
		return apierror.New(apierror.NotServing, "this daemon is about to stop")
	}
	if err := exchange.acceptOnce(); err != nil {
		return err
	}
	if err := exchange.resolve(); err != nil {
		return err
	}
	if exchange.mayOutlastStop() {
		return apierror.New(apierror.NotServing,
			"this daemon is about to stop, and the answer might not be whole by then")
	}
	return nil
}

// noteSending notes what the client states of this sending. Unless that is the first, an earlier one may have run until
// the contrary is known; it doesn't matter on a route that may run more than once.
func (exchange *Exchange) noteSending() {
	request, snapshot := exchange.request, exchange.handler.Snapshot()
	if request.SingleUse || exchange.atMostOnce.reservations == nil {
		return
	}
	sending := reservation.Sending{Number: request.Attempt, Term: request.Term}
	if sending.IsFirst() {
		sending.NotBefore = snapshot.TermBefore(exchange.client.ConnectedAt())
	}
	exchange.atMostOnce.sending = sending
	if sending.IsFirst() {
		return
	}
	route := exchange.routeIn(snapshot.Catalog)
	exchange.execution.unproven = route == nil || !route.Idempotent
}

// acceptOnce records a request that must run at most once. It fails if the request was sent before or may have been, so
// that it can't be run.
func (exchange *Exchange) acceptOnce() error {
	if exchange.request.SingleUse {
		return nil
	}
	key := dedup.KeyOf(exchange.request.Route, exchange.request.ID)
	known, err := exchange.atMostOnce.accept(exchange.now, key, exchange.runsAtMostOnce)
	if err != nil {
		return err
	}
	if known != dedup.NotSeen {
		exchange.execution.earlier = known
		return apierror.New(apierror.DuplicateRequest, "the request with this id %s", known)
	}
	if exchange.atMostOnce.mustProve() {
		exchange.atMostOnce.begin()
		return exchange.awaitReservation()
	}
	return nil
}

// awaitReservation waits for the reservation that was begun, if one was; it returns why the request must not be sent.
func (exchange *Exchange) awaitReservation() error {
	outcome := exchange.atMostOnce.await(exchange.client.ctx)
	err := exchange.atMostOnce.errorOf(outcome)
	if err == nil {
		exchange.execution.unproven = false
		return nil
	}
	if exchange.client.hasLeft() {
		return errClientLeft()
	}
	// Only of a first sending for which there was no room, or nobody answered, is it known that no other runs.
	if outcome == reservation.Taken || outcome == reservation.InDoubt {
		exchange.execution.unproven = true
	}
	return err
}

// runsAtMostOnce reports whether the request belongs to a route that says so.
func (exchange *Exchange) runsAtMostOnce() bool {
	route := exchange.routeIn(exchange.handler.Snapshot().Catalog)
	return route != nil && !route.Idempotent
}

// routeIn returns the request's route in a configuration; nil: it has none there, or there is no configuration.
func (exchange *Exchange) routeIn(catalog *config.Catalog) *config.Route {
	if catalog == nil {
		return nil
	}
	return routeOf(catalog, exchange.request)
}

// mayOutlastStop reports whether the response might well take longer than this process lives. Cut in its middle it
// would be lost, and another daemon can take the request now.
func (exchange *Exchange) mayOutlastStop() bool {
	by := exchange.handler.StopBy.Load()
	return by != nil && exchange.now().Add(exchange.scheduler.MaxDuration(exchange.queuedRequest)).After(*by)
}

// enterScheduler makes the queue entry for the scheduler of the request's backend.
func (exchange *Exchange) enterScheduler() {
	route, backend, request := &exchange.route, &exchange.backend, exchange.request
	extra := kvblock.Extra{Model: request.Model, Weights: backend.Weights, Adapter: request.Adapter}
	exchange.scheduler = exchange.handler.Scheduler(backend.Name)
	exchange.queuedRequest = &scheduler.QueuedRequest{
		Route:            route.Name,
		ConcurrencyLimit: route.ConcurrencyLimit,
		PartTokens:       request.PartTokens,
		Decisions:        make(chan scheduler.Decision, 1),
		Keys:             exchange.handler.Indexer.Processor.BlockKeys(request.Parts, extra),
		Requirements: scheduler.Requirements{
			Value:           route.Value,
			LatencyTarget:   exchange.waits().latencyTarget(),
			Deadline:        exchange.deadline.timeout(),
			PromptTokens:    request.PromptTokens,
			AnswerTokens:    request.AnswerTokens,
			Rank:            route.Rank,
			TenantRank:      tenantRank(exchange.tenant),
			Resumed:         exchange.execution.relayed,
			Zone:            exchange.handler.Zone,
			ExcludedRunners: map[string]bool{},
		},
	}
}

// chargeQuota takes the request's cost out of this daemon's share of its tenant's quota. It returns the refusal if that
// can't be done, which promises that nothing ran.
func (exchange *Exchange) chargeQuota() *codec.Refusal {
	tenant, request := exchange.tenant, exchange.request
	if tenant == nil || !tenant.Quota.Limited() {
		return nil
	}
	cost := tenant.Quota.Cost(request.PromptTokens+request.AnswerTokens, request.TokensGiven)
	if cost == 0 || exchange.charge.take(tenant.Name, cost, exchange.waits().latencyTarget()) {
		return nil
	}
	if exchange.client.hasLeft() {
		return exchange.refusalOf(errClientLeft())
	}
	exchange.count(func(route *metrics.RouteMetrics) { route.RejectedByQuota++ })
	return exchange.refusal(apierror.QuotaExceeded, "tenant "+tenant.Name+" has used up its quota for now",
		scheduler.DidNotRun, exchange.handler.Quota.Reject(exchange.now(), tenant.Name, cost))
}

// findRunner schedules the request and sends it to the chosen runner, until a runner's response may be relayed;
// otherwise it returns the refusal. last is how the attempt before ended.
func (exchange *Exchange) findRunner(last scheduler.AttemptOutcome) *codec.Refusal {
	for {
		exchange.state.to(stateScheduling)
		if refusal := exchange.schedule(last); refusal != nil {
			return refusal
		}
		exchange.state.to(stateConnecting)
		exchange.tries.attempts++
		exchange.attempt = &attempt{exchange: exchange, decision: exchange.decision}
		outcome := exchange.attempt.execute()
		if outcome == responseReady {
			return nil
		}
		exchange.attempt.release()
		if err := exchange.attempt.notReserved; err != nil {
			return exchange.refusalOf(err)
		}
		if outcome == scheduler.Ambiguous {
			exchange.execution.ambiguous = true
		}
		if refusal := exchange.handleFailedAttempt(outcome); refusal != nil {
			return refusal
		}
		last = outcome
	}
}

// schedule has a runner chosen, after an attempt that ended like last; it returns what to tell the client where there
// is none.
func (exchange *Exchange) schedule(last scheduler.AttemptOutcome) *codec.Refusal {
	if exchange.client.hasLeft() {
		return exchange.refusalOf(errClientLeft())
	}
	if !exchange.mayTry() || exchange.isPastDeadline() {
		return exchange.refusalAfter(exchange.decideRetry(last), "every attempt failed")
	}
	// The configuration may have taken the route or its backend away since the last attempt.
	if err := exchange.resolve(); err != nil {
		return exchange.refusalOf(err)
	}
	if !exchange.awaitDecision() {
		return exchange.refusalOf(errClientLeft())
	}
	if exchange.decision.Kind == scheduler.Reject {
		return exchange.rejectedByScheduler()
	}
	return nil
}

// awaitDecision puts the request into its scheduler's queue and waits for the decision; it reports whether there is
// one. A request whose client leaves is removed from the queue.
func (exchange *Exchange) awaitDecision() bool {
	exchange.scheduler.Schedule(exchange.now(), exchange.queuedRequest)
	decision, decided := exchange.handler.Await(exchange.client.ctx, exchange.queuedRequest.Decisions)
	if !decided {
		if exchange.scheduler.Cancel(exchange.queuedRequest) {
			return false
		}
		// The scheduler was quicker, and the slots that it reserved have to be released.
		decision = <-exchange.queuedRequest.Decisions
	}
	exchange.decision = decision
	return true
}

// handleFailedAttempt returns what to tell the client after a failed attempt, or nil where another may follow.
func (exchange *Exchange) handleFailedAttempt(outcome scheduler.AttemptOutcome) *codec.Refusal {
	if exchange.client.hasLeft() {
		return exchange.refusalOf(errClientLeft())
	}
	next, runner := exchange.decideRetry(outcome), exchange.decision.Runner.ID
	if !next.Retry {
		return exchange.refusalAfter(next, fmt.Sprintf("runner %s gave no answer", runner))
	}
	if exchange.waitsForListing() {
		exchange.tries.attempts--
		return nil
	}
	// A runner is not at fault where this daemon's configuration was not known to be current.
	if outcome != scheduler.NotSent || exchange.handler.Snapshot().Until.After(exchange.now()) {
		exchange.queuedRequest.Requirements.ExcludedRunners[runner] = true
	}
	return nil
}

// waitsForListing reports whether the attempt found that the list of runners is behind. It costs the request no
// attempt then: the runner is ejected, and where all are, the request waits for a newer list. Where nothing ejects
// runners, every attempt counts, so that their number stays bounded.
func (exchange *Exchange) waitsForListing() bool {
	return exchange.attempt.listingIsStale && !exchange.handler.Disabled[features.Ejection]
}

// decideRetry returns what may follow an attempt.
func (exchange *Exchange) decideRetry(outcome scheduler.AttemptOutcome) scheduler.RetryDecision {
	next := scheduler.DecideRetry(outcome, exchange.route.Idempotent)
	// What was relayed stands; a stream that may be resumed goes on after it at another runner.
	resumes := exchange.route.Resumable && !exchange.handler.Disabled[features.Resumption]
	if outcome == scheduler.Broken && resumes {
		next.Retry = true
	}
	return next
}

// spendTry reports whether the retry budget allows a send now, and takes it out of that.
func (exchange *Exchange) spendTry() bool {
	permission := exchange.tries.spend(exchange.now(), exchange.handler.budget(exchange.backend.Name))
	if permission == sendRetry {
		exchange.count(func(route *metrics.RouteMetrics) { route.Retries++ })
	}
	return permission != sendDenied
}
