package node

import (
	"reflect"
	"time"

	"wardtray/coordination/gossip"
	"wardtray/wire"
)

// table enters a handler for every message that a core machine takes.
func (node *Node) table() {
	node.handlers = map[reflect.Type]func(now time.Time, envelope *wire.Envelope){}
	node.handleChain()
	node.handleViews()
	node.handleLeases()
	node.handleDocuments()
	node.handleRunners()
}

// handleChain enters what members of the chain say to each other.
func (node *Node) handleChain() {
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ChainForward) {
		node.chain.Pass(now, envelope.Sender, body.ChainForward)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ChainAck) {
		node.chain.Hold(now, envelope.Sender, body.ChainAck)
		node.chain.Aligned(now, envelope.Sender, body.ChainAck)
	})
	on(node, func(_ time.Time, envelope *wire.Envelope, body *wire.Envelope_LearnRequest) {
		// What a tail has, every member before it has, so in its own view all of it is committed; and what
		// was learned in a view counts only until the next.
		node.chain.Teach(envelope.From, body.LearnRequest)
	})
	on(node, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_LearnResponse) {
		node.chain.Learned(now, body.LearnResponse)
	})
}

// handleViews enters what proposers and acceptors of views say to each other.
func (node *Node) handleViews() {
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewPrepare) {
		if node.proposer.MayVote() {
			node.agent.Prepare(now, envelope.From, body.ViewPrepare)
		}
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewPromise) {
		node.agent.Promise(now, envelope.Sender, body.ViewPromise)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewAccept) {
		if node.proposer.MayVote() {
			node.agent.Accept(now, envelope.From, body.ViewAccept)
		}
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewAccepted) {
		node.agent.Accepted(now, envelope.Sender, body.ViewAccepted)
	})
	on(node, func(_ time.Time, _ *wire.Envelope, body *wire.Envelope_ViewRejected) {
		node.agent.Refused(body.ViewRejected)
	})
	on(node, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_ViewUpdate) {
		node.agent.Learn(now, body.ViewUpdate.View)
	})
	on(node, func(_ time.Time, envelope *wire.Envelope, _ *wire.Envelope_ViewRequest) {
		node.agent.Tell(envelope.From)
	})
}

// handleLeases enters questions for leases, heartbeats and operators' calls.
func (node *Node) handleLeases() {
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_LeaderLeaseRequest) {
		node.grantor.Request(now, envelope, body.LeaderLeaseRequest)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_LeaderLeaseGrant) {
		node.onLeaderLeaseGrant(now, envelope.Sender, body.LeaderLeaseGrant)
	})
	on(node, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_Heartbeat) {
		node.onHeartbeat(now, body.Heartbeat)
	})
	on(node, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_OperatorRequest) {
		node.onOperatorAsk(now, body.OperatorRequest)
	})
	on(node, func(_ time.Time, _ *wire.Envelope, body *wire.Envelope_OperatorResponse) {
		node.onOperatorAnswer(body.OperatorResponse)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_DaemonLeaseRequest) {
		node.onDaemonLeaseRequest(now, envelope.From, body.DaemonLeaseRequest)
	})
}

// handleDocuments enters what spreads the document and the peers.
func (node *Node) handleDocuments() {
	on(node, func(_ time.Time, envelope *wire.Envelope, body *wire.Envelope_DocumentRequest) {
		if register := node.gossip.Get(gossip.DocumentKey); register != nil && register.Epoch > body.DocumentRequest.Sequence {
			node.outbox.Send(envelope.From, &wire.Envelope{Body: &wire.Envelope_GossipMessage{GossipMessage: &wire.GossipMessage{Entries: []*wire.GossipEntry{register}}}})
		}
	})
	on(node, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_GossipMessage) {
		node.gossip.Rumor(now, body.GossipMessage)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_Digest) {
		node.gossip.Digest(now, envelope.From, envelope.Zone, body.Digest)
		// A daemon that reads a platform's list keeps no book and tells 0.
		if body.Digest.RunnersChecksum != 0 {
			node.registrar.Compare(now, envelope.From, body.Digest.RunnersChecksum)
		}
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_Shuffle) {
		node.partialView.Shuffle(now, envelope.From, body.Shuffle)
	})
}

// handleRunners enters what cores and daemons say of runners.
func (node *Node) handleRunners() {
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerUpdate) {
		node.registrar.News(now, envelope.From, body.RunnerUpdate)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerUpdateAck) {
		node.registrar.Held(now, envelope.From, body.RunnerUpdateAck)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerDigest) {
		node.registrar.Digest(now, envelope.From, body.RunnerDigest)
	})
	on(node, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_RunnerHeartbeats) {
		node.registrar.Heard(now, body.RunnerHeartbeats)
	})
}

// on enters a handler into the table under the type of the message it takes.
func on[Body any](node *Node, handle func(now time.Time, envelope *wire.Envelope, body Body)) {
	node.handlers[reflect.TypeFor[Body]()] = func(now time.Time, envelope *wire.Envelope) {
		handle(now, envelope, envelope.Body.(Body))
	}
}

// Receive takes one message.
func (node *Node) Receive(now time.Time, envelope *wire.Envelope) {
	if envelope.From != node.self.Address {
		node.detector.Received(now)
	}
	node.grantor.Heard(now, envelope.Sender, envelope.Epoch)
	if handle := node.handlers[reflect.TypeOf(envelope.Body)]; handle != nil {
		handle(now, envelope)
	}
	node.serveParked(now)
}
