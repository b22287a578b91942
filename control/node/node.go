// Package node implements one control machine as a pure state machine. It only composes: the mechanisms are separate
// packages, each with its own state (failuredetector, reconfiguration, viewchange, leadership, daemonlease, proposal,
// directory, durability), on top of the packages chain, view, lease and gossip of coordination. The node dispatches
// each message to the mechanism that handles it, ticks the mechanisms in a fixed order, and passes facts between them.
//
// A driver passes the time, messages, ticks and completed writes to the node, and sends the messages and carries out
// the writes that Ready returns. The node starts no goroutine, reads no clock and does no I/O.
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

// Counters holds the counters of one control machine since its start.
type Counters struct {
	// Views counts the views that it adopted, and Commits the commits that it learned of.
	Views   uint64 `json:"Views"`
	Commits uint64 `json:"Commits"`
	// Accepted and Refused count the changes that it accepted or refused as head.
	Accepted uint64 `json:"Accepted"`
	Refused  uint64 `json:"Refused"`
	// Unknown counts the changes whose operator received the answer that the outcome is unknown.
	Unknown uint64 `json:"Unknown"`
	// DiskFailures counts failed writes.
	DiskFailures uint64 `json:"DiskFailures"`
}

// Node is one control machine.
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

// New restores a machine from its disk: the last snapshot of the state, and the records that were written after it.
// The state's Id must be set.
func New(now time.Time, settings Settings, state *wire.DurableState, records []*wire.Record, random *rand.Rand) *Node {
	state = proto.CloneOf(state)
	for _, record := range records {
		durability.Replay(state, record)
	}
	settings = settings.withDefaults()
	// The order of the random draws must stay the same, so that a simulation with the same seed repeats.
	incarnation, leaseNonce := random.Uint64(), random.Uint64()
	isFoundingNow := settings.Founding && !state.Founding && state.View.GetEpoch() == 0
	state.Founding = state.Founding || isFoundingNow
	node := &Node{settings: settings, bounds: timing.BoundsFor(settings.Limits), started: now}
	node.members = newMembers(now, settings, incarnation, state, records, random,
		callbacks{onView: node.onView, onCommit: node.onCommit, snapshot: node.DurableState})
	node.self, node.outbox = node.members.self, node.members.outbox
	node.daemons = newDaemons(now, node.members, leaseNonce, state.ClearedTerm, random)
	node.requests, node.proposals = newProposals(incarnation, node.members, node.daemons)
	node.registrar = registry.NewRegistrar(now, settings.RunnerHeartbeat, incarnation, node.outbox, registry.Environment{
		Daemons: node.daemons.addresses, ControlNodes: node.members.addresses,
		HearsMostControlNodes: node.members.hearsMajority, IsIsolated: node.daemons.isIsolated})
	node.handlers = newHandlers(node)
	node.resume(now, state, isFoundingNow)
	return node
}

// newProposals returns the two sides of operators' requests: the requests that operators submit at this machine, and
// the head's decisions on changes.
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

// resume publishes the restored document and adopts the restored view, if there are any. For a new founder it requests
// a snapshot.
func (node *Node) resume(now time.Time, state *wire.DurableState, isFoundingNow bool) {
	if state.Document.GetSequence() > 0 {
		node.daemons.directory.Publish(now)
	}
	if isFoundingNow {
		// A founder that is killed before there is a view must still be a founder after its restart.
		node.members.disk.RequestSnapshot(now)
	}
	if current := node.members.agent.Current(); current.Epoch > 0 {
		node.daemons.witness.AssumeUnrecordedConfirmations(now)
		node.daemons.leases.HandleRestart(now)
		node.members.adopt(now, current)
	}
}

// Outbox returns the messages and writes that the driver has to carry out.
func (node *Node) Outbox() *statemachine.Outbox { return node.outbox }

// Chain returns the machine's replica of the chain, for drivers, checkers and status pages.
func (node *Node) Chain() *chain.Chain { return node.members.chain }

// View returns the current view.
func (node *Node) View() *wire.View { return node.members.agent.Current() }

// Self returns the member record of this machine.
func (node *Node) Self() *wire.Member { return node.self }

// Counters returns the present counters.
func (node *Node) Counters() Counters {
	counters, requests, proposals := node.counters, node.requests.Counters(), node.proposals.Counters()
	counters.Accepted = proposals.Accepted
	counters.Refused = proposals.Refused + node.daemons.updater.Counters().Refused
	counters.Unknown = proposals.Unknown + requests.Unknown
	counters.DiskFailures = node.members.disk.Counters().Failures
	return counters
}

// Ready returns the messages to send, with this machine as sender, and the writes to carry out.
func (node *Node) Ready() ([]statemachine.Message, []statemachine.Write) {
	messages, writes := node.outbox.Drain()
	for _, message := range messages {
		envelope := message.Envelope
		envelope.From, envelope.Sender, envelope.Zone = node.self.Address, node.self.Id, node.self.Zone
		// A machine that has learned of a view no longer acts in an earlier one, even before the view is on its disk.
		envelope.Epoch = node.members.agent.Newest().Epoch
		// Gossip digests reach every process in turn, so the checksum of the runners needs no messages of its own.
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
	node.daemons.grantor.ObserveEpoch(now, envelope.Sender, envelope.Epoch)
	if handle := node.handlers[reflect.TypeOf(envelope.Body)]; handle != nil {
		handle(now, envelope)
	}
	node.proposals.RetryDeferred(now)
}

// Tick does the work that is due. The order matters: the detector and the disk are first, since the other mechanisms
// depend on their state, and operators' requests are last, so that operators learn the outcome of this tick.
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

// Synced handles the completion of a write, and with it of every earlier one.
func (node *Node) Synced(now time.Time, sequence uint64) {
	node.outbox.Done(now, sequence)
	node.proposals.RetryDeferred(now)
	node.proposals.Acknowledge(now)
}

// ConnectionRefused handles a connection attempt, made at the time tried, that was refused at an address. A process
// listens until it ends, so the process at that address has ended, and its leases with it.
func (node *Node) ConnectionRefused(now time.Time, address string, tried time.Time) {
	node.daemons.grantor.ConnectionRefused(now, address, tried)
	if node.daemons.connectionRefused(now, address, tried) {
		node.proposals.Acknowledge(now)
	}
	node.members.detector.ConnectionRefused(address, tried)
	node.members.sendHeartbeats(now, node.daemons.unleased)
	node.members.propose(now)
}

// Submit handles an operator's request; respond is called once, unless the request is abandoned. It returns the token
// for Abandon, empty if the request was answered at once.
func (node *Node) Submit(now time.Time, message *wire.OperatorRequest,
	respond func(status int, body []byte)) (token string) {
	return node.requests.Submit(now, message, respond)
}

// Abandon removes a read whose operator no longer waits, without a response, so that it does not count towards the
// bound of open requests. A change is not removed: if the operator sends it again, here or to another machine, the
// response states the outcome.
func (node *Node) Abandon(token string) { node.requests.Abandon(token) }

// IsLeading reports whether this machine may act as head at this moment.
func (node *Node) IsLeading(now time.Time) bool { return node.daemons.leadership.IsLeading(now) }

// Decommission orders this machine to stop once others have taken over its positions.
func (node *Node) Decommission(now time.Time) {
	if !node.members.decommission.Start(now) {
		return
	}
	node.members.detector.ExpediteHeartbeat()
	node.members.sendHeartbeats(now, node.daemons.unleased)
	node.members.propose(now)
}

// IsDecommissioned reports whether this machine may stop: others have taken over its positions, or there is no process
// that could.
func (node *Node) IsDecommissioned(now time.Time) bool {
	return node.members.decommission.IsComplete(node.members.facts(now), node.members.chain.Committed().Sequence)
}

// ChainLimit returns the largest length of the chain. It is bounded so that not every disk of a large fleet has to sync
// each change.
func (node *Node) ChainLimit() int { return reconfiguration.ChainLimit(node.settings.Faults) }

// Register handles a runner's registration or heartbeat; respond is called once, within a second.
func (node *Node) Register(now time.Time, runner *wire.Runner, respond func(outcome registry.Outcome)) {
	node.registrar.Register(now, runner, respond)
}

// Deregister removes a runner from the registry; respond is called once, within a second.
func (node *Node) Deregister(now time.Time, id string, respond func(outcome registry.Outcome)) {
	node.registrar.Deregister(now, id, respond)
}

// Runners returns all registered runners, including those that have ended or fallen silent.
func (node *Node) Runners(now time.Time) []*wire.Runner { return node.registrar.All(now) }

// Registry returns the counters of the runner registry.
func (node *Node) Registry() registry.Counters { return node.registrar.Counters() }

// DurableState returns the complete state that must survive a restart.
func (node *Node) DurableState() *wire.DurableState {
	agent := node.members.agent
	state := &wire.DurableState{Id: node.self.Id, View: agent.Current(), AcceptorState: agent.AcceptorState(),
		Founding: node.members.proposer.IsFounding(), ClearedTerm: node.daemons.grantor.ClearedTerm()}
	node.members.chain.AddToSnapshot(state)
	return state
}

// DiskFailed handles a failed write. The machine reports itself as unhealthy until a snapshot of the complete state has
// been written.
func (node *Node) DiskFailed(now time.Time) { node.members.disk.Failed(now) }
