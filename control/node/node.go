// Package node is the control plane of one disk machine as a pure state machine. It only composes: the mechanisms are
// packages beside it, each with its own state (failuredetector, reconfiguration, viewchange, leadership, daemonlease,
// proposal, directory, durability), over chain, view, lease and gossip of coordination. The node dispatches each message
// to the one that it is for, ticks them in a stated order, and passes facts between them.
//
// A driver hands it the time, messages, ticks and completed writes, and carries out what Drain returns. It starts no
// goroutine, reads no clock and does no I/O.
package node

import (
	"math/rand"
	"reflect"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/daemonlease"
	"wardtray/control/directory"
	"wardtray/control/durability"
	"wardtray/control/failuredetector"
	"wardtray/control/leadership"
	"wardtray/control/proposal"
	"wardtray/control/reconfiguration"
	"wardtray/control/viewchange"
	"wardtray/coordination/chain"
	"wardtray/coordination/lease"
	"wardtray/coordination/peersampling"
	"wardtray/coordination/registry"
	"wardtray/coordination/statemachine"
	"wardtray/coordination/view"
	"wardtray/wire"
)

// Reply is the form of every reply to an operator.
type Reply = proposal.Reply

// Counters are what a machine counts of its own work.
type Counters struct {
	// Views counts the views that it learned of, and Commits the changes that it saw committed.
	Views   uint64 `json:"Views"`
	Commits uint64 `json:"Commits"`
	// Accepted and Refused count changes that it decided on as head.
	Accepted uint64 `json:"Accepted"`
	Refused  uint64 `json:"Refused"`
	// Unknown counts changes whose operator was told that the outcome is unknown.
	Unknown uint64 `json:"Unknown"`
	// DiskFailures counts writes that could not be carried out.
	DiskFailures uint64 `json:"DiskFailures"`
}

// Node is one disk machine.
type Node struct {
	settings Settings
	bounds   Bounds
	self     *wire.Member
	started  time.Time
	outbox   *statemachine.Outbox
	handlers map[reflect.Type]func(now time.Time, envelope *wire.Envelope)
	counters Counters

	chain        *chain.Chain
	agent        *view.Agent
	disk         *durability.Disk
	detector     *failuredetector.Detector
	proposer     *viewchange.Proposer
	decommission reconfiguration.Decommission
	// initialSynced is how far this machine had synced when the present view began here.
	initialSynced uint64

	leadership *leadership.Leadership
	grantor    *leadership.Grantor
	// witness is what this machine, as an acceptor, has confirmed to daemons.
	witness   *lease.Witness
	confirmer *daemonlease.Confirmer
	leases    *daemonlease.Leases
	quotas    *daemonlease.Quotas

	requests  *proposal.Requests
	proposals *proposal.Proposals

	partialView *peersampling.PartialView
	directory   *directory.Directory
	updater     *directory.Updater
	learner     *directory.Learner
	registrar   *registry.Registrar
}

// New restores a machine from what its disk held, a state and the records that were written after it; state.Id must be
// set.
func New(now time.Time, settings Settings, state *wire.DurableState, records []*wire.Record, random *rand.Rand) *Node {
	state = proto.CloneOf(state)
	for _, record := range records {
		Replay(state, record)
	}
	settings = settings.withDefaults()
	node := &Node{settings: settings, bounds: BoundsFor(settings.Limits), started: now, outbox: statemachine.NewOutbox(),
		self: &wire.Member{Id: state.Id, Address: settings.Address, Zone: settings.Zone, Http: settings.HTTP}}
	// The draws keep their order, by which a simulation with the same seed repeats.
	requestIncarnation, leaseNonce := random.Uint64(), random.Uint64()
	isFoundingNow := settings.Founding && !state.Founding && state.View.GetEpoch() == 0
	node.composeMembership(now, state, records, random, state.Founding || isFoundingNow)
	node.composeLeases(now, state, leaseNonce)
	node.composeProposals(requestIncarnation)
	node.composeDirectory(now, random)
	node.handlers = newHandlers(node)
	node.resume(now, state, isFoundingNow)
	return node
}

// composeMembership makes what agrees on views and holds the history.
func (node *Node) composeMembership(now time.Time, state *wire.DurableState, records []*wire.Record, random *rand.Rand,
	isFounding bool) {
	bounds := node.bounds
	node.detector = failuredetector.New(now, node.self, bounds.Suspicion, bounds.Frozen)
	node.disk = durability.New(node.outbox, records, bounds.Unhealthy, node.Memory)
	node.chain = chain.New(state.Id, state.Document, state.Pending, node.outbox, node.detector.AddressOf, node.onCommit)
	node.chain.RestoreIncomplete(state.Incomplete)
	node.agent = view.NewAgent(now, state.Id, state.View, state.AcceptorState, node.outbox, node.detector.Resolve,
		node.onView)
	node.proposer = viewchange.New(now, viewchange.Settings{Founders: node.settings.Founders, Founding: isFounding,
		Suspicion: bounds.Suspicion, Stagger: bounds.Stagger}, node.self, node.agent,
		reconfiguration.NewPlanner(bounds.Broken), random)
}

// composeLeases makes what grants and holds leases.
func (node *Node) composeLeases(now time.Time, state *wire.DurableState, leaseNonce uint64) {
	node.leases = daemonlease.NewLeases(node.chain, node.outbox, node.settings.Staleness, node.agent.Current())
	node.quotas = daemonlease.NewQuotas(node.settings.Quotas, node.bounds.QuotaTerm)
	node.witness = lease.NewWitness(node.leases.Length())
	node.confirmer = daemonlease.NewConfirmer(state.Id, node.agent, node.chain, node.witness)
	node.grantor = leadership.NewGrantor(now, state.Id, node.agent, node.outbox, node.witness, state.ClearedTerm)
	startTerm := func() {
		node.leases.Reset()
		node.quotas.Reset()
	}
	node.leadership = leadership.New(leaseNonce, node.agent, node.chain, node.outbox, node.detector.AddressOf, startTerm)
}

// composeProposals makes what takes operators' requests.
func (node *Node) composeProposals(incarnation uint64) {
	serve := func(now time.Time, message *wire.OperatorRequest) { node.proposals.Serve(now, message) }
	node.requests = proposal.NewRequests(incarnation, node.self, node.agent, node.chain, node.outbox,
		node.detector.AddressOf, serve)
	isDelivered := func(now time.Time, sequence uint64) bool {
		return node.leases.IsDelivered(node.leader(now), sequence)
	}
	node.proposals = proposal.NewProposals(node.self.Address, node.chain, node.outbox, node.requests,
		proposal.Environment{IsLeading: node.leadership.IsLeading, IsDelivered: isDelivered,
			IsUnhealthy: node.disk.IsUnhealthy})
}

// composeDirectory makes what knows the daemons and runners.
func (node *Node) composeDirectory(now time.Time, random *rand.Rand) {
	descriptor := &wire.PeerDescriptor{Address: node.self.Address, Zone: node.self.Zone, Core: true}
	node.partialView = peersampling.New(descriptor, node.settings.Seeds, node.outbox, random)
	node.directory = directory.New(node.self, node.agent, node.chain, node.outbox, random, node.partialView,
		node.detector.AddressOf)
	node.updater = directory.NewUpdater(node.chain, node.leases)
	node.learner = directory.NewLearner(node.agent, node.chain, node.detector.AddressOf)
	node.registrar = registry.NewRegistrar(now, node.settings.Heartbeat, 0, node.outbox, registry.Environment{
		Daemons: func(now time.Time) []string {
			return node.directory.ServingDaemons(node.leases.Active(now), node.unleasedByHead(now))
		},
		Cores: node.coreAddresses, Joined: node.hearsMajority, Isolated: node.isIsolated})
}

// resume goes on from what the disk held.
func (node *Node) resume(now time.Time, state *wire.DurableState, isFoundingNow bool) {
	if state.Document.GetSequence() > 0 {
		node.directory.Publish(now)
	}
	if isFoundingNow {
		// A founder that is killed before there is a view must still be one when it starts again.
		node.disk.Replace(now)
	}
	if current := node.agent.Current(); current.Epoch > 0 {
		node.witness.Restarted(now)
		node.leases.Restarted(now)
		node.chain.Adopt(now, current)
		node.initialSynced = node.chain.Synced()
	}
}

// Outbox returns what the driver has to carry out.
func (node *Node) Outbox() *statemachine.Outbox { return node.outbox }

// Chain returns the machine's part of the chain, for drivers, checkers and status pages.
func (node *Node) Chain() *chain.Chain { return node.chain }

// View returns the present view.
func (node *Node) View() *wire.View { return node.agent.Current() }

// Self returns this machine as the views have it.
func (node *Node) Self() *wire.Member { return node.self }

// Counters returns what was counted.
func (node *Node) Counters() Counters {
	counters, requests, proposals := node.counters, node.requests.Counters(), node.proposals.Counters()
	counters.Accepted = proposals.Accepted
	counters.Refused = proposals.Refused + node.updater.Counters().Refused
	counters.Unknown = proposals.Unknown + requests.Unknown
	counters.DiskFailures = node.disk.Counters().Failures
	return counters
}

// Drain returns messages, stamped with who sends them, and writes.
func (node *Node) Drain() ([]statemachine.Message, []statemachine.Write) {
	messages, writes := node.outbox.Drain()
	for _, message := range messages {
		envelope := message.Envelope
		envelope.From, envelope.Sender, envelope.Zone = node.self.Address, node.self.Id, node.self.Zone
		// Whoever has heard of a view acts in none before it, even while its disk is still busy with that.
		envelope.Epoch = node.agent.Newest().Epoch
		// Digests of gossip go to everybody in turn, so that the runners' checksum needs no messages of its own.
		if digest := envelope.GetDigest(); digest != nil {
			digest.RunnersChecksum = node.registrar.Checksum()
		}
	}
	node.disk.Appended(writes)
	return messages, writes
}

// Receive handles one message.
func (node *Node) Receive(now time.Time, envelope *wire.Envelope) {
	if envelope.From != node.self.Address {
		node.detector.Received(now)
	}
	node.grantor.Heard(now, envelope.Sender, envelope.Epoch)
	if handle := node.handlers[reflect.TypeOf(envelope.Body)]; handle != nil {
		handle(now, envelope)
	}
	node.proposals.RetryDeferred(now)
}

// Tick does what is due. The order matters: the disk and the detector first, since the others go by what they say, and
// operators last, so that they learn the outcome of this very tick.
func (node *Node) Tick(now time.Time) {
	if node.detector.Tick(now) {
		node.registrar.Resume(now)
	}
	node.disk.Tick(now)
	node.sendHeartbeats(now)
	node.grantor.Tick(now)
	node.leadership.Tick(now)
	node.proposer.Tick(node.facts(now))
	node.chain.Tick(now)
	node.learner.Tick(now, node.decommission.IsStarted())
	if node.leadership.IsLeading(now) && !node.disk.IsUnhealthy(now) {
		node.updater.Tick(node.leader(now))
	}
	if node.leases.IsPromptDue(now) && node.leadership.IsLeading(now) {
		node.leases.Prompt(node.leader(now))
	}
	node.partialView.Tick(now)
	node.directory.Gossip().Tick(now)
	node.registrar.Tick(now)
	node.proposals.RetryDeferred(now)
	node.proposals.Acknowledge(now)
	node.requests.Tick(now)
}

// Synced handles that a write, and with it every earlier one, is on the disk.
func (node *Node) Synced(now time.Time, sequence uint64) {
	node.outbox.Done(now, sequence)
	node.proposals.RetryDeferred(now)
	node.proposals.Acknowledge(now)
}

// Refused handles that nobody listened at an address when it was tried: the process that was there has ended, since it
// listens for as long as it lives, and with it all that it was granted.
func (node *Node) Refused(now time.Time, address string, tried time.Time) {
	node.grantor.ConnectionRefused(now, address, tried)
	if node.leadership.IsLeading(now) && node.leases.ConnectionRefused(address, tried) {
		node.quotas.Release(now, address)
		node.proposals.Acknowledge(now)
	}
	node.detector.ConnectionRefused(address, tried)
	node.sendHeartbeats(now)
	node.proposer.Tick(node.facts(now))
}

// Ask takes an operator's request; respond is called once. The token is that of Abandon; empty: it was answered at once.
func (node *Node) Ask(now time.Time, message *wire.OperatorRequest,
	respond func(status int, body []byte)) (token string) {
	return node.requests.Submit(now, message, respond)
}

// Abandon forgets a request whose operator waits no more, without a response, so that it takes no slot from others'. A
// change goes on: its operator sends it again, here or elsewhere, and learns whatever has come of it meanwhile.
func (node *Node) Abandon(token string) { node.requests.Abandon(token) }

// Leading reports whether this machine acts as head at this moment.
func (node *Node) Leading(now time.Time) bool { return node.leadership.IsLeading(now) }

// Leave orders this machine to stop, so that the others first take over what it holds.
func (node *Node) Leave(now time.Time) {
	if !node.decommission.Start(now) {
		return
	}
	node.detector.ExpediteHeartbeat()
	node.sendHeartbeats(now)
	node.proposer.Tick(node.facts(now))
}

// Left reports whether this machine may stop: others have taken over what it holds, or nobody is there to do so.
func (node *Node) Left(now time.Time) bool {
	return node.decommission.IsComplete(node.facts(now), node.chain.Committed().Sequence)
}

// ChainLimit bounds the chain, so that no change has to be synced by every disk of a large fleet.
func (node *Node) ChainLimit() int { return reconfiguration.ChainLimit(node.settings.Faults) }

// Register handles a runner's call; respond is called once, within a second.
func (node *Node) Register(now time.Time, runner *wire.Runner, respond func(outcome registry.Outcome)) {
	node.registrar.Register(now, runner, respond)
}

// Deregister handles that a runner has ended; respond is called once, within a second.
func (node *Node) Deregister(now time.Time, id string, respond func(outcome registry.Outcome)) {
	node.registrar.Deregister(now, id, respond)
}

// Runners lists every registered runner, also those that have ended or fallen silent.
func (node *Node) Runners(now time.Time) []*wire.Runner { return node.registrar.All(now) }

// Registry returns what was counted of the runners' calls.
func (node *Node) Registry() registry.Counters { return node.registrar.Counters() }

// Replay folds one record of the log into a state.
func Replay(state *wire.DurableState, record *wire.Record) { durability.Replay(state, record) }

// Memory returns all that this machine must not forget.
func (node *Node) Memory() *wire.DurableState {
	state := &wire.DurableState{Id: node.self.Id, View: node.agent.Current(), AcceptorState: node.agent.Vote(),
		Founding: node.proposer.IsFounding(), ClearedTerm: node.grantor.ClearedTerm()}
	node.chain.Memory(state)
	return state
}

// DiskFailed handles a write that could not be carried out. The machine reports itself unhealthy until a whole state
// has been written anew.
func (node *Node) DiskFailed(now time.Time) { node.disk.Failed(now) }
