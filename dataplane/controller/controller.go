// Package controller is the control side of one data daemon as a pure state machine: it knows its
// neighbours, takes in the spec and the runners by gossip message, asks the head for ticks, and tells at
// every moment until when new work may be awarded.
//
// Work may be awarded while one of three things holds. The head granted a lease on a question that was asked less
// than Staleness ago; the head acknowledges no change before such daemons know it. Or a majority of the acceptors
// confirmed on such questions that they know of nothing newer; no change is acknowledged before a majority of them
// knows it and their older words are over. Or no core machine at all is to be reached, for the time that the settings
// allow. See docs/control.md.
package controller

import (
	"math/rand"
	"reflect"
	"time"

	"wardtray/config"
	"wardtray/coordination/election"
	"wardtray/coordination/gossip"
	"wardtray/coordination/lease"
	"wardtray/coordination/peersampling"
	"wardtray/coordination/quota"
	"wardtray/coordination/registry"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

const (
	askEvery = lease.RenewEvery
	// askAgain is how soon a daemon that may not award yet asks again, askAllAfter for how long the head may be
	// silent before others are asked, and askAllEvery how often they are.
	askAgain       = 100 * time.Millisecond
	askAllAfter    = 400 * time.Millisecond
	askAllEvery    = 200 * time.Millisecond
	heartbeatEvery = 500 * time.Millisecond
	pollEvery      = 400 * time.Millisecond
	listBound      = 1600 * time.Millisecond
	learnEvery     = 300 * time.Millisecond
	learnBound     = 2 * time.Second
	taughtBound    = 500 * time.Millisecond
	disputeGap     = time.Second
	beatingCount   = 3
	// aloneRounds is how many rounds of questions to every core machine must stay unanswered before a daemon takes
	// itself to be without any, and aloneStep for how long it goes on by that before it looks again.
	aloneRounds = 3
	aloneStep   = 200 * time.Millisecond
	// frozenAfter is after what pause a process takes it that it stood still itself: it has asked nobody meanwhile.
	frozenAfter = 500 * time.Millisecond
)

// Settings is what a daemon is told of itself.
type Settings struct {
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
	// Quota holds the daemon's shares of the tenants' quotas, which the controller asks the head for; nil: there are none.
	Quota *quota.Limiter
	// OnTaken hears what other daemons of the zone say of requests that run at most once.
	OnTaken func(now time.Time, key []byte, dropped bool)
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

// Controller is the machine.
type Controller struct {
	settings    Settings
	outbox      *statemachine.Outbox
	random      *rand.Rand
	partialView *peersampling.PartialView
	gossip      *gossip.Store
	election    *election.Election
	handlers    map[reflect.Type]func(now time.Time, envelope *wire.Envelope)

	sequence  uint64
	specEpoch uint64
	catalog   *config.Catalog
	directory []*wire.Member
	view      *wire.View
	ready     bool

	nonce       uint64
	incarnation uint64
	asks        map[uint64]time.Time
	tickUntil   time.Time
	tickHeard   time.Time
	// silent tells that nobody listens any more where the head was.
	silent bool
	// confirmed is what the acceptors of the present view last said, by their ids.
	confirmed  map[string]confirmation
	lastAsk    time.Time
	lastAskAll time.Time
	// unanswered counts the rounds in which every core machine was asked since one of them answered.
	unanswered int
	lastTick   time.Time
	// newest is the newest sequence that a core machine has told of; leaseEnd when the last lease ends or ended.
	newest         uint64
	leaseEnd       time.Time
	lastHeartbeat  time.Time
	heartbeats     uint64
	heartbeatEpoch uint64
	lastPoll       time.Time
	polling        bool
	listHeard      time.Time
	runners        []*wire.Runner
	started        time.Time
	leaving        bool
	counters       Counters
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

// New makes a daemon's controller. It knows nothing and is not ready.
func New(now time.Time, settings Settings, random *rand.Rand) *Controller {
	if settings.Staleness == 0 {
		settings.Staleness = lease.DaemonTerm
	}
	controller := &Controller{settings: settings, incarnation: random.Uint64(), outbox: statemachine.NewOutbox(), random: random, asks: map[uint64]time.Time{},
		confirmed: map[string]confirmation{}, started: now, view: &wire.View{}, nonce: uint64(random.Int63())}
	controller.partialView = peersampling.New(&wire.PeerDescriptor{Address: settings.Address, Zone: settings.Zone}, settings.Seeds, controller.outbox, random)
	controller.gossip = gossip.New(settings.Zone, controller.outbox, random, controller.partners, controller.onRegister)
	controller.election = election.New(now, settings.Address)
	controller.registry = registry.NewExchange(controller.outbox)
	controller.table()
	return controller
}

// Drain gives messages, stamped with who sends them.
func (controller *Controller) Drain() []statemachine.Message {
	parcels, _ := controller.outbox.Drain()
	for _, parcel := range parcels {
		parcel.Envelope.From, parcel.Envelope.Sender, parcel.Envelope.Zone = controller.settings.Address, controller.settings.Address, controller.settings.Zone
		parcel.Envelope.Epoch = controller.sequence
		// Digests of gossip go to everybody in turn, so that the sum of the runners needs no rounds of its own.
		if digest := parcel.Envelope.GetDigest(); digest != nil {
			digest.RunnersChecksum = controller.registry.Checksum()
		}
	}
	return parcels
}

// Counters gives what was counted.
func (controller *Controller) Counters() Counters { return controller.counters }

// PartialView gives the partial view.
func (controller *Controller) PartialView() []*wire.PeerDescriptor {
	return controller.partialView.Peers()
}

// Directory gives the daemons that the spec's document names.
func (controller *Controller) Directory() []*wire.Member { return controller.directory }

// View gives the newest view heard of.
func (controller *Controller) View() *wire.View { return controller.view }

// TellTaken tells the other daemons of the zone of a request that must run at most once. It stays in the
// zone: clients are handed to daemons of their own, and bytes between zones are dear.
func (controller *Controller) TellTaken(key []byte, dropped bool) {
	for _, member := range controller.directory {
		if member.Zone == controller.settings.Zone && member.Address != controller.settings.Address {
			controller.outbox.Send(member.Address, &wire.Envelope{Body: &wire.Envelope_RequestDispatched{RequestDispatched: &wire.RequestDispatched{Key: key, NotExecuted: dropped}}})
		}
	}
}

// Leave says that this daemon is about to stop.
func (controller *Controller) Leave() { controller.leaving = true }

// Snapshot gives what the request path needs to know.
func (controller *Controller) Snapshot(now time.Time) config.Snapshot {
	runners := controller.runners
	if controller.settings.Registered {
		runners = controller.registry.Runners(now)
	}
	return config.Snapshot{Sequence: controller.sequence, SpecEpoch: controller.specEpoch, Catalog: controller.catalog, Registered: controller.settings.Registered,
		Runners: runners, Until: controller.Until(now), Daemons: max(1, len(controller.directory))}
}

// Tick does what is due.
func (controller *Controller) Tick(now time.Time) {
	if now.Sub(controller.lastTick) >= frozenAfter {
		controller.unanswered = 0
	}
	controller.lastTick = now
	controller.partialView.Tick(now)
	controller.tendTicks(now)
	controller.tendElection(now)
	controller.tendRunners(now)
	controller.gossip.Tick(now)
}
