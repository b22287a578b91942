package node

import (
	"time"

	"wardtray/control/daemonlease"
	"wardtray/wire"
)

// leader returns what the delivery of a change depends on beside the daemons' leases.
func (node *Node) leader(now time.Time) daemonlease.Leader {
	return daemonlease.Leader{Now: now, Since: node.leadership.Started(), View: node.agent.Current(),
		IsGrowing: func() bool { return node.facts(now).IsGrowing() }}
}

// delivered reports whether a committed change may be acknowledged.
func (node *Node) delivered(now time.Time, sequence uint64) bool {
	return node.leases.IsDelivered(node.leader(now), sequence)
}

// onDaemonLeaseRequest answers a data daemon: the head grants a lease, an acceptor confirms what the daemon has, and
// every machine passes on a newer view.
func (node *Node) onDaemonLeaseRequest(now time.Time, address string, request *wire.DaemonLeaseRequest) {
	newest := node.agent.Newest()
	grant := &wire.DaemonLeaseGrant{Nonce: request.Nonce, ViewEpoch: newest.Epoch,
		RunnersChecksum: node.registrar.Checksum(), Starting: now.Sub(node.started) < node.bounds.Starting}
	if request.View < newest.Epoch {
		grant.View = newest
	}
	if node.leadership.IsLeading(now) {
		document := node.chain.Committed()
		if node.leases.Request(now, address, request) && node.inDirectory(document, address) {
			node.leases.Grant(now, address, grant)
		}
		if request.Quota != nil {
			grant.Quota = node.quotas.Grant(now, document, address, request.Quota, grant.Granted)
		}
	}
	if !grant.Granted {
		isMember := node.inDirectory(node.newestDirectory(), address)
		grant.Confirmed = node.confirmer.Confirm(now, address, request, isMember)
		grant.Sequence = node.witness.Known()
	}
	node.outbox.Send(address, &wire.Envelope{Body: &wire.Envelope_DaemonLeaseGrant{DaemonLeaseGrant: grant}})
	node.answerWaiters(now)
}

// unleased lists the daemons of the directory that hold no lease by the word of the present head, if that is known.
func (node *Node) unleased(now time.Time) []string {
	current := node.agent.Current()
	if len(current.Chain) == 0 {
		return nil
	}
	head := current.Chain[0].Id
	if head == node.self.Id {
		return node.unleasedHere(now)
	}
	peer := node.detector.Peer(head)
	if peer != nil && node.detector.IsAlive(now, head) && peer.Heartbeat.View == current.Epoch {
		return peer.Heartbeat.UnleasedDaemons
	}
	return nil
}

// unleasedHere lists the daemons of the directory that hold no lease of this machine's, if it leads.
func (node *Node) unleasedHere(now time.Time) []string {
	if !node.leadership.IsLeading(now) {
		return nil
	}
	return node.leases.Unleased(now, node.leadership.Started())
}
