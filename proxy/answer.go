package proxy

import (
	"io"
	"net/http"

	"github.com/valyala/fasthttp"

	"wardtray/apierror"
	"wardtray/balancer/scheduler"
	"wardtray/features"
	"wardtray/proxy/codec"
	"wardtray/proxy/stream"
)

const (
	// strayBound is how many answers to other requests may come before the one that is due.
	strayBound = 4
	// maximumAnswer bounds an answer that is no stream.
	maximumAnswer = 8 << 20
)

// answer reads up to the first event and gives "" when there is one.
func (exchange *Exchange) answer() scheduler.AttemptOutcome {
	_ = exchange.connection.SetDeadline(exchange.now().Add(exchange.firstBound()))
	if err := exchange.head(); err != nil {
		exchange.blame("gave no answer")
		return scheduler.Ambiguous
	}
	if exchange.word.Report != nil && !exchange.handler.Without[features.LoadHeader] {
		exchange.handler.Loads.AnswerTold(exchange.now(), exchange.step.Runner.ID, *exchange.word.Report)
	}
	if follow := follows[exchange.word.Disposition]; follow != nil {
		return follow(exchange)
	}
	exchange.blame("gave an answer that tells nothing")
	return scheduler.Ambiguous
}

// follows is what is done with what a head says.
var follows = map[codec.Disposition]func(exchange *Exchange) scheduler.AttemptOutcome{
	codec.Runs: (*Exchange).begin, codec.Finished: (*Exchange).whole, codec.Failed: (*Exchange).failed,
	codec.NotExecuted: func(exchange *Exchange) scheduler.AttemptOutcome {
		exchange.keep()
		exchange.scheduler.PutBack(exchange.now(), exchange.queuedRequest, exchange.step)
		return scheduler.NotExecuted
	},
	codec.Elsewhere: func(exchange *Exchange) scheduler.AttemptOutcome {
		// The address has gone over to another runner; whoever waits for the former one waits in vain.
		exchange.handler.Loads.Failed(exchange.now(), exchange.step.Runner.ID, "another runner answers at its address")
		return scheduler.NotExecuted
	},
}

// head reads the head of the answer that belongs to this request; what is late for another is read and dropped.
func (exchange *Exchange) head() error {
	for range strayBound {
		exchange.response = &fasthttp.Response{StreamBody: true, SkipBody: exchange.request.Method == fasthttp.MethodHead}
		if err := exchange.response.ReadLimitBody(exchange.connection.Reader, -1); err != nil {
			return apierror.Wrap(err, apierror.RunFailed, "reading the head of an answer")
		}
		exchange.word = exchange.handler.Codec.Judge(exchange.response, exchange.request, exchange.run())
		exchange.word.Closes = exchange.word.Closes || exchange.unfitForMore()
		if exchange.word.Disposition != codec.Stray {
			return nil
		}
		if err := exchange.skipStray(); err != nil {
			return err
		}
	}
	return apierror.New(apierror.RunFailed, "only answers to other requests came")
}

// unfitForMore tells whether no other request may follow on this connection: the runner may still read this one, or
// a late second answer to it has a length and no body, which nobody could tell from one with a body.
func (exchange *Exchange) unfitForMore() bool {
	return exchange.partial || exchange.request.Method == fasthttp.MethodHead
}

// skipStray reads an answer to another request to its end, behind which the one that is due begins.
func (exchange *Exchange) skipStray() error {
	if exchange.request.Method == fasthttp.MethodHead {
		return apierror.New(apierror.RunFailed, "where the body of an answer to another request ends can't be told")
	}
	read, err := io.Copy(io.Discard, io.LimitReader(exchange.rest(), maximumAnswer))
	if err == nil && read == maximumAnswer {
		err = apierror.New(apierror.RunFailed, "it has more than %d bytes", maximumAnswer)
	}
	return apierror.Wrap(err, apierror.RunFailed, "reading an answer to another request")
}

// rest is what is still to be read of an answer's body: nothing where it has none, or where its head was judged by it.
func (exchange *Exchange) rest() io.Reader {
	if body := exchange.response.BodyStream(); body != nil {
		return body
	}
	return http.NoBody
}

// begin reads the first event of a stream.
func (exchange *Exchange) begin() scheduler.AttemptOutcome {
	exchange.reader = stream.NewReader(exchange.rest(), exchange.handler.Codec.Rules(), exchange.after)
	first, err := exchange.reader.Next()
	if err != nil {
		exchange.blame("gave no first event")
		return scheduler.Ambiguous
	}
	exchange.first = first
	return ""
}

// whole reads an answer that is no stream.
func (exchange *Exchange) whole() scheduler.AttemptOutcome {
	// The answer has its head and some events already, and nothing but events can go on behind them.
	if exchange.relayed {
		exchange.handler.Loads.Failed(exchange.now(), exchange.step.Runner.ID, "gave no events")
		return scheduler.Ambiguous
	}
	// A body of unknown length that ends with its connection can't be told from one that was cut.
	if exchange.response.BodyStream() != nil && exchange.response.Header.ContentLength() < -1 {
		return scheduler.Ambiguous
	}
	body, err := io.ReadAll(io.LimitReader(exchange.rest(), maximumAnswer))
	if err != nil || len(body) == maximumAnswer {
		exchange.blame("broke off an answer")
		return scheduler.Ambiguous
	}
	exchange.reader, exchange.response.StreamBody = nil, false
	exchange.body = body
	return ""
}

// failed takes a failure of the runner's own: the run has ended and may be begun anew only where that does no harm.
func (exchange *Exchange) failed() scheduler.AttemptOutcome {
	exchange.handler.Loads.Failed(exchange.now(), exchange.step.Runner.ID, "failed a run")
	// Nothing of a resumed stream's later failure may be passed on; the answer has its head already.
	if exchange.route.Idempotent && exchange.mayTry() {
		return scheduler.Ambiguous
	}
	return exchange.whole()
}

// keep puts the connection back after an answer that was read whole.
func (exchange *Exchange) keep() {
	if exchange.word.Closes || exchange.connection == nil {
		return
	}
	_ = exchange.connection.SetDeadline(exchange.now().Add(tailBound))
	// What is left of a longer body would be taken for the head of the next answer.
	if read, err := io.Copy(io.Discard, io.LimitReader(exchange.rest(), lastPart)); err != nil || read == lastPart {
		return
	}
	exchange.handler.Connections.Keep(exchange.connection, exchange.word.Keep)
	exchange.connection = nil
}
