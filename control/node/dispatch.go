package node

import (
	"reflect"
	"time"

	"wardtray/wire"
)

// handlers maps the type of a message's body to the function that handles the message.
type handlers map[reflect.Type]func(now time.Time, envelope *wire.Envelope)

// newHandlers returns the handlers of all messages that a node accepts. It ignores other messages.
func newHandlers(node *Node) handlers {
	table := handlers{}
	addChainHandlers(table, node)
	addViewHandlers(table, node)
	addLeaseAndRequestHandlers(table, node)
	addDocumentHandlers(table, node)
	addRunnerHandlers(table, node)
	return table
}

// addChainHandlers adds the handlers of messages between members of the chain.
func addChainHandlers(table handlers, node *Node) {
	addHandler(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ChainForward) {
		node.members.chain.HandleForward(now, envelope.Sender, body.ChainForward)
	})
	addHandler(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ChainAck) {
		node.members.chain.HandleAck(now, envelope.Sender, body.ChainAck)
		node.members.chain.HandleAlignment(now, envelope.Sender, body.ChainAck)
	})
	addHandler(table, func(_ time.Time, envelope *wire.Envelope, body *wire.Envelope_LearnRequest) {
		// Every member of the chain has everything that the tail has, so under the tail's view the tail's complete history is
		// committed. A process that learns the history under a view may join the chain only while that view is current.
		node.members.chain.HandleLearnRequest(envelope.From, body.LearnRequest)
	})
	addHandler(table, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_LearnResponse) {
		node.members.chain.HandleLearnResponse(now, body.LearnResponse)
	})
}

// addViewHandlers adds the handlers of messages between proposers, acceptors and learners of views.
func addViewHandlers(table handlers, node *Node) {
	addHandler(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewPrepare) {
		if node.members.proposer.MayVote() {
			node.members.agent.HandlePrepare(now, envelope.From, body.ViewPrepare)
		}
	})
	addHandler(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewPromise) {
		node.members.agent.HandlePromise(now, envelope.Sender, body.ViewPromise)
	})
	addHandler(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewAccept) {
		if node.members.proposer.MayVote() {
			node.members.agent.HandleAccept(now, envelope.From, body.ViewAccept)
		}
	})
	addHandler(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewAccepted) {
		node.members.agent.HandleAccepted(now, envelope.Sender, body.ViewAccepted)
	})
	addHandler(table, func(_ time.Time, _ *wire.Envelope, body *wire.Envelope_ViewRejected) {
		node.members.agent.HandleRejected(body.ViewRejected)
	})
	addHandler(table, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_ViewUpdate) {
		node.members.agent.Learn(now, body.ViewUpdate.View)
	})
	addHandler(table, func(_ time.Time, envelope *wire.Envelope, _ *wire.Envelope_ViewRequest) {
		node.members.agent.SendView(envelope.From)
	})
}

// addLeaseAndRequestHandlers adds the handlers of leases, heartbeats and operators' requests.
func addLeaseAndRequestHandlers(table handlers, node *Node) {
	addHandler(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_LeaderLeaseRequest) {
		node.daemons.grantor.HandleRequest(now, envelope, body.LeaderLeaseRequest)
	})
	addHandler(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_LeaderLeaseGrant) {
		node.handleLeaderLeaseGrant(now, envelope.Sender, body.LeaderLeaseGrant)
	})
	addHandler(table, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_Heartbeat) {
		node.members.handleHeartbeat(now, body.Heartbeat)
	})
	addHandler(table, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_OperatorRequest) {
		node.proposals.HandleRequest(now, body.OperatorRequest)
	})
	addHandler(table, func(_ time.Time, _ *wire.Envelope, body *wire.Envelope_OperatorResponse) {
		node.requests.HandleResponse(body.OperatorResponse)
	})
	addHandler(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_DaemonLeaseRequest) {
		node.handleDaemonLeaseRequest(now, envelope.From, body.DaemonLeaseRequest)
	})
}

// addDocumentHandlers adds the handlers of the distribution of the document and of peer sampling.
func addDocumentHandlers(table handlers, node *Node) {
	addHandler(table, func(_ time.Time, envelope *wire.Envelope, body *wire.Envelope_DocumentRequest) {
		node.daemons.directory.HandleRequest(envelope.From, body.DocumentRequest)
	})
	addHandler(table, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_GossipMessage) {
		node.daemons.directory.Gossip().HandleMessage(now, body.GossipMessage)
	})
	addHandler(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_Digest) {
		node.daemons.directory.Gossip().HandleDigest(now, envelope.From, envelope.Zone, body.Digest)
		// A daemon that reads the list of runners from the platform keeps no table of them and sends 0.
		if body.Digest.RunnersChecksum != 0 {
			node.registrar.HandleChecksum(now, envelope.From, body.Digest.RunnersChecksum)
		}
	})
	addHandler(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_Shuffle) {
		node.members.partialView.HandleShuffle(now, envelope.From, body.Shuffle)
	})
}

// addRunnerHandlers adds the handlers of control processes' and daemons' messages about runners.
func addRunnerHandlers(table handlers, node *Node) {
	addHandler(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerUpdate) {
		node.registrar.HandleUpdate(now, envelope.From, body.RunnerUpdate)
	})
	addHandler(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerUpdateAck) {
		node.registrar.HandleAck(now, envelope.From, body.RunnerUpdateAck)
	})
	addHandler(table, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerDigest) {
		node.registrar.HandleDigest(now, envelope.From, body.RunnerDigest)
	})
	addHandler(table, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_RunnerHeartbeats) {
		node.registrar.HandleHeartbeats(now, body.RunnerHeartbeats)
	})
}

// addHandler adds a handler to the table under the type of the message body that it accepts.
func addHandler[Body any](table handlers, handle func(now time.Time, envelope *wire.Envelope, body Body)) {
	table[reflect.TypeFor[Body]()] = func(now time.Time, envelope *wire.Envelope) {
		if body, matches := envelope.Body.(Body); matches {
			handle(now, envelope, body)
		}
	}
}
