package node

import (
	"reflect"
	"time"

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
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ChainPass) {
		node.chain.Pass(now, envelope.Sender, body.ChainPass)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ChainHold) {
		node.chain.Hold(now, envelope.Sender, body.ChainHold)
		node.chain.Aligned(now, envelope.Sender, body.ChainHold)
	})
	on(node, func(_ time.Time, envelope *wire.Envelope, body *wire.Envelope_LearnAsk) {
		// What a tail has, every member before it has, so in its own view all of it is committed; and what
		// was learned in a view counts only until the next.
		node.chain.Teach(envelope.From, body.LearnAsk)
	})
	on(node, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_LearnAnswer) {
		node.chain.Learned(now, body.LearnAnswer)
	})
}

// handleViews enters what proposers and acceptors of views say to each other.
func (node *Node) handleViews() {
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewPrepare) {
		if node.acceptor() {
			node.agent.Prepare(now, envelope.From, body.ViewPrepare)
		}
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewPromise) {
		node.agent.Promise(now, envelope.Sender, body.ViewPromise)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewAccept) {
		if node.acceptor() {
			node.agent.Accept(now, envelope.From, body.ViewAccept)
		}
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ViewAccepted) {
		node.agent.Accepted(now, envelope.Sender, body.ViewAccepted)
	})
	on(node, func(_ time.Time, _ *wire.Envelope, body *wire.Envelope_ViewRefused) {
		node.agent.Refused(body.ViewRefused)
	})
	on(node, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_ViewNews) {
		node.agent.Learn(now, body.ViewNews.View)
	})
	on(node, func(_ time.Time, envelope *wire.Envelope, _ *wire.Envelope_ViewAsk) {
		node.agent.Tell(envelope.From)
	})
}

// handleLeases enters questions for leases, heartbeats and operators' calls.
func (node *Node) handleLeases() {
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ClaimAsk) {
		node.onClaimAsk(now, envelope, body.ClaimAsk)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_ClaimGrant) {
		node.onClaimGrant(now, envelope.Sender, body.ClaimGrant)
	})
	on(node, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_Beat) { node.onBeat(now, body.Beat) })
	on(node, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_OperatorAsk) {
		node.onOperatorAsk(now, body.OperatorAsk)
	})
	on(node, func(_ time.Time, _ *wire.Envelope, body *wire.Envelope_OperatorAnswer) {
		node.onOperatorAnswer(body.OperatorAnswer)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_TickAsk) {
		node.onTickAsk(now, envelope, body.TickAsk)
	})
}

// handleDocuments enters what spreads the document and the peers.
func (node *Node) handleDocuments() {
	on(node, func(_ time.Time, envelope *wire.Envelope, body *wire.Envelope_DocumentAsk) {
		if register := node.rumors.Get(DocumentKey); register != nil && register.Epoch > body.DocumentAsk.Sequence {
			node.outbox.Send(envelope.From, &wire.Envelope{Body: &wire.Envelope_Rumor{Rumor: &wire.Rumor{Registers: []*wire.Register{register}}}})
		}
	})
	on(node, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_Rumor) {
		node.rumors.Rumor(now, body.Rumor)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_Digest) {
		node.rumors.Digest(now, envelope.From, envelope.Zone, body.Digest)
		// A daemon that reads a platform's list keeps no book and tells 0.
		if body.Digest.Runners != 0 {
			node.registrar.Compare(now, envelope.From, body.Digest.Runners)
		}
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_Shuffle) {
		node.cohort.Shuffle(now, envelope.From, body.Shuffle)
	})
}

// handleRunners enters what cores and daemons say of runners.
func (node *Node) handleRunners() {
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerNews) {
		node.registrar.News(now, envelope.From, body.RunnerNews)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerNewsHeld) {
		node.registrar.Held(now, envelope.From, body.RunnerNewsHeld)
	})
	on(node, func(now time.Time, envelope *wire.Envelope, body *wire.Envelope_RunnerDigest) {
		node.registrar.Digest(now, envelope.From, body.RunnerDigest)
	})
	on(node, func(now time.Time, _ *wire.Envelope, body *wire.Envelope_RunnersHeard) {
		node.registrar.Heard(now, body.RunnersHeard)
	})
}

// on enters a handler into the table under the type of the message it takes.
func on[Body any](node *Node, handle func(now time.Time, envelope *wire.Envelope, body Body)) {
	node.handlers[reflect.TypeFor[Body]()] = func(now time.Time, envelope *wire.Envelope) {
		handle(now, envelope, envelope.Body.(Body))
	}
}

// DocumentKey names the register that carries the committed document.
const DocumentKey = "document"

// Receive takes one message.
func (node *Node) Receive(now time.Time, envelope *wire.Envelope) {
	if envelope.From != node.self.Address {
		node.received = now
	}
	node.keeper.Heard(now, envelope.Sender, envelope.Epoch)
	if handle := node.handlers[reflect.TypeOf(envelope.Body)]; handle != nil {
		handle(now, envelope)
	}
	node.serveParked(now)
}
