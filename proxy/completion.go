package proxy

import (
	"wardtray/apierror"
	"wardtray/metrics"
	"wardtray/proxy/codec"
	"wardtray/proxy/dedup"
)

// Outcomes under which relayed requests are counted.
const (
	endDone               = "done"
	endClientDisconnected = string(apierror.ClientDisconnected)
)

// relay forwards the response, beginning with the first event.
func (exchange *Exchange) relay() {
	exchange.recordFirstEvent()
	client, attempt := exchange.client, exchange.attempt
	if exchange.handler.Draining.Load() {
		client.CloseAfterResponse()
	}
	status, headers := exchange.handler.Codec.ResponseHeaders(attempt.response, exchange.request, attempt.describe())
	if attempt.reader == nil {
		client.Respond(status, headers, attempt.body)
		exchange.finish(endDone, true)
		return
	}
	exchange.execution.relayed = true
	client.Stream(status, headers, &relay{exchange: exchange})
}

// recordFirstEvent records that the runner has responded, and the time that it took.
func (exchange *Exchange) recordFirstEvent() {
	attempt := exchange.attempt
	if attempt.connection != nil {
		attempt.connection.ResponseStarted()
	}
	took, runner := exchange.now().Sub(attempt.sentAt), attempt.decision.Runner
	// A response with an error of the runner's own is not recorded as a success, which would end the runner's ejection and
	// send it more requests at once.
	if attempt.head.Disposition != codec.Failed {
		exchange.handler.Loads.RequestSucceeded(runner.ID)
	}
	exchange.scheduler.FirstEventReceived(exchange.queuedRequest, attempt.decision, took)
	exchange.count(func(route *metrics.RouteMetrics) {
		route.ObserveFirstEvent(exchange.now().Sub(exchange.deadline.started))
		route.CachedTokens += uint64(attempt.decision.CachedTokens)
		route.PromptTokens += uint64(exchange.request.PromptTokens)
		if runner.Zone != exchange.handler.Zone {
			route.OtherZoneResponses++
			route.CrossZoneBytes += uint64(len(exchange.request.Body))
		}
	})
}

// recordedStates holds the state that is recorded for a relayed request, by whether its run completed.
var recordedStates = map[bool]dedup.State{true: dedup.Ran, false: dedup.Unknown}

// finish finishes a request that was relayed. It counts the request under end; ran reports whether the run completed.
func (exchange *Exchange) finish(end string, ran bool) {
	exchange.state.to(stateFinished)
	attempt := exchange.attempt
	if ran {
		attempt.keepAfterRun()
		exchange.scheduler.RequestCompleted(0, 0, exchange.now().Sub(attempt.sentAt))
	}
	exchange.atMostOnce.finish(exchange.now(), recordedStates[ran])
	attempt.release()
	exchange.count(func(route *metrics.RouteMetrics) {
		route.Outcomes[end]++
		if end == endDone {
			route.Completed++
		}
		if attempt.decision.Runner.Zone != exchange.handler.Zone {
			route.CrossZoneBytes += uint64(exchange.relayedBytes)
		}
	})
	exchange.close()
}

// finishWithoutRunner finishes a request that was relayed in part and is left without a runner.
func (exchange *Exchange) finishWithoutRunner(code apierror.Code) {
	exchange.state.to(stateFinished)
	exchange.atMostOnce.finish(exchange.now(), dedup.Unknown)
	exchange.count(func(route *metrics.RouteMetrics) { route.Outcomes[string(code)]++ })
	exchange.close()
}
