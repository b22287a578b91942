// Package core is the control plane of one disk machine as a pure state machine: it puts together
// chain, view, claim and gossip message, takes operators' orders, and hands data daemons their ticks.
package node

import (
	"math/rand"
	"reflect"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/daemonlease"
	"wardtray/control/durability"
	"wardtray/control/failuredetector"
	"wardtray/control/leadership"
	"wardtray/control/reconfiguration"
	"wardtray/control/viewchange"
	"wardtray/coordination/chain"
	"wardtray/coordination/gossip"
	"wardtray/coordination/lease"
	"wardtray/coordination/peersampling"
	"wardtray/coordination/quota"
	"wardtray/coordination/registry"
	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// Settings is what a machine is told of itself.
type Settings struct {
	Address string
	HTTP    string
	Zone    string
	Seeds   []string
	// Founders are the addresses of the first disk machines; all must be there for the first view.
	Founders []string
	// Heartbeat is how often runners call; 0 stands for the registry's own.
	Heartbeat time.Duration
	// Founding tells that this is the very first start of the whole fleet. A machine whose disk was lost later
	// starts without it and never founds anything.
	Founding bool
	// Faults is how many machines may lose their disks at the same time; 1 if not told.
	Faults int
	// Quotas is by how much the daemons together may exceed tenants' quotas.
	Quotas quota.Tolerance
	// Staleness is for how long a data daemon may rely on a lease; 0 stands for what the limits allow.
	Staleness time.Duration
	// Limits are the times that the platform grants; zero ones stand for the usual.
	Limits Limits
}

// Counters are what a machine counts of its own work.
type Counters struct {
	Views        uint64 `json:"Views"`
	Commits      uint64 `json:"Commits"`
	Accepted     uint64 `json:"Accepted"`
	Refused      uint64 `json:"Refused"`
	Unknown      uint64 `json:"Unknown"`
	DiskFailures uint64 `json:"DiskFailures"`
}

// Node is one disk machine.
type Node struct {
	settings Settings
	self     *wire.Member
	outbox   *statemachine.Outbox
	random   *rand.Rand
	handlers map[reflect.Type]func(now time.Time, envelope *wire.Envelope)

	agent  *view.Agent
	chain  *chain.Chain
	gossip *gossip.Store
	// witness is what this machine, as an acceptor, has confirmed to daemons.
	witness      *lease.Witness
	leadership   *leadership.Leadership
	grantor      *leadership.Grantor
	leases       *daemonlease.Leases
	quotas       *daemonlease.Quotas
	confirmer    *daemonlease.Confirmer
	directorySet addressSet
	partialView  *peersampling.PartialView

	detector     *failuredetector.Detector
	proposer     *viewchange.Proposer
	decommission reconfiguration.Decommission
	disk         *durability.Disk

	started   time.Time
	lastLearn time.Time
	// initialSynced is how far this machine had synced when the present view began here.
	initialSynced uint64
	bounds        Bounds
	counters      Counters
	// The committed spec as it travels, and the epoch it is of.
	packedSpec  []byte
	packedEpoch uint64

	registrar *registry.Registrar
	// The newest document that a gossip message brought, without its spec.
	rumored *wire.Document

	head headState
	asks map[string]*ask
	// incarnation is drawn anew by each process, and nonce numbers its questions.
	incarnation, nonce uint64
}

// New restores a machine from its memory; memory.Id must be set.
func New(now time.Time, settings Settings, memory *wire.DurableState, records []*wire.Record, random *rand.Rand) *Node {
	memory = proto.Clone(memory).(*wire.DurableState)
	settings.Faults = max(1, settings.Faults)
	if settings.Staleness == 0 {
		settings.Staleness = BoundsFor(settings.Limits).DaemonLease
	}
	for _, record := range records {
		Replay(memory, record)
	}
	incarnation, leaseNonce := random.Uint64(), random.Uint64()
	node := &Node{incarnation: incarnation, settings: settings, bounds: BoundsFor(settings.Limits), random: random, outbox: statemachine.NewOutbox(), started: now,
		self: &wire.Member{Id: memory.Id, Address: settings.Address, Zone: settings.Zone, Http: settings.HTTP},
		asks: map[string]*ask{}}
	node.detector = failuredetector.New(now, node.self, node.bounds.Suspicion, node.bounds.Frozen)
	node.disk = durability.New(node.outbox, records, node.bounds.Unhealthy, node.Memory)
	node.chain = chain.New(memory.Id, memory.Document, memory.Pending, node.outbox, node.detector.AddressOf, node.onCommit)
	node.chain.RestoreIncomplete(memory.Incomplete)
	node.agent = view.NewAgent(now, memory.Id, memory.View, memory.AcceptorState, node.outbox, node.detector.Resolve, node.onView)
	foundsNow := settings.Founding && !memory.Founding && node.agent.Current().Epoch == 0
	node.proposer = viewchange.New(now, viewchange.Settings{Founders: settings.Founders, Founding: memory.Founding || foundsNow,
		Suspicion: node.bounds.Suspicion, Stagger: node.bounds.Stagger}, node.self, node.agent,
		reconfiguration.NewPlanner(node.bounds.Broken), random)
	node.partialView = peersampling.New(&wire.PeerDescriptor{Address: settings.Address, Zone: settings.Zone, Core: true}, settings.Seeds, node.outbox, random)
	node.gossip = gossip.New(settings.Zone, node.outbox, random, node.partners, func(time.Time, *wire.GossipEntry) {})
	node.rumored, node.registrar = &wire.Document{}, node.newRegistrar(now)
	node.table()
	if memory.Document != nil && memory.Document.Sequence > 0 {
		node.publish(now)
	}
	node.leases = daemonlease.NewLeases(node.chain, node.outbox, settings.Staleness, node.agent.Current())
	node.quotas = daemonlease.NewQuotas(settings.Quotas, node.bounds.QuotaTerm)
	node.witness = lease.NewWitness(node.leases.Length())
	node.confirmer = daemonlease.NewConfirmer(memory.Id, node.agent, node.chain, node.witness)
	node.grantor = leadership.NewGrantor(now, memory.Id, node.agent, node.outbox, node.witness, memory.ClearedTerm)
	node.leadership = leadership.New(leaseNonce, node.agent, node.chain, node.outbox, node.detector.AddressOf, func() {
		node.leases.Reset()
		node.quotas.Reset()
	})
	if foundsNow {
		// A founder that is killed before there is a view must still be one when it starts again.
		node.disk.Replace(now)
	}
	if current := node.agent.Current(); current.Epoch > 0 {
		// Which views ended a moment before this process began is not known.
		node.witness.Restarted(now)
		node.leases.Restarted(now)
		node.chain.Adopt(now, current)
		node.initialSynced = node.chain.Synced()
	}
	return node
}

// Outbox gives what the driver has to carry out.
func (node *Node) Outbox() *statemachine.Outbox { return node.outbox }

// Chain gives the machine's part of the chain, for drivers, checkers and status pages.
func (node *Node) Chain() *chain.Chain { return node.chain }

// View gives the present view.
func (node *Node) View() *wire.View { return node.agent.Current() }

// Counters gives what was counted.
func (node *Node) Counters() Counters {
	counters := node.counters
	counters.DiskFailures = node.disk.Counters().Failures
	return counters
}

// Self gives this machine's member line.
func (node *Node) Self() *wire.Member { return node.self }

// Drain gives messages, stamped with who sends them, and writes.
func (node *Node) Drain() ([]statemachine.Message, []statemachine.Write) {
	parcels, writes := node.outbox.Drain()
	for _, parcel := range parcels {
		parcel.Envelope.From, parcel.Envelope.Sender, parcel.Envelope.Zone = node.self.Address, node.self.Id, node.self.Zone
		// Whoever has heard of a view acts in none before it, even while its disk is still busy with that.
		parcel.Envelope.Epoch = node.agent.Newest().Epoch
		// Digests of gossip go to everybody in turn, so that the sum of the runners needs no rounds of its own.
		if digest := parcel.Envelope.GetDigest(); digest != nil {
			digest.RunnersChecksum = node.registrar.Checksum()
		}
	}
	node.disk.Appended(writes)
	return parcels, writes
}

// Refused takes in that nobody listened at an address when it was tried at a moment: the process that was
// there is dead, since it listens for as long as it lives, and with it all that it was granted.
func (node *Node) Refused(now time.Time, address string, tried time.Time) {
	node.grantor.ConnectionRefused(now, address, tried)
	if node.leadership.IsLeading(now) && node.leases.ConnectionRefused(address, tried) {
		node.quotas.Release(now, address)
		node.answerWaiters(now)
	}
	node.detector.Terminated(address, tried)
	node.sendHeartbeats(now)
	node.proposer.Tick(node.facts(now))
}

// Synced takes the completion of a write.
func (node *Node) Synced(now time.Time, sequence uint64) {
	node.outbox.Done(now, sequence)
	node.serveParked(now)
	node.answerWaiters(now)
}

// Tick does what is due.
func (node *Node) Tick(now time.Time) {
	// Whoever was frozen has heard nobody, which says nothing about them.
	if node.detector.Tick(now) {
		node.registrar.Resume(now)
	}
	node.disk.Tick(now)
	node.sendHeartbeats(now)
	node.grantor.Tick(now)
	node.leadership.Tick(now)
	node.proposer.Tick(node.facts(now))
	node.chain.Tick(now)
	node.tendLearning(now)
	node.tendDirectory(now)
	if node.leases.IsPromptDue(now) && node.leadership.IsLeading(now) {
		node.leases.Prompt(node.leader(now))
	}
	node.partialView.Tick(now)
	node.gossip.Tick(now)
	node.registrar.Tick(now)
	node.serveParked(now)
	node.answerWaiters(now)
	node.tendAsks(now)
}
