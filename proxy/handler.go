// Package proxy carries a request from its client to a runner and forwards the response. A Handler serves the requests
// of one daemon. An Exchange handles one request and follows a stateMachine: the request is read, scheduled, sent to
// the runner that the scheduler chose, and its response is relayed. After a failed attempt it is scheduled again if
// another attempt is allowed.
//
// The contract with the client: an at-most-once request is sent to another runner, or refused with the statement that
// it did not run, only if it certainly did not run. Directly before bytes go out the decision is checked again against
// the newest configuration.
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

// Handler serves the requests of one daemon for the lifetime of its process. Its creator sets the exported fields
// before the first request and does not change them afterwards, except for those that control the shutdown. Fields
// without a stated default are required.
type Handler struct {
	// Name is the name of the daemon, as the control plane and runners know it; Zone is the zone of the daemon.
	Name string
	Zone string
	// Started is the time at which the process started.
	Started time.Time

	// Environment provides the clock, the dialer and the waits.
	Environment netio.Environment
	// Codec translates between the wire formats of clients and runners and this package.
	Codec codec.Codec
	// Connections holds the connections to runners.
	Connections *connpool.Pool
	// Metrics counts requests by route.
	Metrics *metrics.Registry

	// Snapshot returns the newest configuration and the time until which it is known to be current. Its Catalog is nil
	// until the first configuration has arrived. It is called several times for each request.
	Snapshot func() *config.Snapshot
	// Renewed returns a channel that is closed when a later snapshot is known to be current for longer.
	Renewed func() <-chan struct{}
	// Daemons returns the addresses of the daemons in the directory, where a lost daemon stays for a minute. The retry
	// budget uses it.
	Daemons func() []string

	// Scheduler returns the scheduler of a backend, the same one on each call.
	Scheduler func(backend string) *scheduler.Scheduler
	// Await waits for the next decision on a queued request. decided is false if the context ended first.
	Await func(ctx context.Context, decisions <-chan scheduler.Decision) (decision scheduler.Decision, decided bool)
	// Loads holds the runners with their load and their failures.
	Loads *load.Table
	// Indexer computes the keys of the prompt blocks that runners may have in their caches.
	Indexer *kvblock.Indexer
	// Retries limits retries across all daemons; the zero value selects retrybudget.DefaultSettings.
	Retries retrybudget.Settings

	// Dedup records at-most-once requests, and Reservations reserves them with the other daemons; Reservations may be nil
	// if no client sends a request again under the same id. Announce notifies the zone's other daemons of a request that
	// is not reserved: that it is being sent to a runner or, if dropped is set, that it certainly did not run.
	Dedup        *dedup.Table
	Reservations Reservations
	Announce     func(key dedup.Key, dropped bool)

	// Quota holds this daemon's shares of the tenants' quotas. RequestQuota immediately requests more for the tenants
	// whose share is too small. Neither is used if no tenant has a quota.
	Quota        *quota.Limiter
	RequestQuota func()

	// Disabled is the set of mechanisms that are switched off for measurements; empty by default.
	Disabled features.Set

	// InFlight is the number of requests that are being served.
	InFlight atomic.Int64
	// Draining reports whether a planned stop has begun: responses then ask clients to reconnect. Stopping reports whether
	// new requests are refused. The daemon sets both.
	Draining, Stopping atomic.Bool
	// StopBy is the time at which the process will end; nil if that is not known. The daemon sets it when a planned stop
	// begins.
	StopBy atomic.Pointer[time.Time]

	// budgets maps the name of each backend to its retry budget, a *lockedBudget.
	budgets sync.Map
}

// Serve handles a request that was received completely. A stream outlives the call; its relay finishes the exchange.
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
		panic("proxy: budgets holds a value that is not a *lockedBudget")
	}
	return locked
}

// explanation describes the decision that would be made on a request, and its reasons. The order of the fields is the
// order of the keys in the JSON output.
type explanation struct {
	// Requirements are the requirements of the request.
	Requirements scheduler.Requirements `json:"bid"`
	// CostWeights are the weights by which runners were compared.
	CostWeights scheduler.CostWeights `json:"prices"`
	// Candidates are the runners with their scores.
	Candidates []scheduler.ScoredCandidate `json:"quotes"`
	// Decision is the decision that would be made.
	Decision scheduler.Decision `json:"step"`
}

// Explain responds with the decision that would be made on a request, without sending it to a runner. It is a dry run
// that records nothing, so the same request id can be explained again or sent afterwards.
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

// refuseExplanation responds to a request that can't be explained. Nothing of it ran.
func (exchange *Exchange) refuseExplanation(code apierror.Code, detail string) {
	refusal := codec.Refusal{Code: code, Detail: detail, Ran: scheduler.DidNotRun, DidNotRun: true}
	exchange.handler.Codec.Refuse(exchange.client.Client, exchange.request, refusal)
}
