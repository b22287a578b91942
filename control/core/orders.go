package core

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"wardtray/config"
	"wardtray/process/fault"
	"wardtray/wire"
)

const (
	askBound    = 6 * time.Second
	waitBound   = 5 * time.Second
	askAgain    = 300 * time.Millisecond
	maximumAsks = 256
	maximumHops = 3
	// parkBound is for how long a question waits here for the moment at which it can be answered; its asker
	// sends it again meanwhile.
	parkBound = 2 * time.Second
	// Staleness is for how long a data daemon relies on a tick, counted from its question.
	Staleness = time.Second
	// leaseMargin is what the head waits beyond that, for clocks that drift.
	leaseMargin   = 100 * time.Millisecond
	directoryWait = 300 * time.Millisecond
	// callAfter is how long rumors have to bring a change to everybody before the head calls those who lack it.
	callAfter   = 40 * time.Millisecond
	callEvery   = 100 * time.Millisecond
	absentBound = 60 * time.Second
	// MaximumDaemons bounds the daemons one head keeps ticks for.
	MaximumDaemons = 4096
)

// StalenessFor gives for how long a tick may be relied on where a change must be in force within a time after its
// acknowledgement: well less than that, and not longer than the usual.
func StalenessFor(apply time.Duration) time.Duration { return min(Staleness, apply/2) }

type headState struct {
	// When this machine first held the claim in its reign as head, the view in which that reign began, and up
	// to where history must be committed before it may promise anything.
	begun       time.Time
	reign       uint64
	mark        uint64
	waiters     []*waiter
	parked      []parked
	daemons     map[string]*daemon
	firstDaemon time.Time
	refused     map[string]bool
	// When recent sequences were first seen committed here.
	commits map[uint64]time.Time
}

type daemon struct {
	zone     string
	http     string
	sequence uint64
	granted  time.Time
	asked    time.Time
	asks     int
	life     uint64
	leaving  bool
	// gone is when nobody listened at its address any more; its process, and all that it relied on, ended before.
	gone time.Time
}

// waiter is an operator whose change is on its way.
type waiter struct {
	ask      *wire.OperatorAsk
	sequence uint64
	epoch    uint64
	until    time.Time
	view     uint64
}

// parked is a question that this machine must answer but can't yet.
type parked struct {
	message *wire.OperatorAsk
	until   time.Time
}

// ask is an operator's question that came in at this machine.
type ask struct {
	message *wire.OperatorAsk
	answer  func(status int, body []byte)
	until   time.Time
	sent    time.Time
	// The view under which it was sent.
	view uint64
	// The machines that may have taken it.
	passed map[string]bool
}

// Reply is the shape of every answer to an operator.
type Reply struct {
	Operation string          `json:"operation,omitempty"`
	Outcome   string          `json:"outcome"`
	Epoch     uint64          `json:"epoch"`
	Kind      string          `json:"kind,omitempty"`
	Detail    string          `json:"detail,omitempty"`
	Remedy    string          `json:"remedy,omitempty"`
	Flaws     []config.Flaw   `json:"flaws,omitempty"`
	Spec      json.RawMessage `json:"spec,omitempty"`
}

func (reply Reply) encode() []byte {
	content, err := json.Marshal(reply)
	if err != nil {
		panic(err) // Only a spec that is no JSON could fail here, and none is ever stored.
	}
	return content
}

func refusal(kind fault.Kind, epoch uint64, operation, detail string) Reply {
	return Reply{Operation: operation, Outcome: "refused", Epoch: epoch, Kind: string(kind), Detail: detail,
		Remedy: (&fault.Fault{Kind: kind}).Remedy()}
}

// Ask takes an operator's question; answer is called once.
func (node *Node) Ask(now time.Time, message *wire.OperatorAsk, answer func(status int, body []byte)) {
	if len(node.asks) >= maximumAsks {
		answer(503, refusal(fault.Busy, 0, message.Operation, "too many questions wait here").encode())
		return
	}
	node.nonce++
	message.Token = fmt.Sprintf("%s/%d", node.self.Id, node.nonce)
	message.Origin = node.self.Address
	node.asks[message.Token] = &ask{message: message, answer: answer, until: now.Add(askBound), passed: map[string]bool{}}
	node.tendAsks(now)
}

// tendAsks sends each open question to whoever must answer it, again where that may have failed.
func (node *Node) tendAsks(now time.Time) {
	tokens := make([]string, 0, len(node.asks))
	for token := range node.asks {
		tokens = append(tokens, token)
	}
	sort.Strings(tokens)
	for _, token := range tokens {
		open := node.asks[token]
		if open == nil {
			continue
		}
		if now.After(open.until) {
			node.giveUp(open)
			continue
		}
		// A machine whose disk hangs still knows whom to ask, though it can't act under that view itself.
		current := node.agent.Newest()
		// Another view has another head or tail, which need not be left waiting.
		if current.Epoch == 0 || open.view == current.Epoch && now.Sub(open.sent) < askAgain {
			continue
		}
		open.sent, open.view = now, current.Epoch
		target := current.Chain[0]
		if target.Id == node.self.Id {
			if node.chain.Head() {
				open.passed[target.Id] = true
			}
			node.serve(now, open.message)
			continue
		}
		open.passed[target.Id] = true
		node.outbox.Send(node.addressOf(target), &wire.Envelope{Body: &wire.Envelope_OperatorAsk{OperatorAsk: open.message}})
	}
}

// giveUp answers for a chain that did not.
func (node *Node) giveUp(open *ask) {
	if writes(open.message) && len(open.passed) > 0 {
		node.counters.Unknown++
		reply := refusal(fault.OutcomeUnknown, 0, open.message.Operation, "no answer in time; ask with: wtctl operation "+open.message.Operation)
		reply.Outcome = "unknown"
		node.finish(open.message.Token, 504, reply.encode())
		return
	}
	node.finish(open.message.Token, 503, refusal(fault.NoMajority, 0, open.message.Operation, "the chain gave no answer in time").encode())
}

func (node *Node) finish(token string, status int, body []byte) {
	if open := node.asks[token]; open != nil {
		delete(node.asks, token)
		open.answer(status, body)
	}
}

func (node *Node) onOperatorAsk(now time.Time, message *wire.OperatorAsk) {
	if message.Origin != node.self.Address {
		node.serve(now, message)
	}
}

func writes(message *wire.OperatorAsk) bool {
	return message.Verb != "get" && message.Verb != "operation"
}

func (node *Node) onOperatorAnswer(message *wire.OperatorAnswer) {
	open := node.asks[message.Token]
	if open == nil {
		return
	}
	// A refusal by one head says nothing of another head that was asked too and may yet accept.
	if writes(open.message) && message.Status != 200 && len(open.passed) > 1 {
		node.giveUp(open)
		return
	}
	node.finish(message.Token, int(message.Status), message.Body)
}

// reply sends an answer to where the question came in.
func (node *Node) reply(message *wire.OperatorAsk, status int, reply Reply) {
	if message.Origin == node.self.Address {
		node.finish(message.Token, status, reply.encode())
		return
	}
	node.outbox.Send(message.Origin, &wire.Envelope{Body: &wire.Envelope_OperatorAnswer{OperatorAnswer: &wire.OperatorAnswer{
		Token: message.Token, Status: uint32(status), Body: reply.encode()}}})
}

// leading tells whether this machine may act as head at this moment: in the chain's first place,
// under a valid claim, with everything it found there committed.
func (node *Node) leading(now time.Time) bool {
	current := node.agent.Current()
	// Others act by a newer view as soon as this machine says that it has heard of it.
	if !node.chain.Head() || node.agent.Newest().Epoch > current.Epoch || !node.holder.Valid(now, current.Epoch) {
		return false
	}
	// A claim that runs out for a while lets nobody else act; only a new reign does.
	if node.head.begun.IsZero() {
		node.head.begun, node.head.mark = now, node.chain.Latest().Sequence
		node.head.daemons = map[string]*daemon{}
		node.head.firstDaemon = time.Time{}
		node.head.commits = map[uint64]time.Time{}
	}
	return node.chain.Committed().Sequence >= node.head.mark
}

// serve answers as head or tail; whoever is neither stays silent, and the asker tries again.
func (node *Node) serve(now time.Time, message *wire.OperatorAsk) {
	verbs := map[string]func(now time.Time, message *wire.OperatorAsk){
		"get": node.serveGet, "operation": node.serveOperation,
		"apply": node.serveChange, "change": node.serveChange, "close": node.serveChange, "open": node.serveChange,
	}
	if verb := verbs[message.Verb]; verb != nil {
		verb(now, message)
	}
}

// park keeps a question until this machine can answer it. Without that it would wait until its asker
// sends it again.
func (node *Node) park(now time.Time, message *wire.OperatorAsk) {
	for _, parked := range node.head.parked {
		if parked.message.Token == message.Token {
			return
		}
	}
	if len(node.head.parked) < maximumAsks {
		node.head.parked = append(node.head.parked, parked{message: message, until: now.Add(parkBound)})
	}
}

// serveParked tries the parked questions once more, when there is a chance; what still can't be answered is
// parked again.
func (node *Node) serveParked(now time.Time) {
	if len(node.head.parked) == 0 || !node.answers(now) {
		return
	}
	waiting := node.head.parked
	node.head.parked = nil
	for _, parked := range waiting {
		if now.After(parked.until) {
			continue
		}
		node.serve(now, parked.message)
		if last := len(node.head.parked) - 1; last >= 0 && node.head.parked[last].message == parked.message {
			node.head.parked[last].until = parked.until
		}
	}
}

// answers tells whether this machine could answer any question now: as head.
func (node *Node) answers(now time.Time) bool { return node.leading(now) }

func (node *Node) serveGet(now time.Time, message *wire.OperatorAsk) {
	if !node.chain.Head() {
		return
	}
	if !node.leading(now) {
		node.park(now, message)
		return
	}
	document := node.chain.Committed()
	reply := Reply{Outcome: "found", Epoch: document.SpecEpoch, Spec: document.Spec}
	if len(document.Spec) == 0 {
		reply = Reply{Outcome: "empty"}
	}
	node.reply(message, 200, reply)
}

func (node *Node) serveOperation(now time.Time, message *wire.OperatorAsk) {
	if !node.leads(now, message) {
		return
	}
	outcome := find(node.chain.Latest().Outcomes, message.Operation)
	if outcome == nil {
		node.reply(message, 404, refusal(fault.NotFound, 0, message.Operation, "no accepted change has this id so far"))
		return
	}
	if node.delivered(now, outcome.Sequence) {
		node.reply(message, 200, Reply{Operation: message.Operation, Outcome: "accepted", Epoch: outcome.SpecEpoch})
		return
	}
	node.reply(message, 200, Reply{Operation: message.Operation, Outcome: "pending", Epoch: outcome.SpecEpoch})
}

func find(outcomes []*wire.Outcome, operation string) *wire.Outcome {
	for place := len(outcomes) - 1; place >= 0; place-- {
		if outcomes[place].Operation == operation {
			return outcomes[place]
		}
	}
	return nil
}

// leads tells whether this machine may answer a question as head; a head that may not yet parks it.
func (node *Node) leads(now time.Time, message *wire.OperatorAsk) bool {
	leading := node.leading(now)
	if !leading && node.chain.Head() {
		node.park(now, message)
	}
	return leading
}

func (node *Node) serveChange(now time.Time, message *wire.OperatorAsk) {
	if !node.leads(now, message) {
		return
	}
	latest := node.chain.Latest()
	if node.head.refused[message.Token] {
		return
	}
	if outcome := find(latest.Outcomes, message.Operation); outcome != nil {
		// The same operation again gets the first one's outcome, never a second effect.
		node.await(now, message, outcome.Sequence, outcome.SpecEpoch)
		return
	}
	refuse := func(status int, reply Reply) {
		// A spec that is not committed yet may be lost with this head. What is refused because of it might
		// then be accepted from a copy that came in elsewhere. Once it is committed, no copy can ever be.
		if status != 503 && latest.SpecEpoch != node.chain.Committed().SpecEpoch {
			node.park(now, message)
			return
		}
		node.counters.Refused++
		// The asker sends again what it thinks lost; a late copy must not be accepted after a refusal was told.
		if len(node.head.refused) >= 4*maximumAsks {
			node.head.refused = map[string]bool{}
		}
		node.head.refused[message.Token] = true
		node.reply(message, status, reply)
	}
	if message.HasBase && message.Base != latest.SpecEpoch {
		refuse(409, refusal(fault.StaleBase, latest.SpecEpoch, message.Operation,
			fmt.Sprintf("built on epoch %d; the present one is %d", message.Base, latest.SpecEpoch)))
		return
	}
	changed, flaws, err := node.changed(message, latest)
	if err != nil {
		found := fault.Of(err)
		statuses := map[fault.Kind]int{fault.Malformed: 400, fault.TooLarge: 413, fault.InvalidSpec: 422}
		refuse(statuses[found.Kind], refusal(found.Kind, latest.SpecEpoch, message.Operation, found.Detail))
		return
	}
	if message.HasEpoch && message.Epoch <= latest.SpecEpoch {
		flaws = append(flaws, config.Flaw{Path: "epoch", Detail: fmt.Sprintf("%d is not above the present one, %d", message.Epoch, latest.SpecEpoch)})
	}
	if len(flaws) > 0 {
		reply := refusal(fault.InvalidSpec, latest.SpecEpoch, message.Operation, fmt.Sprintf("%d faults", len(flaws)))
		reply.Flaws = flaws
		refuse(422, reply)
		return
	}
	epoch, content := latest.SpecEpoch+1, changed.Encode()
	if message.HasEpoch {
		epoch = message.Epoch
	}
	// Named changes may grow a spec beyond what could be read again.
	if len(content) > config.MaximumBytes {
		refuse(413, refusal(fault.TooLarge, latest.SpecEpoch, message.Operation, fmt.Sprintf("the spec would have %d bytes; at most %d", len(content), config.MaximumBytes)))
		return
	}
	entry := &wire.Entry{Operation: message.Operation, ChangesSpec: true, SpecEpoch: epoch, Spec: content}
	// A sick disk would hold this change up for as long as it takes the others to notice.
	if node.sick(now) {
		refuse(503, refusal(fault.DiskFailed, latest.SpecEpoch, message.Operation, "the head's disk does not keep up"))
		return
	}
	if err := node.chain.Enter(now, entry); err != nil {
		found := fault.Of(err)
		refuse(503, refusal(found.Kind, latest.SpecEpoch, message.Operation, found.Detail))
		return
	}
	node.counters.Accepted++
	node.await(now, message, entry.Sequence, entry.SpecEpoch)
}

// changed gives the spec that an order asks for, and its flaws.
func (node *Node) changed(message *wire.OperatorAsk, latest *wire.Document) (*config.Spec, []config.Flaw, error) {
	if message.Verb == "apply" {
		parsed, err := config.Parse(message.Spec)
		if err != nil {
			return nil, nil, err
		}
		return parsed, parsed.Check(), nil
	}
	present := &config.Spec{Zones: []config.Zone{}, Pools: []config.Pool{}, Lanes: config.Lanes{}}
	if len(latest.Spec) > 0 {
		read, err := config.Decode(latest.Spec)
		if err != nil {
			return nil, nil, err
		}
		present = read
	}
	if message.Verb == "change" {
		change, err := config.ParseChange(message.Spec)
		if err != nil {
			return nil, nil, err
		}
		next, flaws := change.Apply(present)
		return next, flaws, nil
	}
	if len(latest.Spec) == 0 {
		return nil, nil, fault.New(fault.InvalidSpec, "there is no spec yet whose zones could be closed")
	}
	for place := range present.Zones {
		if present.Zones[place].Name == message.Zone {
			present.Zones[place].Closed = message.Verb == "close"
			return present, present.Check(), nil
		}
	}
	return nil, nil, fault.New(fault.InvalidSpec, "there is no zone %q", message.Zone)
}

func (node *Node) await(now time.Time, message *wire.OperatorAsk, sequence, epoch uint64) {
	for _, waiter := range node.head.waiters {
		if waiter.ask.Token == message.Token {
			return
		}
	}
	node.head.waiters = append(node.head.waiters, &waiter{ask: message, sequence: sequence, epoch: epoch,
		until: now.Add(waitBound), view: node.agent.Current().Epoch})
	node.answerWaiters(now)
}

// answerWaiters acknowledges every change that is committed and known where it must be.
func (node *Node) answerWaiters(now time.Time) {
	if len(node.head.waiters) == 0 {
		return
	}
	leading := node.leading(now)
	kept := node.head.waiters[:0]
	for _, waiter := range node.head.waiters {
		if leading && node.delivered(now, waiter.sequence) {
			node.reply(waiter.ask, 200, Reply{Operation: waiter.ask.Operation, Outcome: "accepted", Epoch: waiter.epoch})
			continue
		}
		if now.After(waiter.until) {
			node.unknown(waiter)
			continue
		}
		kept = append(kept, waiter)
	}
	node.head.waiters = kept
}

func (node *Node) unknown(waiter *waiter) {
	node.counters.Unknown++
	reply := refusal(fault.OutcomeUnknown, 0, waiter.ask.Operation, "on its way; ask with: wtctl operation "+waiter.ask.Operation)
	reply.Outcome = "unknown"
	node.reply(waiter.ask, 504, reply)
}

// failWaiters drops those who wait here once another machine is head. Why: where the question came in it is still
// open and goes to the new head, which finds the change in its history or takes it anew.
func (node *Node) failWaiters(now time.Time) {
	if !node.chain.Head() {
		node.head.waiters = nil
	}
}

// delivered tells whether a committed change may be acknowledged: no group of daemons that could vouch for
// each other lacks it, and nobody can rely on a tick without knowing it.
func (node *Node) delivered(now time.Time, sequence uint64) bool {
	document := node.chain.Committed()
	if document.Sequence < sequence || node.head.begun.IsZero() {
		return false
	}
	// A chain that shrank since the change came in has fewer copies than a change needs.
	if current := node.agent.Current(); len(current.Chain) < int(current.Floor) || node.growing(now) {
		return false
	}
	seen, found := node.head.commits[sequence]
	if !found {
		seen = node.head.begun
	}
	// Daemons that missed the last change of the directory still go by the one before it.
	directories := [][]*wire.Member{document.Directory, document.FormerDirectory}
	for _, directory := range directories {
		if !node.mostKnow(directory, sequence, seen) {
			return false
		}
	}
	ticks := node.startup.Staleness + leaseMargin
	// The head before this one may have granted ticks to anybody in the directory, until this reign began.
	if now.Sub(node.head.begun) < ticks {
		for _, directory := range directories {
			for _, member := range directory {
				if !node.harmless(member.Address, sequence, node.head.begun) {
					return false
				}
			}
		}
	}
	// Every tick granted since the commit obliges its daemon to know the change, so only older ticks can still mislead one.
	if found && now.Sub(seen) >= ticks {
		return true
	}
	for _, daemon := range node.head.daemons {
		if daemon.sequence < sequence && now.Sub(daemon.granted) < ticks && !daemon.gone.After(daemon.granted) {
			return false
		}
	}
	return true
}

// mostKnow tells whether those of a directory that may not know a sequence are too few to vouch for it.
func (node *Node) mostKnow(directory []*wire.Member, sequence uint64, since time.Time) bool {
	harmless := 0
	for _, member := range directory {
		if node.harmless(member.Address, sequence, since) {
			harmless++
		}
	}
	return len(directory) == 0 || harmless*2 > len(directory)
}

// harmless tells whether a daemon knows a sequence, or whether its process ended after a moment: the next one
// there knows nothing and vouches for nobody before it has learned all that is newer.
func (node *Node) harmless(address string, sequence uint64, since time.Time) bool {
	known := node.head.daemons[address]
	return known != nil && (known.asks > 0 && known.sequence >= sequence || known.gone.After(since))
}

// daemonRefused takes in that a daemon's process is dead.
func (node *Node) daemonRefused(now time.Time, address string, tried time.Time) {
	if !node.leading(now) {
		return
	}
	known, document := node.head.daemons[address], node.chain.Committed()
	if known == nil && (holds(document.Directory, address) || holds(document.FormerDirectory, address)) {
		known = &daemon{}
		node.head.daemons[address] = known
	}
	// What it was granted or told since it was tried may be for a new process at its address.
	if known != nil && known.granted.Before(tried) && known.asked.Before(tried) {
		known.gone, known.sequence, known.asks = tried, 0, 0
		node.answerWaiters(now)
	}
}

// tendDelivery calls daemons that were not heard to know the last change. Where nobody listens any more, the
// call itself shows it.
func (node *Node) tendDelivery(now time.Time) {
	if now.Sub(node.lastCall) < callEvery || !node.leading(now) {
		return
	}
	document := node.chain.Committed()
	if seen, found := node.head.commits[document.Sequence]; found && now.Sub(seen) < callAfter || node.delivered(now, document.Sequence) {
		return
	}
	node.lastCall = now
	for _, member := range document.Directory {
		if known := node.head.daemons[member.Address]; known == nil || known.sequence < document.Sequence {
			node.outbox.Send(member.Address, &wire.Envelope{Body: &wire.Envelope_TickCall{TickCall: &wire.TickCall{Sequence: document.Sequence}}})
		}
	}
}

// onTickAsk answers a data daemon: the head grants, everybody tells a newer view.
func (node *Node) onTickAsk(now time.Time, envelope *wire.Envelope, message *wire.TickAsk) {
	current := node.agent.Newest()
	grant := &wire.TickGrant{Nonce: message.Nonce, ViewEpoch: current.Epoch, Runners: node.registrar.Sum()}
	if message.View < current.Epoch {
		grant.View = current
	}
	if node.leading(now) {
		known := node.head.daemons[envelope.From]
		if known == nil && len(node.head.daemons) < MaximumDaemons {
			known = &daemon{life: message.Life}
			node.head.daemons[envelope.From] = known
		}
		if known != nil {
			if node.head.firstDaemon.IsZero() {
				node.head.firstDaemon = now
			}
			// A new life shows that the old one's process, with its tick, has ended.
			if known.life != message.Life {
				known.life, known.granted, known.asks = message.Life, time.Time{}, 0
			}
			// A daemon that began anew knows less than it once confirmed, so the last word counts, not the greatest.
			known.zone, known.http, known.sequence, known.asked, known.leaving = message.Zone, message.Http, message.Sequence, now, message.Leaving
			known.asks++
			// The next head waits for all of the directory, and so for whoever may hold a tick of this one's.
			if document := node.chain.Committed(); holds(document.Directory, envelope.From) {
				known.granted = now
				grant.Granted, grant.Sequence, grant.Milliseconds = true, document.Sequence, uint32(node.startup.Staleness.Milliseconds())
			}
		}
	}
	node.outbox.Send(envelope.From, &wire.Envelope{Body: &wire.Envelope_TickGrant{TickGrant: grant}})
	node.answerWaiters(now)
}

// tendDirectory lets daemons into the directory, and those long absent out. The next change enters only when the
// last is delivered, which takes most of the old directory as well as most of the new one.
func (node *Node) tendDirectory(now time.Time) {
	if !node.leading(now) || len(node.chain.Pending()) > 0 || node.sick(now) {
		return
	}
	document := node.chain.Committed()
	arrived := node.arrived(now, document.Directory)
	present := node.withoutAbsent(now, document.Directory)
	if len(arrived) == 0 && len(present) == len(document.Directory) || !node.delivered(now, document.Sequence) {
		return
	}
	if len(document.Directory) == 0 && now.Sub(node.head.firstDaemon) < directoryWait {
		return
	}
	directory := append(present, arrived...)
	sort.Slice(directory, func(left, right int) bool { return directory[left].Address < directory[right].Address })
	if err := node.chain.Enter(now, &wire.Entry{Directory: directory, SpecEpoch: document.SpecEpoch}); err != nil {
		node.counters.Refused++
	}
}

// arrived lists the daemons that ask for ticks and are not in the directory yet.
func (node *Node) arrived(now time.Time, directory []*wire.Member) []*wire.Member {
	inside := map[string]bool{}
	for _, member := range directory {
		inside[member.Address] = true
	}
	var arrived []*wire.Member
	for address, known := range node.head.daemons {
		if !inside[address] && known.asks >= 2 && !known.leaving && now.Sub(known.asked) < node.startup.Staleness {
			arrived = append(arrived, &wire.Member{Id: address, Address: address, Zone: known.zone, Http: known.http})
		}
	}
	return arrived
}

func (node *Node) withoutAbsent(now time.Time, directory []*wire.Member) []*wire.Member {
	var present []*wire.Member
	for _, member := range directory {
		last := node.head.begun
		if known := node.head.daemons[member.Address]; known != nil && known.asked.After(last) {
			last = known.asked
		}
		if now.Sub(last) <= absentBound {
			present = append(present, member)
		}
	}
	// An empty directory lets anybody in unasked; the last known daemons stay until another comes.
	if len(present) == 0 {
		return append(present, directory...)
	}
	return present
}
