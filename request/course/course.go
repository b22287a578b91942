// Package course is the executor: it takes a request through its states and does what the decision
// object says. A course is reading, bidding, passing, sent, relaying or ended; each change of state
// has its one function. What it reads and writes is in the words of a speech.
package course

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"wardtray/config"
	"wardtray/edge/director"
	"wardtray/process/budget"
	"wardtray/process/fault"
	"wardtray/process/kvblock"
	"wardtray/process/once"
	"wardtray/process/pressure"
	"wardtray/process/tally"
	"wardtray/request/award"
	"wardtray/request/intake"
	"wardtray/request/speech"
	"wardtray/request/stream"
	"wardtray/transport/link"
	"wardtray/transport/seam"
)

const (
	maximumAttempts = 8
	writeBound      = 2 * time.Second
	// sureBound is how long a request waits for its daemon to be sure of its spec again.
	sureBound = time.Second
	// elsewhereAfter is when a request that a stopping daemon does not take may come to another.
	elsewhereAfter = 20 * time.Millisecond
	// usualStart is within what time of its start a daemon is sure of its spec.
	usualStart     = 800 * time.Millisecond
	longestSilence = 10 * time.Second
	// lastPart is how much of a long request is held back for the last look.
	lastPart     = 4 << 10
	silenceBound = 15 * time.Second
	leastBound   = time.Second
	tailBound    = 500 * time.Millisecond
	// strayBound is how many answers to other requests may come before the one that is due.
	strayBound = 4
	// maximumAnswer bounds an answer that is no stream.
	maximumAnswer = 8 << 20
	// recheckAfter is how old the last check of a decision may be when the bytes go out: after that the process was
	// frozen, or waited, and everything is checked anew.
	recheckAfter = 5 * time.Millisecond
	// earlyAnswerBound is how long an answer is waited for that the runner gave before it had the whole request.
	earlyAnswerBound = 20 * time.Millisecond
)

// Yard is what lives as long as the process and every course uses.
type Yard struct {
	Name  string
	Zone  string
	World seam.World
	// Speech is how requesters and runners speak.
	Speech speech.Speech
	// Await waits for the next step of a ticket; it tells whether that came before the context ended.
	Await    func(ctx context.Context, steps <-chan award.Step) (step award.Step, decided bool)
	Snapshot func() *director.Snapshot
	// Renewed gives a channel that is closed when a later snapshot may be relied on for longer.
	Renewed func() <-chan struct{}
	Daemons func() []string
	Book    *pressure.Book
	Indexer *kvblock.Indexer
	Links   *link.Links
	Tally   *tally.Tally
	// Desk gives the desk of a pool.
	Desk func(pool string) *award.Desk
	// Once remembers requests that run at most once; Tell tells the zone's other daemons of them.
	Once *once.Memory
	Tell func(key once.Key, dropped bool)
	// Repeats bounds what is sent again; the zero value stands for budget.Default.
	Repeats budget.Settings

	// Begun is when the process began.
	Begun    time.Time
	InFlight atomic.Int64
	// Draining says that a planned stop has begun, Stopping that nothing more is taken; StopBy is when the process ends,
	// where that is known.
	Draining, Stopping atomic.Bool
	StopBy             atomic.Pointer[time.Time]
	budgets            sync.Map
}

type lockedBudget struct {
	mutex  sync.Mutex
	budget *budget.Budget
}

func (yard *Yard) budget(pool string) *lockedBudget {
	found, known := yard.budgets.Load(pool)
	if !known {
		found, _ = yard.budgets.LoadOrStore(pool, &lockedBudget{budget: budget.New(yard.Repeats, func() int { return len(yard.Daemons()) })})
	}
	return found.(*lockedBudget)
}

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
	requester seam.Requester
	state     state
	begun     time.Time
	// ctx ends when the requester leaves, which leave brings about, or when the course is over; unwatch ends the watch
	// of the requester's connection.
	ctx     context.Context
	leave   context.CancelFunc
	unwatch func()

	request *intake.Request
	lane    config.Lane
	pool    config.Pool
	desk    *award.Desk
	ticket  *award.Ticket

	step       award.Step
	attempts   int
	sends      int
	connection *link.Connection
	response   *fasthttp.Response
	word       speech.Word
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
	key  *once.Key
	told bool
	// said is what was known of the request when it came.
	said once.State
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
func (yard *Yard) Serve(requester seam.Requester) {
	course := yard.begin(requester)
	if yard.Draining.Load() {
		requester.Last()
	}
	if err := course.read(); err != nil {
		course.refuse(*course.refusalOf(err))
		return
	}
	course.yard.Tally.Count(course.lane.Name, func(lane *tally.Lane) { lane.Requests++ })
	if refusal := course.obtain(award.NotSent); refusal != nil {
		course.refuse(*refusal)
		return
	}
	course.relay()
}

// ranWords are what is said of the work of a request that was sent before.
var ranWords = map[once.State]string{once.Ran: "ran", once.Running: award.Unknown, once.Unknown: award.Unknown, once.Elsewhere: award.Unknown}

// take notes a request that must run at most once, before anything else can be said of it; it gives what
// is known if it was sent before.
func (course *Course) take() once.State {
	if course.request.Fresh {
		return ""
	}
	key := once.KeyOf(course.request.Lane, course.request.ID)
	if course.said = course.yard.Once.Look(key); course.said != "" {
		return course.said
	}
	book := course.yard.Snapshot().Book
	if book == nil {
		return ""
	}
	if lane := laneOf(book, course.request); lane == nil || lane.Repeatable {
		return ""
	}
	known, fresh := course.yard.Once.Begin(course.now(), key)
	if fresh {
		course.key = &key
	}
	course.said = known
	return known
}

// settle notes how a request that must run at most once ended.
func (course *Course) settle(state once.State) {
	if course.key == nil {
		return
	}
	if state != "" {
		course.yard.Once.End(course.now(), *course.key, state)
		return
	}
	// What surely did not run may be sent again, here and elsewhere in the zone.
	course.yard.Once.Drop(*course.key)
	if course.told {
		course.yard.Tell(*course.key, true)
	}
}

// comeback reckons when another try may help.
func (course *Course) comeback(kind fault.Kind) time.Duration {
	reckons := map[fault.Kind]func() time.Duration{
		// A silence lasts, as far as can be known, about as long again as it has lasted.
		fault.NotServing: func() time.Duration {
			// Another daemon is there at once for what comes to one that stops.
			if course.yard.Draining.Load() {
				return elsewhereAfter
			}
			until := course.yard.Snapshot().Until
			// One that has just begun is sure of its spec within a moment; there is no silence to reckon by yet.
			if until.Before(course.yard.Begun) {
				return max(director.AskEvery, usualStart-course.now().Sub(course.yard.Begun))
			}
			return min(longestSilence, max(director.AskEvery, course.now().Sub(until)))
		},
		fault.NoRunner:       func() time.Duration { return course.desk.Comeback(course.now(), course.ticket) },
		fault.OutcomeUnknown: func() time.Duration { return course.desk.Comeback(course.now(), course.ticket) },
	}
	reckon := reckons[kind]
	if reckon == nil || kind == fault.OutcomeUnknown && !course.lane.Repeatable {
		return 0
	}
	return reckon()
}

// sure waits a moment for the daemon to be sure of its spec again, where it is not: it may be about to
// learn a newer one. It tells whether it is.
func (course *Course) sure() bool {
	until := course.now().Add(sureBound)
	// Nobody waits past the requester's own deadline, whatever lane the request has.
	if wait := course.request.Wait; wait > 0 && course.begun.Add(wait).Before(until) {
		until = course.begun.Add(wait)
	}
	for {
		// Asked for before the look, so that no renewal falls between the two.
		renewed := course.yard.Renewed()
		snapshot, now := course.yard.Snapshot(), course.now()
		if snapshot.Book == nil {
			return false
		}
		if now.Before(snapshot.Until) {
			return true
		}
		if !now.Before(until) {
			return false
		}
		if course.left() {
			return false
		}
		course.yard.World.Wait(course.ctx, until.Sub(now), renewed)
	}
}

// Explain tells what would happen to a request, and passes it nowhere.
func (yard *Yard) Explain(requester seam.Requester) {
	course := &Course{yard: yard, requester: requester, state: reading, begun: yard.World.Now(), ctx: context.Background()}
	if err := course.read(); err != nil {
		found := fault.Of(err)
		yard.Speech.Refuse(requester, course.request, speech.Refusal{Kind: found.Kind, Detail: found.Detail, Ran: award.DidNotRun, DidNotRun: true})
		return
	}
	quotes, step := course.desk.Explain(course.begun, course.ticket)
	content, err := json.Marshal(map[string]any{"step": step, "quotes": quotes, "prices": course.desk.Prices(), "bid": course.ticket.Bid})
	if err != nil {
		yard.Speech.Refuse(requester, course.request, speech.Refusal{Kind: fault.Internal, Detail: err.Error(), Ran: award.DidNotRun, DidNotRun: true})
		return
	}
	requester.Answer(200, []seam.Header{{Name: "Content-Type", Value: "application/json"}}, content)
}

func (course *Course) now() time.Time { return course.yard.World.Now() }

// proper looks the request's lane and pool up in the newest spec, once this daemon is sure of that.
func (course *Course) proper() error {
	if !course.sure() {
		if course.left() {
			return errLeft()
		}
		return fault.New(fault.NotServing, "this daemon does not know for sure that its spec is the present one")
	}
	book, request := course.yard.Snapshot().Book, course.request
	lane := laneOf(book, request)
	if lane == nil {
		return fault.New(fault.UnknownLane, "there is no lane %q", request.Lane+request.Authority+request.Target)
	}
	pool := poolOf(book, lane, request)
	if pool == nil {
		return fault.New(fault.UnknownLane, "lane %q has no pool", lane.Name)
	}
	if pool.Model != "" && pool.Model != request.Model {
		return fault.New(fault.UnknownModel, "lane %q serves model %q, not %q", lane.Name, pool.Model, request.Model)
	}
	if !pool.Serves(request.Adapter) {
		return fault.New(fault.UnknownAdapter, "pool %q has no adapter %q", pool.Name, request.Adapter)
	}
	// A request that was relayed in part belongs to the pool that began it.
	if course.relayed && pool.Name != course.pool.Name {
		return fault.New(fault.UnknownLane, "lane %q now belongs to pool %q", lane.Name, pool.Name)
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
func laneOf(book *config.Book, request *intake.Request) *config.Lane {
	if request.Lane != "" || request.Target == "" {
		return book.Lanes[request.Lane]
	}
	path, _, _ := strings.Cut(request.Target, "?")
	return book.Route(request.Authority, path)
}

// poolOf gives the lane's pool, or the one of its split that falls to this request.
//
// Why by its id: the draw is then the same at every look and needs no memory.
func poolOf(book *config.Book, lane *config.Lane, request *intake.Request) *config.Pool {
	return book.PoolAt(lane, float64(xxhash.Sum64String(request.ID)>>11)/(1<<53))
}

// given tells up to when an answer is any use: the sooner of what the requester and the lane give.
func (course *Course) given() time.Time {
	least := course.request.Wait
	if own := time.Duration(course.lane.Deadline); own > 0 && (least == 0 || own < least) {
		least = own
	}
	if least == 0 {
		return time.Time{}
	}
	return course.begun.Add(least)
}

// waits is how long the requester waits at all; 0: not told.
func (course *Course) waits() time.Duration {
	if course.until.IsZero() {
		return 0
	}
	return course.until.Sub(course.begun)
}

// remaining is how long that still is; 0: not told.
func (course *Course) remaining() time.Duration {
	if course.until.IsZero() {
		return 0
	}
	return max(time.Millisecond, course.until.Sub(course.now()))
}

// over tells whether nobody waits any more.
func (course *Course) over() bool {
	return !course.until.IsZero() && !course.now().Before(course.until)
}

// read checks the request against the newest spec.
func (course *Course) read() error {
	request, err := course.yard.Speech.Read(course.requester)
	if err != nil {
		return err
	}
	course.request, course.after = request, request.After
	if course.yard.Stopping.Load() {
		return fault.New(fault.NotServing, "this daemon is about to stop")
	}
	if known := course.take(); known != "" {
		return fault.New(fault.AlreadyTaken, "the request with this id %s", known)
	}
	if err := course.proper(); err != nil {
		return err
	}
	if course.outlastsStop() {
		return fault.New(fault.NotServing, "this daemon is about to stop, and the answer might not be whole by then")
	}
	return nil
}

// outlastsStop tells whether the answer might well last longer than this process. Cut in its middle it would be lost, and
// another daemon can take it now.
func (course *Course) outlastsStop() bool {
	by := course.yard.StopBy.Load()
	return by != nil && course.now().Add(course.desk.Longest(course.ticket)).After(*by)
}

// draw enters the request with the desk of its pool.
func (course *Course) draw() {
	lane, pool, request := &course.lane, &course.pool, course.request
	course.desk = course.yard.Desk(pool.Name)
	course.ticket = &award.Ticket{Lane: lane.Name, Purse: lane.Purse, PartTokens: request.PartTokens, Steps: make(chan award.Step, 1),
		Keys: course.yard.Indexer.Processor.BlockKeys(request.Parts, kvblock.Extra{Model: request.Model, Weights: pool.Weights, Adapter: request.Adapter}),
		Bid: award.Bid{Worth: lane.Worth, Patience: course.patience(), Deadline: course.waits(), PromptTokens: request.PromptTokens,
			AnswerTokens: request.AnswerTokens, Rank: lane.Rank, Resumed: course.relayed, Zone: course.yard.Zone,
			Shut: map[string]bool{}}}
}

// patience is the time in which the first event should come, as far as there is that much.
func (course *Course) patience() time.Duration {
	patience := time.Duration(course.lane.Patience)
	if left := course.remaining(); left > 0 && left < patience {
		return left
	}
	return patience
}

// mayTry tells whether the request may be sent to one more runner.
func (course *Course) mayTry() bool {
	return course.attempts < maximumAttempts && (course.lane.Attempts == 0 || course.sends < course.lane.Attempts)
}

// obtain asks for an award and obeys, until a runner's answer may be relayed; otherwise it gives what to tell.
func (course *Course) obtain(last award.End) *speech.Refusal {
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
		if end == award.Doubt {
			course.doubted = true
		}
		if refusal := course.failedAttempt(end); refusal != nil {
			return refusal
		}
		last = end
	}
}

// bid asks for an award, behind an attempt that ended so; it gives what to tell where there is none.
func (course *Course) bid(last award.End) *speech.Refusal {
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
	if course.step.Kind == award.Refuse {
		return course.refusedStep()
	}
	return nil
}

// failedAttempt gives what to tell after an attempt that ended so, or nil where another may follow.
func (course *Course) failedAttempt(end award.End) *speech.Refusal {
	if course.left() {
		return course.refusalOf(errLeft())
	}
	verdict := course.following(end)
	if !verdict.Again {
		return course.refusal(verdict.Otherwise, fmt.Sprintf("runner %s gave no answer", course.step.Runner.ID), verdict.Ran, course.comeback(verdict.Otherwise))
	}
	// A runner is not at fault where this daemon was not sure of its spec.
	if end != award.NotSent || course.yard.Snapshot().Until.After(course.now()) {
		course.ticket.Bid.Shut[course.step.Runner.ID] = true
	}
	return nil
}

// following gives what may follow an attempt that ended so.
func (course *Course) following(end award.End) award.Verdict {
	verdict := award.After(end, course.lane.Repeatable)
	// What was relayed stands; a stream that may be resumed goes on behind it at another runner.
	if end == award.Broken && course.lane.Resumable {
		verdict.Again, verdict.Spends = true, true
	}
	return verdict
}

// ran keeps a doubt once there is one, and what is known of the request from before.
func (course *Course) ran(said string) string {
	if word := ranWords[course.said]; word != "" {
		return word
	}
	// What was relayed did run.
	if course.doubted || course.relayed {
		return award.Unknown
	}
	return said
}

// refusedStep counts and tells what the desk decided.
func (course *Course) refusedStep() *speech.Refusal {
	late := course.now().Sub(course.begun) > 50*time.Millisecond
	course.yard.Tally.Count(course.lane.Name, func(lane *tally.Lane) {
		if late {
			lane.Late++
		} else {
			lane.Early++
		}
	})
	return course.refusal(course.step.Fault, course.step.Reason, award.DidNotRun, course.step.RetryAfter)
}

// refusalOf tells what a fault means for the requester.
func (course *Course) refusalOf(err error) *speech.Refusal {
	found := fault.Of(err)
	return course.refusal(found.Kind, found.Detail, award.DidNotRun, course.comeback(found.Kind))
}

// refusal gives what to tell of a request that gets no stream, or no more of one.
func (course *Course) refusal(kind fault.Kind, detail, ran string, retry time.Duration) *speech.Refusal {
	ran = course.ran(ran)
	// Whatever ended this attempt, an earlier one may have run, and that is what the requester must know.
	if course.doubted && kind != fault.RequesterGone {
		kind = fault.OutcomeUnknown
	}
	if course.relayed && kind != fault.RequesterGone {
		kind, retry = fault.RunFailed, 0
	}
	return &speech.Refusal{Kind: kind, Detail: detail, Ran: ran, Retry: retry, DidNotRun: ran == award.DidNotRun, Late: course.over()}
}

// refuse ends a course without a stream.
func (course *Course) refuse(refusal speech.Refusal) {
	course.to(ended)
	course.settle(map[bool]once.State{true: "", false: once.Unknown}[refusal.DidNotRun])
	if course.desk != nil {
		course.yard.Tally.Count(course.lane.Name, func(lane *tally.Lane) { lane.Ends[string(refusal.Kind)]++ })
	}
	if course.left() {
		course.requester.Last()
	}
	course.yard.Speech.Refuse(course.requester, course.request, refusal)
	course.close()
}

// drop lets go of the runner after an attempt that failed.
func (course *Course) drop() {
	if course.connection != nil {
		_ = course.connection.Close()
		course.connection = nil
	}
	course.desk.Release(course.now(), course.ticket, course.step.Runner.ID)
}

// allowed looks at the newest spec, the newest list and the deadline once more, at the moment before bytes go out.
func (course *Course) allowed(identity link.Identity) bool {
	snapshot, now := course.yard.Snapshot(), course.now()
	course.checkedAt = now
	if !now.Before(snapshot.Until) || snapshot.Book == nil || course.over() {
		return false
	}
	lane := laneOf(snapshot.Book, course.request)
	if lane == nil || lane.Name != course.lane.Name {
		return false
	}
	pool := poolOf(snapshot.Book, lane, course.request)
	if pool == nil || pool.Name != course.pool.Name || pool.Model != "" && pool.Model != course.request.Model || !pool.Serves(course.request.Adapter) {
		return false
	}
	runner, known := course.yard.Book.One(now, course.step.Runner.ID, course.yard.Daemons())
	if !known || runner.Reason == pressure.ReasonLeaving || !Permits(snapshot.Book, pool, runner) {
		return false
	}
	course.epoch = snapshot.SpecEpoch
	// Where runners are not asked who they are, every request states whom it means, and another one turns it away.
	if course.yard.Speech.Identity() == "" {
		return true
	}
	return identity.RunnerID == runner.ID && pool.Allows(identity.Service) && identity.Model == pool.Model && identity.Weights == pool.Weights
}

// Permits tells whether a spec lets a pool use a runner.
func Permits(book *config.Book, pool *config.Pool, runner pressure.Runner) bool {
	return pool.Allows(runner.Service) && book.Open(runner.Zone)
}

// pass sends the request to the runner awarded and reads up to the first event. It gives "" when the
// answer may be relayed, and otherwise how the attempt ended.
func (course *Course) pass() award.End {
	runner := course.step.Runner
	connection, err := course.yard.Links.TakeWithin(course.ctx, runner.ID, runner.Address, course.remaining())
	if err != nil {
		course.blame(string(fault.Of(err).Kind))
		course.countFree()
		return award.NotSent
	}
	course.connection = connection
	if !course.allowed(connection.Identity) {
		if course.yard.Speech.Identity() != "" && (!course.pool.Allows(connection.Identity.Service) || connection.Identity.Weights != course.pool.Weights) {
			course.yard.Book.Failed(course.now(), runner.ID, "serves something else than listed")
		}
		course.countFree()
		return award.NotSent
	}
	if !course.awaited() {
		course.returnUnused()
		return award.NotSent
	}
	if !course.mayRepeat() {
		return award.NotSent
	}
	if end := course.send(); end != "" {
		course.countFree()
		return end
	}
	if end := course.answer(); end != "" {
		return end
	}
	course.to(relaying)
	return ""
}

func (course *Course) countFree() {
	course.yard.Tally.Count(course.lane.Name, func(lane *tally.Lane) { lane.FreeAttempts++ })
}

// mayRepeat takes a second or later send out of the budget.
func (course *Course) mayRepeat() bool {
	budget := course.yard.budget(course.pool.Name)
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if course.sends == 0 {
		// An attempt that ends before its last byte is no send, and its request counts once.
		if !course.counted {
			course.counted = true
			budget.budget.Request(course.now())
		}
		return true
	}
	if !budget.budget.Repeat(course.now()) {
		// Without budget no later attempt can go out either, so the final answer is given now.
		course.attempts = maximumAttempts
		return false
	}
	course.yard.Tally.Count(course.lane.Name, func(lane *tally.Lane) { lane.Repeats++ })
	return true
}

// run is this attempt in the words of a speech.
func (course *Course) run() speech.Run {
	return speech.Run{Runner: course.step.Runner, Daemon: course.yard.Name, Epoch: course.epoch, Left: course.remaining(), After: course.after,
		Urgency: course.step.Urgency, Weights: course.pool.Weights}
}

// send writes the request out. A long one takes its time on the way, so that the last look comes again
// before its last part: without that the runner has no request. It gives "" when the whole went out.
func (course *Course) send() award.End {
	course.to(sent)
	course.sentAt = course.now()
	content := course.yard.Speech.Outgoing(course.request, course.run())
	if course.key != nil && !course.told {
		course.told = true
		course.yard.Tell(*course.key, false)
	}
	course.bind()
	written := course.write(content)
	course.partial = written < len(content)
	if course.partial && course.cutOff(written) {
		return award.Doubt
	}
	if course.partial && !course.answeredEarly() {
		return award.NotSent
	}
	course.sends++
	course.connection.Sent(course.lane.Repeatable && course.mayTry())
	course.desk.Sent(course.sentAt, course.ticket, course.step)
	return ""
}

// write gives the bytes of a request to the system and tells how many of them that took.
func (course *Course) write(content []byte) int {
	if course.now().Sub(course.checkedAt) >= recheckAfter && !course.recheck() {
		return 0
	}
	bound := writeBound
	if left := course.remaining(); left > 0 {
		bound = min(bound, left)
	}
	_ = course.connection.SetDeadline(course.now().Add(bound))
	before := 0
	if len(content) > 4*lastPart {
		written, err := course.connection.Write(content[:len(content)-lastPart])
		if err != nil || !course.allowed(course.connection.Identity) || !course.awaited() {
			return written
		}
		before = written
	}
	// What was not even taken over whole by our own system no runner can have read whole. After that a failure
	// to write tells nothing of what the runner got, and reading the answer decides.
	written, _ := course.connection.Write(content[before:])
	return before + written
}

// recheck tells whether the decision still holds after a pause between it and the write: the spec, the runner and
// the deadline are as they were, the requester is still there, and the runner has neither closed the connection nor
// sent anything over it.
func (course *Course) recheck() bool {
	return course.allowed(course.connection.Identity) && course.connection.Quiet() && course.awaited()
}

// answeredEarly tells whether the runner has answered a request that it did not get whole. It may have run what it
// got, so that its answer decides, and not the failure to write.
func (course *Course) answeredEarly() bool {
	_ = course.connection.SetDeadline(course.now().Add(earlyAnswerBound))
	_, err := course.connection.Reader.Peek(1)
	return err == nil
}

// firstBound is how long the first event is waited for.
func (course *Course) firstBound() time.Duration {
	patience, left := time.Duration(course.lane.Patience), course.remaining()
	if left > 0 {
		// A run that can't be repeated is worth something up to the requester's own deadline, and a silent runner
		// may yet answer. One that can be is better begun anew at another runner while that is in time.
		if !course.lane.Repeatable || !course.mayTry() {
			return left
		}
		return min(left, max(patience, left/2))
	}
	// A run that can't be repeated is given its patience once more before its outcome is called unknown;
	// one that can be is better begun anew. Longer than that nobody waits for a runner that seems well.
	if !course.lane.Repeatable {
		return max(patience+leastBound, 2*patience)
	}
	return patience + leastBound
}

// pauseBound is how long the next event is waited for.
func (course *Course) pauseBound() time.Duration {
	left := course.remaining()
	if left == 0 {
		return silenceBound
	}
	if course.lane.Resumable && course.lane.Pause > 0 && course.mayTry() {
		return min(left, 2*time.Duration(course.lane.Pause))
	}
	return left
}

// answer reads up to the first event and gives "" when there is one.
func (course *Course) answer() award.End {
	_ = course.connection.SetDeadline(course.now().Add(course.firstBound()))
	if err := course.head(); err != nil {
		course.blame("gave no answer")
		return award.Doubt
	}
	if course.word.Report != nil {
		course.yard.Book.Reported(course.now(), course.step.Runner.ID, *course.word.Report)
	}
	if follow := follows[course.word.Said]; follow != nil {
		return follow(course)
	}
	course.blame("gave an answer that tells nothing")
	return award.Doubt
}

// follows is what is done with what a head says.
var follows = map[speech.Said]func(course *Course) award.End{
	speech.Runs: (*Course).begin, speech.Ended: (*Course).whole, speech.Failed: (*Course).failed,
	speech.PutBack: func(course *Course) award.End {
		course.keep()
		course.desk.PutBack(course.now(), course.ticket, course.step)
		return award.PutBack
	},
	speech.Elsewhere: func(course *Course) award.End {
		// The address has gone over to another runner; whoever waits for the former one waits in vain.
		course.yard.Book.Failed(course.now(), course.step.Runner.ID, "another runner answers at its address")
		return award.PutBack
	},
}

// head reads the head of the answer that belongs to this request; what is late for another is read and dropped.
func (course *Course) head() error {
	for range strayBound {
		course.response = &fasthttp.Response{StreamBody: true, SkipBody: course.request.Method == fasthttp.MethodHead}
		if err := course.response.ReadLimitBody(course.connection.Reader, -1); err != nil {
			return fault.Wrap(err, fault.RunFailed, "reading the head of an answer")
		}
		course.word = course.yard.Speech.Judge(course.response, course.request, course.run())
		course.word.Closes = course.word.Closes || course.unfitForMore()
		if course.word.Said != speech.Stray {
			return nil
		}
		if err := course.skipStray(); err != nil {
			return err
		}
	}
	return fault.New(fault.RunFailed, "only answers to other requests came")
}

// unfitForMore tells whether no other request may follow on this connection: the runner may still read this one, or
// a late second answer to it has a length and no body, which nobody could tell from one with a body.
func (course *Course) unfitForMore() bool {
	return course.partial || course.request.Method == fasthttp.MethodHead
}

// skipStray reads an answer to another request to its end, behind which the one that is due begins.
func (course *Course) skipStray() error {
	if course.request.Method == fasthttp.MethodHead {
		return fault.New(fault.RunFailed, "where the body of an answer to another request ends can't be told")
	}
	read, err := io.Copy(io.Discard, io.LimitReader(course.rest(), maximumAnswer))
	if err == nil && read == maximumAnswer {
		err = fault.New(fault.RunFailed, "it has more than %d bytes", maximumAnswer)
	}
	return fault.Wrap(err, fault.RunFailed, "reading an answer to another request")
}

// rest is what is still to be read of an answer's body: nothing where it has none, or where its head was judged by it.
func (course *Course) rest() io.Reader {
	if body := course.response.BodyStream(); body != nil {
		return body
	}
	return http.NoBody
}

// begin reads the first event of a stream.
func (course *Course) begin() award.End {
	course.reader = stream.NewReader(course.rest(), course.yard.Speech.Rules(), course.after)
	first, err := course.reader.Next()
	if err != nil {
		course.blame("gave no first event")
		return award.Doubt
	}
	course.first = first
	return ""
}

// whole reads an answer that is no stream.
func (course *Course) whole() award.End {
	// The answer has its head and some events already, and nothing but events can go on behind them.
	if course.relayed {
		course.yard.Book.Failed(course.now(), course.step.Runner.ID, "gave no events")
		return award.Doubt
	}
	// A body of unknown length that ends with its connection can't be told from one that was cut.
	if course.response.BodyStream() != nil && course.response.Header.ContentLength() < -1 {
		return award.Doubt
	}
	body, err := io.ReadAll(io.LimitReader(course.rest(), maximumAnswer))
	if err != nil || len(body) == maximumAnswer {
		course.blame("broke off an answer")
		return award.Doubt
	}
	course.reader, course.response.StreamBody = nil, false
	course.body = body
	return ""
}

// failed takes a failure of the runner's own: the run has ended and may be begun anew only where that does no harm.
func (course *Course) failed() award.End {
	course.yard.Book.Failed(course.now(), course.step.Runner.ID, "failed a run")
	// Nothing of a resumed stream's later failure may be passed on; the answer has its head already.
	if course.lane.Repeatable && course.mayTry() {
		return award.Doubt
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

// relay passes the run on, beginning with the event that showed that it runs.
func (course *Course) relay() {
	course.firstSeen()
	if course.yard.Draining.Load() {
		course.requester.Last()
	}
	status, headers := course.yard.Speech.Head(course.response, course.request, course.run())
	if course.reader == nil {
		course.requester.Answer(status, headers, course.body)
		course.finish(endDone, true)
		return
	}
	course.relayed = true
	course.requester.Stream(status, headers, &relay{course: course})
}

func (course *Course) firstSeen() {
	if course.connection != nil {
		course.connection.Answered()
	}
	took, runner := course.now().Sub(course.sentAt), course.step.Runner
	// A failure of the runner's own is passed on, and is no reason to send it more at once.
	if course.word.Said != speech.Failed {
		course.yard.Book.Served(runner.ID)
	}
	course.desk.First(course.ticket, course.step, took)
	course.yard.Tally.Count(course.lane.Name, func(lane *tally.Lane) {
		lane.First(course.now().Sub(course.begun))
		lane.HeldTokens += uint64(course.step.HeldTokens)
		lane.PromptTokens += uint64(course.request.PromptTokens)
		if runner.Zone != course.yard.Zone {
			lane.OtherZone++
			lane.BytesAcross += uint64(len(course.request.Body))
		}
	})
}

// outcomes is what is remembered of a request that was relayed, by whether its run went to its end.
var outcomes = map[bool]once.State{true: once.Ran, false: once.Unknown}

// finish ends a course that was relayed.
func (course *Course) finish(end string, ran bool) {
	course.to(ended)
	if whole := ran; whole {
		if course.reader != nil && course.yard.Speech.Rules().Counted {
			_ = course.connection.SetDeadline(course.now().Add(tailBound))
			whole = course.reader.End()
		}
		if whole && !course.word.Closes {
			course.yard.Links.Keep(course.connection, course.word.Keep)
			course.connection = nil
		}
		course.desk.Learn(0, 0, course.now().Sub(course.sentAt))
	}
	course.settle(outcomes[ran])
	course.drop()
	course.yard.Tally.Count(course.lane.Name, func(lane *tally.Lane) {
		lane.Ends[end]++
		if end == endDone {
			lane.Done++
		}
		if course.step.Runner.Zone != course.yard.Zone {
			lane.BytesAcross += uint64(course.across)
		}
	})
	course.close()
}
