package proxy

import (
	"time"

	"wardtray/apierror"
	"wardtray/balancer/load"
	"wardtray/balancer/scheduler"
	"wardtray/config"
	"wardtray/metrics"
	"wardtray/proxy/codec"
	"wardtray/transport/connpool"
)

const (
	// writeBound is how long the system may take to take a request over.
	writeBound = 2 * time.Second
	// recheckAfter is how old the last check of a decision may be when the bytes go out: after that the process was
	// frozen, or waited, and everything is checked anew.
	recheckAfter = 5 * time.Millisecond
	// earlyAnswerBound is how long an answer is waited for that the runner gave before it had the whole request.
	earlyAnswerBound = 20 * time.Millisecond
)

// allowed looks at the newest spec, the newest list and the deadline once more, at the moment before bytes go out.
func (exchange *Exchange) allowed(identity connpool.Identity) bool {
	snapshot, now := exchange.handler.Snapshot(), exchange.now()
	exchange.checkedAt = now
	if !now.Before(snapshot.Until) || snapshot.Catalog == nil || exchange.over() {
		return false
	}
	route := routeOf(snapshot.Catalog, exchange.request)
	if route == nil || route.Name != exchange.route.Name {
		return false
	}
	backend := backendOf(snapshot.Catalog, route, exchange.request)
	if backend == nil || backend.Name != exchange.backend.Name || backend.Model != "" && backend.Model != exchange.request.Model || !backend.Serves(exchange.request.Adapter) {
		return false
	}
	runner, known := exchange.handler.Loads.One(now, exchange.step.Runner.ID, exchange.handler.Daemons())
	if !known || runner.Reason == load.ReasonLeaving || !Permits(snapshot.Catalog, backend, runner) {
		return false
	}
	if !exchange.relayed && exchange.identify(snapshot.Catalog, route) != nil {
		return false
	}
	exchange.epoch = snapshot.SpecEpoch
	// Where runners are not asked who they are, every request states whom it means, and another one turns it away.
	if exchange.handler.Codec.Identity() == "" {
		return true
	}
	return identity.RunnerID == runner.ID && backend.Allows(identity.Service) && identity.Model == backend.Model && identity.Weights == backend.Weights
}

// Permits tells whether a spec lets a backend use a runner.
func Permits(catalog *config.Catalog, backend *config.Pool, runner load.Runner) bool {
	return backend.Allows(runner.Service) && catalog.Open(runner.Zone)
}

// pass sends the request to the runner awarded and reads up to the first event. It gives "" when the
// answer may be relayed, and otherwise how the attempt ended.
func (exchange *Exchange) pass() scheduler.AttemptOutcome {
	runner := exchange.step.Runner
	connection, err := exchange.handler.Connections.TakeWithin(exchange.ctx, runner.ID, runner.Address, exchange.remaining())
	if err != nil {
		exchange.blame(string(apierror.Of(err).Code))
		exchange.countFree()
		return scheduler.NotSent
	}
	exchange.connection = connection
	if !exchange.allowed(connection.Identity) {
		if exchange.handler.Codec.Identity() != "" && (!exchange.backend.Allows(connection.Identity.Service) || connection.Identity.Weights != exchange.backend.Weights) {
			exchange.handler.Loads.Failed(exchange.now(), runner.ID, "serves something else than listed")
		}
		exchange.countFree()
		return scheduler.NotSent
	}
	if !exchange.awaited() {
		exchange.returnUnused()
		return scheduler.NotSent
	}
	if !exchange.mayRetry() {
		return scheduler.NotSent
	}
	if end := exchange.send(); end != "" {
		exchange.countFree()
		return end
	}
	if end := exchange.answer(); end != "" {
		return end
	}
	exchange.to(relaying)
	return ""
}

func (exchange *Exchange) countFree() {
	exchange.handler.Metrics.Count(exchange.route.Name, func(route *metrics.RouteMetrics) { route.FreeAttempts++ })
}

// mayRetry takes a second or later send out of the budget.
func (exchange *Exchange) mayRetry() bool {
	budget := exchange.handler.budget(exchange.backend.Name)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if exchange.sends == 0 {
		// An attempt that ends before its last byte is no send, and its request counts once.
		if !exchange.counted {
			exchange.counted = true
			budget.budget.Request(exchange.now())
		}
		return true
	}
	if !budget.budget.Repeat(exchange.now()) {
		// Without budget no later attempt can go out either, so the final answer is given now.
		exchange.attempts = maximumAttempts
		return false
	}
	exchange.handler.Metrics.Count(exchange.route.Name, func(route *metrics.RouteMetrics) { route.Retries++ })
	return true
}

// run is this attempt in the words of a speech.
func (exchange *Exchange) run() codec.Run {
	return codec.Run{Runner: exchange.step.Runner, Daemon: exchange.handler.Name, Epoch: exchange.epoch, Left: exchange.remaining(), After: exchange.after,
		Urgency: exchange.step.Urgency, Weights: exchange.backend.Weights, Tenant: exchange.tenantName()}
}

// send writes the request out. A long one takes its time on the way, so that the last look comes again
// before its last part: without that the runner has no request. It gives "" when the whole went out.
func (exchange *Exchange) send() scheduler.AttemptOutcome {
	exchange.to(sent)
	exchange.sentAt = exchange.now()
	content := exchange.handler.Codec.Outgoing(exchange.request, exchange.run())
	if exchange.key != nil && !exchange.told {
		exchange.told = true
		exchange.handler.Tell(*exchange.key, false)
	}
	exchange.bind()
	written := exchange.write(content)
	exchange.partial = written < len(content)
	if exchange.partial && exchange.cutOff(written) {
		return scheduler.Ambiguous
	}
	if exchange.partial && !exchange.answeredEarly() {
		return scheduler.NotSent
	}
	exchange.sends++
	exchange.connection.Sent(exchange.route.Idempotent && exchange.mayTry())
	exchange.scheduler.Sent(exchange.sentAt, exchange.queuedRequest, exchange.step)
	return ""
}

// write gives the bytes of a request to the system and tells how many of them that took.
func (exchange *Exchange) write(content []byte) int {
	if exchange.now().Sub(exchange.checkedAt) >= recheckAfter && !exchange.recheck() {
		return 0
	}
	bound := writeBound
	if left := exchange.remaining(); left > 0 {
		bound = min(bound, left)
	}
	_ = exchange.connection.SetDeadline(exchange.now().Add(bound))
	before := 0
	if len(content) > 4*lastPart {
		written, err := exchange.connection.Write(content[:len(content)-lastPart])
		if err != nil || !exchange.allowed(exchange.connection.Identity) || !exchange.awaited() {
			return written
		}
		before = written
	}
	// What was not even taken over whole by our own system no runner can have read whole. After that a failure
	// to write tells nothing of what the runner got, and reading the answer decides.
	written, _ := exchange.connection.Write(content[before:])
	return before + written
}

// recheck tells whether the decision still holds after a pause between it and the write: the spec, the runner and
// the deadline are as they were, the client is still there, and the runner has neither closed the connection nor
// sent anything over it.
func (exchange *Exchange) recheck() bool {
	return exchange.allowed(exchange.connection.Identity) && exchange.connection.Quiet() && exchange.awaited()
}

// answeredEarly tells whether the runner has answered a request that it did not get whole. It may have run what it
// got, so that its answer decides, and not the failure to write.
func (exchange *Exchange) answeredEarly() bool {
	_ = exchange.connection.SetDeadline(exchange.now().Add(earlyAnswerBound))
	_, err := exchange.connection.Reader.Peek(1)
	return err == nil
}
