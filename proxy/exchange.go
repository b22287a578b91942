package proxy

import (
	"maps"
	"time"

	"wardtray/apierror"
	"wardtray/balancer/kvblock"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/metrics"
	"wardtray/proxy/admission"
	"wardtray/proxy/codec"
)

// Exchange carries one request from its client to a runner and its response back. It orders the steps; the state of
// each step is kept by a type of its own. Only one goroutine uses it at any time.
type Exchange struct {
	handler  *Handler
	client   *clientConnection
	state    stateMachine
	deadline deadline

	// request is nil until it was read. route, backend, tenant and scheduler come from the configuration of the last
	// lookup. tenant is nil if the route needs no key, scheduler before the first lookup.
	request       *admission.Request
	route         config.Route
	backend       config.Backend
	tenant        *config.Tenant
	scheduler     *scheduler.Scheduler
	queuedRequest *scheduler.QueuedRequest

	charge         quotaCharge
	atMostOnce     atMostOnce
	execution      execution
	attemptCounter attemptCounter

	// decision is the scheduler's last decision, and attempt the last attempt, made from the last decision that named a
	// runner.
	decision scheduler.Decision
	attempt  *attempt
	// hedge is the second attempt beside the current one; nil if there is none. isHedge reports whether this exchange is
	// the copy that a second attempt uses.
	hedge   *hedge
	isHedge bool
	// lastEventID is the id of the last event that the client has received.
	lastEventID int
	// relayedBytes counts the bytes of the events that were relayed.
	relayedBytes int
}

// newExchange returns the exchange of a request that was received completely.
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

// close stops watching the client's connection and removes the request from those in flight.
func (exchange *Exchange) close() {
	exchange.client.close()
	exchange.handler.InFlight.Add(-1)
}

func (exchange *Exchange) now() time.Time { return exchange.handler.Environment.Now() }

// count updates the metrics of the request's route.
func (exchange *Exchange) count(change func(route *metrics.RouteMetrics)) {
	exchange.handler.Metrics.Update(exchange.route.Name, change)
}

// remaining returns how long the client still waits; 0 if that is not known.
func (exchange *Exchange) remaining() time.Duration {
	return exchange.deadline.remaining(exchange.now())
}

// isPastDeadline reports whether the client no longer waits.
func (exchange *Exchange) isPastDeadline() bool { return exchange.deadline.passed(exchange.now()) }

// waitLimits returns the bounds on all further waits.
func (exchange *Exchange) waitLimits() waitLimits {
	return waitLimits{route: &exchange.route, remaining: exchange.remaining(), mayRetry: exchange.mayAttempt()}
}

// mayAttempt reports whether the request may be sent to one more runner.
func (exchange *Exchange) mayAttempt() bool { return exchange.attemptCounter.remain(&exchange.route) }

// read reads the request and checks it against the newest configuration.
func (exchange *Exchange) read() error {
	request, err := exchange.handler.Codec.Read(exchange.client.Client)
	if err != nil {
		return err
	}
	exchange.request, exchange.lastEventID = request, request.LastEventID
	exchange.recordClientAttempt()
	if exchange.handler.Stopping.Load() {
		return apierror.New(apierror.NotServing, "this daemon is about to stop")
	}
	if err := exchange.acceptAtMostOnce(); err != nil {
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

// mayOutlastStop reports whether the response may take longer than this process has until it stops. Cut off halfway,
// the response would be lost, while another daemon can take the request now.
func (exchange *Exchange) mayOutlastStop() bool {
	by := exchange.handler.StopBy.Load()
	return by != nil && exchange.now().Add(exchange.scheduler.MaxDuration(exchange.queuedRequest)).After(*by)
}

// enterSchedulerAgain creates a new queue entry for a request whose current attempt has used up the previous one. It
// excludes the runners that the request was sent to before.
func (exchange *Exchange) enterSchedulerAgain() {
	excluded := maps.Clone(exchange.queuedRequest.Requirements.ExcludedRunners)
	excluded[exchange.attempt.decision.Runner.ID] = true
	exchange.enterScheduler()
	// The request has waited before; what is left of its time is its deadline now.
	exchange.queuedRequest.Requirements.ExcludedRunners = excluded
	exchange.queuedRequest.Requirements.Deadline = exchange.remaining()
}

// enterScheduler selects the scheduler of the backend and creates the queue entry of the request.
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
			Value:             route.Value,
			LatencyTarget:     exchange.waitLimits().latencyTarget(),
			Deadline:          exchange.deadline.timeout(),
			PromptTokens:      request.PromptTokens,
			MaxResponseTokens: request.AnswerTokens,
			Rank:              route.Rank,
			TenantRank:        tenantRank(exchange.tenant),
			Resumed:           exchange.execution.relayed,
			Zone:              exchange.handler.Zone,
			ExcludedRunners:   map[string]bool{},
		},
	}
}

// chargeQuota takes the cost of the request out of this daemon's share of the tenant's quota. If that is not possible
// it returns the refusal, which states that the request did not run.
func (exchange *Exchange) chargeQuota() *codec.Refusal {
	tenant, request := exchange.tenant, exchange.request
	if tenant == nil || !tenant.Quota.Limited() {
		return nil
	}
	cost := tenant.Quota.Cost(request.PromptTokens+request.AnswerTokens, request.TokensGiven)
	if cost == 0 || exchange.charge.take(tenant.Name, cost, exchange.waitLimits().latencyTarget()) {
		return nil
	}
	if exchange.client.hasDisconnected() {
		return exchange.refusalOf(errClientDisconnected())
	}
	exchange.count(func(route *metrics.RouteMetrics) { route.RefusedByQuota++ })
	return exchange.refusal(apierror.QuotaExceeded, "tenant "+tenant.Name+" has used up its quota for now",
		scheduler.DidNotRun, exchange.handler.Quota.Refuse(exchange.now(), tenant.Name, cost))
}
