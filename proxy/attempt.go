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
	// writeTimeout is how long the operating system may take to accept the bytes of a request.
	writeTimeout = 2 * time.Second
	// recheckAfter is how old the last check of a decision may be when the bytes go out: after that the process was
	// frozen, or waited, and everything is checked again.
	recheckAfter = 5 * time.Millisecond
	// earlyResponseTimeout is how long a response is waited for that the runner gave before it had the whole request.
	earlyResponseTimeout = 20 * time.Millisecond
	// lastPartSize is how many bytes of a long request are held back for the last check; longRequest is from what
	// length on that is done.
	lastPartSize = 4 << 10
	longRequest  = 4 * lastPartSize
)

// Reasons for which a runner is not used for a while, as they are shown to operators.
const (
	reasonServesOther     = "serves something else than listed"
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

// attempt is one request at one runner: the connection, what was sent over it and the response.
type attempt struct {
	exchange *Exchange
	// decision is the scheduler's, with the runner.
	decision scheduler.Decision
	// epoch is that of the configuration by which the decision was last checked, at checkedAt.
	epoch     uint64
	checkedAt time.Time
	// connection is the one to the runner, nil before it is made and after it was returned to the pool.
	connection *connpool.Connection
	// sentAt is when the request began to be written; partial says that the runner did not get all of it.
	sentAt  time.Time
	partial bool
	// response is the runner's, and head what its head says.
	response *fasthttp.Response
	head     codec.ResponseHead
	// reader reads the events of a stream, of which first came with the response; it is nil where body is the whole
	// response.
	reader *stream.Reader
	first  stream.Event
	body   []byte
	// notReserved is why the request must not be sent to any runner; nil: it may be.
	notReserved error
	// listingIsStale says that another runner has the address of the one that is meant: the list of runners is behind.
	listingIsStale bool
}

// Permits reports whether a configuration lets a backend use a runner.
func Permits(catalog *config.Catalog, backend *config.Backend, runner load.Runner) bool {
	return backend.AllowsService(runner.Service) && catalog.IsOpen(runner.Zone)
}

// execute sends the request to the runner and reads up to the first event. It returns how the attempt ended, or
// succeeded when the response may be relayed.
func (attempt *attempt) execute() scheduler.AttemptOutcome {
	exchange, runner := attempt.exchange, attempt.decision.Runner
	// The reservation is made while the connection is.
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
		if attempt.servesOther() {
			exchange.handler.Loads.Eject(exchange.now(), runner.ID, reasonServesOther)
		}
		attempt.countNotSent()
		return scheduler.NotSent
	}
	if !exchange.client.isPresent() {
		attempt.returnUnused()
		return scheduler.NotSent
	}
	if attempt.notReserved = exchange.awaitReservation(); attempt.notReserved != nil {
		attempt.returnUnused()
		return scheduler.NotSent
	}
	if !exchange.spendTry() {
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

// isAllowed checks the decision against the newest configuration, the newest list of runners and the deadline, at the
// moment before bytes go out.
func (attempt *attempt) isAllowed() bool {
	exchange := attempt.exchange
	snapshot, now := exchange.handler.Snapshot(), exchange.now()
	attempt.checkedAt = now
	if !now.Before(snapshot.Until) || snapshot.Catalog == nil || exchange.deadline.passed(now) {
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

// isIdentified reports whether the runner at the other end of the connection is the one that is meant. Where runners
// are not asked who they are, every request names the one that is meant, and another one rejects it.
func (attempt *attempt) isIdentified(runner load.Runner, backend *config.Backend) bool {
	if attempt.exchange.handler.Codec.IdentityPath() == "" {
		return true
	}
	identity := attempt.connection.Identity
	return identity.RunnerID == runner.ID && backend.AllowsService(identity.Service) &&
		identity.Model == backend.Model && identity.Weights == backend.Weights
}

// servesOther reports whether the runner itself says that it serves something else than it is listed with.
func (attempt *attempt) servesOther() bool {
	identity, backend := attempt.connection.Identity, &attempt.exchange.backend
	return attempt.exchange.handler.Codec.IdentityPath() != "" &&
		(!backend.AllowsService(identity.Service) || identity.Weights != backend.Weights)
}

// send writes the request. A long one takes its time on the way, so that the decision is checked again before its last
// part: without that the runner has no request. It returns responseReady when all went out or it responded early.
func (attempt *attempt) send() scheduler.AttemptOutcome {
	exchange := attempt.exchange
	exchange.state.to(stateSent)
	attempt.sentAt = exchange.now()
	content := exchange.handler.Codec.EncodeRequest(exchange.request, attempt.describe())
	exchange.atMostOnce.announceSend()
	attempt.bindToClient()
	written := attempt.write(content)
	attempt.partial = written < len(content)
	if attempt.partial && attempt.isCutOff(written) {
		return scheduler.Ambiguous
	}
	if attempt.partial && !attempt.respondedEarly() {
		return scheduler.NotSent
	}
	exchange.tries.sends++
	attempt.connection.RequestSent(exchange.route.Idempotent && exchange.mayTry())
	exchange.scheduler.RequestSent(attempt.sentAt, exchange.queuedRequest, attempt.decision)
	return responseReady
}

// write passes the bytes of a request to the operating system and returns how many of them that accepted.
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
	if len(content) > longRequest {
		written, err := attempt.connection.Write(content[:len(content)-lastPartSize])
		if err != nil || !attempt.isAllowed() || !exchange.client.isPresent() {
			return written
		}
		before = written
	}
	// What was not even accepted completely by our own system no runner can have read completely. After that an error
	// of the write says nothing of what the runner got, and reading the response decides.
	written, _ := attempt.connection.Write(content[before:])
	return before + written
}

// recheck reports whether the decision still holds after a pause between it and the write: the configuration, the
// runner and the deadline are as they were, the client is still there, and the runner has neither closed the connection
// nor sent anything over it.
func (attempt *attempt) recheck() bool {
	return attempt.isAllowed() && attempt.connection.Idle() && attempt.exchange.client.isPresent()
}

// respondedEarly reports whether the runner has responded to a request that it did not get completely. It may have run
// what it got, so that its response decides, and not the error of the write.
func (attempt *attempt) respondedEarly() bool {
	attempt.setTimeout(earlyResponseTimeout)
	_, err := attempt.connection.Reader.Peek(1)
	return err == nil
}

// setTimeout bounds all that is read and written on the connection from now on. A connection that is closed already
// fails at the next read or write.
func (attempt *attempt) setTimeout(timeout time.Duration) {
	_ = attempt.connection.SetDeadline(attempt.exchange.now().Add(timeout))
}

// describe is this attempt as codecs see it.
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

// bindToClient has the run end with the client, unless it must run at most once and its outcome is worth knowing.
func (attempt *attempt) bindToClient() {
	if attempt.exchange.route.CancelsOnDisconnect() {
		attempt.connection.Bind(attempt.exchange.client.ctx)
	}
}

// isCutOff reports whether the client's departure ended a write in the middle. The runner may have begun on what it
// got, and over a connection that is closed it can't say so.
func (attempt *attempt) isCutOff(written int) bool {
	return written > 0 && attempt.exchange.client.hasLeft() && attempt.exchange.route.CancelsOnDisconnect()
}

// reportFailure has the runner not used for a while, unless it was cut off because nobody waited for it any more.
func (attempt *attempt) reportFailure(reason string) {
	exchange := attempt.exchange
	if !exchange.client.hasLeft() {
		exchange.handler.Loads.Eject(exchange.now(), attempt.decision.Runner.ID, reason)
	}
}

// countNotSent counts an attempt that cost its runner nothing.
func (attempt *attempt) countNotSent() {
	attempt.exchange.count(func(route *metrics.RouteMetrics) { route.UnsentAttempts++ })
}

// returnUnused returns a connection over which nothing was sent to the pool.
func (attempt *attempt) returnUnused() {
	attempt.exchange.handler.Connections.Release(attempt.connection, 0)
	attempt.connection = nil
}

// release closes the connection if it was not returned, and gives the scheduler the runner's slot back.
func (attempt *attempt) release() {
	if attempt.connection != nil {
		// Whatever closing it fails with, it is not used again.
		_ = attempt.connection.Close()
		attempt.connection = nil
	}
	exchange := attempt.exchange
	exchange.scheduler.Release(exchange.now(), exchange.queuedRequest, attempt.decision.Runner.ID)
}
