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
	// tailBound is how long the rest of an answer is waited for, behind what the requester gets.
	tailBound = 500 * time.Millisecond
)

type state string

const (
	reading  state = "reading"
	bidding  state = "bidding"
	passing  state = "passing"
	sent     state = "sent"
	relaying state = "relaying"
	ended    state = "ended"
)

// changes lists every change of state that there is.
var changes = map[[2]state]bool{
	{reading, bidding}: true, {reading, ended}: true,
	{bidding, passing}: true, {bidding, ended}: true,
	{passing, bidding}: true, {passing, sent}: true, {passing, ended}: true,
	{sent, bidding}: true, {sent, relaying}: true, {sent, ended}: true,
	{relaying, bidding}: true, {relaying, ended}: true,
}

// Course is one request on its way.
type Course struct {
	yard      *Yard
	requester netio.Requester
	state     state
	begun     time.Time
	// ctx ends when the requester leaves, which leave brings about, or when the course is over; unwatch ends the watch
	// of the requester's connection.
	ctx     context.Context
	leave   context.CancelFunc
	unwatch func()

	request *admission.Request
	lane    config.Lane
	pool    config.Pool
	// tenant is whose key the request carries, nil where none was needed; charged is what was taken of its quota.
	tenant    *config.Tenant
	charged   float64
	chargedTo string
	desk      *scheduler.Desk
	ticket    *scheduler.Ticket

	step       scheduler.Step
	attempts   int
	sends      int
	connection *connpool.Connection
	response   *fasthttp.Response
	word       codec.Word
	reader     *stream.Reader
	first      stream.Event
	// body is an answer that is no stream; across counts what was relayed of one that is.
	body   []byte
	across int
	// after is the id of the last event that the requester has, relayed that any of the answer was passed on.
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
	// doubted tells that some attempt may have run, so that nothing may say otherwise any more.
	doubted bool
	// key is this request's where it must run at most once and this course has taken it; told says that
	// the zone's other daemons were told.
	key  *dedup.Key
	told bool
	// said is what was known of the request when it came.
	said dedup.State
	// counted says that the request is in the budget's count.
	counted bool
}

func (course *Course) to(next state) {
	if !changes[[2]state{course.state, next}] {
		panic(fmt.Sprintf("a course can't go from %s to %s", course.state, next))
	}
	course.state = next
}

// Serve takes one request that has been read whole.
func (yard *Yard) Serve(requester netio.Requester) {
	course := yard.begin(requester)
	if yard.Draining.Load() {
		requester.Last()
	}
	if err := course.read(); err != nil {
		course.refuse(*course.refusalOf(err))
		return
	}
	course.yard.Tally.Count(course.lane.Name, func(lane *metrics.Lane) { lane.Requests++ })
	if refusal := course.charge(); refusal != nil {
		course.refuse(*refusal)
		return
	}
	if refusal := course.obtain(scheduler.NotSent); refusal != nil {
		course.refuse(*refusal)
		return
	}
	course.relay()
}

func (course *Course) now() time.Time { return course.yard.World.Now() }

// proper looks the request's lane and pool up in the newest spec, once this daemon is sure of that.
func (course *Course) proper() error {
	if !course.sure() {
		if course.left() {
			return errLeft()
		}
		return apierror.New(apierror.NotServing, "this daemon does not know for sure that its spec is the present one")
	}
	book, request := course.yard.Snapshot().Book, course.request
	lane := laneOf(book, request)
	if lane == nil {
		return apierror.New(apierror.UnknownLane, "there is no lane %q", request.Lane+request.Authority+request.Target)
	}
	pool := poolOf(book, lane, request)
	if pool == nil {
		return apierror.New(apierror.UnknownLane, "lane %q has no pool", lane.Name)
	}
	if pool.Model != "" && pool.Model != request.Model {
		return apierror.New(apierror.UnknownModel, "lane %q serves model %q, not %q", lane.Name, pool.Model, request.Model)
	}
	if !pool.Serves(request.Adapter) {
		return apierror.New(apierror.UnknownAdapter, "pool %q has no adapter %q", pool.Name, request.Adapter)
	}
	// A request that was relayed in part belongs to the pool that began it.
	if course.relayed && pool.Name != course.pool.Name {
		return apierror.New(apierror.UnknownLane, "lane %q now belongs to pool %q", lane.Name, pool.Name)
	}
	if err := course.identify(book, lane); err != nil {
		return err
	}
	moved := course.desk != nil && pool.Name != course.pool.Name
	course.lane, course.pool = *lane, *pool
	course.until = course.given()
	if moved || course.desk == nil {
		course.draw()
	}
	return nil
}

// laneOf finds the lane that a request names, or the one that its host and path choose.
func laneOf(book *config.Book, request *admission.Request) *config.Lane {
	if request.Lane != "" || request.Target == "" {
		return book.Lanes[request.Lane]
	}
	path, _, _ := strings.Cut(request.Target, "?")
	return book.Route(request.Authority, path)
}

// poolOf gives the lane's pool, or the one of its split that falls to this request.
//
// Why by its id: the draw is then the same at every look and needs no memory.
func poolOf(book *config.Book, lane *config.Lane, request *admission.Request) *config.Pool {
	return book.PoolAt(lane, float64(xxhash.Sum64String(request.ID)>>11)/(1<<53))
}

// read checks the request against the newest spec.
func (course *Course) read() error {
	request, err := course.yard.Speech.Read(course.requester)
	if err != nil {
		return err
	}
	course.request, course.after = request, request.After
	if course.yard.Stopping.Load() {
		return apierror.New(apierror.NotServing, "this daemon is about to stop")
	}
	if known := course.take(); known != "" {
		return apierror.New(apierror.AlreadyTaken, "the request with this id %s", known)
	}
	if err := course.proper(); err != nil {
		return err
	}
	if course.outlastsStop() {
		return apierror.New(apierror.NotServing, "this daemon is about to stop, and the answer might not be whole by then")
	}
	return nil
}

// draw enters the request with the desk of its pool.
func (course *Course) draw() {
	lane, pool, request := &course.lane, &course.pool, course.request
	course.desk = course.yard.Desk(pool.Name)
	course.ticket = &scheduler.Ticket{Lane: lane.Name, Purse: lane.Purse, PartTokens: request.PartTokens, Steps: make(chan scheduler.Step, 1),
		Keys: course.yard.Indexer.Processor.BlockKeys(request.Parts, kvblock.Extra{Model: request.Model, Weights: pool.Weights, Adapter: request.Adapter}),
		Bid: scheduler.Bid{Worth: lane.Worth, Patience: course.patience(), Deadline: course.waits(), PromptTokens: request.PromptTokens,
			AnswerTokens: request.AnswerTokens, Rank: lane.Rank, TenantRank: course.tenantRank(), Resumed: course.relayed, Zone: course.yard.Zone,
			Shut: map[string]bool{}}}
}

// mayTry tells whether the request may be sent to one more runner.
func (course *Course) mayTry() bool {
	return course.attempts < maximumAttempts && (course.lane.Attempts == 0 || course.sends < course.lane.Attempts)
}

// obtain asks for an award and obeys, until a runner's answer may be relayed; otherwise it gives what to tell.
func (course *Course) obtain(last scheduler.End) *codec.Refusal {
	for {
		course.to(bidding)
		if refusal := course.bid(last); refusal != nil {
			return refusal
		}
		course.to(passing)
		course.attempts++
		end := course.pass()
		if end == "" {
			return nil
		}
		course.drop()
		if end == scheduler.Doubt {
			course.doubted = true
		}
		if refusal := course.failedAttempt(end); refusal != nil {
			return refusal
		}
		last = end
	}
}

// bid asks for an award, behind an attempt that ended so; it gives what to tell where there is none.
func (course *Course) bid(last scheduler.End) *codec.Refusal {
	if course.left() {
		return course.refusalOf(errLeft())
	}
	if !course.mayTry() || course.over() {
		verdict := course.following(last)
		return course.refusal(verdict.Otherwise, "every attempt failed", verdict.Ran, course.comeback(verdict.Otherwise))
	}
	// The spec may have taken the lane or its pool away since the last attempt.
	if err := course.proper(); err != nil {
		return course.refusalOf(err)
	}
	if !course.enter() {
		return course.refusalOf(errLeft())
	}
	if course.step.Kind == scheduler.Refuse {
		return course.refusedStep()
	}
	return nil
}

// failedAttempt gives what to tell after an attempt that ended so, or nil where another may follow.
func (course *Course) failedAttempt(end scheduler.End) *codec.Refusal {
	if course.left() {
		return course.refusalOf(errLeft())
	}
	verdict := course.following(end)
	if !verdict.Again {
		return course.refusal(verdict.Otherwise, fmt.Sprintf("runner %s gave no answer", course.step.Runner.ID), verdict.Ran, course.comeback(verdict.Otherwise))
	}
	// A runner is not at fault where this daemon was not sure of its spec.
	if end != scheduler.NotSent || course.yard.Snapshot().Until.After(course.now()) {
		course.ticket.Bid.Shut[course.step.Runner.ID] = true
	}
	return nil
}

// following gives what may follow an attempt that ended so.
func (course *Course) following(end scheduler.End) scheduler.Verdict {
	verdict := scheduler.After(end, course.lane.Repeatable)
	// What was relayed stands; a stream that may be resumed goes on behind it at another runner.
	if end == scheduler.Broken && course.lane.Resumable && !course.yard.Without[features.Resumption] {
		verdict.Again, verdict.Spends = true, true
	}
	return verdict
}

// drop lets go of the runner after an attempt that failed.
func (course *Course) drop() {
	if course.connection != nil {
		_ = course.connection.Close()
		course.connection = nil
	}
	course.desk.Release(course.now(), course.ticket, course.step.Runner.ID)
}
