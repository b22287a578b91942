// Package course is the executor: it takes a request through its states and does what the decision
// object says. A course is reading, bidding, passing, sent, relaying or ended; each change of state
// has its one function. What it reads and writes is in the words of a speech.
package proxy

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/balancer/kvblock"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/features"
	"wardtray/metrics"
	"wardtray/proxy/admission"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
	"wardtray/proxy/stream"
	"wardtray/transport/connpool"
	"wardtray/transport/netio"
)

const (
	// maximumAttempts bounds the runners that one request is tried at, sent or not.
	maximumAttempts = 8
	// lastPart is how much of a long request is held back for the last look.
	lastPart = 4 << 10
	// tailBound is how long the rest of an answer is waited for, behind what the client gets.
	tailBound = 500 * time.Millisecond
)

type state string

const (
	reading  state = "reading"
	bidding  state = "bidding"
	passing  state = "passing"
	sent     state = "sent"
	relaying state = "relaying"
	finished state = "ended"
)

// changes lists every change of state that there is.
var changes = map[[2]state]bool{
	{reading, bidding}: true, {reading, finished}: true,
	{bidding, passing}: true, {bidding, finished}: true,
	{passing, bidding}: true, {passing, sent}: true, {passing, finished}: true,
	{sent, bidding}: true, {sent, relaying}: true, {sent, finished}: true,
	{relaying, bidding}: true, {relaying, finished}: true,
}

// Exchange is one request on its way.
type Exchange struct {
	handler *Handler
	client  netio.Client
	state   state
	started time.Time
	// ctx ends when the client leaves, which leave brings about, or when the course is over; unwatch ends the watch
	// of the client's connection.
	ctx     context.Context
	leave   context.CancelFunc
	unwatch func()

	request *admission.Request
	route   config.Route
	backend config.Pool
	// tenant is whose key the request carries, nil where none was needed; charged is what was taken of its quota.
	tenant        *config.Tenant
	charged       float64
	chargedTo     string
	scheduler     *scheduler.Scheduler
	queuedRequest *scheduler.QueuedRequest

	step       scheduler.Decision
	attempts   int
	sends      int
	connection *connpool.Connection
	response   *fasthttp.Response
	word       codec.ResponseHead
	reader     *stream.Reader
	first      stream.Event
	// body is an answer that is no stream; across counts what was relayed of one that is.
	body   []byte
	across int
	// after is the id of the last event that the client has, relayed that any of the answer was passed on.
	after   int
	relayed bool
	// events counts those that were relayed, of which paced are taken in as to their pace, the last of them at pacedAt.
	events, paced int
	pacedAt       time.Time
	// until is the moment at which nobody waits for the answer any more; zero: not told.
	until time.Time
	// epoch is the spec's, as last looked at before the request went out.
	epoch  uint64
	sentAt time.Time
	// checkedAt is when the decision was last checked; partial says that the runner did not get the whole request.
	checkedAt time.Time
	partial   bool
	// ambiguous tells that some attempt may have run, so that nothing may say otherwise any more.
	ambiguous bool
	// key is this request's where it must run at most once and this course has taken it; told says that
	// the zone's other daemons were told.
	key  *dedup.Key
	told bool
	// said is what was known of the request when it came.
	said dedup.State
	// counted says that the request is in the budget's count.
	counted bool
}

func (exchange *Exchange) to(next state) {
	if !changes[[2]state{exchange.state, next}] {
		panic(fmt.Sprintf("a course can't go from %s to %s", exchange.state, next))
	}
	exchange.state = next
}

// Serve takes one request that has been read whole.
func (handler *Handler) Serve(client netio.Client) {
	exchange := handler.begin(client)
	if handler.Draining.Load() {
		client.Last()
	}
	if err := exchange.read(); err != nil {
		exchange.refuse(*exchange.refusalOf(err))
		return
	}
	exchange.handler.Metrics.Count(exchange.route.Name, func(route *metrics.RouteMetrics) { route.Requests++ })
	if refusal := exchange.charge(); refusal != nil {
		exchange.refuse(*refusal)
		return
	}
	if refusal := exchange.obtain(scheduler.NotSent); refusal != nil {
		exchange.refuse(*refusal)
		return
	}
	exchange.relay()
}

func (exchange *Exchange) now() time.Time { return exchange.handler.Environment.Now() }

// proper looks the request's route and backend up in the newest spec, once this daemon is sure of that.
func (exchange *Exchange) proper() error {
	if !exchange.sure() {
		if exchange.left() {
			return errLeft()
		}
		return apierror.New(apierror.NotServing, "this daemon does not know for sure that its spec is the present one")
	}
	catalog, request := exchange.handler.Snapshot().Catalog, exchange.request
	route := routeOf(catalog, request)
	if route == nil {
		return apierror.New(apierror.UnknownRoute, "there is no lane %q", request.Route+request.Authority+request.Target)
	}
	backend := backendOf(catalog, route, request)
	if backend == nil {
		return apierror.New(apierror.UnknownRoute, "lane %q has no pool", route.Name)
	}
	if backend.Model != "" && backend.Model != request.Model {
		return apierror.New(apierror.UnknownModel, "lane %q serves model %q, not %q", route.Name, backend.Model, request.Model)
	}
	if !backend.Serves(request.Adapter) {
		return apierror.New(apierror.UnknownAdapter, "pool %q has no adapter %q", backend.Name, request.Adapter)
	}
	// A request that was relayed in part belongs to the backend that began it.
	if exchange.relayed && backend.Name != exchange.backend.Name {
		return apierror.New(apierror.UnknownRoute, "lane %q now belongs to pool %q", route.Name, backend.Name)
	}
	if err := exchange.identify(catalog, route); err != nil {
		return err
	}
	moved := exchange.scheduler != nil && backend.Name != exchange.backend.Name
	exchange.route, exchange.backend = *route, *backend
	exchange.until = exchange.given()
	if moved || exchange.scheduler == nil {
		exchange.draw()
	}
	return nil
}

// routeOf finds the route that a request names, or the one that its host and path choose.
func routeOf(catalog *config.Catalog, request *admission.Request) *config.Route {
	if request.Route != "" || request.Target == "" {
		return catalog.Routes[request.Route]
	}
	path, _, _ := strings.Cut(request.Target, "?")
	return catalog.Match(request.Authority, path)
}

// backendOf gives the route's backend, or the one of its split that falls to this request.
//
// Why by its id: the draw is then the same at every look and needs no memory.
func backendOf(catalog *config.Catalog, route *config.Route, request *admission.Request) *config.Pool {
	return catalog.BackendAt(route, float64(xxhash.Sum64String(request.ID)>>11)/(1<<53))
}

// read checks the request against the newest spec.
func (exchange *Exchange) read() error {
	request, err := exchange.handler.Codec.Read(exchange.client)
	if err != nil {
		return err
	}
	exchange.request, exchange.after = request, request.After
	if exchange.handler.Stopping.Load() {
		return apierror.New(apierror.NotServing, "this daemon is about to stop")
	}
	if known := exchange.take(); known != "" {
		return apierror.New(apierror.AlreadyTaken, "the request with this id %s", known)
	}
	if err := exchange.proper(); err != nil {
		return err
	}
	if exchange.outlastsStop() {
		return apierror.New(apierror.NotServing, "this daemon is about to stop, and the answer might not be whole by then")
	}
	return nil
}

// draw enters the request with the scheduler of its backend.
func (exchange *Exchange) draw() {
	route, backend, request := &exchange.route, &exchange.backend, exchange.request
	exchange.scheduler = exchange.handler.Scheduler(backend.Name)
	exchange.queuedRequest = &scheduler.QueuedRequest{Route: route.Name, ConcurrencyLimit: route.ConcurrencyLimit, PartTokens: request.PartTokens, Decisions: make(chan scheduler.Decision, 1),
		Keys: exchange.handler.Indexer.Processor.BlockKeys(request.Parts, kvblock.Extra{Model: request.Model, Weights: backend.Weights, Adapter: request.Adapter}),
		Requirements: scheduler.Requirements{Value: route.Value, LatencyTarget: exchange.latencyTarget(), Deadline: exchange.waits(), PromptTokens: request.PromptTokens,
			AnswerTokens: request.AnswerTokens, Rank: route.Rank, TenantRank: exchange.tenantRank(), Resumed: exchange.relayed, Zone: exchange.handler.Zone,
			Shut: map[string]bool{}}}
}

// mayTry tells whether the request may be sent to one more runner.
func (exchange *Exchange) mayTry() bool {
	return exchange.attempts < maximumAttempts && (exchange.route.Attempts == 0 || exchange.sends < exchange.route.Attempts)
}

// obtain asks for an award and obeys, until a runner's answer may be relayed; otherwise it gives what to tell.
func (exchange *Exchange) obtain(last scheduler.AttemptOutcome) *codec.Refusal {
	for {
		exchange.to(bidding)
		if refusal := exchange.requirements(last); refusal != nil {
			return refusal
		}
		exchange.to(passing)
		exchange.attempts++
		end := exchange.pass()
		if end == "" {
			return nil
		}
		exchange.drop()
		if end == scheduler.Ambiguous {
			exchange.ambiguous = true
		}
		if refusal := exchange.failedAttempt(end); refusal != nil {
			return refusal
		}
		last = end
	}
}

// requirements asks for an award, behind an attempt that ended so; it gives what to tell where there is none.
func (exchange *Exchange) requirements(last scheduler.AttemptOutcome) *codec.Refusal {
	if exchange.left() {
		return exchange.refusalOf(errLeft())
	}
	if !exchange.mayTry() || exchange.over() {
		verdict := exchange.following(last)
		return exchange.refusal(verdict.Otherwise, "every attempt failed", verdict.Ran, exchange.comeback(verdict.Otherwise))
	}
	// The spec may have taken the route or its backend away since the last attempt.
	if err := exchange.proper(); err != nil {
		return exchange.refusalOf(err)
	}
	if !exchange.enter() {
		return exchange.refusalOf(errLeft())
	}
	if exchange.step.Kind == scheduler.Reject {
		return exchange.refusedStep()
	}
	return nil
}

// failedAttempt gives what to tell after an attempt that ended so, or nil where another may follow.
func (exchange *Exchange) failedAttempt(end scheduler.AttemptOutcome) *codec.Refusal {
	if exchange.left() {
		return exchange.refusalOf(errLeft())
	}
	verdict := exchange.following(end)
	if !verdict.Retry {
		return exchange.refusal(verdict.Otherwise, fmt.Sprintf("runner %s gave no answer", exchange.step.Runner.ID), verdict.Ran, exchange.comeback(verdict.Otherwise))
	}
	// A runner is not at fault where this daemon was not sure of its spec.
	if end != scheduler.NotSent || exchange.handler.Snapshot().Until.After(exchange.now()) {
		exchange.queuedRequest.Requirements.Shut[exchange.step.Runner.ID] = true
	}
	return nil
}

// following gives what may follow an attempt that ended so.
func (exchange *Exchange) following(end scheduler.AttemptOutcome) scheduler.RetryDecision {
	verdict := scheduler.DecideRetry(end, exchange.route.Idempotent)
	// What was relayed stands; a stream that may be resumed goes on behind it at another runner.
	if end == scheduler.Broken && exchange.route.Resumable && !exchange.handler.Without[features.Resumption] {
		verdict.Retry, verdict.Spends = true, true
	}
	return verdict
}

// drop lets go of the runner after an attempt that failed.
func (exchange *Exchange) drop() {
	if exchange.connection != nil {
		_ = exchange.connection.Close()
		exchange.connection = nil
	}
	exchange.scheduler.Release(exchange.now(), exchange.queuedRequest, exchange.step.Runner.ID)
}
