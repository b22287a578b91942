package registry

import (
	"sort"
	"time"

	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	// DefaultHeartbeat is how often runners are taken to call where the settings say nothing.
	DefaultHeartbeat = time.Second
	// quietHeartbeats is how many beats a runner may miss before it is called silent, and relayBeats how many
	// more where it was last heard by another core.
	quietHeartbeats = 3.5
	relayHeartbeats = 1.0
	// graceHeartbeats is for how long a core that has begun, or was frozen, calls nobody silent.
	graceHeartbeats = 5
	// drainingHeartbeats is after how long an unheard runner that drains is taken to have ended.
	drainingHeartbeats = 20
	// crowdFactor is how much longer the patience is where most runners seem silent at once.
	crowdFactor = 3
	crowdLeast  = 4
	lookEvery   = 250 * time.Millisecond
	// confirmBound is how long an acknowledgement waits for every daemon, loneBound how long for
	// half of them.
	confirmBound = 400 * time.Millisecond
	loneBound    = 750 * time.Millisecond
	retryEvery   = 100 * time.Millisecond
	retrySlowly  = 300 * time.Millisecond
	retryBound   = 2 * time.Second
	// maximumRounds bounds the news of leaving runners that are under way at once.
	maximumRounds = 1024
	coldSlack     = time.Second
	leastCold     = 250 * time.Millisecond
)

// Outcome is how a call ended.
type Outcome string

// The outcomes: taken, taken but older than what is known, and not taken.
const (
	Taken   Outcome = "taken"
	Late    Outcome = "late"
	Full    Outcome = "full"
	Unheard Outcome = "unheard"
)

// Environment are what a registrar is told of its core.
type Environment struct {
	// Daemons gives the data daemons that must know who leaves, Cores the other cores.
	Daemons func(now time.Time) []string
	Cores   func() []string
	// Joined tells whether this core hears most of the cores, Isolated that it hears nobody at all.
	Joined   func(now time.Time) bool
	Isolated func(now time.Time) bool
}

// Counters are what a registrar counts. Unconfirmed are the acknowledgements that were given before every
// daemon had confirmed.
type Counters struct {
	Calls       uint64 `json:"Calls"`
	Registered  uint64 `json:"Registered"`
	Revived     uint64 `json:"Revived"`
	Late        uint64 `json:"Late"`
	Silent      uint64 `json:"Silent"`
	Drained     uint64 `json:"Drained"`
	Gone        uint64 `json:"Gone"`
	Unconfirmed uint64 `json:"Unconfirmed"`
	Refused     uint64 `json:"Refused"`
	Retried     uint64 `json:"Repeated"`
}

// heard is the latest call of a runner that any core is known to have heard, and when we learned of it.
type heard struct {
	call uint64
	at   time.Time
	// directly tells that the runner called this core.
	directly bool
	told     uint64
}

// round is the news of one leaving runner on its way to every daemon.
type round struct {
	runner    string
	started   time.Time
	sent      time.Time
	waiting   map[string]bool
	confirmed int
	daemons   int
	answers   []func(outcome Outcome)
}

// Registrar takes the runners' calls at one core.
type Registrar struct {
	*Exchange
	heartbeat    time.Duration
	surroundings Environment
	heard        map[string]*heard
	rounds       map[uint64]*round
	// spread are the leaving runners of which this core itself has told every daemon.
	spread map[string]bool
	nonce  uint64
	// unsent are the lines that the next tick tells everybody, unanswered the calls that wait for it.
	unsent     []*wire.Runner
	unanswered []func(outcome Outcome)
	graceUntil time.Time
	looked     time.Time
	told       time.Time
	counters   Counters
}

// NewRegistrar makes the registrar of a core that has just begun. The first nonce differs from life to life.
func NewRegistrar(now time.Time, heartbeat time.Duration, nonce uint64, outbox *statemachine.Outbox, surroundings Environment) *Registrar {
	if heartbeat <= 0 {
		heartbeat = DefaultHeartbeat
	}
	return &Registrar{Exchange: NewExchange(outbox), heartbeat: heartbeat, surroundings: surroundings, heard: map[string]*heard{}, rounds: map[uint64]*round{}, spread: map[string]bool{},
		nonce: nonce, graceUntil: now.Add(graceHeartbeats * heartbeat)}
}

// Counters gives what was counted.
func (registrar *Registrar) Counters() Counters { return registrar.counters }

// latest gives the greatest call known of a runner.
func (registrar *Registrar) latest(id string) uint64 {
	call := registrar.Line(id).GetCall()
	if known := registrar.heard[id]; known != nil {
		call = max(call, known.call)
	}
	return call
}

// Register takes a runner's call. answer is called once, for a runner that drains when the daemons know.
func (registrar *Registrar) Register(now time.Time, line *wire.Runner, answer func(outcome Outcome)) {
	registrar.counters.Calls++
	if registrar.turnsAway(now, answer) {
		return
	}
	held := registrar.Line(line.RunnerId)
	leaves := line.State == Draining && held.GetState() != Draining && held.GetState() != Gone
	if held != nil && !leaves && (line.Call <= registrar.latest(line.RunnerId) || held.State == Gone) {
		registrar.counters.Late++
		registrar.join(now, held, Late, answer)
		return
	}
	if held == nil && len(registrar.entries) >= MaximumRunners && !registrar.makeRoom() {
		registrar.counters.Refused++
		answer(Full)
		return
	}
	registrar.note(now, line.RunnerId, max(line.Call, registrar.latest(line.RunnerId)), true)
	if held.GetState() == Draining {
		registrar.join(now, held, Taken, answer)
		return
	}
	if !registrar.differs(now, held, line) {
		answer(Taken)
		return
	}
	registrar.enter(now, held, line)
	if line.State == Draining {
		registrar.counters.Drained++
		registrar.begin(now, line, answer)
		return
	}
	// A core that stops just after an acknowledgement must not be the only one that knows.
	registrar.unanswered = append(registrar.unanswered, answer)
	if len(registrar.around(now)) == 0 {
		registrar.flush(now)
	}
}

// turnsAway refuses a call where nobody else could learn of it, so that the runner asks another core.
func (registrar *Registrar) turnsAway(now time.Time, answer func(outcome Outcome)) bool {
	if !registrar.surroundings.Isolated(now) {
		return false
	}
	registrar.counters.Refused++
	answer(Unheard)
	return true
}

// enter makes a line of a runner's call known.
func (registrar *Registrar) enter(now time.Time, held, line *wire.Runner) {
	if held == nil {
		registrar.counters.Registered++
	} else if held.State == Silent {
		registrar.counters.Revived++
	}
	registrar.Take(now, []*wire.Runner{line})
	if held == nil || held.State == Silent || held.Address != line.Address {
		registrar.displace(now, line)
	}
	if line.State != Draining {
		registrar.unsent = append(registrar.unsent, line)
	}
}

// displace calls those runners silent at whose address another has called. Why: an address has one runner
// at a time, and the last that called is the one; if that was an old call, the next one sets it right.
func (registrar *Registrar) displace(now time.Time, line *wire.Runner) {
	for _, id := range registrar.ids() {
		if other := registrar.Line(id); id != line.RunnerId && serving[other.State] && other.Address == line.Address {
			registrar.silence(now, id)
		}
	}
}

// differs tells whether a call says something that is not known yet; most calls do not.
func (registrar *Registrar) differs(now time.Time, held, line *wire.Runner) bool {
	if held == nil || !live[held.State] || held.Address != line.Address || held.Zone != line.Zone || held.Service != line.Service ||
		held.Slots != line.Slots || held.Revision != line.Revision || (line.State == Draining) != (held.State == Draining) {
		return true
	}
	known, told := registrar.coldFor(now, line.RunnerId), time.Duration(0)
	if line.State == Cold {
		told = time.Duration(line.SlowStartMilliseconds) * time.Millisecond
	}
	return (known-told).Abs() > coldSlack || (known == 0 || told == 0) && (known-told).Abs() > leastCold
}

// Deregister takes in that a runner's life is over. answer is called once, when the daemons know.
func (registrar *Registrar) Deregister(now time.Time, id string, answer func(outcome Outcome)) {
	registrar.counters.Calls++
	if registrar.turnsAway(now, answer) {
		return
	}
	held := registrar.Line(id)
	if held.GetState() == Gone {
		registrar.join(now, held, Late, answer)
		return
	}
	if held == nil {
		held = &wire.Runner{RunnerId: id}
	}
	line := changed(held, Gone, registrar.latest(id))
	taken, _ := registrar.Take(now, []*wire.Runner{line})
	if len(taken) == 0 {
		registrar.counters.Refused++
		answer(Full)
		return
	}
	registrar.counters.Gone++
	delete(registrar.heard, id)
	registrar.begin(now, line, answer)
}

// join answers a call that changes nothing: at once, or with the news of a leaving runner that is under way.
func (registrar *Registrar) join(now time.Time, held *wire.Runner, outcome Outcome, answer func(outcome Outcome)) {
	// A core that only heard of it from another can't know whether that one lived to tell the daemons.
	if stages[held.State] > 0 && !registrar.spread[held.RunnerId] {
		registrar.begin(now, held, answer)
		return
	}
	for _, round := range registrar.rounds {
		if round.runner == held.RunnerId && round.answers != nil {
			round.answers = append(round.answers, answer)
			return
		}
	}
	answer(outcome)
}

// begin tells everybody of a leaving runner and answers once every daemon has confirmed.
func (registrar *Registrar) begin(now time.Time, line *wire.Runner, answer func(outcome Outcome)) {
	if len(registrar.rounds) >= maximumRounds {
		registrar.unsent = append(registrar.unsent, line)
		registrar.counters.Unconfirmed++
		answer(Taken)
		return
	}
	registrar.nonce++
	registrar.spread[line.RunnerId] = true
	round := &round{runner: line.RunnerId, started: now, sent: now, waiting: map[string]bool{}, answers: []func(outcome Outcome){answer}}
	registrar.rounds[registrar.nonce] = round
	for _, daemon := range registrar.surroundings.Daemons(now) {
		round.waiting[daemon] = true
	}
	round.daemons = len(round.waiting)
	registrar.tell(registrar.nonce, round)
	for _, core := range registrar.surroundings.Cores() {
		if !round.waiting[core] {
			registrar.send(core, &wire.RunnerUpdate{Runners: []*wire.Runner{line}})
		}
	}
	registrar.settle(now, registrar.nonce, round)
}

// tell sends a round's news to those who have not confirmed it.
func (registrar *Registrar) tell(nonce uint64, round *round) {
	line := registrar.Line(round.runner)
	if line == nil {
		return
	}
	news := &wire.RunnerUpdate{Runners: []*wire.Runner{line}, Nonce: nonce}
	for _, address := range names(round.waiting) {
		registrar.send(address, news)
	}
}

func names[Value any](of map[string]Value) []string {
	names := make([]string, 0, len(of))
	for name := range of {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Held takes a daemon's word that it knows of a leaving runner.
func (registrar *Registrar) Held(now time.Time, from string, message *wire.RunnerUpdateAck) {
	round := registrar.rounds[message.Nonce]
	if round == nil || !round.waiting[from] {
		return
	}
	delete(round.waiting, from)
	round.confirmed++
	registrar.settle(now, message.Nonce, round)
}

// settle answers a round that every daemon has confirmed, or whose time is over, and ends it when it has
// nothing left to do.
func (registrar *Registrar) settle(now time.Time, nonce uint64, round *round) {
	passed, complete, outcome := now.Sub(round.started), len(round.waiting) == 0, Taken
	if complete || passed >= retryBound {
		delete(registrar.rounds, nonce)
	}
	if round.answers == nil || !complete && passed < confirmBound {
		return
	}
	if !complete && 2*round.confirmed < round.daemons {
		// This core would promise what it can't keep; the runner had better ask another. A daemon that so
		// many others leave behind awards nothing for long, and learns of it before it does so again.
		if passed < loneBound {
			return
		}
		outcome = Unheard
	}
	if outcome == Unheard {
		// The next call of this runner must not be answered as though the daemons had been told.
		delete(registrar.spread, round.runner)
		delete(registrar.rounds, nonce)
		registrar.counters.Refused++
	} else if !complete {
		registrar.counters.Unconfirmed++
	}
	answers := round.answers
	round.answers = nil
	for _, answer := range answers {
		answer(outcome)
	}
}

// note remembers the latest call of a runner.
func (registrar *Registrar) note(now time.Time, id string, call uint64, directly bool) {
	known := registrar.heard[id]
	if known == nil {
		known = &heard{}
		registrar.heard[id] = known
	}
	known.call, known.at, known.directly = call, now, directly
}

// Heard takes in which calls another core has heard of. Why: a core passes on what it heard of others too,
// so that two cores that can't talk to each other do not call each other's runners silent.
func (registrar *Registrar) Heard(now time.Time, message *wire.RunnerHeartbeats) {
	for _, version := range message.Calls {
		if registrar.Line(version.RunnerId) != nil && version.Call > registrar.latest(version.RunnerId) {
			registrar.note(now, version.RunnerId, version.Call, false)
		}
	}
}

// News joins what another process told; a runner that another core calls silent, but that has called
// since, is told of at once.
func (registrar *Registrar) News(now time.Time, from string, message *wire.RunnerUpdate) {
	for _, line := range registrar.Exchange.News(now, from, message) {
		known := registrar.heard[line.RunnerId]
		if line.State == Silent && known != nil && known.call > line.Call && now.Sub(known.at) <= registrar.quietBound(known) {
			registrar.counters.Revived++
			revived := changed(line, Ready, known.call)
			registrar.Take(now, []*wire.Runner{revived})
			registrar.unsent = append(registrar.unsent, revived)
		}
	}
}

// Resume tells that this core has stood still: what it did not hear meanwhile says nothing.
func (registrar *Registrar) Resume(now time.Time) {
	for _, known := range registrar.heard {
		known.at = now
	}
}

// Tick does what is due.
func (registrar *Registrar) Tick(now time.Time) {
	registrar.Prune(now)
	registrar.tendRounds(now)
	registrar.tellHeard(now)
	registrar.look(now)
	registrar.flush(now)
}

// around gives every other process.
func (registrar *Registrar) around(now time.Time) []string {
	found := map[string]bool{}
	for _, address := range append(registrar.surroundings.Daemons(now), registrar.surroundings.Cores()...) {
		found[address] = true
	}
	return names(found)
}

// flush tells every process what changed since the last tick, in one message each.
func (registrar *Registrar) flush(now time.Time) {
	if len(registrar.unsent) == 0 {
		return
	}
	news := &wire.RunnerUpdate{Runners: registrar.unsent}
	registrar.unsent = nil
	for _, address := range registrar.around(now) {
		registrar.send(address, news)
	}
	answers := registrar.unanswered
	registrar.unanswered = nil
	for _, answer := range answers {
		answer(Taken)
	}
}

func (registrar *Registrar) tendRounds(now time.Time) {
	if len(registrar.rounds) == 0 {
		return
	}
	nonces := make([]uint64, 0, len(registrar.rounds))
	for nonce := range registrar.rounds {
		nonces = append(nonces, nonce)
	}
	sort.Slice(nonces, func(left, right int) bool { return nonces[left] < nonces[right] })
	for _, nonce := range nonces {
		round := registrar.rounds[nonce]
		every := retryEvery
		if round.answers == nil {
			every = retrySlowly
		}
		if now.Sub(round.sent) >= every {
			round.sent = now
			registrar.counters.Retried++
			registrar.tell(nonce, round)
		}
		registrar.settle(now, nonce, round)
	}
}

// tellHeard tells the other cores which runners have called since this was last told.
func (registrar *Registrar) tellHeard(now time.Time) {
	if now.Sub(registrar.told) < registrar.heartbeat/2 {
		return
	}
	registrar.told = now
	message := &wire.RunnerHeartbeats{}
	for _, id := range names(registrar.heard) {
		if known := registrar.heard[id]; known.call > known.told {
			known.told = known.call
			message.Calls = append(message.Calls, &wire.RunnerVersion{RunnerId: id, Call: known.call})
		}
	}
	if len(message.Calls) == 0 {
		return
	}
	for _, core := range registrar.surroundings.Cores() {
		registrar.outbox.Send(core, &wire.Envelope{Body: &wire.Envelope_RunnerHeartbeats{RunnerHeartbeats: message}})
	}
}

// survey is what a look over all live runners found.
type survey struct {
	// count is how many runners are live and don't drain; direct is how many of them this core hears itself.
	count, direct int
	// quiet have not been heard for their bound, longQuiet not for several times as long; ended have drained long enough.
	quiet, longQuiet, finished []string
}

// look calls runners silent of which no core has heard for long.
func (registrar *Registrar) look(now time.Time) {
	if now.Sub(registrar.looked) < lookEvery {
		return
	}
	registrar.looked = now
	found := registrar.survey(now)
	registrar.forgetUnlisted()
	// A core that hears neither the others nor most runners is itself the one that is cut off.
	if now.Before(registrar.graceUntil) || !registrar.surroundings.Joined(now) && 2*found.direct < found.count {
		return
	}
	quiet := found.quiet
	// Most runners at once are more likely kept from calling by something between them and us; acting on
	// it would stop all service.
	if len(quiet) >= crowdLeast && 2*len(quiet) > found.count {
		quiet = found.longQuiet
	}
	for _, id := range quiet {
		registrar.silence(now, id)
	}
	for _, id := range found.finished {
		registrar.setState(now, id, Gone)
	}
}

// survey looks at every live runner.
func (registrar *Registrar) survey(now time.Time) survey {
	var found survey
	for _, id := range registrar.ids() {
		line := registrar.Line(id)
		if !live[line.State] {
			delete(registrar.heard, id)
			continue
		}
		registrar.addTo(&found, now, line)
	}
	return found
}

// lastHeard gives when a runner was heard last, by this core or another.
func (registrar *Registrar) lastHeard(now time.Time, line *wire.Runner) *heard {
	id := line.RunnerId
	known := registrar.heard[id]
	// What another core has just told counts as heard now, for nobody can say when it was.
	if known == nil || known.call < line.Call {
		registrar.note(now, id, line.Call, false)
		known = registrar.heard[id]
	}
	return known
}

// addTo adds one live runner to a survey.
func (registrar *Registrar) addTo(survey *survey, now time.Time, line *wire.Runner) {
	id := line.RunnerId
	known := registrar.lastHeard(now, line)
	passed, bound := now.Sub(known.at), registrar.quietBound(known)
	if line.State == Draining {
		if passed > drainingHeartbeats*registrar.heartbeat {
			survey.finished = append(survey.finished, id)
		}
		return
	}
	survey.count++
	if known.directly && passed <= bound {
		survey.direct++
	}
	if passed > bound {
		survey.quiet = append(survey.quiet, id)
	}
	if passed > crowdFactor*bound {
		survey.longQuiet = append(survey.longQuiet, id)
	}
}

// forgetUnlisted drops what is kept of runners that are no longer known.
func (registrar *Registrar) forgetUnlisted() {
	for id := range registrar.heard {
		if registrar.Line(id) == nil {
			delete(registrar.heard, id)
		}
	}
	for id := range registrar.spread {
		if registrar.Line(id) == nil {
			delete(registrar.spread, id)
		}
	}
}

func (registrar *Registrar) quietBound(known *heard) time.Duration {
	heartbeats := quietHeartbeats
	if !known.directly {
		heartbeats += relayHeartbeats
	}
	return time.Duration(heartbeats * float64(registrar.heartbeat))
}

// silence calls a runner silent.
func (registrar *Registrar) silence(now time.Time, id string) {
	registrar.counters.Silent++
	registrar.setState(now, id, Silent)
}

// setState gives a runner a state as its latest version, to be told to the other cores.
func (registrar *Registrar) setState(now time.Time, id, state string) {
	line := changed(registrar.Line(id), state, registrar.latest(id))
	registrar.Take(now, []*wire.Runner{line})
	registrar.unsent = append(registrar.unsent, line)
}
