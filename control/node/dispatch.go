package node

import (
	"reflect"
	"time"

	"wardtray/wire"
)

// handlers maps the type of a message's body to what handles the message.
type handlers map[reflect.Type]func(now time.Time, envelope *wire.Envelope)

// newHandlers returns a handler for every message that a node takes; it drops the others.
func newHandlers(node *Node) handlers {
	table := handlers{}
	addChainHandlers(table, node)
	addViewHandlers(table, node)
	addLeaseAndRequestHandlers(table, node)
	addDocumentHandlers(table, node)
	addRunnerHandlers(table, node)
	return table
}

// addChainHandlers adds what members of the chain say to each other.
func addChainHandlers(table handlers, node *Node) {
	on(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ChainForward) {
		node.members.chain.HandleForward(now, envelope.Sender, body.ChainForward)
	})
	on(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ChainAck) {
		node.members.chain.HandleAck(now, envelope.Sender, body.ChainAck)
		node.members.chain.HandleAlignment(now, envelope.Sender, body.ChainAck)
	})
	on(table, func(_ time.Time, envelope *wire.Envelope, body *wire.Envelope_LearnRequest) {
		// What a tail has, every member before it has, so in its own view all of it is committed; and what
		// was learned in a view counts only until the next.
		node.members.chain.HandleLearnRequest(envelope.From, body.LearnRequest)
	})
	on(table, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_LearnResponse) {
		node.members.chain.HandleLearnResponse(now, body.LearnResponse)
	})
}

// addViewHandlers adds what proposers and acceptors of views say to each other.
func addViewHandlers(table handlers, node *Node) {
	on(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewPrepare) {
		if node.members.proposer.MayVote() {
			node.members.agent.HandlePrepare(now, envelope.From, body.ViewPrepare)
		}
	})
	on(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewPromise) {
		node.members.agent.HandlePromise(now, envelope.Sender, body.ViewPromise)
	})
	on(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewAccept) {
		if node.members.proposer.MayVote() {
			node.members.agent.HandleAccept(now, envelope.From, body.ViewAccept)
		}
	})
	on(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewAccepted) {
		node.members.agent.HandleAccepted(now, envelope.Sender, body.ViewAccepted)
	})
	on(table, func(_ time.Time, _ *wire.Envelope, body *wire.Envelope_ViewRejected) {
		node.members.agent.HandleRejected(body.ViewRejected)
	})
	on(table, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_ViewUpdate) {
		node.members.agent.Learn(now, body.ViewUpdate.View)
	})
	on(table, func(_ time.Time, envelope *wire.Envelope, _ *wire.Envelope_ViewRequest) {
		node.members.agent.SendView(envelope.From)
	})
}

// addLeaseAndRequestHandlers adds what concerns leases, heartbeats and operators' requests.
func addLeaseAndRequestHandlers(table handlers, node *Node) {
	on(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_LeaderLeaseRequest) {
		node.daemons.grantor.HandleRequest(now, envelope, body.LeaderLeaseRequest)
	})
	on(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_LeaderLeaseGrant) {
		node.handleLeaderLeaseGrant(now, envelope.Sender, body.LeaderLeaseGrant)
	})
	on(table, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_Heartbeat) {
		node.members.handleHeartbeat(now, body.Heartbeat)
	})
	on(table, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_OperatorRequest) {
		node.proposals.HandleRequest(now, body.OperatorRequest)
	})
	on(table, func(_ time.Time, _ *wire.Envelope, body *wire.Envelope_OperatorResponse) {
		node.requests.HandleResponse(body.OperatorResponse)
	})
	on(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_DaemonLeaseRequest) {
		node.handleDaemonLeaseRequest(now, envelope.From, body.DaemonLeaseRequest)
	})
}

// addDocumentHandlers adds what spreads the document and the peers.
func addDocumentHandlers(table handlers, node *Node) {
	on(table, func(_ time.Time, envelope *wire.Envelope, body *wire.Envelope_DocumentRequest) {
		node.daemons.directory.HandleRequest(envelope.From, body.DocumentRequest)
	})
	on(table, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_GossipMessage) {
		node.daemons.directory.Gossip().HandleMessage(now, body.GossipMessage)
	})
	on(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_Digest) {
		node.daemons.directory.Gossip().HandleDigest(now, envelope.From, envelope.Zone, body.Digest)
		// A daemon that reads a platform's list keeps no table and sends 0.
		if body.Digest.RunnersChecksum != 0 {
			node.registrar.HandleChecksum(now, envelope.From, body.Digest.RunnersChecksum)
		}
	})
	on(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_Shuffle) {
		node.members.partialView.HandleShuffle(now, envelope.From, body.Shuffle)
	})
}

// addRunnerHandlers adds what control processes and daemons say of runners.
func addRunnerHandlers(table handlers, node *Node) {
	on(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerUpdate) {
		node.registrar.HandleUpdate(now, envelope.From, body.RunnerUpdate)
	})
	on(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerUpdateAck) {
		node.registrar.HandleAck(now, envelope.From, body.RunnerUpdateAck)
	})
	on(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerDigest) {
		node.registrar.HandleDigest(now, envelope.From, body.RunnerDigest)
	})
	on(table, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_RunnerHeartbeats) {
		node.registrar.HandleHeartbeats(now, body.RunnerHeartbeats)
	})
}

// on adds a handler to the table under the type of the body that it takes.
func on[Body any](table handlers, handle func(now time.Time, envelope *wire.Envelope, body Body)) {
	table[reflect.TypeFor[Body]()] = func(now time.Time, envelope *wire.Envelope) {
		if body, matches := envelope.Body.(Body); matches {
			handle(now, envelope, body)
		}
	}
}
