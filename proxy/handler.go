// Package proxy takes a request from its client to a runner and forwards the response. A Handler serves the requests of
// one daemon; an Exchange is one of them, and goes through the states of a stateMachine: it is read, scheduled, sent to
// the runner that the scheduler chose, and relayed, and is scheduled again where an attempt failed and another may
// follow.
//
// The contract with the client: a request of a route that runs at most once is sent to another runner, or refused with
// the promise that it did not run, only if that is certain. Directly before bytes go out the decision is checked once
// more against the newest configuration.
package proxy

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/balancer/kvblock"
	"wardtray/balancer/load"
	"wardtray/balancer/retrybudget"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/coordination/quota"
	"wardtray/features"
	"wardtray/metrics"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
	"wardtray/transport/connpool"
	"wardtray/transport/netio"
)

// Handler serves the requests of one daemon and lives as long as its process. Whoever makes it sets the exported fields
// before the first request and does not change them after that, except for those of the process's end. Fields without
// a default are required.
type Handler struct {
	// Name is the daemon's, as it is known to the control plane and named to runners; Zone is the daemon's zone.
	Name string
	Zone string
	// Started is when the process began.
	Started time.Time

	// Environment has the clock, the dialer and the waits.
	Environment netio.Environment
	// Codec translates between the wire formats of clients and runners and this package.
	Codec codec.Codec
	// Connections are those to runners.
	Connections *connpool.Pool
	// Metrics counts requests by route.
	Metrics *metrics.Registry

	// Snapshot returns the newest configuration, and until when it is known to be current; its Catalog is nil before
	// the first one came. It is called several times for each request.
	Snapshot func() *config.Snapshot
	// Renewed returns a channel that is closed when a later snapshot is known to be current for longer.
	Renewed func() <-chan struct{}
	// Daemons returns the addresses in the directory, where a lost daemon stays for a minute; the retry budget uses it.
	Daemons func() []string

	// Scheduler returns the scheduler of a backend, the same one at each call.
	Scheduler func(backend string) *scheduler.Scheduler
	// Await waits for the next decision of a queued request; decided is false where the context ended before it came.
	Await func(ctx context.Context, decisions <-chan scheduler.Decision) (decision scheduler.Decision, decided bool)
	// Loads has the runners with their load and their failures.
	Loads *load.Table
	// Indexer names the blocks of prompts that runners may have in their caches.
	Indexer *kvblock.Indexer
	// Retries bounds what is sent again, over all daemons; the zero value stands for retrybudget.DefaultSettings.
	Retries retrybudget.Settings

	// Dedup remembers the requests that run at most once, and Reservations reserves them with the other daemons; nil: no
	// request comes again under its id. Announce notifies the zone's other daemons of one that is not reserved: that it is
	// being sent to a runner or, with dropped, that it certainly did not run.
	Dedup        *dedup.Table
	Reservations Reservations
	Announce     func(key dedup.Key, dropped bool)

	// Quota holds this daemon's shares of the tenants' quotas; RequestQuota requests more of what they lack at once.
	// Neither is used where no tenant has a quota.
	Quota        *quota.Limiter
	RequestQuota func()

	// Disabled has the mechanisms that are switched off for measurements; none by default.
	Disabled features.Set

	// InFlight is the number of requests that are being served.
	InFlight atomic.Int64
	// Draining says that a planned stop has begun: responses ask clients to come back over another connection.
	// Stopping says that no more requests are accepted. The daemon sets both.
	Draining, Stopping atomic.Bool
	// StopBy is when the process will end; nil: that is not known. The daemon sets it when a planned stop begins.
	StopBy atomic.Pointer[time.Time]

	// budgets has the retry budget of each backend, a *lockedBudget by the backend's name.
	budgets sync.Map
}

// Serve handles a request that was received completely. A stream outlives the call: its relay finishes the exchange.
func (handler *Handler) Serve(client netio.Client) {
	handler.InFlight.Add(1)
	exchange := newExchange(handler, watchClient(client))
	if handler.Draining.Load() {
		client.CloseAfterResponse()
	}
	if err := exchange.read(); err != nil {
		exchange.refuse(*exchange.refusalOf(err))
		return
	}
	exchange.count(func(route *metrics.RouteMetrics) { route.Requests++ })
	if refusal := exchange.chargeQuota(); refusal != nil {
		exchange.refuse(*refusal)
		return
	}
	if refusal := exchange.findRunner(scheduler.NotSent); refusal != nil {
		exchange.refuse(*refusal)
		return
	}
	exchange.relay()
}

// budget returns the retry budget of a backend.
func (handler *Handler) budget(backend string) *lockedBudget {
	found, known := handler.budgets.Load(backend)
	if !known {
		daemons := func() int { return len(handler.Daemons()) }
		found, _ = handler.budgets.LoadOrStore(backend, &lockedBudget{budget: retrybudget.New(handler.Retries, daemons)})
	}
	locked, isBudget := found.(*lockedBudget)
	if !isBudget {
		panic("proxy: the budgets have something else than budgets")
	}
	return locked
}

// explanation is what would be decided of a request, and why. The fields stand in the order of their keys.
type explanation struct {
	// Requirements are what the request asks of a runner.
	Requirements scheduler.Requirements `json:"bid"`
	// CostWeights are those by which runners were compared.
	CostWeights scheduler.CostWeights `json:"prices"`
	// Candidates are the runners with their scores.
	Candidates []scheduler.ScoredCandidate `json:"quotes"`
	// Decision is what would be done.
	Decision scheduler.Decision `json:"step"`
}

// Explain responds with what would happen to a request, without sending it to a runner. It is a dry run: nothing of the
// request is remembered, so that the same id can be explained again, or sent.
func (handler *Handler) Explain(client netio.Client) {
	exchange := newExchange(handler, unwatchedClient(client))
	exchange.atMostOnce.readOnly = true
	if err := exchange.read(); err != nil {
		found := apierror.Of(err)
		exchange.refuseExplanation(found.Code, found.Detail)
		return
	}
	candidates, decision := exchange.scheduler.Explain(exchange.deadline.started, exchange.queuedRequest)
	content, err := json.Marshal(explanation{
		Requirements: exchange.queuedRequest.Requirements,
		CostWeights:  exchange.scheduler.CostWeights(),
		Candidates:   candidates,
		Decision:     decision,
	})
	if err != nil {
		exchange.refuseExplanation(apierror.Internal, err.Error())
		return
	}
	client.Respond(fasthttp.StatusOK, []netio.Header{{Name: "Content-Type", Value: "application/json"}}, content)
}

// refuseExplanation responds to a request that can't be explained, of which certainly nothing ran.
func (exchange *Exchange) refuseExplanation(code apierror.Code, detail string) {
	refusal := codec.Refusal{Code: code, Detail: detail, Ran: scheduler.DidNotRun, DidNotRun: true}
	exchange.handler.Codec.Refuse(exchange.client.Client, exchange.request, refusal)
}
