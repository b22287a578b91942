package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/balancer/load"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/metrics"
	"wardtray/proxy/codec"
	"wardtray/proxy/stream"
	"wardtray/transport/connpool"
)

const (
	// writeTimeout bounds how long the operating system may take to accept the bytes of a request.
	writeTimeout = 2 * time.Second
	// recheckAfter is the maximum age of the last check of a decision when the bytes go out. An older check means that
	// the process was frozen or had to wait, so everything is checked again.
	recheckAfter = 5 * time.Millisecond
	// earlyResponseTimeout bounds the wait for a response that the runner sent before it had received the complete
	// request.
	earlyResponseTimeout = 20 * time.Millisecond
	// lastPartSize is the number of bytes of a long request that are held back until the last check. longRequestSize is
	// the size in bytes above which a request counts as long.
	lastPartSize    = 4 << 10
	longRequestSize = 4 * lastPartSize
)

// Reasons for which a runner is ejected, as operators see them.
const (
	reasonServesOther     = "serves something else than listed"
	reasonSilent          = "is silent"
	reasonNoResponse      = "gave no answer"
	reasonNoFirstEvent    = "gave no first event"
	reasonNoEvents        = "gave no events"
	reasonUnclearResponse = "gave an answer that tells nothing"
	reasonAddressReused   = "another runner answers at its address"
	reasonBrokenResponse  = "broke off an answer"
	reasonBrokenStream    = "broke off a stream"
	reasonFailedRun       = "failed a run"
)

// responseReady is the outcome of an attempt whose response may be relayed.
const responseReady scheduler.AttemptOutcome = ""

// attempt is one attempt to run a request at one runner: the connection, the state of the write and the response.
type attempt struct {
	exchange *Exchange
	// decision is the decision of the scheduler, which names the runner.
	decision scheduler.Decision
	// epoch is the epoch of the configuration that the decision was last checked against, at checkedAt.
	epoch     uint64
	checkedAt time.Time
	// connection is the connection to the runner; nil before it is made and after it was returned to the pool.
	connection *connpool.Connection
	// sentAt is the time at which the write of the request began. partial reports whether the request was not written
	// completely.
	sentAt  time.Time
	partial bool
	// response is the runner's response, head its classified head.
	response *fasthttp.Response
	head     codec.ResponseHead
	// reader reads the events of a stream; it is nil if body is the complete response. firstEvent is the event that was
	// read together with the head.
	reader     *stream.Reader
	firstEvent stream.Event
	body       []byte
	// reservationError is the reason why the request must not be sent to any runner; nil if it may be sent.
	reservationError error
	// listingIsStale reports whether another runner has the address of the chosen one, so that the list of runners is
	// out of date.
	listingIsStale bool
}

// Permits reports whether a configuration allows a backend to use a runner.
func Permits(catalog *config.Catalog, backend *config.Backend, runner load.Runner) bool {
	return backend.AllowsService(runner.Service) && catalog.IsOpen(runner.Zone)
}

// execute sends the request to the runner and reads the response up to the first event. It returns the outcome of the
// attempt, responseReady if the response may be relayed.
func (attempt *attempt) execute() scheduler.AttemptOutcome {
	exchange, runner := attempt.exchange, attempt.decision.Runner
	// The reservation is made while the connection is being set up.
	exchange.atMostOnce.begin()
	connection, err := exchange.handler.Connections.TakeWithin(exchange.client.ctx, runner.ID, runner.Address,
		exchange.remaining())
	if err != nil {
		code := apierror.Of(err).Code
		attempt.listingIsStale = code == apierror.WrongIdentity
		attempt.reportFailure(string(code))
		attempt.countNotSent()
		return scheduler.NotSent
	}
	attempt.connection = connection
	if !attempt.isAllowed() {
		if attempt.contradictsListing() {
			exchange.handler.Loads.Eject(exchange.now(), runner.ID, reasonServesOther)
		}
		attempt.countNotSent()
		return scheduler.NotSent
	}
	if !exchange.client.checkConnected() {
		attempt.returnUnused()
		return scheduler.NotSent
	}
	if attempt.reservationError = exchange.awaitReservation(); attempt.reservationError != nil {
		attempt.returnUnused()
		return scheduler.NotSent
	}
	if !exchange.spendSend() {
		return scheduler.NotSent
	}
	if outcome := attempt.send(); outcome != responseReady {
		attempt.countNotSent()
		return outcome
	}
	if outcome := attempt.readResponse(); outcome != responseReady {
		return outcome
	}
	exchange.state.to(stateRelaying)
	return responseReady
}

// isAllowed checks the decision against the newest configuration, the newest list of runners and the deadline, directly
// before bytes go out.
func (attempt *attempt) isAllowed() bool {
	exchange := attempt.exchange
	snapshot, now := exchange.handler.Snapshot(), exchange.now()
	attempt.checkedAt = now
	if !now.Before(snapshot.ExpiresAt) || snapshot.Catalog == nil || exchange.deadline.passed(now) {
		return false
	}
	route := routeOf(snapshot.Catalog, exchange.request)
	if route == nil || route.Name != exchange.route.Name {
		return false
	}
	backend := backendOf(snapshot.Catalog, route, exchange.request)
	if backend == nil || backend.Name != exchange.backend.Name || !serves(backend, exchange.request) {
		return false
	}
	runner, known := exchange.handler.Loads.Lookup(now, attempt.decision.Runner.ID, exchange.handler.Daemons())
	if !known || runner.Reason == load.ReasonDraining || !Permits(snapshot.Catalog, backend, runner) {
		return false
	}
	if !exchange.execution.relayed && exchange.identifyTenant(snapshot.Catalog, route) != nil {
		return false
	}
	attempt.epoch = snapshot.SpecEpoch
	return attempt.isIdentified(runner, backend)
}

// isIdentified reports whether the runner at the other end of the connection is the chosen one. Where runners are not
// asked for their identity, every request names the chosen runner, and any other runner rejects the request.
func (attempt *attempt) isIdentified(runner load.Runner, backend *config.Backend) bool {
	if attempt.exchange.handler.Codec.IdentityPath() == "" {
		return true
	}
	identity := attempt.connection.Identity
	return identity.RunnerID == runner.ID && backend.AllowsService(identity.Service) &&
		identity.Model == backend.Model && identity.Weights == backend.Weights
}

// contradictsListing reports whether the runner's own identity differs from the service or the weights that it is
// listed with.
func (attempt *attempt) contradictsListing() bool {
	identity, backend := attempt.connection.Identity, &attempt.exchange.backend
	return attempt.exchange.handler.Codec.IdentityPath() != "" &&
		(!backend.AllowsService(identity.Service) || identity.Weights != backend.Weights)
}

// send writes the request. Writing a long request takes time, so the decision is checked again before the last part
// goes out; without that part the runner has no complete request. It returns responseReady if the complete request went
// out or the runner responded early.
func (attempt *attempt) send() scheduler.AttemptOutcome {
	exchange := attempt.exchange
	exchange.state.to(stateSent)
	attempt.sentAt = exchange.now()
	content := exchange.handler.Codec.EncodeRequest(exchange.request, attempt.describe())
	exchange.atMostOnce.announceSend()
	attempt.bindToClient()
	written := attempt.write(content)
	attempt.partial = written < len(content)
	if attempt.partial && attempt.interruptedByClient(written) {
		return scheduler.Ambiguous
	}
	if attempt.partial && !attempt.respondedEarly() {
		return scheduler.NotSent
	}
	exchange.attemptCounter.sends++
	attempt.connection.RequestSent()
	exchange.scheduler.RequestSent(attempt.sentAt, exchange.queuedRequest, attempt.decision)
	return responseReady
}

// write passes the bytes of a request to the operating system and returns how many of them it accepted.
func (attempt *attempt) write(content []byte) int {
	exchange := attempt.exchange
	if exchange.now().Sub(attempt.checkedAt) >= recheckAfter && !attempt.recheck() {
		return 0
	}
	timeout := writeTimeout
	if remaining := exchange.remaining(); remaining > 0 {
		timeout = min(timeout, remaining)
	}
	attempt.setTimeout(timeout)
	before := 0
	if len(content) > longRequestSize {
		written, err := attempt.connection.Write(content[:len(content)-lastPartSize])
		if err != nil || !attempt.isAllowed() || !exchange.client.checkConnected() {
			return written
		}
		before = written
	}
	// If the local operating system has not accepted all bytes, no runner can have read the complete request. If it has
	// accepted all bytes, a write error does not show what the runner received, and the response decides the outcome.
	written, _ := attempt.connection.Write(content[before:])
	return before + written
}

// recheck reports whether the decision still holds after a pause before the write: the configuration, the runner and
// the deadline still allow it, the client is connected, and the runner has neither closed the connection nor sent
// anything over it.
func (attempt *attempt) recheck() bool {
	return attempt.isAllowed() && attempt.connection.Idle() && attempt.exchange.client.checkConnected()
}

// respondedEarly reports whether the runner has responded to a request that it did not receive completely. The runner
// may have started a run from the part that it received, so its response decides the outcome, not the write error.
func (attempt *attempt) respondedEarly() bool {
	attempt.setTimeout(earlyResponseTimeout)
	_, err := attempt.connection.Reader.Peek(1)
	return err == nil
}

// setTimeout bounds all further reads and writes on the connection. It ignores errors: on a connection that is already
// closed the next read or write fails.
func (attempt *attempt) setTimeout(timeout time.Duration) {
	_ = attempt.connection.SetDeadline(attempt.exchange.now().Add(timeout))
}

// await bounds all further reads by the time for which the client waits. If the runner is silent for longer than
// patience and the request may be sent to another runner, it is, while this attempt goes on. Where the client's time is
// not known, the wait ends after patience. Like setTimeout it ignores errors.
func (attempt *attempt) await(limits waitLimits, patience time.Duration) {
	now := attempt.exchange.now()
	stall, deadline := now.Add(patience), now.Add(patience)
	if limits.remaining > 0 {
		deadline = now.Add(limits.remaining)
	}
	if !limits.mayRetry || !attempt.exchange.mayHedge() {
		_ = attempt.connection.SetDeadline(deadline)
		return
	}
	_ = attempt.connection.AwaitResponse(attempt, stall, deadline)
}

// describe returns the parameters of the attempt that a codec needs.
func (attempt *attempt) describe() codec.Attempt {
	exchange := attempt.exchange
	return codec.Attempt{
		Runner:      attempt.decision.Runner,
		Daemon:      exchange.handler.Name,
		Epoch:       attempt.epoch,
		Remaining:   exchange.remaining(),
		LastEventID: exchange.lastEventID,
		Urgency:     attempt.decision.Urgency,
		Weights:     exchange.backend.Weights,
		Tenant:      tenantName(exchange.tenant),
		Term:        exchange.handler.Snapshot().Term,
	}
}

// bindToClient cancels the run when the client disconnects, unless the request must run at most once and its outcome
// has to be known.
func (attempt *attempt) bindToClient() {
	if attempt.exchange.route.CancelsOnDisconnect() {
		attempt.connection.Bind(attempt.exchange.client.ctx)
	}
}

// interruptedByClient reports whether the client's disconnect ended a write halfway. The runner may have started a run
// from the part that it received, and can't report this over a closed connection.
func (attempt *attempt) interruptedByClient(written int) bool {
	return written > 0 && attempt.exchange.client.hasDisconnected() && attempt.exchange.route.CancelsOnDisconnect()
}

// reportFailure ejects the runner, unless the attempt was cancelled because the client disconnected, or a second
// attempt was started because the runner was silent, which has ejected it already.
func (attempt *attempt) reportFailure(reason string) {
	exchange := attempt.exchange
	if !exchange.client.hasDisconnected() && exchange.hedge == nil {
		exchange.handler.Loads.Eject(exchange.now(), attempt.decision.Runner.ID, reason)
	}
}

// countNotSent counts an attempt that put no load on its runner.
func (attempt *attempt) countNotSent() {
	attempt.exchange.count(func(route *metrics.RouteMetrics) { route.UnsentAttempts++ })
}

// returnUnused returns an unused connection to the pool.
func (attempt *attempt) returnUnused() {
	attempt.exchange.handler.Connections.Release(attempt.connection, 0)
	attempt.connection = nil
}

// release closes the connection if it was not returned to the pool, and releases the runner's slot in the scheduler.
func (attempt *attempt) release() {
	if attempt.connection != nil {
		// An error does not matter, since the connection is not used again.
		_ = attempt.connection.Close()
		attempt.connection = nil
	}
	exchange := attempt.exchange
	exchange.scheduler.Release(exchange.now(), exchange.queuedRequest, attempt.decision.Runner.ID)
}
