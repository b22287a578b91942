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
func (course *Course) answer() scheduler.End {
	_ = course.connection.SetDeadline(course.now().Add(course.firstBound()))
	if err := course.head(); err != nil {
		course.blame("gave no answer")
		return scheduler.Doubt
	}
	if course.word.Report != nil && !course.yard.Without[features.LoadHeader] {
		course.yard.Book.AnswerTold(course.now(), course.step.Runner.ID, *course.word.Report)
	}
	if follow := follows[course.word.Said]; follow != nil {
		return follow(course)
	}
	course.blame("gave an answer that tells nothing")
	return scheduler.Doubt
}

// follows is what is done with what a head says.
var follows = map[codec.Said]func(course *Course) scheduler.End{
	codec.Runs: (*Course).begin, codec.Ended: (*Course).whole, codec.Failed: (*Course).failed,
	codec.PutBack: func(course *Course) scheduler.End {
		course.keep()
		course.desk.PutBack(course.now(), course.ticket, course.step)
		return scheduler.PutBack
	},
	codec.Elsewhere: func(course *Course) scheduler.End {
		// The address has gone over to another runner; whoever waits for the former one waits in vain.
		course.yard.Book.Failed(course.now(), course.step.Runner.ID, "another runner answers at its address")
		return scheduler.PutBack
	},
}

// head reads the head of the answer that belongs to this request; what is late for another is read and dropped.
func (course *Course) head() error {
	for range strayBound {
		course.response = &fasthttp.Response{StreamBody: true, SkipBody: course.request.Method == fasthttp.MethodHead}
		if err := course.response.ReadLimitBody(course.connection.Reader, -1); err != nil {
			return apierror.Wrap(err, apierror.RunFailed, "reading the head of an answer")
		}
		course.word = course.yard.Speech.Judge(course.response, course.request, course.run())
		course.word.Closes = course.word.Closes || course.unfitForMore()
		if course.word.Said != codec.Stray {
			return nil
		}
		if err := course.skipStray(); err != nil {
			return err
		}
	}
	return apierror.New(apierror.RunFailed, "only answers to other requests came")
}

// unfitForMore tells whether no other request may follow on this connection: the runner may still read this one, or
// a late second answer to it has a length and no body, which nobody could tell from one with a body.
func (course *Course) unfitForMore() bool {
	return course.partial || course.request.Method == fasthttp.MethodHead
}

// skipStray reads an answer to another request to its end, behind which the one that is due begins.
func (course *Course) skipStray() error {
	if course.request.Method == fasthttp.MethodHead {
		return apierror.New(apierror.RunFailed, "where the body of an answer to another request ends can't be told")
	}
	read, err := io.Copy(io.Discard, io.LimitReader(course.rest(), maximumAnswer))
	if err == nil && read == maximumAnswer {
		err = apierror.New(apierror.RunFailed, "it has more than %d bytes", maximumAnswer)
	}
	return apierror.Wrap(err, apierror.RunFailed, "reading an answer to another request")
}

// rest is what is still to be read of an answer's body: nothing where it has none, or where its head was judged by it.
func (course *Course) rest() io.Reader {
	if body := course.response.BodyStream(); body != nil {
		return body
	}
	return http.NoBody
}

// begin reads the first event of a stream.
func (course *Course) begin() scheduler.End {
	course.reader = stream.NewReader(course.rest(), course.yard.Speech.Rules(), course.after)
	first, err := course.reader.Next()
	if err != nil {
		course.blame("gave no first event")
		return scheduler.Doubt
	}
	course.first = first
	return ""
}

// whole reads an answer that is no stream.
func (course *Course) whole() scheduler.End {
	// The answer has its head and some events already, and nothing but events can go on behind them.
	if course.relayed {
		course.yard.Book.Failed(course.now(), course.step.Runner.ID, "gave no events")
		return scheduler.Doubt
	}
	// A body of unknown length that ends with its connection can't be told from one that was cut.
	if course.response.BodyStream() != nil && course.response.Header.ContentLength() < -1 {
		return scheduler.Doubt
	}
	body, err := io.ReadAll(io.LimitReader(course.rest(), maximumAnswer))
	if err != nil || len(body) == maximumAnswer {
		course.blame("broke off an answer")
		return scheduler.Doubt
	}
	course.reader, course.response.StreamBody = nil, false
	course.body = body
	return ""
}

// failed takes a failure of the runner's own: the run has ended and may be begun anew only where that does no harm.
func (course *Course) failed() scheduler.End {
	course.yard.Book.Failed(course.now(), course.step.Runner.ID, "failed a run")
	// Nothing of a resumed stream's later failure may be passed on; the answer has its head already.
	if course.lane.Repeatable && course.mayTry() {
		return scheduler.Doubt
	}
	return course.whole()
}

// keep puts the connection back after an answer that was read whole.
func (course *Course) keep() {
	if course.word.Closes || course.connection == nil {
		return
	}
	_ = course.connection.SetDeadline(course.now().Add(tailBound))
	// What is left of a longer body would be taken for the head of the next answer.
	if read, err := io.Copy(io.Discard, io.LimitReader(course.rest(), lastPart)); err != nil || read == lastPart {
		return
	}
	course.yard.Links.Keep(course.connection, course.word.Keep)
	course.connection = nil
}
