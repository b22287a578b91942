// Package node is the control plane of one disk machine as a pure state machine. It only composes: the mechanisms are
// packages beside it, each with its own state (failuredetector, reconfiguration, viewchange, leadership, daemonlease,
// proposal, directory, durability), over chain, view, lease and gossip of coordination. The node dispatches each
// message to the one that it is for, ticks them in a stated order, and passes facts between them.
//
// A driver hands it the time, messages, ticks and completed writes, and carries out what Ready returns. It starts no
// goroutine, reads no clock and does no I/O.
package node

import (
	"math/rand"
	"reflect"
	"time"

	"google.golang.org/protobuf/proto"

	"wardtray/control/durability"
	"wardtray/control/proposal"
	"wardtray/control/reconfiguration"
	"wardtray/control/timing"
	"wardtray/coordination/chain"
	"wardtray/coordination/registry"
	"wardtray/coordination/statemachine"
	"wardtray/wire"
)

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
	bounds   timing.Bounds
	self     *wire.Member
	started  time.Time
	outbox   *statemachine.Outbox
	handlers handlers
	counters Counters

	members   *members
	daemons   *daemons
	requests  *proposal.Requests
	proposals *proposal.Proposals
	registrar *registry.Registrar
}

// New restores a machine from what its disk held, a state and the records that were written after it; state.Id must be
// set.
func New(now time.Time, settings Settings, state *wire.DurableState, records []*wire.Record, random *rand.Rand) *Node {
	state = proto.CloneOf(state)
	for _, record := range records {
		durability.Replay(state, record)
	}
	settings = settings.withDefaults()
	// The draws keep their order, by which a simulation with the same seed repeats.
	incarnation, leaseNonce := random.Uint64(), random.Uint64()
	isFoundingNow := settings.Founding && !state.Founding && state.View.GetEpoch() == 0
	state.Founding = state.Founding || isFoundingNow
	node := &Node{settings: settings, bounds: timing.BoundsFor(settings.Limits), started: now}
	node.members = newMembers(now, settings, incarnation, state, records, random,
		observers{onView: node.onView, onCommit: node.onCommit, snapshot: node.DurableState})
	node.self, node.outbox = node.members.self, node.members.outbox
	node.daemons = newDaemons(now, node.members, leaseNonce, state.ClearedTerm, random)
	node.requests, node.proposals = newProposals(incarnation, node.members, node.daemons)
	node.registrar = registry.NewRegistrar(now, settings.RunnerHeartbeat, incarnation, node.outbox, registry.Environment{
		Daemons: node.daemons.addresses, Cores: node.members.addresses, HearsMostCores: node.members.hearsMajority,
		HearsNobody: node.daemons.isIsolated})
	node.handlers = newHandlers(node)
	node.resume(now, state, isFoundingNow)
	return node
}

// newProposals returns what takes operators' requests.
func newProposals(incarnation uint64, members *members, daemons *daemons) (*proposal.Requests, *proposal.Proposals) {
	var proposals *proposal.Proposals
	serve := func(now time.Time, message *wire.OperatorRequest) { proposals.Serve(now, message) }
	peers := proposal.Peers{AddressOf: members.detector.AddressOf, Incarnation: members.detector.Incarnation}
	requests := proposal.NewRequests(incarnation, members.self, members.agent, members.chain, members.outbox, peers, serve)
	proposals = proposal.NewProposals(members.self.Address, members.chain, members.outbox, requests,
		proposal.Environment{IsLeading: daemons.leadership.IsLeading, IsDelivered: daemons.isDelivered,
			IsUnhealthy: members.disk.IsUnhealthy})
	return requests, proposals
}

// resume goes on from what the disk held.
func (node *Node) resume(now time.Time, state *wire.DurableState, isFoundingNow bool) {
	if state.Document.GetSequence() > 0 {
		node.daemons.directory.Publish(now)
	}
	if isFoundingNow {
		// A founder that is killed before there is a view must still be one when it starts again.
		node.members.disk.Replace(now)
	}
	if current := node.members.agent.Current(); current.Epoch > 0 {
		node.daemons.witness.AssumeForgottenConfirmations(now)
		node.daemons.leases.Restarted(now)
		node.members.adopt(now, current)
	}
}

// Outbox returns what the driver has to carry out.
func (node *Node) Outbox() *statemachine.Outbox { return node.outbox }

// Chain returns the machine's part of the chain, for drivers, checkers and status pages.
func (node *Node) Chain() *chain.Chain { return node.members.chain }

// View returns the present view.
func (node *Node) View() *wire.View { return node.members.agent.Current() }

// Self returns this machine as the views have it.
func (node *Node) Self() *wire.Member { return node.self }

// Counters returns what was counted.
func (node *Node) Counters() Counters {
	counters, requests, proposals := node.counters, node.requests.Counters(), node.proposals.Counters()
	counters.Accepted = proposals.Accepted
	counters.Refused = proposals.Refused + node.daemons.updater.Counters().Refused
	counters.Unknown = proposals.Unknown + requests.Unknown
	counters.DiskFailures = node.members.disk.Counters().Failures
	return counters
}

// Ready returns messages, stamped with who sends them, and writes.
func (node *Node) Ready() ([]statemachine.Message, []statemachine.Write) {
	messages, writes := node.outbox.Drain()
	for _, message := range messages {
		envelope := message.Envelope
		envelope.From, envelope.Sender, envelope.Zone = node.self.Address, node.self.Id, node.self.Zone
		// Whoever has heard of a view acts in none before it, even while its disk is still busy with that.
		envelope.Epoch = node.members.agent.Newest().Epoch
		// Digests of gossip go to everybody in turn, so that the runners' checksum needs no messages of its own.
		if digest := envelope.GetDigest(); digest != nil {
			digest.RunnersChecksum = node.registrar.Checksum()
		}
	}
	node.members.disk.Appended(writes)
	return messages, writes
}

// Receive handles one message.
func (node *Node) Receive(now time.Time, envelope *wire.Envelope) {
	if envelope.From != node.self.Address {
		node.members.detector.Received(now)
	}
	node.daemons.grantor.Heard(now, envelope.Sender, envelope.Epoch)
	if handle := node.handlers[reflect.TypeOf(envelope.Body)]; handle != nil {
		handle(now, envelope)
	}
	node.proposals.RetryDeferred(now)
}

// Tick does what is due. The order matters: the disk and the detector first, since the others go by what they say, and
// operators last, so that they learn the outcome of this very tick.
func (node *Node) Tick(now time.Time) {
	if node.members.detector.Tick(now) {
		node.registrar.Resume(now)
	}
	node.members.disk.Tick(now)
	node.members.sendHeartbeats(now, node.daemons.unleased)
	node.daemons.grantor.Tick(now)
	node.daemons.leadership.Tick(now)
	node.members.propose(now)
	node.members.chain.Tick(now)
	node.daemons.learner.Tick(now, node.members.decommission.IsStarted())
	node.daemons.tick(now)
	node.members.partialView.Tick(now)
	node.daemons.directory.Gossip().Tick(now)
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

// ConnectionRefused handles that nobody listened at an address when it was tried: the process that was there has
// ended, since it listens for as long as it lives, and with it all that it was granted.
func (node *Node) ConnectionRefused(now time.Time, address string, tried time.Time) {
	node.daemons.grantor.ConnectionRefused(now, address, tried)
	if node.daemons.connectionRefused(now, address, tried) {
		node.proposals.Acknowledge(now)
	}
	node.members.detector.ConnectionRefused(address, tried)
	node.members.sendHeartbeats(now, node.daemons.unleased)
	node.members.propose(now)
}

// Submit takes an operator's request; respond is called once. The token is that of Abandon; empty: it was answered at
// once.
func (node *Node) Submit(now time.Time, message *wire.OperatorRequest,
	respond func(status int, body []byte)) (token string) {
	return node.requests.Submit(now, message, respond)
}

// Abandon forgets a request whose operator waits no more, without a response, so that it takes no slot from others'. A
// change goes on: its operator sends it again, here or elsewhere, and learns whatever has come of it meanwhile.
func (node *Node) Abandon(token string) { node.requests.Abandon(token) }

// IsLeading reports whether this machine acts as head at this moment.
func (node *Node) IsLeading(now time.Time) bool { return node.daemons.leadership.IsLeading(now) }

// Decommission orders this machine to stop, so that the others first take over what it holds.
func (node *Node) Decommission(now time.Time) {
	if !node.members.decommission.Start(now) {
		return
	}
	node.members.detector.ExpediteHeartbeat()
	node.members.sendHeartbeats(now, node.daemons.unleased)
	node.members.propose(now)
}

// IsDecommissioned reports whether this machine may stop: others have taken over what it holds, or nobody is there
// to do so.
func (node *Node) IsDecommissioned(now time.Time) bool {
	return node.members.decommission.IsComplete(node.members.facts(now), node.members.chain.Committed().Sequence)
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

// DurableState returns all that this machine must not forget.
func (node *Node) DurableState() *wire.DurableState {
	agent := node.members.agent
	state := &wire.DurableState{Id: node.self.Id, View: agent.Current(), AcceptorState: agent.AcceptorState(),
		Founding: node.members.proposer.IsFounding(), ClearedTerm: node.daemons.grantor.ClearedTerm()}
	node.members.chain.AddTo(state)
	return state
}

// DiskFailed handles a write that could not be carried out. The machine reports itself unhealthy until a whole state
// has been written anew.
func (node *Node) DiskFailed(now time.Time) { node.members.disk.Failed(now) }
