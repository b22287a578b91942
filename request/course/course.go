// Package course is the executor: it takes a request through its states and does what the decision
// object says. A course is reading, bidding, passing, sent, relaying or ended; each change of state
// has its one function.
package course

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wardtray/connection/link"
	"wardtray/connection/seam"
	"wardtray/epoch/spec"
	"wardtray/process/budget"
	"wardtray/process/director"
	"wardtray/process/fault"
	"wardtray/process/kvblock"
	"wardtray/process/once"
	"wardtray/process/pressure"
	"wardtray/process/tally"
	"wardtray/request/award"
	"wardtray/request/intake"
	"wardtray/request/stream"
)

const (
	maximumAttempts = 8
	writeBound      = 2 * time.Second
	// sureBound is how long a request waits for its daemon to be sure of its spec again.
	sureBound      = time.Second
	sureEvery      = 20 * time.Millisecond
	longestSilence = 10 * time.Second
	// lastPart is how much of a long request is held back for the last look.
	lastPart     = 4 << 10
	silenceBound = 15 * time.Second
	leastBound   = time.Second
	tailBound    = 500 * time.Millisecond
)

// Yard is what lives as long as the process and every course uses.
type Yard struct {
	Name  string
	Zone  string
	World seam.World
	// Await waits for the next step of a ticket.
	Await    func(steps <-chan award.Step) award.Step
	Snapshot func() *director.Snapshot
	Daemons  func() []string
	Book     *pressure.Book
	Indexer  *kvblock.Indexer
	Links    *link.Links
	Tally    *tally.Tally
	// Desk gives the desk of a pool.
	Desk func(pool string) *award.Desk
	// Once remembers requests that run at most once; Tell tells the zone's other daemons of them.
	Once *once.Memory
	Tell func(key once.Key, dropped bool)
	// Repeats bounds what is sent again; the zero value stands for budget.Default.
	Repeats budget.Settings

	InFlight atomic.Int64
	Draining atomic.Bool
	budgets  sync.Map
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
	{relaying, ended}: true,
}

// Course is one request on its way.
type Course struct {
	yard      *Yard
	requester seam.Requester
	state     state
	begun     time.Time

	request *intake.Request
	lane    spec.Lane
	pool    spec.Pool
	desk    *award.Desk
	ticket  *award.Ticket

	step       award.Step
	attempts   int
	sends      int
	connection *link.Connection
	response   *fasthttp.Response
	reader     *stream.Reader
	first      stream.Event
	// epoch is the spec's, as last looked at before the request went out.
	epoch  uint64
	sentAt time.Time
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

// Refusal is the body of every answer that is not a stream.
type Refusal struct {
	Kind    fault.Kind `json:"kind"`
	Detail  string     `json:"detail"`
	Remedy  string     `json:"remedy"`
	Ran     string     `json:"ran"`
	RetryMS int64      `json:"retry_after_ms,omitempty"`
}

var statuses = map[fault.Kind]int{
	fault.Malformed: 400, fault.TooLarge: 413, fault.UnknownLane: 404, fault.UnknownModel: 404, fault.UnknownAdapter: 404,
	fault.PurseSpent: 429, fault.PatienceShort: 429, fault.WaitlistFull: 429, fault.NoRunner: 503, fault.NotServing: 503,
	fault.OutcomeUnknown: 504, fault.RunFailed: 502, fault.AlreadyTaken: 409, fault.NotFound: 404, fault.Internal: 500,
}

// Refuse writes a refusal.
func Refuse(requester seam.Requester, kind fault.Kind, detail, ran string, retry time.Duration) {
	refusal := Refusal{Kind: kind, Detail: detail, Remedy: (&fault.Fault{Kind: kind}).Remedy(), Ran: ran, RetryMS: retry.Milliseconds()}
	content, failure := json.Marshal(refusal)
	if failure != nil {
		content = []byte(`{"kind":"internal"}`)
	}
	headers := []seam.Header{{Name: "Content-Type", Value: "application/json"}}
	if retry > 0 {
		headers = append(headers, seam.Header{Name: "Retry-After", Value: strconv.Itoa(int(math.Ceil(retry.Seconds())))})
	}
	requester.Answer(statuses[kind], headers, content)
}

// Serve takes one request that has been read whole.
func (yard *Yard) Serve(requester seam.Requester) {
	course := &Course{yard: yard, requester: requester, state: reading, begun: yard.World.Now()}
	yard.InFlight.Add(1)
	if yard.Draining.Load() {
		requester.Last()
	}
	if failure := course.read(); failure != nil {
		found := fault.Of(failure)
		course.refuse(found.Kind, found.Detail, course.ran(award.DidNotRun), course.comeback(found.Kind))
		return
	}
	course.yard.Tally.Count(course.lane.Name, func(lane *tally.Lane) { lane.Requests++ })
	course.bid(award.NotSent)
}

// ranWords are what is said of the work of a request that was sent before.
var ranWords = map[once.State]string{once.Ran: "ran", once.Running: award.Unknown, once.Unknown: award.Unknown, once.Elsewhere: award.Unknown}

// take notes a request that must run at most once, before anything else can be said of it; it gives what
// is known if it was sent before.
func (course *Course) take() once.State {
	key := once.KeyOf(course.request.Lane, course.request.ID)
	if course.said = course.yard.Once.Look(key); course.said != "" {
		return course.said
	}
	book := course.yard.Snapshot().Book
	if book == nil || book.Lanes[course.request.Lane] == nil || book.Lanes[course.request.Lane].Repeatable {
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
	// Why: what surely did not run may be sent again, here and elsewhere in the zone.
	course.yard.Once.Drop(*course.key)
	if course.told {
		course.yard.Tell(*course.key, true)
	}
}

// comeback reckons when another try may help.
func (course *Course) comeback(kind fault.Kind) time.Duration {
	reckons := map[fault.Kind]func() time.Duration{
		// Why: a silence lasts, as far as can be known, about as long again as it has lasted.
		fault.NotServing: func() time.Duration {
			return min(longestSilence, max(director.AskEvery, course.now().Sub(course.yard.Snapshot().Until)))
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
	for until := course.now().Add(sureBound); ; course.yard.World.Wait(sureEvery) {
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
	}
}

// Explain tells what would happen to a request, and passes it nowhere.
func (yard *Yard) Explain(requester seam.Requester) {
	course := &Course{yard: yard, requester: requester, state: reading, begun: yard.World.Now()}
	if failure := course.read(); failure != nil {
		found := fault.Of(failure)
		Refuse(requester, found.Kind, found.Detail, award.DidNotRun, 0)
		return
	}
	quotes, step := course.desk.Explain(course.begun, course.ticket)
	content, failure := json.Marshal(map[string]any{"step": step, "quotes": quotes, "prices": course.desk.Prices(), "bid": course.ticket.Bid})
	if failure != nil {
		Refuse(requester, fault.Internal, failure.Error(), award.DidNotRun, 0)
		return
	}
	requester.Answer(200, []seam.Header{{Name: "Content-Type", Value: "application/json"}}, content)
}

func (course *Course) now() time.Time { return course.yard.World.Now() }

// proper looks the request's lane and pool up in the newest spec, once this daemon is sure of that.
func (course *Course) proper() error {
	if !course.sure() {
		return fault.New(fault.NotServing, "this daemon does not know for sure that its spec is the present one")
	}
	book, request := course.yard.Snapshot().Book, course.request
	lane, found := book.Lanes[request.Lane]
	if !found {
		return fault.New(fault.UnknownLane, "there is no lane %q", request.Lane)
	}
	pool := book.Pools[lane.Pool]
	if pool.Model != request.Model {
		return fault.New(fault.UnknownModel, "lane %q serves model %q, not %q", lane.Name, pool.Model, request.Model)
	}
	if !pool.Serves(request.Adapter) {
		return fault.New(fault.UnknownAdapter, "pool %q has no adapter %q", pool.Name, request.Adapter)
	}
	if course.desk != nil && pool.Name != course.pool.Name {
		return fault.New(fault.UnknownLane, "lane %q now belongs to pool %q", lane.Name, pool.Name)
	}
	course.lane, course.pool = *lane, *pool
	return nil
}

// read checks the request against the newest spec.
func (course *Course) read() error {
	request, failure := intake.Parse(course.requester.Header, course.requester.Body())
	if failure != nil {
		return failure
	}
	course.request = request
	if known := course.take(); known != "" {
		return fault.New(fault.AlreadyTaken, "the request with this id %s", known)
	}
	if failure := course.proper(); failure != nil {
		return failure
	}
	lane, pool := &course.lane, &course.pool
	course.desk = course.yard.Desk(pool.Name)
	course.ticket = &award.Ticket{Lane: lane.Name, Purse: lane.Purse, PartTokens: request.PartTokens, Steps: make(chan award.Step, 1),
		Keys: course.yard.Indexer.Processor.BlockKeys(request.Parts, kvblock.Extra{Model: pool.Model, Weights: pool.Weights, Adapter: request.Adapter}),
		Bid: award.Bid{Worth: lane.Worth, Patience: time.Duration(lane.Patience), PromptTokens: request.PromptTokens, Zone: course.yard.Zone,
			Shut: map[string]bool{}}}
	return nil
}

// bid asks for an award and obeys, until the request is relayed, refused or given up.
func (course *Course) bid(last award.End) {
	for {
		course.to(bidding)
		if course.attempts >= maximumAttempts {
			verdict := award.After(last, course.lane.Repeatable)
			course.refuse(verdict.Otherwise, "every attempt failed", course.ran(verdict.Ran), course.comeback(verdict.Otherwise))
			return
		}
		// Why: the spec may have taken the lane or its pool away since the last attempt.
		if failure := course.proper(); failure != nil {
			found := fault.Of(failure)
			course.refuse(found.Kind, found.Detail, course.ran(award.DidNotRun), course.comeback(found.Kind))
			return
		}
		course.desk.Enter(course.now(), course.ticket)
		course.step = course.yard.Await(course.ticket.Steps)
		if course.step.Kind == award.Refuse {
			course.refuseStep()
			return
		}
		course.to(passing)
		course.attempts++
		end := course.pass()
		if end == "" {
			course.relay()
			return
		}
		course.drop()
		if end == award.Doubt {
			course.doubted = true
		}
		verdict := award.After(end, course.lane.Repeatable)
		if !verdict.Again {
			course.refuse(verdict.Otherwise, fmt.Sprintf("runner %s gave no answer", course.step.Runner.ID), course.ran(verdict.Ran), course.comeback(verdict.Otherwise))
			return
		}
		// Why: a runner is not at fault where this daemon was not sure of its spec.
		if end != award.NotSent || course.yard.Snapshot().Until.After(course.now()) {
			course.ticket.Bid.Shut[course.step.Runner.ID] = true
		}
		last = end
	}
}

// ran keeps a doubt once there is one, and what is known of the request from before.
func (course *Course) ran(said string) string {
	if word := ranWords[course.said]; word != "" {
		return word
	}
	if course.doubted {
		return award.Unknown
	}
	return said
}

func (course *Course) refuseStep() {
	late := course.now().Sub(course.begun) > 50*time.Millisecond
	course.yard.Tally.Count(course.lane.Name, func(lane *tally.Lane) {
		if late {
			lane.Late++
		} else {
			lane.Early++
		}
	})
	course.refuse(course.step.Fault, course.step.Reason, course.ran(award.DidNotRun), course.step.RetryAfter)
}

// refuse ends a course without a stream.
func (course *Course) refuse(kind fault.Kind, detail, ran string, retry time.Duration) {
	course.to(ended)
	// Why: whatever ended this attempt, an earlier one may have run, and that is what the requester must know.
	if course.doubted {
		kind = fault.OutcomeUnknown
	}
	course.settle(map[bool]once.State{true: "", false: once.Unknown}[ran == award.DidNotRun])
	if course.desk != nil {
		course.yard.Tally.Count(course.lane.Name, func(lane *tally.Lane) { lane.Ends[string(kind)]++ })
	}
	Refuse(course.requester, kind, detail, ran, retry)
	course.yard.InFlight.Add(-1)
}

// drop lets go of the runner after an attempt that failed.
func (course *Course) drop() {
	if course.connection != nil {
		_ = course.connection.Close()
		course.connection = nil
	}
	course.desk.Release(course.now(), course.ticket, course.step.Runner.ID)
}

// allowed looks at the newest spec and the newest list once more, at the moment before bytes go out.
func (course *Course) allowed(identity link.Identity) bool {
	snapshot, now := course.yard.Snapshot(), course.now()
	if !now.Before(snapshot.Until) || snapshot.Book == nil {
		return false
	}
	lane, found := snapshot.Book.Lanes[course.lane.Name]
	if !found || lane.Pool != course.pool.Name {
		return false
	}
	pool, found := snapshot.Book.Pools[lane.Pool]
	if !found || pool.Model != course.request.Model || !pool.Serves(course.request.Adapter) {
		return false
	}
	runner, known := course.yard.Book.One(now, course.step.Runner.ID, course.yard.Daemons())
	if !known || !runner.Usable || !Permits(snapshot.Book, pool, runner) {
		return false
	}
	course.epoch = snapshot.SpecEpoch
	return identity.RunnerID == runner.ID && pool.Allows(identity.Service) && identity.Model == pool.Model && identity.Weights == pool.Weights
}

// Permits tells whether a spec lets a pool use a runner.
func Permits(book *spec.Book, pool *spec.Pool, runner pressure.Runner) bool {
	return pool.Allows(runner.Service) && book.Open(runner.Zone)
}

// pass sends the request to the runner awarded and reads up to the first event. It gives "" when the
// answer may be relayed, and otherwise how the attempt ended.
func (course *Course) pass() award.End {
	runner := course.step.Runner
	connection, failure := course.yard.Links.Take(runner.ID, runner.Address)
	if failure != nil {
		course.yard.Book.Failed(course.now(), runner.ID, string(fault.Of(failure).Kind))
		course.countFree()
		return award.NotSent
	}
	course.connection = connection
	if !course.allowed(connection.Identity) {
		if !course.pool.Allows(connection.Identity.Service) || connection.Identity.Weights != course.pool.Weights {
			course.yard.Book.Failed(course.now(), runner.ID, "serves something else than listed")
		}
		course.countFree()
		return award.NotSent
	}
	if !course.mayRepeat() {
		return award.NotSent
	}
	if !course.send() {
		course.countFree()
		return award.NotSent
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
		// Why: an attempt that ends before its last byte is no send, and its request counts once.
		if !course.counted {
			course.counted = true
			budget.budget.Request(course.now())
		}
		return true
	}
	if !budget.budget.Repeat(course.now()) {
		// Why: without budget no later attempt can go out either, so the final answer is given now.
		course.attempts = maximumAttempts
		return false
	}
	course.yard.Tally.Count(course.lane.Name, func(lane *tally.Lane) { lane.Repeats++ })
	return true
}

// outgoing gives the request's bytes.
func (course *Course) outgoing() []byte {
	runner, request := course.step.Runner, course.request
	outgoing := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(outgoing)
	outgoing.Header.SetMethod("POST")
	outgoing.SetRequestURI("/run")
	outgoing.Header.SetHost(runner.Address)
	outgoing.Header.SetContentType("application/json")
	for _, header := range []seam.Header{{Name: intake.HeaderLane, Value: request.Lane}, {Name: intake.HeaderModel, Value: request.Model},
		{Name: intake.HeaderAdapter, Value: request.Adapter}, {Name: intake.HeaderRequest, Value: request.ID}, {Name: intake.HeaderRunner, Value: runner.ID},
		{Name: intake.HeaderDaemon, Value: course.yard.Name}, {Name: intake.HeaderEpoch, Value: strconv.FormatUint(course.epoch, 10)},
		{Name: intake.HeaderPrompt, Value: strconv.Itoa(request.PromptTokens)}, {Name: intake.HeaderAnswer, Value: strconv.Itoa(request.AnswerToken)}} {
		if header.Value != "" {
			outgoing.Header.Set(header.Name, header.Value)
		}
	}
	for place, part := range request.Parts {
		outgoing.Header.Add(intake.HeaderPrefix, part+"="+strconv.Itoa(request.PartTokens[place]))
	}
	outgoing.SetBodyRaw(request.Body)
	content := &bytes.Buffer{}
	// Why: writing to memory can't fail.
	writer := bufio.NewWriter(content)
	_ = outgoing.Write(writer)
	_ = writer.Flush()
	return content.Bytes()
}

// send writes the request out. A long one takes its time on the way, so that the last look comes again
// before its last part: without that the runner has no request. It tells whether the whole went out.
func (course *Course) send() bool {
	course.to(sent)
	course.sentAt = course.now()
	content := course.outgoing()
	if course.key != nil && !course.told {
		course.told = true
		course.yard.Tell(*course.key, false)
	}
	_ = course.connection.SetDeadline(course.now().Add(writeBound))
	if len(content) > 4*lastPart {
		if _, failure := course.connection.Write(content[:len(content)-lastPart]); failure != nil || !course.allowed(course.connection.Identity) {
			return false
		}
		content = content[len(content)-lastPart:]
	}
	// Why: a failure to write tells nothing of what the runner got, so reading the answer decides.
	_, _ = course.connection.Write(content)
	course.sends++
	course.desk.Sent(course.sentAt, course.ticket, course.step)
	return true
}

type putBack struct {
	Started *bool `json:"started"`
}

// answer reads up to the first event and gives "" when there is one.
func (course *Course) answer() award.End {
	runner := course.step.Runner
	// Why: a run that can't be repeated is given its patience once more before its outcome is called unknown;
	// one that can be is better begun anew. Longer than that nobody waits for a runner that seems well.
	bound := time.Duration(course.lane.Patience) + leastBound
	if !course.lane.Repeatable {
		bound = max(bound, 2*time.Duration(course.lane.Patience))
	}
	_ = course.connection.SetDeadline(course.now().Add(bound))
	course.response = &fasthttp.Response{StreamBody: true}
	if failure := course.response.ReadLimitBody(course.connection.Reader, -1); failure != nil {
		course.yard.Book.Failed(course.now(), runner.ID, "gave no answer")
		return award.Doubt
	}
	if course.response.StatusCode() != 200 {
		return course.refused()
	}
	course.reader = stream.NewReader(course.response.BodyStream())
	first, failure := course.reader.Next()
	if failure != nil {
		course.yard.Book.Failed(course.now(), runner.ID, "gave no first event")
		return award.Doubt
	}
	course.first = first
	return ""
}

// refused reads a runner's refusal; only its own word that it did not start counts as that.
func (course *Course) refused() award.End {
	said := putBack{}
	failure := json.Unmarshal(course.response.Body(), &said)
	if failure == nil && said.Started != nil && !*said.Started {
		course.desk.PutBack(course.now(), course.ticket, course.step)
		return award.PutBack
	}
	return award.Doubt
}

// relay streams the run on, beginning with the event that showed that it runs.
func (course *Course) relay() {
	course.firstSeen()
	if course.yard.Draining.Load() {
		course.requester.Last()
	}
	course.requester.Stream([]seam.Header{{Name: "Content-Type", Value: "text/event-stream"}, {Name: "Cache-Control", Value: "no-store"},
		{Name: intake.HeaderRunner, Value: course.step.Runner.ID}, {Name: intake.HeaderEpoch, Value: strconv.FormatUint(course.epoch, 10)}}, course.rest)
}

func (course *Course) firstSeen() {
	took, runner := course.now().Sub(course.sentAt), course.step.Runner
	course.yard.Book.Served(runner.ID)
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

// rest relays every event in its order, and success only after the runner's own last event.
func (course *Course) rest(writer *bufio.Writer) {
	event, end, whole := course.first, string(fault.RunFailed), false
	across := 0
	for {
		if failure := event.Write(writer); failure != nil {
			end = "requester_gone"
			break
		}
		across += len(event.Data)
		if event.Done() {
			end, whole = "done", true
			break
		}
		_ = course.connection.SetDeadline(course.now().Add(silenceBound))
		next, failure := course.reader.Next()
		if failure != nil {
			course.breakOff(writer, event.ID, failure)
			break
		}
		event = next
	}
	course.finish(end, whole, across)
}

// breakOff tells the requester that the stream is not whole.
func (course *Course) breakOff(writer *bufio.Writer, last int, failure error) {
	verdict := award.After(award.Broken, course.lane.Repeatable)
	content, encoding := json.Marshal(Refusal{Kind: verdict.Otherwise, Detail: fault.Of(failure).Detail,
		Remedy: (&fault.Fault{Kind: verdict.Otherwise}).Remedy(), Ran: verdict.Ran})
	if encoding == nil {
		// Why: the requester may be gone as well; there is nobody else to tell.
		_ = stream.Event{ID: last + 1, Name: "error", Data: content}.Write(writer)
	}
	course.yard.Book.Failed(course.now(), course.step.Runner.ID, "broke off a stream")
}

// finish ends a course that was relayed.
func (course *Course) finish(end string, whole bool, across int) {
	course.to(ended)
	if whole {
		_ = course.connection.SetDeadline(course.now().Add(tailBound))
		if course.reader.End() {
			course.yard.Links.Keep(course.connection)
			course.connection = nil
		}
		course.desk.Learn(0, 0, course.now().Sub(course.sentAt))
	}
	course.settle(map[bool]once.State{true: once.Ran, false: once.Unknown}[whole])
	course.drop()
	course.yard.Tally.Count(course.lane.Name, func(lane *tally.Lane) {
		lane.Ends[end]++
		if whole {
			lane.Done++
		}
		if course.step.Runner.Zone != course.yard.Zone {
			lane.BytesAcross += uint64(across)
		}
	})
	course.yard.InFlight.Add(-1)
}
