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
	// maximumStrays is how many responses to other requests may come before the one that is due.
	maximumStrays = 4
	// maximumResponse bounds a response that is no stream, in bytes.
	maximumResponse = 8 << 20
	// tailTimeout is how long the rest of a response is waited for, after what the client gets; tailSize bounds it.
	tailTimeout = 500 * time.Millisecond
	tailSize    = lastPartSize
)

// readResponse reads up to the first event and returns succeeded when there is one.
func (attempt *attempt) readResponse() scheduler.AttemptOutcome {
	exchange := attempt.exchange
	attempt.setTimeout(exchange.waits().firstEvent(!exchange.handler.Disabled[features.EarlyRetry]))
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

// responseHandlers read on after a head, by what that says.
var responseHandlers = map[codec.Disposition]func(attempt *attempt) scheduler.AttemptOutcome{
	codec.Streams:     (*attempt).readFirstEvent,
	codec.Finished:    (*attempt).readBody,
	codec.Failed:      (*attempt).handleFailedRun,
	codec.NotExecuted: (*attempt).handleRejection,
	codec.Misdirected: (*attempt).handleReusedAddress,
}

// readHead reads the head of the response that belongs to this request; those that are late for another are skipped.
func (attempt *attempt) readHead() error {
	exchange := attempt.exchange
	for range maximumStrays {
		attempt.response = &fasthttp.Response{StreamBody: true, SkipBody: attempt.isHeadRequest()}
		if err := attempt.response.ReadLimitBody(attempt.connection.Reader, -1); err != nil {
			return apierror.Wrap(err, apierror.RunFailed, "reading the head of an answer")
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
	return apierror.New(apierror.RunFailed, "only answers to other requests came")
}

func (attempt *attempt) isHeadRequest() bool {
	return attempt.exchange.request.Method == fasthttp.MethodHead
}

// mustNotReuse reports whether no other request may follow on this connection: the runner may still read this one, or a
// late second response to it has a length and no body, which nobody could tell from one with a body.
func (attempt *attempt) mustNotReuse() bool { return attempt.partial || attempt.isHeadRequest() }

// skipStray reads a response to another request to its end, after which the one that is due begins.
func (attempt *attempt) skipStray() error {
	if attempt.isHeadRequest() {
		return apierror.New(apierror.RunFailed, "where the body of an answer to another request ends can't be told")
	}
	read, err := io.Copy(io.Discard, io.LimitReader(attempt.remainingBody(), maximumResponse))
	if err == nil && read == maximumResponse {
		err = apierror.New(apierror.RunFailed, "it has more than %d bytes", maximumResponse)
	}
	return apierror.Wrap(err, apierror.RunFailed, "reading an answer to another request")
}

// remainingBody is what is still to be read of a response's body: nothing where it has none, or where the codec has
// read it with the head.
func (attempt *attempt) remainingBody() io.Reader {
	if body := attempt.response.BodyStream(); body != nil {
		return body
	}
	return http.NoBody
}

// readFirstEvent reads the first event of a stream.
func (attempt *attempt) readFirstEvent() scheduler.AttemptOutcome {
	exchange := attempt.exchange
	attempt.reader = stream.NewReader(attempt.remainingBody(), exchange.handler.Codec.Rules(), exchange.lastEventID)
	first, err := attempt.reader.Next()
	if err != nil {
		attempt.reportFailure(reasonNoFirstEvent)
		return scheduler.Ambiguous
	}
	attempt.first = first
	return responseReady
}

// readBody reads a response that is no stream.
func (attempt *attempt) readBody() scheduler.AttemptOutcome {
	exchange := attempt.exchange
	// The client has a head and some events already, and only events can follow them.
	if exchange.execution.relayed {
		exchange.handler.Loads.Eject(exchange.now(), attempt.decision.Runner.ID, reasonNoEvents)
		return scheduler.Ambiguous
	}
	// A body of unknown length that ends with its connection can't be told from one that was cut off.
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

// handleFailedRun handles an error of the runner's own: the run has ended and may be started again only where that does
// no harm. Such an error counts as run: where a request runs at most once it is remembered as dedup.Ran, and sent again
// under its id it is refused without the promise that it did not run.
func (attempt *attempt) handleFailedRun() scheduler.AttemptOutcome {
	exchange := attempt.exchange
	exchange.handler.Loads.Eject(exchange.now(), attempt.decision.Runner.ID, reasonFailedRun)
	// An idempotent run is retried; else readBody forwards the error, unless part of a stream was relayed already.
	if exchange.route.Idempotent && exchange.mayTry() {
		return scheduler.Ambiguous
	}
	return attempt.readBody()
}

// handleRejection handles the runner's statement that it did not and will not run the request.
func (attempt *attempt) handleRejection() scheduler.AttemptOutcome {
	exchange := attempt.exchange
	attempt.keepConnection()
	exchange.scheduler.RequestRejected(exchange.now(), exchange.queuedRequest, attempt.decision)
	return scheduler.NotExecuted
}

// handleReusedAddress handles an address that now belongs to another runner; waiting for the former one is in vain.
func (attempt *attempt) handleReusedAddress() scheduler.AttemptOutcome {
	exchange := attempt.exchange
	exchange.handler.Loads.Eject(exchange.now(), attempt.decision.Runner.ID, reasonAddressReused)
	return scheduler.NotExecuted
}

// keepConnection returns the connection to the pool after a response that was read completely.
func (attempt *attempt) keepConnection() {
	if attempt.head.Closes {
		return
	}
	attempt.setTimeout(tailTimeout)
	// What is left of a longer body would be taken for the head of the next response.
	read, err := io.Copy(io.Discard, io.LimitReader(attempt.remainingBody(), tailSize))
	if err != nil || read == tailSize {
		return
	}
	attempt.returnKept()
}

// keepAfterRun returns the connection to the pool after a complete run, if the response ends there as well.
func (attempt *attempt) keepAfterRun() {
	complete := true
	if attempt.reader != nil && attempt.exchange.handler.Codec.Rules().Sequential {
		attempt.setTimeout(tailTimeout)
		complete = attempt.reader.ExpectEOF()
	}
	if complete && !attempt.head.Closes {
		attempt.returnKept()
	}
}

// returnKept returns the connection for as long as the runner keeps it open.
func (attempt *attempt) returnKept() {
	attempt.exchange.handler.Connections.Release(attempt.connection, attempt.head.IdleTimeout)
	attempt.connection = nil
}
