// Package director is the control side of one data daemon as a pure state machine: it knows its
// neighbours, takes in the spec and the runners by rumor, asks the head for ticks, and tells at
// every moment until when new work may be awarded.
//
// Work may be awarded while one of two things holds. Either the head answered a tick question that
// was asked less than Staleness ago; the head acknowledges no change before such daemons know it.
// Or, with the control plane silent, most daemons of the directory answered such a question and
// none knew anything newer; no change is acknowledged without most of them. See docs/control.md.
package director

import (
	"math/rand"
	"reflect"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/config"
	"wardtray/control/core"
	"wardtray/control/registry"
	"wardtray/coordination/election"
	"wardtray/coordination/gossip"
	"wardtray/coordination/machine"
	"wardtray/coordination/peersampling"
	"wardtray/wire"
)

const (
	askEvery = 300 * time.Millisecond
	// askAgain is how soon a daemon that may not award yet asks again, askAllAfter for how long the head may be
	// silent before others are asked, and askAllEvery how often they are.
	askAgain     = 100 * time.Millisecond
	askAllAfter  = 400 * time.Millisecond
	askAllEvery  = 200 * time.Millisecond
	beatEvery    = 500 * time.Millisecond
	pollEvery    = 400 * time.Millisecond
	listBound    = 1600 * time.Millisecond
	learnEvery   = 300 * time.Millisecond
	learnBound   = 2 * time.Second
	taughtBound  = 500 * time.Millisecond
	disputeGap   = time.Second
	beatingCount = 3
	// smallDirectory is up to how many daemons each asks all others while the head is silent.
	smallDirectory = 12
	// Staleness is for how long an answer is relied on, counted from its question.
	Staleness = core.Staleness
)

// Startup is what a daemon is told of itself.
type Startup struct {
	Address string
	HTTP    string
	Zone    string
	Seeds   []string
	// Registered tells that runners register themselves; otherwise the platform's list is read.
	Registered bool
	// Staleness is for how long an answer is relied on; 0 stands for the usual.
	Staleness time.Duration
	// OnTaken hears what other daemons of the zone say of requests that run at most once.
	OnTaken func(now time.Time, key []byte, dropped bool)
}

// Snapshot is what the request path sees; it is replaced, never changed.
type Snapshot struct {
	Sequence  uint64
	SpecEpoch uint64
	Book      *config.Book
	Runners   []*wire.Runner
	// Registered tells that the runners registered themselves, so that an empty list says that none is left.
	Registered bool
	// Until is the moment up to which work may be awarded by this snapshot.
	Until time.Time
	// Daemons is how many daemons share the work.
	Daemons int
}

// Counters are what a daemon counts of its control side.
type Counters struct {
	Documents, Ticks, TickAsks, Contacts, Polls, OldLists, OddDocuments uint64
}

// Director is the machine.
type Director struct {
	startup  Startup
	outbox   *machine.Outbox
	random   *rand.Rand
	cohort   *peersampling.Cohort
	rumors   *gossip.Store
	duty     *election.Duty
	handlers map[reflect.Type]func(now time.Time, envelope *wire.Envelope)

	sequence  uint64
	specEpoch uint64
	book      *config.Book
	directory []*wire.Member
	view      *wire.View
	ready     bool

	nonce     uint64
	life      uint64
	asks      map[uint64]time.Time
	tickUntil time.Time
	tickHeard time.Time
	// silent tells that nobody listens any more where the head was.
	silent bool
	// Answers of daemons to contact questions: when they were asked, by whom answered, knowing what.
	contacts    map[string]contact
	lastAsk     time.Time
	lastAskAll  time.Time
	lastContact time.Time
	lastBeat    time.Time
	beats       uint64
	beatEpoch   uint64
	lastPoll    time.Time
	polling     bool
	listHeard   time.Time
	runners     []*wire.Runner
	begun       time.Time
	leaving     bool
	counters    Counters
	// WantsPoll is set when the driver should read the platform's list.
	wantsPoll bool
	registry  *registry.Exchange
	// learned tells that somebody has told which runners there are. The disputes are those of this daemon, while
	// it awards nothing, with the head and with the others, who know of other runners than it does.
	learned          bool
	byTick, byOthers dispute
	// teacher last answered with all the runners that it knew, at taught.
	teacher   string
	taught    time.Time
	lastLearn time.Time
}

// dispute is since when words are not relied on, and when the last of them came.
type dispute struct {
	since, last time.Time
}

// over takes in one more such word; it tells whether they have gone on for so long that it counts after all.
// A word that comes long after the last one begins anew, for in between there was nobody to learn from.
func (dispute *dispute) over(now time.Time) bool {
	if now.Sub(dispute.last) > disputeGap {
		dispute.since = now
	}
	dispute.last = now
	return now.Sub(dispute.since) >= learnBound
}

type contact struct {
	asked    time.Time
	ready    bool
	sequence uint64
}

// New makes a daemon's director. It knows nothing and is not ready.
func New(now time.Time, startup Startup, random *rand.Rand) *Director {
	if startup.Staleness == 0 {
		startup.Staleness = Staleness
	}
	director := &Director{startup: startup, life: random.Uint64(), outbox: machine.NewOutbox(), random: random, asks: map[uint64]time.Time{},
		contacts: map[string]contact{}, begun: now, view: &wire.View{}, nonce: uint64(random.Int63())}
	director.cohort = peersampling.New(&wire.CohortLine{Address: startup.Address, Zone: startup.Zone}, startup.Seeds, director.outbox, random)
	director.rumors = gossip.New(startup.Zone, director.outbox, random, director.partners, director.onRegister)
	director.duty = election.New(now, startup.Address)
	director.registry = registry.NewExchange(director.outbox)
	director.table()
	return director
}

func (director *Director) table() {
	director.handlers = map[reflect.Type]func(now time.Time, envelope *wire.Envelope){
		reflect.TypeFor[*wire.Envelope_Shuffle](): func(now time.Time, envelope *wire.Envelope) {
			director.cohort.Shuffle(now, envelope.From, envelope.GetShuffle())
		},
		reflect.TypeFor[*wire.Envelope_Rumor](): func(now time.Time, envelope *wire.Envelope) {
			director.rumors.Rumor(now, envelope.GetRumor())
		},
		reflect.TypeFor[*wire.Envelope_Digest](): func(now time.Time, envelope *wire.Envelope) {
			director.rumors.Digest(now, envelope.From, envelope.Zone, envelope.GetDigest())
			// A daemon whose book is empty tells 0, and so does one that keeps none; the former asks for itself.
			if sum := envelope.GetDigest().Runners; sum != 0 {
				director.compareRunners(now, envelope.From, sum)
			}
		},
		reflect.TypeFor[*wire.Envelope_RunnerNews](): func(now time.Time, envelope *wire.Envelope) {
			director.registry.News(now, envelope.From, envelope.GetRunnerNews())
			director.onRunnersLearned(now, envelope.From, envelope.GetRunnerNews())
		},
		reflect.TypeFor[*wire.Envelope_RunnerDigest](): func(now time.Time, envelope *wire.Envelope) {
			director.registry.Digest(now, envelope.From, envelope.GetRunnerDigest())
		},
		reflect.TypeFor[*wire.Envelope_TickGrant](): func(now time.Time, envelope *wire.Envelope) {
			director.onTickGrant(now, envelope.From, envelope.GetTickGrant())
		},
		reflect.TypeFor[*wire.Envelope_TickCall](): func(now time.Time, envelope *wire.Envelope) {
			director.onTickCall(now, envelope.From, envelope.GetTickCall())
		},
		reflect.TypeFor[*wire.Envelope_ContactAsk](): func(now time.Time, envelope *wire.Envelope) {
			director.outbox.Send(envelope.From, &wire.Envelope{Body: &wire.Envelope_ContactAnswer{ContactAnswer: &wire.ContactAnswer{
				Nonce: envelope.GetContactAsk().Nonce, Ready: director.ready, Sequence: director.sequence, Runners: director.registry.Sum()}}})
		},
		reflect.TypeFor[*wire.Envelope_ContactAnswer](): func(now time.Time, envelope *wire.Envelope) {
			director.onContactAnswer(now, envelope.From, envelope.GetContactAnswer())
		},
		reflect.TypeFor[*wire.Envelope_DocumentAsk](): func(now time.Time, envelope *wire.Envelope) {
			register := director.rumors.Get(core.DocumentKey)
			if register != nil && register.Epoch > envelope.GetDocumentAsk().Sequence {
				director.outbox.Send(envelope.From, &wire.Envelope{Body: &wire.Envelope_Rumor{Rumor: &wire.Rumor{Registers: []*wire.Register{register}}}})
			}
		},
		reflect.TypeFor[*wire.Envelope_Taken](): func(now time.Time, envelope *wire.Envelope) {
			if director.startup.OnTaken != nil && envelope.Zone == director.startup.Zone {
				director.startup.OnTaken(now, envelope.GetTaken().Key, envelope.GetTaken().Dropped)
			}
		},
		reflect.TypeFor[*wire.Envelope_ViewNews](): func(now time.Time, envelope *wire.Envelope) {
			director.learnView(envelope.GetViewNews().View)
		},
	}
}

// Receive takes one message.
func (director *Director) Receive(now time.Time, envelope *wire.Envelope) {
	if handle := director.handlers[reflect.TypeOf(envelope.Body)]; handle != nil {
		handle(now, envelope)
	}
}

// Drain gives messages, stamped with who sends them.
func (director *Director) Drain() []machine.Parcel {
	parcels, _ := director.outbox.Drain()
	for _, parcel := range parcels {
		parcel.Envelope.From, parcel.Envelope.Sender, parcel.Envelope.Zone = director.startup.Address, director.startup.Address, director.startup.Zone
		parcel.Envelope.Epoch = director.sequence
		// Digests of rumors go to everybody in turn, so that the sum of the runners needs no rounds of its own.
		if digest := parcel.Envelope.GetDigest(); digest != nil {
			digest.Runners = director.registry.Sum()
		}
	}
	return parcels
}

// Counters gives what was counted.
func (director *Director) Counters() Counters { return director.counters }

// Cohort gives the partial view.
func (director *Director) Cohort() []*wire.CohortLine { return director.cohort.Lines() }

// Directory gives the daemons that the spec's document names.
func (director *Director) Directory() []*wire.Member { return director.directory }

// View gives the newest view heard of.
func (director *Director) View() *wire.View { return director.view }

// TellTaken tells the other daemons of the zone of a request that must run at most once. It stays in the
// zone: requesters are handed to daemons of their own, and bytes between zones are dear.
func (director *Director) TellTaken(key []byte, dropped bool) {
	for _, member := range director.directory {
		if member.Zone == director.startup.Zone && member.Address != director.startup.Address {
			director.outbox.Send(member.Address, &wire.Envelope{Body: &wire.Envelope_Taken{Taken: &wire.Taken{Key: key, Dropped: dropped}}})
		}
	}
}

// AskEvery is how often the head is asked for a tick.
const AskEvery = askEvery

// Leave says that this daemon is about to stop.
func (director *Director) Leave() { director.leaving = true }

// Snapshot gives what the request path needs to know.
func (director *Director) Snapshot(now time.Time) Snapshot {
	runners := director.runners
	if director.startup.Registered {
		runners = director.registry.Runners(now)
	}
	return Snapshot{Sequence: director.sequence, SpecEpoch: director.specEpoch, Book: director.book, Registered: director.startup.Registered,
		Runners: runners, Until: director.Until(now), Daemons: max(1, len(director.directory))}
}

// Until tells up to when this daemon may award work; a moment in the past means that it may not.
func (director *Director) Until(now time.Time) time.Time {
	if !director.ready {
		return time.Time{}
	}
	until := director.tickUntil
	if byContacts := director.contactsUntil(); byContacts.After(until) {
		until = byContacts
	}
	return until
}

// contactsUntil gives up to when most of the directory vouches for our document.
func (director *Director) contactsUntil() time.Time {
	var asked []time.Time
	for _, member := range director.directory {
		if member.Address == director.startup.Address {
			// This daemon is one of the directory and has the document; its own word needs no question.
			asked = append(asked, time.Unix(1<<40, 0))
			continue
		}
		if contact, found := director.contacts[member.Address]; found && contact.ready && contact.sequence <= director.sequence {
			asked = append(asked, contact.asked)
		}
	}
	needed := len(director.directory)/2 + 1
	if len(director.directory) == 0 || len(asked) < needed {
		return time.Time{}
	}
	sort.Slice(asked, func(left, right int) bool { return asked[left].After(asked[right]) })
	// A directory of one is only this daemon itself, and no answer of another could ever limit it.
	if asked[needed-1].Unix() >= 1<<40 {
		return time.Time{}
	}
	return asked[needed-1].Add(director.startup.Staleness)
}

// Tick does what is due.
func (director *Director) Tick(now time.Time) {
	director.cohort.Tick(now)
	director.tendTicks(now)
	director.tendContacts(now)
	director.tendDuty(now)
	director.tendRunners(now)
	director.rumors.Tick(now)
}

// tendTicks asks the head and, where it does not answer, everybody who may know who is head now.
func (director *Director) tendTicks(now time.Time) {
	pace := askEvery
	if director.silent || !now.Before(director.Until(now)) {
		pace = askAgain
	}
	if now.Sub(director.lastAsk) < pace {
		return
	}
	director.lastAsk = now
	for nonce, asked := range director.asks {
		if now.Sub(asked) > director.startup.Staleness {
			delete(director.asks, nonce)
		}
	}
	targets := map[string]bool{}
	if len(director.view.Chain) > 0 {
		targets[director.view.Chain[0].Address] = true
	}
	if (director.silent || now.Sub(director.tickHeard) > askAllAfter) && now.Sub(director.lastAskAll) >= askAllEvery {
		director.lastAskAll = now
		for _, member := range append(append([]*wire.Member{}, director.view.Chain...), director.view.Keepers...) {
			targets[member.Address] = true
		}
		for _, seed := range director.startup.Seeds {
			targets[seed] = true
		}
		for _, line := range director.cohort.Lines() {
			if line.Core {
				targets[line.Address] = true
			}
		}
	}
	addresses := make([]string, 0, len(targets))
	for address := range targets {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	director.askTicks(now, addresses)
}

func (director *Director) askTicks(now time.Time, addresses []string) {
	for _, address := range addresses {
		if address == director.startup.Address {
			continue
		}
		director.counters.TickAsks++
		director.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_TickAsk{TickAsk: &wire.TickAsk{
			Nonce: director.ask(now), Sequence: director.sequence, Zone: director.startup.Zone, Leaving: director.leaving, Http: director.startup.HTTP,
			View: director.view.Epoch, Life: director.life}}})
	}
}

func (director *Director) ask(now time.Time) uint64 {
	director.nonce++
	director.asks[director.nonce] = now
	return director.nonce
}

func (director *Director) learnView(view *wire.View) {
	if view.GetEpoch() > director.view.Epoch {
		director.view, director.silent = view, false
	}
}

// Refused takes in that nobody listened at an address when it was tried.
func (director *Director) Refused(now time.Time, address string, _ time.Time) {
	if len(director.view.Chain) > 0 && director.view.Chain[0].Address == address && !director.silent {
		// The next head is among the others, and may be there before the last tick has run out.
		director.silent, director.lastAsk = true, time.Time{}
		director.tendTicks(now)
	}
}

// onTickCall answers a head that waits to hear what this daemon knows.
func (director *Director) onTickCall(now time.Time, from string, message *wire.TickCall) {
	if message.Sequence > director.sequence {
		director.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_DocumentAsk{DocumentAsk: &wire.DocumentAsk{Sequence: director.sequence}}})
		return
	}
	director.askTicks(now, []string{from})
}

func (director *Director) onTickGrant(now time.Time, from string, message *wire.TickGrant) {
	director.learnView(message.View)
	director.compareRunners(now, from, message.Runners)
	asked, found := director.asks[message.Nonce]
	delete(director.asks, message.Nonce)
	// A head of an older view may have been left behind by changes that it never heard of.
	if !found || !message.Granted || max(message.ViewEpoch, message.View.GetEpoch()) < director.view.Epoch {
		return
	}
	director.counters.Ticks++
	director.tickHeard, director.silent = now, false
	if message.Sequence > director.sequence {
		director.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_DocumentAsk{DocumentAsk: &wire.DocumentAsk{Sequence: director.sequence}}})
		return
	}
	director.ready = true
	if !director.agrees(now, from, message.Runners, &director.byTick) {
		return
	}
	length := director.startup.Staleness
	if message.Milliseconds > 0 {
		length = min(length, time.Duration(message.Milliseconds)*time.Millisecond)
	}
	if until := asked.Add(length); until.After(director.tickUntil) {
		director.tickUntil = until
	}
}

// tendContacts asks the directory's daemons when the head has been silent for a while.
func (director *Director) tendContacts(now time.Time) {
	if now.Sub(director.tickHeard) < askAllAfter || now.Sub(director.lastContact) < askEvery {
		return
	}
	director.lastContact = now
	targets := map[string]bool{}
	for _, member := range director.directory {
		targets[member.Address] = true
	}
	// A daemon that has just begun knows no directory; its neighbours can give it the document that names one.
	if len(director.directory) == 0 {
		for _, line := range director.cohort.Lines() {
			if !line.Core {
				targets[line.Address] = true
			}
		}
	}
	delete(targets, director.startup.Address)
	addresses := make([]string, 0, len(targets))
	for address := range targets {
		addresses = append(addresses, address)
	}
	sort.Strings(addresses)
	// In a large directory not all need be asked by all; a few more than most of them will do while that works.
	if enough := (len(director.directory)/2 + 1) * 5 / 4; len(director.directory) > smallDirectory && now.Before(director.Until(now)) && enough < len(addresses) {
		director.random.Shuffle(len(addresses), func(left, right int) { addresses[left], addresses[right] = addresses[right], addresses[left] })
		addresses = addresses[:enough]
	}
	for _, address := range addresses {
		director.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_ContactAsk{ContactAsk: &wire.ContactAsk{Nonce: director.ask(now)}}})
	}
}

func (director *Director) onContactAnswer(now time.Time, from string, message *wire.ContactAnswer) {
	asked, found := director.asks[message.Nonce]
	delete(director.asks, message.Nonce)
	if !found {
		return
	}
	director.counters.Contacts++
	// With the control plane silent, those who vouch for our document are also who may know of other runners.
	director.compareRunners(now, from, message.Runners)
	if !director.agrees(now, from, message.Runners, &director.byOthers) {
		return
	}
	director.contacts[from] = contact{asked: asked, ready: message.Ready, sequence: message.Sequence}
	if message.Sequence > director.sequence {
		director.outbox.Send(from, &wire.Envelope{Body: &wire.Envelope_DocumentAsk{DocumentAsk: &wire.DocumentAsk{Sequence: director.sequence}}})
	}
	director.becomeReady(now)
}

// becomeReady lets a daemon that began without a control plane in: most of the directory, itself
// not counted since it remembers nothing, must have been heard and know nothing newer.
func (director *Director) becomeReady(now time.Time) {
	if director.ready || director.sequence == 0 {
		return
	}
	vouching := 0
	for _, member := range director.directory {
		contact, found := director.contacts[member.Address]
		if member.Address != director.startup.Address && found && contact.ready && contact.sequence <= director.sequence && now.Sub(contact.asked) < director.startup.Staleness {
			vouching++
		}
	}
	director.ready = vouching >= len(director.directory)/2+1
}

// onRegister takes in what a rumor changed.
func (director *Director) onRegister(now time.Time, register *wire.Register) {
	if register.Key == core.DocumentKey {
		director.onDocument(now, register)
		return
	}
	if register.Key == director.listKey() {
		director.onList(now, register)
		return
	}
	if id, found := strings.CutPrefix(register.Key, "z/"+director.startup.Zone+"/beat/"); found {
		director.duty.Heard(now, id)
	}
}

func (director *Director) listKey() string { return "z/" + director.startup.Zone + "/runners" }

func (director *Director) onDocument(now time.Time, register *wire.Register) {
	document := &wire.Document{}
	if proto.Unmarshal(register.Value, document) != nil || document.Sequence <= director.sequence {
		director.counters.OddDocuments++
		return
	}
	if document.SpecEpoch != director.specEpoch {
		content, err := config.Unpack(document.PackedSpec)
		if err != nil {
			director.counters.OddDocuments++
			return
		}
		parsed, err := config.Parse(content)
		if err != nil {
			director.counters.OddDocuments++
			return
		}
		director.book = config.NewBook(parsed)
	}
	director.counters.Documents++
	director.sequence, director.specEpoch, director.directory = document.Sequence, document.SpecEpoch, document.Directory
	var order []string
	for _, member := range document.Directory {
		if member.Zone == director.startup.Zone {
			order = append(order, member.Address)
		}
	}
	director.duty.Order(order)
	// The head waits for this word before it acknowledges the change; it should not wait for the next round.
	if len(director.view.Chain) > 0 {
		director.askTicks(now, []string{director.view.Chain[0].Address})
	}
}

func (director *Director) onList(now time.Time, register *wire.Register) {
	list := &wire.RunnerList{}
	if proto.Unmarshal(register.Value, list) != nil {
		return
	}
	if !director.duty.Take(register.Epoch, register.Writer) {
		director.counters.OldLists++
		return
	}
	director.listHeard, director.runners = now, list.Runners
}

// tendDuty gives signs of life where this daemon may be next, and has the platform's list read
// where it is this daemon's duty or where nobody else seems to do it.
func (director *Director) tendDuty(now time.Time) {
	if director.startup.Registered {
		return
	}
	if now.Sub(director.lastBeat) >= beatEvery && director.duty.Candidate(now, beatingCount) {
		director.lastBeat = now
		director.beats++
		key := "z/" + director.startup.Zone + "/beat/" + director.startup.Address
		// Others remember an earlier life of this daemon, whose last sign of life must be outdone; no clock tells by how much.
		if held := director.rumors.Get(key); held != nil && (held.Epoch > director.beatEpoch || held.Epoch == director.beatEpoch && held.Count >= director.beats) {
			director.beatEpoch = held.Epoch + 1
		}
		director.rumors.Put(now, &wire.Register{Key: key,
			Epoch: director.beatEpoch, Count: director.beats, Writer: director.startup.Address}, 2)
	}
	if director.polling || now.Sub(director.lastPoll) < pollEvery {
		return
	}
	_, mine := director.duty.Mine(now)
	if mine || now.Sub(director.listHeard) > listBound {
		director.lastPoll, director.polling, director.wantsPoll = now, true, true
	}
}

// tendRunners has a daemon that has just begun ask which runners there are, and forgets those long gone.
func (director *Director) tendRunners(now time.Time) {
	if !director.startup.Registered {
		return
	}
	director.registry.Prune(now)
	if director.learned || now.Sub(director.lastLearn) < learnEvery {
		return
	}
	director.lastLearn = now
	if seeds := director.startup.Seeds; len(seeds) > 0 {
		director.registry.Ask(now, seeds[director.random.Intn(len(seeds))])
	}
}

// compareRunners takes in the sum of the runners that another process knows, and asks for what is missing.
func (director *Director) compareRunners(now time.Time, from string, sum uint64) {
	if director.startup.Registered {
		director.registry.Compare(now, from, sum)
	}
}

// agrees tells whether the word of a process that knows runners of such a sum lets this daemon award work.
// A daemon that has just begun, or was cut off, knows neither who came nor who left meanwhile, and must
// learn it before it awards again; one that awards already learns it beside that.
func (director *Director) agrees(now time.Time, from string, sum uint64, dispute *dispute) bool {
	if !director.startup.Registered || sum == director.registry.Sum() || now.Before(director.Until(now)) {
		return true
	}
	// While many runners come at once two sums are seldom alike; that all of the other's were learned a
	// moment ago is as good.
	if director.teacher == from && now.Sub(director.taught) < taughtBound {
		return true
	}
	director.registry.Insist(now, from)
	return dispute.over(now)
}

// onRunnersLearned asks for a tick anew once it is learned what stood against the last one.
func (director *Director) onRunnersLearned(now time.Time, from string, news *wire.RunnerNews) {
	if !news.Answer {
		return
	}
	director.learned, director.teacher, director.taught = true, from, now
	if !now.Before(director.Until(now)) && len(director.view.Chain) > 0 && director.view.Chain[0].Address == from {
		director.askTicks(now, []string{from})
	}
}

// WantsPoll tells the driver, once, to read the platform's list and hand it to Polled.
func (director *Director) WantsPoll() bool {
	wants := director.wantsPoll
	director.wantsPoll = false
	return wants
}

// Polled takes the platform's list; failed tells that it could not be read, which changes nothing.
func (director *Director) Polled(now time.Time, runners []*wire.Runner, failed bool) {
	director.polling = false
	director.counters.Polls++
	if failed {
		return
	}
	epoch, mine := director.duty.Mine(now)
	if !mine {
		// Read for itself because no news came; others must not take it for the duty's result.
		director.runners = runners
		return
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(&wire.RunnerList{Runners: runners})
	if err != nil {
		return
	}
	held := director.rumors.Get(director.listKey())
	director.rumors.Put(now, &wire.Register{Key: director.listKey(), Epoch: epoch, Count: held.GetCount() + 1,
		Writer: director.startup.Address, Value: value}, gossip.Hops)
}

// partners gives whom rumors go to: neighbours first, and the directory where neighbours are few.
func (director *Director) partners() []gossip.Partner {
	zones := map[string]string{}
	for _, line := range director.cohort.Lines() {
		zones[line.Address] = line.Zone
	}
	if len(director.directory) <= 2*peersampling.Size {
		for _, member := range director.directory {
			zones[member.Address] = member.Zone
		}
	}
	delete(zones, director.startup.Address)
	partners := make([]gossip.Partner, 0, len(zones))
	for address, zone := range zones {
		partners = append(partners, gossip.Partner{Address: address, Zone: zone})
	}
	sort.Slice(partners, func(left, right int) bool { return partners[left].Address < partners[right].Address })
	return partners
}
