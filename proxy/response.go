package proxy

import (
	"io"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/balancer/scheduler"
	"wardtray/features"
	"wardtray/proxy/codec"
	"wardtray/proxy/stream"
)

const (
	// maximumStrayResponses bounds the number of responses to other requests that are skipped before the expected one.
	maximumStrayResponses = 4
	// maximumResponse bounds the size in bytes of a response that is not a stream.
	maximumResponse = 8 << 20
	// tailTimeout bounds the wait for the rest of a response after the part that the client receives, and tailSize the
	// size of that rest in bytes.
	tailTimeout = 500 * time.Millisecond
	tailSize    = lastPartSize
)

// readResponse reads the response up to the first event. It returns responseReady if there is one.
func (attempt *attempt) readResponse() scheduler.AttemptOutcome {
	exchange := attempt.exchange
	limits := exchange.waitLimits()
	attempt.await(limits, limits.firstEvent(!exchange.handler.Disabled[features.EarlyRetry]))
	if err := attempt.readHead(); err != nil {
		attempt.reportFailure(reasonNoResponse)
		return scheduler.Ambiguous
	}
	if attempt.head.Report != nil && !exchange.handler.Disabled[features.LoadHeader] {
		exchange.handler.Loads.RecordResponseReport(exchange.now(), attempt.decision.Runner.ID, *attempt.head.Report)
	}
	if handle := responseHandlers[attempt.head.Disposition]; handle != nil {
		return handle(attempt)
	}
	attempt.reportFailure(reasonUnclearResponse)
	return scheduler.Ambiguous
}

// responseHandlers continue reading a response according to the disposition in its head.
var responseHandlers = map[codec.Disposition]func(attempt *attempt) scheduler.AttemptOutcome{
	codec.Streams:     (*attempt).readFirstEvent,
	codec.Finished:    (*attempt).readBody,
	codec.Failed:      (*attempt).handleFailedRun,
	codec.NotExecuted: (*attempt).handleRejection,
	codec.Misdirected: (*attempt).handleReusedAddress,
}

// readHead reads the head of the response to this request. It skips late responses to other requests.
func (attempt *attempt) readHead() error {
	exchange := attempt.exchange
	for range maximumStrayResponses {
		attempt.response = &fasthttp.Response{StreamBody: true, SkipBody: attempt.isHeadRequest()}
		if err := attempt.response.ReadLimitBody(attempt.connection.Reader, -1); err != nil {
			return apierror.Wrap(err, apierror.RunFailed, "reading a response head")
		}
		attempt.head = exchange.handler.Codec.Classify(attempt.response, exchange.request, attempt.describe())
		attempt.head.Closes = attempt.head.Closes || attempt.mustNotReuse()
		if attempt.head.Disposition != codec.Stray {
			return nil
		}
		if err := attempt.skipStray(); err != nil {
			return err
		}
	}
	return apierror.New(apierror.RunFailed, "received only responses to other requests")
}

func (attempt *attempt) isHeadRequest() bool {
	return attempt.exchange.request.Method == fasthttp.MethodHead
}

// mustNotReuse reports whether no other request may follow on this connection. After a partial write the runner may
// still read the rest of this request. After a HEAD request, a late second response would state a length and have no
// body, and could not be distinguished from a response with a body.
func (attempt *attempt) mustNotReuse() bool { return attempt.partial || attempt.isHeadRequest() }

// skipStray reads a response to another request to its end, where the expected response begins.
func (attempt *attempt) skipStray() error {
	if attempt.isHeadRequest() {
		return apierror.New(apierror.RunFailed, "can't determine where the body of a response to another request ends")
	}
	read, err := io.Copy(io.Discard, io.LimitReader(attempt.remainingBody(), maximumResponse))
	if err == nil && read == maximumResponse {
		err = apierror.New(apierror.RunFailed, "the body has more than %d bytes", maximumResponse)
	}
	return apierror.Wrap(err, apierror.RunFailed, "reading a response to another request")
}

// remainingBody returns the unread rest of the response's body. It is empty if the response has no body or the codec
// has read the body with the head.
func (attempt *attempt) remainingBody() io.Reader {
	if body := attempt.response.BodyStream(); body != nil {
		return body
	}
	return http.NoBody
}

// readFirstEvent reads the first event of a stream. A stream that ends regularly without one is complete: a run that
// starts after the last event has none left.
func (attempt *attempt) readFirstEvent() scheduler.AttemptOutcome {
	exchange := attempt.exchange
	attempt.reader = stream.NewReader(attempt.remainingBody(), exchange.handler.Codec.Rules(), exchange.lastEventID)
	first, err := attempt.reader.Next()
	if err != nil && !stream.EndsRun(err) {
		attempt.reportFailure(reasonNoFirstEvent)
		return scheduler.Ambiguous
	}
	attempt.firstEvent = first
	return responseReady
}

// readBody reads a response that is not a stream.
func (attempt *attempt) readBody() scheduler.AttemptOutcome {
	exchange := attempt.exchange
	// The client has already received a head and some events; only events can follow them.
	if exchange.execution.relayed {
		exchange.handler.Loads.Eject(exchange.now(), attempt.decision.Runner.ID, reasonNoEvents)
		return scheduler.Ambiguous
	}
	// A body of unknown length that ends with its connection can't be distinguished from one that was cut off.
	if attempt.response.BodyStream() != nil && attempt.response.Header.ContentLength() < -1 {
		return scheduler.Ambiguous
	}
	body, err := io.ReadAll(io.LimitReader(attempt.remainingBody(), maximumResponse))
	if err != nil || len(body) == maximumResponse {
		attempt.reportFailure(reasonBrokenResponse)
		return scheduler.Ambiguous
	}
	attempt.response.StreamBody = false
	attempt.body = body
	return responseReady
}

// handleFailedRun handles a response in which the runner reports an error of its own. The run has ended and is retried
// only on an idempotent route. Such an error counts as a run: an at-most-once request is recorded as dedup.Ran, and a
// client retry under its id is refused without the statement that it did not run.
func (attempt *attempt) handleFailedRun() scheduler.AttemptOutcome {
	exchange := attempt.exchange
	exchange.handler.Loads.Eject(exchange.now(), attempt.decision.Runner.ID, reasonFailedRun)
	// An idempotent run is retried. Otherwise readBody forwards the error, unless part of a stream was already relayed.
	if exchange.route.Idempotent && exchange.mayAttempt() {
		return scheduler.Ambiguous
	}
	return attempt.readBody()
}

// handleRejection handles the runner's statement that it did not run the request and will not run it.
func (attempt *attempt) handleRejection() scheduler.AttemptOutcome {
	exchange := attempt.exchange
	attempt.keepConnection()
	exchange.scheduler.RequestRejected(exchange.now(), exchange.queuedRequest, attempt.decision)
	return scheduler.NotExecuted
}

// handleReusedAddress handles a response that shows that the address now belongs to another runner. The chosen runner
// will not return to this address, so it is ejected.
func (attempt *attempt) handleReusedAddress() scheduler.AttemptOutcome {
	exchange := attempt.exchange
	exchange.handler.Loads.Eject(exchange.now(), attempt.decision.Runner.ID, reasonAddressReused)
	return scheduler.NotExecuted
}

// keepConnection returns the connection to the pool after reading the rest of the response.
func (attempt *attempt) keepConnection() {
	if attempt.head.Closes {
		return
	}
	attempt.setTimeout(tailTimeout)
	// The rest of a longer body would be read as the head of the next response.
	read, err := io.Copy(io.Discard, io.LimitReader(attempt.remainingBody(), tailSize))
	if err != nil || read == tailSize {
		return
	}
	attempt.returnToPool()
}

// keepAfterRun returns the connection to the pool after a complete run if the response ends there too.
func (attempt *attempt) keepAfterRun() {
	complete := true
	if attempt.reader != nil && attempt.exchange.handler.Codec.Rules().Sequential {
		attempt.setTimeout(tailTimeout)
		complete = attempt.reader.ExpectEOF()
	}
	if complete && !attempt.head.Closes {
		attempt.returnToPool()
	}
}

// returnToPool returns the connection to the pool for as long as the runner keeps it open.
func (attempt *attempt) returnToPool() {
	attempt.exchange.handler.Connections.Release(attempt.connection, attempt.head.IdleTimeout)
	attempt.connection = nil
}
