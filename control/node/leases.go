package node

import (
	"time"

	"wardtray/control/membership"
	"wardtray/wire"
)

type daemon struct {
	zone        string
	http        string
	sequence    uint64
	granted     time.Time
	asked       time.Time
	asks        int
	incarnation uint64
	leaving     bool
	// gone is when nobody listened at its address any more; its process, and all that it relied on, ended before.
	gone time.Time
}

// daemonRefused takes in that a daemon's process is dead.
func (node *Node) daemonRefused(now time.Time, address string, tried time.Time) {
	if !node.leading(now) {
		return
	}
	known, document := node.head.daemons[address], node.chain.Committed()
	if known == nil && (membership.Contains(document.Directory, address) || membership.Contains(document.PreviousDirectory, address)) {
		known = &daemon{}
		node.head.daemons[address] = known
	}
	// What it was granted or told since it was tried may be for a new process at its address.
	if known != nil && known.granted.Before(tried) && known.asked.Before(tried) {
		known.gone, known.sequence, known.asks = tried, 0, 0
		if node.head.issuer != nil {
			node.head.issuer.Release(now, address)
		}
		node.answerWaiters(now)
	}
}

// tendDelivery calls daemons that were not heard to know the last change. Where nobody listens any more, the
// call itself shows it.
func (node *Node) tendDelivery(now time.Time) {
	if now.Sub(node.lastCall) < callEvery || !node.leading(now) {
		return
	}
	document := node.chain.Committed()
	if seen, found := node.head.commits[document.Sequence]; found && now.Sub(seen) < callAfter || node.delivered(now, document.Sequence) {
		return
	}
	node.lastCall = now
	for _, member := range document.Directory {
		if known := node.head.daemons[member.Address]; known == nil || known.sequence < document.Sequence {
			node.outbox.Send(member.Address, &wire.Envelope{Body: &wire.Envelope_DaemonLeasePrompt{DaemonLeasePrompt: &wire.DaemonLeasePrompt{Sequence: document.Sequence}}})
		}
	}
}

// onTickAsk answers a data daemon: the head grants a lease, a acceptor confirms what the daemon has, and everybody
// tells a newer view.
func (node *Node) onTickAsk(now time.Time, envelope *wire.Envelope, message *wire.DaemonLeaseRequest) {
	current := node.agent.Newest()
	grant := &wire.DaemonLeaseGrant{Nonce: message.Nonce, ViewEpoch: current.Epoch, RunnersChecksum: node.registrar.Checksum(), Starting: now.Sub(node.started) < node.bounds.Starting}
	if message.View < current.Epoch {
		grant.View = current
	}
	if node.leading(now) {
		node.grantLease(now, envelope.From, message, grant)
	}
	if message.Quota != nil && node.leading(now) {
		grant.Quota = node.shares(now, envelope.From, message.Quota, grant.Granted)
	}
	if !grant.Granted {
		grant.Confirmed = node.confirms(now, envelope.From, message)
		grant.Sequence = node.witness.Known()
	}
	node.outbox.Send(envelope.From, &wire.Envelope{Body: &wire.Envelope_DaemonLeaseGrant{DaemonLeaseGrant: grant}})
	node.answerWaiters(now)
}

// grantLease notes what a daemon knows, and grants it a lease if it stands in the directory. The next head waits for
// all of the directory, and so for whoever may hold a lease of this one's.
func (node *Node) grantLease(now time.Time, address string, message *wire.DaemonLeaseRequest, grant *wire.DaemonLeaseGrant) {
	known := node.head.daemons[address]
	if known == nil {
		if len(node.head.daemons) >= MaximumDaemons {
			return
		}
		known = &daemon{incarnation: message.Incarnation}
		node.head.daemons[address] = known
	}
	if node.head.firstDaemon.IsZero() {
		node.head.firstDaemon = now
	}
	// A new life shows that the old one's process, with its lease, has ended.
	if known.incarnation != message.Incarnation {
		known.incarnation, known.granted, known.asks = message.Incarnation, time.Time{}, 0
	}
	// A daemon that began anew knows less than it once confirmed, so the last word counts, not the greatest.
	known.zone, known.http, known.sequence, known.asked, known.leaving = message.Zone, message.Http, message.Sequence, now, message.Draining
	known.asks++
	if document := node.chain.Committed(); node.inDirectory(document, address) {
		known.granted = now
		grant.Granted, grant.Sequence, grant.Milliseconds = true, document.Sequence, uint32(node.settings.Staleness.Milliseconds())
	}
}
