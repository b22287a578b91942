package proxy

import (
	"context"
	"maps"
	"sync/atomic"

	"wardtray/balancer/scheduler"
	"wardtray/proxy/codec"
	"wardtray/transport/connpool"
)

// hedge is a second attempt at a request whose runner is silent, made beside the first one. Silence does not show that
// a runner has failed, so the first attempt goes on until the second has delivered; whichever delivers first serves the
// request, and the other one is cancelled. If the second attempt fails or is not possible, the first is as it was.
//
// The second attempt uses a copy of the exchange, so that the two share no state that changes.
type hedge struct {
	exchange *Exchange
	// last is the outcome by which the scheduler and the retry rules judge the first attempt.
	last scheduler.AttemptOutcome
	// original is the first attempt, and awaited the connection on which it waits.
	original *attempt
	awaited  *connpool.Connection
	// winner is the attempt that has delivered first.
	winner atomic.Int32
	// refusal is the reason why the second attempt has failed; nil if it has delivered. ended is closed when it is
	// final.
	refusal *codec.Refusal
	ended   chan struct{}
}

// The values of hedge.winner.
const (
	undecided int32 = iota
	originalWins
	hedgeWins
)

// mayHedge reports whether a second attempt may be made beside the current one, as far as the route allows another
// attempt at all.
func (exchange *Exchange) mayHedge() bool {
	return !exchange.isHedge && exchange.decideRetry(exchange.outcomeOfSilence()).Retry
}

// outcomeOfSilence returns the outcome that the current attempt would have if it ended now.
func (exchange *Exchange) outcomeOfSilence() scheduler.AttemptOutcome {
	if exchange.execution.relayed {
		return scheduler.Broken
	}
	return scheduler.Ambiguous
}

// startHedge starts a second attempt in another goroutine.
func (exchange *Exchange) startHedge() {
	ctx, cancel := context.WithCancel(exchange.client.ctx)
	copied := *exchange
	copied.isHedge = true
	copied.client = &clientConnection{Client: exchange.client.Client, ctx: ctx, cancel: cancel, stopWatch: func() {}}
	started := &hedge{
		exchange: &copied,
		last:     exchange.outcomeOfSilence(),
		original: exchange.attempt,
		awaited:  exchange.attempt.connection,
		ended:    make(chan struct{}),
	}
	exchange.hedge = started
	exchange.handler.Environment.Go(started.run)
}

// run makes the second attempt.
func (hedge *hedge) run() {
	defer close(hedge.ended)
	exchange := hedge.exchange
	exchange.enterSchedulerAgain()
	hedge.refusal = exchange.findRunner(hedge.last)
	if hedge.refusal != nil {
		return
	}
	if hedge.winner.CompareAndSwap(undecided, hedgeWins) {
		hedge.awaited.Interrupt(hedge.original)
		return
	}
	hedge.refusal = exchange.refusalOf(errClientDisconnected())
	exchange.attempt.release()
}

// settleHedge ends the second attempt, if one was started beside the current attempt. delivered reports whether the
// current attempt has delivered. It reports whether the second attempt has delivered instead, and is the current one
// now. If the current attempt has failed, it waits for the second one.
func (exchange *Exchange) settleHedge(delivered bool) (replaced bool) {
	started := exchange.hedge
	if started == nil {
		return false
	}
	exchange.hedge = nil
	if delivered && started.winner.CompareAndSwap(undecided, originalWins) || exchange.isPastDeadline() {
		started.exchange.client.cancel()
	}
	for !started.hasEnded() {
		exchange.handler.Environment.Wait(context.Background(), idleTimeout, started.ended)
	}
	exchange.attemptCounter.add(&started.exchange.attemptCounter)
	if started.refusal == nil {
		exchange.adopt(started.exchange)
		return true
	}
	started.exchange.client.cancel()
	exchange.execution.ambiguous = exchange.execution.ambiguous || started.exchange.execution.ambiguous
	maps.Copy(exchange.queuedRequest.Requirements.ExcludedRunners,
		started.exchange.queuedRequest.Requirements.ExcludedRunners)
	return false
}

// hasEnded reports whether the second attempt has ended.
func (hedge *hedge) hasEnded() bool {
	select {
	case <-hedge.ended:
		return true
	default:
		return false
	}
}

// adopt ends the current attempt and continues with that of a hedge.
func (exchange *Exchange) adopt(hedged *Exchange) {
	exchange.attempt.release()
	exchange.route, exchange.backend, exchange.tenant = hedged.route, hedged.backend, hedged.tenant
	exchange.deadline, exchange.scheduler, exchange.queuedRequest = hedged.deadline, hedged.scheduler, hedged.queuedRequest
	exchange.state, exchange.decision, exchange.attempt = hedged.state, hedged.decision, hedged.attempt
	exchange.attempt.exchange = exchange
}

// Stalled starts a second attempt beside this one, whose runner has been silent for too long. It implements
// connpool.StallHandler.
func (attempt *attempt) Stalled() {
	attempt.reportFailure(reasonSilent)
	attempt.exchange.startHedge()
}
