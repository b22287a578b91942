// Package director is the control side of one data daemon as a pure state machine: it knows its
// neighbours, takes in the spec and the runners by rumor, asks the head for ticks, and tells at
// every moment until when new work may be awarded.
//
// Work may be awarded while one of three things holds. The head granted a lease on a question that was asked less
// than Staleness ago; the head acknowledges no change before such daemons know it. Or a majority of the keepers
// confirmed on such questions that they know of nothing newer; no change is acknowledged before a majority of them
// knows it and their older words are over. Or no core machine at all is to be reached, for the time that the settings
// allow. See docs/control.md.
package controller

import (
	"math/rand"
	"reflect"
	"time"

	"wardtray/config"
	"wardtray/control/node"
	"wardtray/control/registry"
	"wardtray/coordination/election"
	"wardtray/coordination/gossip"
	"wardtray/coordination/peersampling"
	"wardtray/coordination/quota"
	"wardtray/coordination/statemachine"
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
	// aloneRounds is how many rounds of questions to every core machine must stay unanswered before a daemon takes
	// itself to be without any, and aloneStep for how long it goes on by that before it looks again.
	aloneRounds = 3
	aloneStep   = 200 * time.Millisecond
	// frozenAfter is after what pause a process takes it that it stood still itself: it has asked nobody meanwhile.
	frozenAfter = 500 * time.Millisecond
	// Staleness is for how long an answer is relied on, counted from its question.
	Staleness = node.Staleness
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
	// WithoutCore is for how long after its last lease a daemon that reaches no core machine at all goes on serving
	// on the configuration that it has; 0: not at all.
	WithoutCore time.Duration
	// Quota holds the daemon's shares of the tenants' quotas, which the director asks the head for; nil: there are none.
	Quota *quota.Holder
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
	Documents     uint64 `json:"Documents"`
	Ticks         uint64 `json:"Ticks"`
	TickAsks      uint64 `json:"TickAsks"`
	Confirmations uint64 `json:"Confirmations"`
	Polls         uint64 `json:"Polls"`
	OldLists      uint64 `json:"OldLists"`
	OddDocuments  uint64 `json:"OddDocuments"`
}

// Director is the machine.
type Director struct {
	startup  Startup
	outbox   *statemachine.Outbox
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
	// confirmed is what the keepers of the present view last said, by their ids.
	confirmed  map[string]confirmation
	lastAsk    time.Time
	lastAskAll time.Time
	// unanswered counts the rounds in which every core machine was asked since one of them answered.
	unanswered int
	lastTick   time.Time
	// newest is the newest sequence that a core machine has told of; leaseEnd when the last lease ends or ended.
	newest    uint64
	leaseEnd  time.Time
	lastBeat  time.Time
	beats     uint64
	beatEpoch uint64
	lastPoll  time.Time
	polling   bool
	listHeard time.Time
	runners   []*wire.Runner
	begun     time.Time
	leaving   bool
	counters  Counters
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

// New makes a daemon's director. It knows nothing and is not ready.
func New(now time.Time, startup Startup, random *rand.Rand) *Director {
	if startup.Staleness == 0 {
		startup.Staleness = Staleness
	}
	director := &Director{startup: startup, life: random.Uint64(), outbox: statemachine.NewOutbox(), random: random, asks: map[uint64]time.Time{},
		confirmed: map[string]confirmation{}, begun: now, view: &wire.View{}, nonce: uint64(random.Int63())}
	director.cohort = peersampling.New(&wire.CohortLine{Address: startup.Address, Zone: startup.Zone}, startup.Seeds, director.outbox, random)
	director.rumors = gossip.New(startup.Zone, director.outbox, random, director.partners, director.onRegister)
	director.duty = election.New(now, startup.Address)
	director.registry = registry.NewExchange(director.outbox)
	director.table()
	return director
}

// Drain gives messages, stamped with who sends them.
func (director *Director) Drain() []statemachine.Parcel {
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

// Tick does what is due.
func (director *Director) Tick(now time.Time) {
	if now.Sub(director.lastTick) >= frozenAfter {
		director.unanswered = 0
	}
	director.lastTick = now
	director.cohort.Tick(now)
	director.tendTicks(now)
	director.tendDuty(now)
	director.tendRunners(now)
	director.rumors.Tick(now)
}
