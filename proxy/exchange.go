package proxy

import (
	"time"

	"wardtray/apierror"
	"wardtray/balancer/kvblock"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/metrics"
	"wardtray/proxy/admission"
	"wardtray/proxy/codec"
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
